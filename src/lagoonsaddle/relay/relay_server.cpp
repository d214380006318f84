#include <algorithm>
#include <array>
#include <poll.h>
#include <span>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/core/accept_loop.hpp>
#include <lagoonsaddle/core/connection_end.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/core/tcp_listener.hpp>
#include <lagoonsaddle/core/tcp_options.hpp>
#include <lagoonsaddle/relay/relay_server.hpp>

namespace lagoonsaddle::relay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t buffer_size{16u * 1024u};
/*! @brief Time for a peer to close a connection whose end it has been sent. */
constexpr std::chrono::milliseconds close_timeout{1'000};

/*! @brief Time between checks for the end of a peer whose bytes wait for the upstream. */
constexpr std::chrono::milliseconds end_check_interval{100};

/*! @brief Data read from a socket; empty at its end. */
using read_result = tl::expected<std::size_t, boost::system::error_code>;

[[nodiscard]] asio::awaitable<read_result> read_some(tcp::socket& socket, std::span<char> buffer) {
    boost::system::error_code failure{};
    const auto count = co_await socket.async_read_some(
        asio::buffer(buffer.data(), buffer.size()), asio::redirect_error(asio::use_awaitable, failure));
    if(failure == asio::error::eof) {
        co_return std::size_t{0u};
    }
    if(failure) {
        co_return tl::make_unexpected(failure);
    }
    co_return count;
}

[[nodiscard]] asio::awaitable<boost::system::error_code> write_all(tcp::socket& socket, std::span<const char> data) {
    boost::system::error_code failure{};
    co_await asio::async_write(
        socket, asio::buffer(data.data(), data.size()), asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

} // namespace

class relay_server::state : public std::enable_shared_from_this<relay_server::state> {
public:
    state(asio::io_context& io, relay_policy& decisions, relay_server_options options)
        : context{io}, policy{decisions}, settings{std::move(options)}, acceptor{io}, retry_timer{io} {}

    [[nodiscard]] core::result<void> start();

    void close() {
        this->closed = true;
        this->retry_timer.cancel();
        boost::system::error_code ignored{};
        this->acceptor.close(ignored);
    }

    asio::io_context& context;
    relay_policy& policy;
    relay_server_options settings;
    tcp::acceptor acceptor;
    core::accept_status accepting{"relay"};
    std::uint16_t bound_port{};
    std::size_t active{};

private:
    [[nodiscard]] core::result<void> listen();
    /*! @brief Listens as soon as the address is free. */
    [[nodiscard]] asio::awaitable<void> wait_for_address();
    [[nodiscard]] asio::awaitable<void> accept_connections();

    asio::steady_timer retry_timer;
    bool closed{false};
};

/*! @brief One relayed connection. */
class relay_server::session : public std::enable_shared_from_this<relay_server::session> {
public:
    session(std::shared_ptr<state> server, tcp::socket accepted)
        : owner{std::move(server)},
          peer{std::move(accepted)},
          upstream{this->owner->context},
          timer{this->owner->context},
          end_check{this->owner->context} {
        ++this->owner->active;
        boost::system::error_code ignored{};
        this->peer.set_option(tcp::no_delay{true}, ignored);
        // Closing resets the connection, also when the process is killed; the proper end is a shutdown before it.
        core::set_reset_on_close(this->peer);
        core::set_unacknowledged_timeout(this->peer, this->owner->settings.unacknowledged_timeout);
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    ~session() {
        --this->owner->active;
    }

    [[nodiscard]] asio::awaitable<void> run() {
        this->close_after(this->owner->settings.request_timeout);
        const auto message = co_await internal::read_message(this->peer);
        const auto request = message ? wire::unpack<open_request>(*message) : core::result<open_request>{};
        if(!message || !request) {
            this->close();
            co_return;
        }
        auto connected = co_await this->connect_upstream(*request);
        open_reply reply{};
        if(!connected) {
            reply.failure = wire::to_wire(connected.error());
        }
        const bool replied = co_await internal::write_message(this->peer, wire::pack(reply));
        if(!connected || !replied) {
            co_await this->finish_refusal();
            co_return;
        }
        this->close_after(
            std::min(std::chrono::milliseconds{request->lifetime_ms}, this->owner->settings.lifetime_max));
        this->watch_peer();
        asio::co_spawn(
            this->owner->context, [self = this->shared_from_this()] { return self->pass_requests(); },
            core::task_end{"relayed_requests"});
        co_await this->pass_answers(request->upstream);
    }

private:
    /*! @brief Connects to the upstream, if the policy allows it. */
    [[nodiscard]] asio::awaitable<core::result<void>> connect_upstream(const open_request& request) {
        if(this->owner->active > this->owner->settings.connections_max) {
            co_return core::fail(core::reason::overloaded, "the relay has too many connections");
        }
        boost::system::error_code failure{};
        const auto remote = this->peer.remote_endpoint(failure).address().to_string();
        const auto target = this->owner->policy.admit(request, remote);
        if(!target) {
            co_return tl::make_unexpected(target.error());
        }
        const auto address = asio::ip::make_address(target->address, failure);
        if(!failure) {
            this->close_after(this->owner->settings.connect_timeout, &session::close_upstream);
            const tcp::endpoint endpoint{address, target->port};
            co_await this->upstream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
        }
        const bool connected = !failure && this->upstream.is_open();
        this->timer.cancel();
        this->owner->policy.on_connect(request, connected);
        if(!connected) {
            co_return core::fail(core::reason::connection_refused, "the relay cannot connect to the upstream");
        }
        this->upstream.set_option(tcp::no_delay{true}, failure);
        core::set_unacknowledged_timeout(this->upstream, this->owner->settings.unacknowledged_timeout);
        co_return core::result<void>{};
    }

    /*! @brief Ends both connections when the peer resets its own, also while the upstream takes none of the body: then
     * nothing reads from the peer. */
    void watch_peer() {
        this->peer.async_wait(
            tcp::socket::wait_error, [weak = this->weak_from_this()](const boost::system::error_code& failure) {
                if(const auto self = weak.lock(); self && !failure) {
                    self->reset();
                }
            });
    }

    /*! @brief Ends both connections when the peer has closed its own while the upstream takes none of the body: the end
     * waits behind bytes that are not read meanwhile. */
    void check_end_later() {
        this->end_check.expires_after(end_check_interval);
        this->end_check.async_wait([weak = this->weak_from_this()](const boost::system::error_code& failure) {
            const auto self = weak.lock();
            if(!self || failure || !self->peer.is_open()) {
                return;
            }
            pollfd descriptor{.fd = self->peer.native_handle(), .events = POLLRDHUP, .revents = 0};
            if(::poll(&descriptor, 1u, 0) > 0) {
                self->close();
            } else {
                self->check_end_later();
            }
        });
    }

    /*! @brief Passes on what the peer sends, until the peer closes its connection. */
    [[nodiscard]] asio::awaitable<void> pass_requests() {
        std::array<char, buffer_size> buffer{};
        while(true) {
            const auto count = co_await read_some(this->peer, buffer);
            if(!count) {
                this->reset();
                co_return;
            }
            if(*count == 0u) {
                this->close();
                co_return;
            }
            // An upstream may answer before it has read the whole body; only its own end decides on the connection.
            if(!this->request_failure) {
                this->check_end_later();
                this->request_failure = co_await write_all(this->upstream, std::span{buffer}.first(*count));
                this->end_check.cancel();
            }
        }
    }

    /*! @brief Reads what the upstream sends. A reset is an error also when a write to the upstream has learned of it.
     */
    [[nodiscard]] asio::awaitable<read_result> read_answer(std::span<char> buffer) {
        auto count = co_await read_some(this->upstream, buffer);
        if(count && *count == 0u && !core::has_orderly_end(this->upstream, this->request_failure)) {
            count = tl::make_unexpected(asio::error::make_error_code(asio::error::connection_reset));
        }
        co_return count;
    }

    /*! @brief Passes on what the upstream sends, until it ends or resets its connection. */
    [[nodiscard]] asio::awaitable<void> pass_answers(std::string id) {
        std::array<char, buffer_size> buffer{};
        bool answered{false};
        while(true) {
            const auto count = co_await this->read_answer(buffer);
            const bool reset = !count && !answered && this->peer.is_open();
            if(reset && co_await this->owner->policy.reset_by_upstream(id)) {
                this->finish_peer();
                co_return;
            }
            if(!count || !this->peer.is_open()) {
                this->close();
                co_return;
            }
            answered = true;
            if(*count == 0u) {
                this->finish_peer();
                co_return;
            }
            if(co_await write_all(this->peer, std::span{buffer}.first(*count))) {
                this->reset();
                co_return;
            }
        }
    }

    /*! @brief Ends the peer's connection properly, after what was sent. It is closed when the peer has closed it. */
    void finish_peer() {
        boost::system::error_code ignored{};
        this->peer.shutdown(tcp::socket::shutdown_send, ignored);
        this->close_after(close_timeout);
    }

    /*! @brief Waits until the peer has read a refusal: closing the connection before could discard it. */
    [[nodiscard]] asio::awaitable<void> finish_refusal() {
        this->finish_peer();
        std::array<char, 1u> buffer{};
        static_cast<void>(co_await read_some(this->peer, buffer));
        this->close();
    }

    void close_after(std::chrono::milliseconds time, void (session::*action)() = &session::close) {
        this->timer.expires_after(time);
        this->timer.async_wait([weak = this->weak_from_this(), action](const boost::system::error_code& failure) {
            if(const auto self = weak.lock(); self && !failure) {
                ((*self).*action)();
            }
        });
    }

    void close_upstream() {
        core::close_at_once(this->upstream);
    }

    /*! @brief Resets both connections: the peer has given the exchange up. */
    void reset() {
        core::set_reset_on_close(this->upstream);
        this->close();
    }

    void close() {
        this->timer.cancel();
        this->end_check.cancel();
        this->close_upstream();
        boost::system::error_code ignored{};
        this->peer.close(ignored);
    }

    std::shared_ptr<state> owner;
    tcp::socket peer;
    tcp::socket upstream;
    asio::steady_timer timer;
    asio::steady_timer end_check;
    /*! @brief Error of the writes to the upstream. */
    boost::system::error_code request_failure{};
};

core::result<void> relay_server::state::start() {
    auto listening = this->listen();
    core::start_service(
        this->context, "relay_listener", [self = this->shared_from_this()] { return self->accept_connections(); });
    return listening;
}

core::result<void> relay_server::state::listen() {
    constexpr core::address_wait_options no_wait{.attempts = 1u};
    const auto port = core::listen(this->acceptor, this->settings.listen, "relayed connections", no_wait);
    if(!port) {
        return tl::make_unexpected(port.error());
    }
    this->bound_port = *port;
    return {};
}

asio::awaitable<void> relay_server::state::wait_for_address() {
    while(!this->closed && !this->acceptor.is_open()) {
        this->retry_timer.expires_after(this->settings.address_retry_interval);
        boost::system::error_code ignored{};
        co_await this->retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if(!this->closed && this->listen()) {
            this->policy.on_listening();
        }
    }
}

asio::awaitable<void> relay_server::state::accept_connections() {
    co_await this->wait_for_address();
    while(auto accepted = co_await core::accept_next(this->acceptor, this->context.get_executor(), this->accepting)) {
        const auto accepted_session = std::make_shared<session>(this->shared_from_this(), *std::move(accepted));
        asio::co_spawn(
            this->context, [accepted_session]() -> asio::awaitable<void> { co_await accepted_session->run(); },
            core::task_end{"relay_session"});
    }
}

relay_server::relay_server(asio::io_context& context, relay_policy& policy, relay_server_options options)
    : shared{std::make_shared<state>(context, policy, std::move(options))} {}

relay_server::~relay_server() {
    this->shared->close();
}

core::result<void> relay_server::start() {
    return this->shared->start();
}

std::uint16_t relay_server::port() const noexcept {
    return this->shared->bound_port;
}

void relay_server::stop_accepting() {
    this->shared->close();
}

std::size_t relay_server::active_connections() const noexcept {
    return this->shared->active;
}

} // namespace lagoonsaddle::relay
