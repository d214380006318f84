#ifndef LAGOONSADDLE_HTTP_INTERNAL_BODY_READER_HPP
#define LAGOONSADDLE_HTTP_INTERNAL_BODY_READER_HPP

#include <algorithm>
#include <cstddef>

#include <lagoonsaddle/http/internal_beast.hpp>

namespace lagoonsaddle::http::internal {

/*! @brief Number of bytes that a read takes from a socket: few while little comes, as a connection that waits holds
 * them. */
inline constexpr std::size_t body_read_size_min{4u * 1024u};
inline constexpr std::size_t body_read_size_max{16u * 1024u};

/*! @brief How far the body of a message has been read. */
struct body_progress {
    /*! @brief Bytes of the body parsed so far, with its framing. */
    std::size_t parsed{};
    /*! @brief Size of the next read. */
    std::size_t read_size{body_read_size_min};
    /*! @brief Whether the buffer ends inside a chunk header or a trailer. */
    bool needs_more{false};
};

/**
 * @brief Reads from a stream into a buffer once.
 * @param stream Source of the message.
 * @param buffer Bounded buffer.
 * @param progress Progress of the body.
 * @return Error of the read; `buffer_overflow` when the buffer is full.
 */
template<typename Stream>
[[nodiscard]] asio::awaitable<boost::system::error_code> fill_buffer(
    Stream& stream, beast::flat_buffer& buffer, body_progress& progress) {
    boost::system::error_code failure{};
    const auto room = std::min(progress.read_size, buffer.max_size() - buffer.size());
    if(room == 0u) {
        co_return beast_http::make_error_code(beast_http::error::buffer_overflow);
    }
    if(buffer.size() == 0u && buffer.capacity() > room) {
        buffer.shrink_to_fit();
    }
    const auto count =
        co_await stream.async_read_some(buffer.prepare(room), asio::redirect_error(asio::use_awaitable, failure));
    buffer.commit(count);
    progress.read_size = count == room ? std::min(2u * room, body_read_size_max) : body_read_size_min;
    co_return failure;
}

/**
 * @brief Parses what the buffer holds of a body, after one read when it holds nothing that can be parsed.
 *
 * `async_read_some` of Beast goes on reading as long as the buffer ends inside a chunk header, so that a body in small
 * chunks may pass by all limits that its caller checks between two calls. This function returns after each read. It
 * parses all chunks of the buffer in one call.
 *
 * @param stream Source of the message.
 * @param buffer Bounded buffer, which may hold the beginning of the body.
 * @param parser Parser that has read the head.
 * @param progress Progress of the body; zero after the head.
 * @return Error of the read or of the parser.
 */
template<typename Stream, typename Parser>
[[nodiscard]] asio::awaitable<boost::system::error_code> read_body_part(
    Stream& stream, beast::flat_buffer& buffer, Parser& parser, body_progress& progress) {
    boost::system::error_code failure{};
    if(buffer.size() == 0u || progress.needs_more) {
        failure = co_await fill_buffer(stream, buffer, progress);
        if(failure == asio::error::eof) {
            failure = {};
            parser.put_eof(failure);
            co_return failure;
        }
        if(failure) {
            co_return failure;
        }
    }
    parser.eager(true);
    const auto used = parser.put(buffer.data(), failure);
    buffer.consume(used);
    progress.parsed += used;
    progress.needs_more = failure == beast_http::error::need_more;
    co_return progress.needs_more ? boost::system::error_code{} : failure;
}

} // namespace lagoonsaddle::http::internal

#endif
