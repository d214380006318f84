#ifndef LAGOONSADDLE_CORE_TCP_LISTENER_HPP
#define LAGOONSADDLE_CORE_TCP_LISTENER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::core {

/**
 * @brief Opens an acceptor and listens.
 * @param acceptor A closed acceptor.
 * @param local Address and port; port 0 lets the system choose one.
 * @param clients Who connects, for the message of a failure; may be empty.
 * @return The port, or `unavailable` when the address and port cannot be bound.
 */
[[nodiscard]] inline result<std::uint16_t> listen(
    boost::asio::ip::tcp::acceptor& acceptor, const endpoint& local, std::string_view clients = {}) {
    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    boost::system::error_code failure{};
    const auto address = asio::ip::make_address(local.address, failure);
    const tcp::endpoint bound{address, local.port};
    if(!failure) {
        acceptor.open(bound.protocol(), failure);
    }
    if(!failure) {
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
    }
    if(!failure) {
        acceptor.bind(bound, failure);
    }
    if(!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if(failure) {
        const auto whom = clients.empty() ? std::string{} : " for " + std::string{clients};
        return fail(reason::unavailable, "cannot listen" + whom + " on " + to_string(local) + ": " + failure.message());
    }
    return acceptor.local_endpoint(failure).port();
}

} // namespace lagoonsaddle::core

#endif
