#include <string>
#include <utility>

#include <lagoonsaddle/core/tcp_listener.hpp>

namespace lagoonsaddle::core {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/*! @brief Opens an acceptor and listens; leaves it closed after a failure. */
[[nodiscard]] boost::system::error_code open_listener(tcp::acceptor& acceptor, const tcp::endpoint& local) {
    boost::system::error_code failure{};
    acceptor.open(local.protocol(), failure);
    if(!failure) {
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
    }
    if(!failure) {
        acceptor.bind(local, failure);
    }
    if(!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if(failure) {
        boost::system::error_code ignored{};
        acceptor.close(ignored);
    }
    return failure;
}

} // namespace

result<std::uint16_t> listen(
    tcp::acceptor& acceptor, const endpoint& local, std::string_view clients, address_wait_options wait) {
    boost::system::error_code failure{};
    const auto address = asio::ip::make_address(local.address, failure);
    if(!failure) {
        const tcp::endpoint bound{address, local.port};
        failure = bind_when_free([&acceptor, &bound] { return open_listener(acceptor, bound); }, wait);
    }
    if(failure) {
        const auto whom = clients.empty() ? std::string{} : " for " + std::string{clients};
        return fail(reason::unavailable, "cannot listen" + whom + " on " + to_string(local) + ": " + failure.message());
    }
    return acceptor.local_endpoint(failure).port();
}

} // namespace lagoonsaddle::core
