#ifndef LAGOONSADDLE_HTTP_INTERNAL_BEAST_HPP
#define LAGOONSADDLE_HTTP_INTERNAL_BEAST_HPP

#include <cstddef>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <lagoonsaddle/http/message.hpp>

/*! @brief Parts shared by the client and the server. Only the sources of this module include it. */
namespace lagoonsaddle::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

using tcp = asio::ip::tcp;

/**
 * @brief Copies the fields of a Beast message, the lines of one field joined.
 * @param source Beast fields. After the body has been read, they include those of its trailer.
 * @return The copy.
 */
[[nodiscard]] inline fields copy_fields(const beast_http::fields& source) {
    fields copy{};
    for(const auto& field : source) {
        copy.add(
            {field.name_string().data(), field.name_string().size()}, {field.value().data(), field.value().size()});
    }
    return copy;
}

/*! @brief Method whose responses have no body, whatever their fields state (RFC 9110, 9.3.2). */
inline constexpr std::string_view head_method{"HEAD"};

/*! @brief Bytes of chunk headers and trailers that any body may have in addition to its own size. */
inline constexpr std::size_t framing_allowance{64u * 1024u};

/**
 * @brief Returns whether chunk headers and trailers exceed the body by more than the allowance.
 *
 * Chunks of a few bytes without end cost processor time while the body stays below its limit.
 *
 * @param parsed Bytes of the body with its framing.
 * @param body_size Bytes of the body alone.
 */
[[nodiscard]] inline bool has_excessive_framing(std::size_t parsed, std::size_t body_size) noexcept {
    return parsed > 2u * body_size + framing_allowance;
}

/**
 * @brief Converts a view to the string type of Beast.
 * @param text A view.
 * @return The same characters.
 */
[[nodiscard]] inline beast::string_view beast_view(std::string_view text) noexcept {
    return {text.data(), text.size()};
}

} // namespace lagoonsaddle::http::internal

#endif
