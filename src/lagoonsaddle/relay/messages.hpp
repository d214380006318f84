#ifndef LAGOONSADDLE_RELAY_MESSAGES_HPP
#define LAGOONSADDLE_RELAY_MESSAGES_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::relay {

/*! @brief First message of a relayed connection: asks a peer to connect to an upstream. */
struct open_request {
    /*! @brief Name of the node that asks. */
    std::string node{};
    std::string upstream{};
    /*! @brief Time after which the connection is no longer needed. */
    std::uint64_t lifetime_ms{};

    MSGPACK_DEFINE_ARRAY(node, upstream, lifetime_ms)
};

/*! @brief Answer to `open_request`. Without an error, the bytes of the upstream's connection follow. */
struct open_reply {
    std::optional<wire::wire_error> failure{};

    MSGPACK_DEFINE_ARRAY(failure)
};

namespace internal {

/*! @brief Largest message, without its length. */
inline constexpr std::size_t message_limit_bytes{4'096u};
/*! @brief Size of the length before each message, in big-endian order. */
inline constexpr std::size_t length_size{4u};
inline constexpr unsigned byte_bits{8u};

/**
 * @brief Sends a message, preceded by its length.
 * @param socket A connected socket.
 * @param body Packed message.
 * @return False when the connection is lost.
 */
[[nodiscard]] inline boost::asio::awaitable<bool> write_message(
    boost::asio::ip::tcp::socket& socket, std::string body) {
    std::string bytes{};
    for(auto shift = length_size; shift-- > 0u;) {
        bytes += static_cast<char>(static_cast<unsigned char>(body.size() >> (shift * byte_bits)));
    }
    bytes += body;
    boost::system::error_code failure{};
    co_await boost::asio::async_write(
        socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    co_return !failure;
}

/**
 * @brief Reads a message and no byte beyond it.
 * @param socket A connected socket.
 * @return The packed message; nothing when the connection is lost or the message is too large.
 */
[[nodiscard]] inline boost::asio::awaitable<std::optional<std::string>> read_message(
    boost::asio::ip::tcp::socket& socket) {
    std::array<unsigned char, length_size> length_bytes{};
    boost::system::error_code failure{};
    co_await boost::asio::async_read(
        socket, boost::asio::buffer(length_bytes), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    std::size_t length{};
    for(const auto byte : length_bytes) {
        length = (length << byte_bits) | byte;
    }
    if(failure || length > message_limit_bytes) {
        co_return std::nullopt;
    }
    std::string body(length, '\0');
    co_await boost::asio::async_read(
        socket, boost::asio::buffer(body), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    co_return failure ? std::nullopt : std::optional{std::move(body)};
}

} // namespace internal

} // namespace lagoonsaddle::relay

#endif
