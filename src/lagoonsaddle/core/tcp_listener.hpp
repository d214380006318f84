#ifndef LAGOONSADDLE_CORE_TCP_LISTENER_HPP
#define LAGOONSADDLE_CORE_TCP_LISTENER_HPP

#include <cstdint>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <lagoonsaddle/core/address_wait.hpp>
#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::core {

/**
 * @brief Opens an acceptor and listens. Waits for a while when the address is in use; see `bind_when_free`.
 * @param acceptor A closed acceptor.
 * @param local Address and port; port 0 lets the system choose one.
 * @param clients Who connects, for the message of a failure; may be empty.
 * @param wait How long to wait for the address.
 * @return The port, or `unavailable` when the address and port cannot be bound.
 */
[[nodiscard]] result<std::uint16_t> listen(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& local,
    std::string_view clients = {}, address_wait_options wait = {});

} // namespace lagoonsaddle::core

#endif
