#ifndef LAGOONSADDLE_HTTP_INTERNAL_GROWING_BODY_HPP
#define LAGOONSADDLE_HTTP_INTERNAL_GROWING_BODY_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <new>
#include <string>

#include <lagoonsaddle/http/internal_beast.hpp>

namespace lagoonsaddle::http::internal {

/**
 * @brief Body of a received message that takes memory for what has come, not for the length that its head declares.
 *
 * `string_body` of Beast reserves the declared length at once, so that heads alone could use up the memory. A lack of
 * memory ends the message with `not_enough_memory`.
 */
struct growing_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) noexcept {
        return body.size();
    }

    class reader {
    public:
        template<bool IsRequest, class Fields>
        explicit reader(beast_http::header<IsRequest, Fields>&, value_type& content) : body{content} {}

        void init(const boost::optional<std::uint64_t>& length, beast::error_code& failure) {
            this->declared = length ? static_cast<std::size_t>(*length) : this->body.max_size();
            failure = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers& buffers, beast::error_code& failure) {
            failure = {};
            const auto before = this->body.size();
            try {
                this->make_room(before + beast::buffer_bytes(buffers));
                for(const auto piece : beast::buffers_range_ref(buffers)) {
                    this->body.append(static_cast<const char*>(piece.data()), piece.size());
                }
            } catch(const std::bad_alloc&) {
                failure = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
            }
            return this->body.size() - before;
        }

        void finish(beast::error_code& failure) {
            failure = {};
        }

    private:
        /*! @brief Doubles the room when it is used up, but never beyond the declared length. */
        void make_room(std::size_t needed) {
            if(needed > this->body.capacity()) {
                this->body.reserve(std::max(needed, std::min(2u * this->body.capacity(), this->declared)));
            }
        }

        value_type& body;
        std::size_t declared{};
    };
};

} // namespace lagoonsaddle::http::internal

#endif
