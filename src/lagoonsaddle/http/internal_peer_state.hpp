#ifndef LAGOONSADDLE_HTTP_INTERNAL_PEER_STATE_HPP
#define LAGOONSADDLE_HTTP_INTERNAL_PEER_STATE_HPP

#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace lagoonsaddle::http::internal {

/*! @brief What a socket tells of its peer without reading from it. */
enum class peer_state {
    /*! @brief The connection is open and nothing is unread. */
    silent,
    /*! @brief Bytes are unread and no end is known behind them. */
    has_sent,
    /*! @brief The peer has ended its half, or the connection is broken or closed. */
    closed
};

/*!
 * @brief Returns the state of the peer of a socket.
 *
 * An end behind more unread bytes than the receive buffer of the kernel takes does not arrive and is not seen.
 */
[[nodiscard]] inline peer_state inspect_peer(boost::asio::ip::tcp::socket& socket) {
    char byte{};
    boost::system::error_code failure{};
    socket.non_blocking(true, failure);
    const auto count =
        socket.receive(boost::asio::buffer(&byte, 1u), boost::asio::ip::tcp::socket::message_peek, failure);
    if(failure == boost::asio::error::would_block) {
        return peer_state::silent;
    }
    if(failure || count == 0u) {
        return peer_state::closed;
    }
    pollfd descriptor{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&descriptor, 1u, 0) > 0 ? peer_state::closed : peer_state::has_sent;
}

} // namespace lagoonsaddle::http::internal

#endif
