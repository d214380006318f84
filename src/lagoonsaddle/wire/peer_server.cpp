#include <chrono>
#include <mutex>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/core/accept_loop.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/core/tcp_listener.hpp>
#include <lagoonsaddle/wire/cancel_signal.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/internal_link.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::wire {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class peer_server::state : public std::enable_shared_from_this<peer_server::state> {
public:
    state(asio::io_context& io, peer_handler& receiver, core::endpoint address, hello greeting)
        : context{io},
          target{receiver},
          listen{std::move(address)},
          self{std::move(greeting)},
          acceptor{asio::make_strand(io)} {}

    [[nodiscard]] core::result<void> start();
    void close();

    asio::io_context& context;
    peer_handler& target;
    core::endpoint listen;
    hello self;
    tcp::acceptor acceptor;
    core::accept_status accepting{"peers"};
    std::uint16_t bound_port{};

private:
    asio::awaitable<void> accept_connections();

    std::mutex mutex{};
    std::vector<std::weak_ptr<internal::link>> links{};
    std::atomic<bool> closed{false};
};

class peer_server::connection_responder final : public responder {
public:
    connection_responder(std::shared_ptr<internal::link> connection, std::uint64_t exchange)
        : carrier{std::move(connection)}, exchange_id{exchange} {}

    bool send(message_type type, std::string body) override {
        const std::lock_guard lock{this->mutex};
        const frame message{
            .type = type, .exchange_id = this->exchange_id, .sequence = this->sequence++, .body = std::move(body)};
        return this->carrier->send(message);
    }

    void on_cancel(std::function<void()> callback) override {
        this->signal.on_cancel(std::move(callback));
    }

    void cancel() {
        this->signal.cancel();
    }

private:
    std::shared_ptr<internal::link> carrier;
    std::uint64_t exchange_id;
    std::mutex mutex{};
    std::uint64_t sequence{};
    cancel_signal signal{};
};

/*! @brief State of one accepted connection; used on the strand of its link, but for `ended`. */
class peer_server::connection : public std::enable_shared_from_this<peer_server::connection> {
public:
    connection(std::shared_ptr<state> server, std::shared_ptr<internal::link> accepted)
        : owner{std::move(server)}, carrier{std::move(accepted)} {}

    void start() {
        this->carrier->start(
            [self = this->shared_from_this()](frame message) { return self->received(std::move(message)); },
            [self = this->shared_from_this()] { self->lost(); });
    }

private:
    bool received(frame message) {
        if(message.type == message_type::hello) {
            auto greeting = unpack<hello>(message.body);
            if(!greeting || greeting->protocol != protocol_version) {
                return false;
            }
            this->peer = std::move(greeting->node);
            const frame answer{.type = message_type::hello, .body = pack(with_newest_message(this->owner->self))};
            return this->carrier->send(answer);
        }
        if(this->peer.empty()) {
            return false;
        }
        if(message.type == message_type::cancel) {
            this->cancel(message.exchange_id);
            return true;
        }
        const auto id = message.exchange_id;
        auto answer = std::make_shared<connection_responder>(this->carrier, id);
        {
            const std::lock_guard lock{this->mutex};
            if(!this->exchanges.emplace(id, answer).second && id != 0u) {
                return false;
            }
        }
        asio::co_spawn(
            asio::make_strand(this->owner->context),
            [self = this->shared_from_this(), message = std::move(message), answer,
                id]() mutable -> asio::awaitable<void> {
                co_await self->owner->target.handle(self->peer, std::move(message), answer);
                const std::lock_guard lock{self->mutex};
                self->exchanges.erase(id);
            },
            core::task_end{"peer_request"});
        return true;
    }

    void cancel(std::uint64_t id) {
        std::shared_ptr<connection_responder> cancelled{};
        {
            const std::lock_guard lock{this->mutex};
            if(const auto found = this->exchanges.find(id); found != this->exchanges.end()) {
                cancelled = found->second;
            }
        }
        if(cancelled) {
            cancelled->cancel();
        }
    }

    void lost() {
        std::unordered_map<std::uint64_t, std::shared_ptr<connection_responder>> interrupted{};
        {
            const std::lock_guard lock{this->mutex};
            interrupted = this->exchanges;
        }
        for(const auto& [id, answer] : interrupted) {
            answer->cancel();
        }
    }

    std::shared_ptr<state> owner;
    std::shared_ptr<internal::link> carrier;
    std::string peer{};
    std::mutex mutex{};
    std::unordered_map<std::uint64_t, std::shared_ptr<connection_responder>> exchanges{};
};

core::result<void> peer_server::state::start() {
    const auto port = core::listen(this->acceptor, this->listen, "peers");
    if(!port) {
        return tl::make_unexpected(port.error());
    }
    this->bound_port = *port;
    core::start_service(this->acceptor.get_executor(), "peer_listener",
        [self = this->shared_from_this()] { return self->accept_connections(); });
    return {};
}

asio::awaitable<void> peer_server::state::accept_connections() {
    while(!this->closed.load()) {
        auto socket = co_await core::accept_next(this->acceptor, asio::make_strand(this->context), this->accepting);
        if(!socket || this->closed.load()) {
            co_return;
        }
        auto accepted = std::make_shared<internal::link>(*std::move(socket));
        {
            const std::lock_guard lock{this->mutex};
            // `close` may have stopped the links that it found since the check above.
            if(this->closed.load()) {
                accepted->stop();
                co_return;
            }
            std::erase_if(this->links, [](const auto& known) { return known.expired(); });
            this->links.push_back(accepted);
        }
        std::make_shared<connection>(this->shared_from_this(), std::move(accepted))->start();
    }
}

void peer_server::state::close() {
    if(this->closed.exchange(true)) {
        return;
    }
    asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
        boost::system::error_code ignored{};
        self->acceptor.close(ignored);
    });
    const std::lock_guard lock{this->mutex};
    for(const auto& known : this->links) {
        if(const auto open = known.lock(); open) {
            open->stop();
        }
    }
}

peer_server::peer_server(asio::io_context& context, peer_handler& target, core::endpoint listen, hello self)
    : shared{std::make_shared<state>(context, target, std::move(listen), std::move(self))} {}

peer_server::~peer_server() {
    this->close();
}

core::result<void> peer_server::start() {
    return this->shared->start();
}

std::uint16_t peer_server::port() const noexcept {
    return this->shared->bound_port;
}

void peer_server::close() {
    this->shared->close();
}

} // namespace lagoonsaddle::wire
