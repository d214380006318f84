#include <utility>

#include <lagoonsaddle/relay/messages.hpp>
#include <lagoonsaddle/relay/relay_connector.hpp>

namespace lagoonsaddle::relay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

relay_connector::relay_connector(relay_connector_options options) : settings{std::move(options)} {}

asio::awaitable<std::string> relay_connector::connect_to_relay(tcp::socket& socket) const {
    boost::system::error_code failure{};
    const auto address = asio::ip::make_address(this->settings.relay.address, failure);
    if(!failure) {
        socket.open(address.is_v6() ? tcp::v6() : tcp::v4(), failure);
    }
    if(!failure && !this->settings.local_address.empty()) {
        const auto local = asio::ip::make_address(this->settings.local_address, failure);
        // Without this option the port of this connection cannot be listened on, for a minute after its end too.
        if(!failure) {
            socket.set_option(tcp::socket::reuse_address{true}, failure);
        }
        if(!failure) {
            socket.bind(tcp::endpoint{local, 0u}, failure);
        }
    }
    if(!failure) {
        const tcp::endpoint remote{address, this->settings.relay.port};
        co_await socket.async_connect(remote, asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure ? failure.message() : std::string{};
}

asio::awaitable<core::result<void>> relay_connector::connect(tcp::socket& socket, const core::endpoint&) {
    const auto name = core::to_string(this->settings.relay);
    if(const auto failure = co_await this->connect_to_relay(socket); !failure.empty()) {
        co_return core::fail(core::reason::unavailable, "cannot connect to the relay " + name + ": " + failure);
    }
    const open_request request{.node = this->settings.node,
        .upstream = this->settings.upstream,
        .lifetime_ms = static_cast<std::uint64_t>(this->settings.lifetime.count())};
    if(!co_await internal::write_message(socket, wire::pack(request))) {
        co_return core::fail(core::reason::unavailable, "the relay " + name + " closed the connection");
    }
    const auto answer = co_await internal::read_message(socket);
    if(!answer) {
        co_return core::fail(core::reason::unavailable, "the relay " + name + " did not answer");
    }
    const auto reply = wire::unpack<open_reply>(*answer);
    if(!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if(reply->failure) {
        auto failure = wire::from_wire(*reply->failure);
        // The relay has passed nothing on.
        failure.verdict = core::verdict::not_run;
        co_return tl::make_unexpected(std::move(failure));
    }
    co_return core::result<void>{};
}

} // namespace lagoonsaddle::relay
