#ifndef LAGOONSADDLE_CORE_CONNECTION_END_HPP
#define LAGOONSADDLE_CORE_CONNECTION_END_HPP

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace lagoonsaddle::core {

/**
 * @brief Returns whether the peer has ended its half of a connection in an orderly way.
 *
 * The end of the data alone does not tell: when a reset or a time-out ends a connection, the system reports the error
 * to one operation only, which may be a write, and all reads after it find the end of the data. The system acknowledges
 * an orderly end only after all data before it. A connection that is reset afterwards fails its writes with
 * `broken_pipe`, any other lost connection with another error.
 *
 * @param socket Socket whose read has returned `eof`, and whose own half has not been shut down. Its pending error is
 * taken off it.
 * @param write_failure Error of the writes on the socket; none while they have not failed.
 * @return False also when it cannot be told.
 */
[[nodiscard]] bool has_orderly_end(
    boost::asio::ip::tcp::socket& socket, const boost::system::error_code& write_failure) noexcept;

/**
 * @brief Closes a socket so that the peer learns of it at once.
 *
 * An orderly end waits behind bytes that the peer does not take, also in the buffer of the system: a connection with
 * such bytes is reset.
 */
void close_at_once(boost::asio::ip::tcp::socket& socket) noexcept;

} // namespace lagoonsaddle::core

#endif
