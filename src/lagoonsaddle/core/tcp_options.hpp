#ifndef LAGOONSADDLE_CORE_TCP_OPTIONS_HPP
#define LAGOONSADDLE_CORE_TCP_OPTIONS_HPP

#include <chrono>
#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>

namespace lagoonsaddle::core {

/**
 * @brief Sets the time after which unacknowledged data ends a connection (`TCP_USER_TIMEOUT`).
 * @param socket An open socket.
 * @param timeout The time.
 */
inline void set_unacknowledged_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout) {
    using option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored{};
    socket.set_option(option{static_cast<int>(timeout.count())}, ignored);
}

/**
 * @brief Makes closing a socket reset its connection (`SO_LINGER` of zero).
 *
 * The peer learns of a reset at once. An orderly end waits behind all bytes that the peer has not read.
 *
 * @param socket An open socket.
 */
inline void set_reset_on_close(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored{};
    socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
}

} // namespace lagoonsaddle::core

#endif
