#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/core/tcp_listener.hpp>
#include <lagoonsaddle/standins/fault_proxy.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_size{64u * 1024u};
constexpr std::size_t queue_limit_bytes{4u * 1024u * 1024u};
constexpr std::chrono::milliseconds fault_poll_interval{5};
constexpr std::chrono::milliseconds accept_retry_delay{20};
constexpr std::chrono::seconds queue_poll_interval{5};

[[nodiscard]] tcp::endpoint tcp_endpoint(const core::endpoint& value, boost::system::error_code& failure) {
    return tcp::endpoint{asio::ip::make_address(value.address, failure), value.port};
}

} // namespace

/*! @brief One forwarded connection. Reads and writes each direction in separate coroutines, so that a delay does not
 * limit the throughput. */
class fault_proxy::connection final : public std::enable_shared_from_this<fault_proxy::connection> {
public:
    connection(fault_proxy& proxy, tcp::socket accepted)
        : owner{proxy},
          caller{std::move(accepted)},
          target{this->caller.get_executor()},
          request_direction{this->caller, this->target, "half_open", proxy.traffic.to_target},
          response_direction{this->target, this->caller, "drop_answers", proxy.traffic.to_caller} {}

    void start() {
        asio::co_spawn(
            this->caller.get_executor(),
            [self = this->shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); },
            core::task_end{"proxy_connection"});
    }

    void close() {
        asio::post(this->caller.get_executor(), [self = this->shared_from_this()] { self->close_sockets(); });
    }

private:
    using clock_type = std::chrono::steady_clock;

    struct chunk {
        std::string data{};
        clock_type::time_point arrival{};
    };

    struct stream_direction {
        stream_direction(
            tcp::socket& source, tcp::socket& sink, std::string_view fault, std::atomic<std::uint64_t>& total)
            : from{source},
              to{sink},
              discard_fault{fault},
              forwarded{total},
              data_available{std::make_shared<wakeup>(source.get_executor())},
              space_available{std::make_shared<wakeup>(source.get_executor())} {}

        tcp::socket& from;
        tcp::socket& to;
        std::string_view discard_fault;
        std::atomic<std::uint64_t>& forwarded;
        std::shared_ptr<wakeup> data_available;
        std::shared_ptr<wakeup> space_available;
        std::deque<chunk> queue{};
        std::size_t queued_bytes{};
        bool source_closed{false};
    };

    asio::awaitable<void> run() {
        boost::system::error_code failure{};
        const auto destination = tcp_endpoint(this->owner.target, failure);
        co_await this->target.async_connect(destination, asio::redirect_error(asio::use_awaitable, failure));
        if(failure) {
            this->close_sockets();
            co_return;
        }
        this->caller.set_option(tcp::no_delay{true}, failure);
        this->target.set_option(tcp::no_delay{true}, failure);
        for(auto* direction : {&this->request_direction, &this->response_direction}) {
            asio::co_spawn(
                this->caller.get_executor(),
                [self = this->shared_from_this(), direction]() -> asio::awaitable<void> {
                    co_await self->read_all(*direction);
                },
                core::task_end{"proxy_transfer"});
            asio::co_spawn(
                this->caller.get_executor(),
                [self = this->shared_from_this(), direction]() -> asio::awaitable<void> {
                    co_await self->write_all(*direction);
                },
                core::task_end{"proxy_transfer"});
        }
    }

    asio::awaitable<void> read_all(stream_direction& direction) {
        std::string buffer(read_size, '\0');
        while(true) {
            boost::system::error_code failure{};
            const auto count = co_await direction.from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
            if(failure) {
                break;
            }
            if(this->owner.faults.flag(direction.discard_fault)) {
                this->owner.traffic.discarded += count;
                continue;
            }
            direction.queue.push_back(chunk{.data = buffer.substr(0u, count), .arrival = clock_type::now()});
            direction.queued_bytes += count;
            direction.data_available->notify();
            while(direction.queued_bytes > queue_limit_bytes && !this->closed) {
                co_await direction.space_available->wait(queue_poll_interval);
            }
        }
        direction.source_closed = true;
        direction.data_available->notify();
    }

    asio::awaitable<void> write_all(stream_direction& direction) {
        while(!this->closed) {
            if(direction.queue.empty()) {
                if(direction.source_closed) {
                    break;
                }
                co_await direction.data_available->wait(queue_poll_interval);
                continue;
            }
            const auto due = direction.queue.front().arrival + this->owner.faults.milliseconds("delay_ms");
            co_await async_sleep(due - clock_type::now());
            co_await this->wait_while_frozen();
            auto next = std::move(direction.queue.front());
            direction.queue.pop_front();
            boost::system::error_code failure{};
            co_await asio::async_write(
                direction.to, asio::buffer(next.data), asio::redirect_error(asio::use_awaitable, failure));
            if(failure) {
                this->close_sockets();
                co_return;
            }
            direction.forwarded += next.data.size();
            direction.queued_bytes -= next.data.size();
            direction.space_available->notify();
        }
        // A frozen proxy does not forward the end of the stream either.
        co_await this->wait_while_frozen();
        boost::system::error_code ignored{};
        direction.to.shutdown(tcp::socket::shutdown_send, ignored);
        if(++this->directions_ended == 2u) {
            this->close_sockets();
        }
    }

    asio::awaitable<void> wait_while_frozen() {
        while(this->owner.faults.flag("freeze") && !this->closed) {
            co_await async_sleep(fault_poll_interval);
        }
    }

    void close_sockets() {
        this->closed = true;
        boost::system::error_code ignored{};
        this->caller.close(ignored);
        this->target.close(ignored);
        for(auto* direction : {&this->request_direction, &this->response_direction}) {
            direction->data_available->notify();
            direction->space_available->notify();
        }
    }

    fault_proxy& owner;
    tcp::socket caller;
    tcp::socket target;
    stream_direction request_direction;
    stream_direction response_direction;
    unsigned directions_ended{};
    bool closed{false};
};

fault_proxy::fault_proxy(asio::io_context& io, core::endpoint listen, core::endpoint destination)
    : standin_handler{nlohmann::json{
          {"cut", false}, {"freeze", false}, {"delay_ms", 0}, {"drop_answers", false}, {"half_open", false}}},
      context{io},
      address{std::move(listen)},
      target{std::move(destination)} {}

core::result<void> fault_proxy::start() {
    const std::lock_guard lock{this->mutex};
    const auto listener = std::make_shared<tcp::acceptor>(asio::make_strand(this->context));
    const auto port = core::listen(*listener, this->address);
    if(!port) {
        return tl::make_unexpected(port.error());
    }
    this->address.port = *port;
    this->acceptor = listener;
    asio::co_spawn(listener->get_executor(), this->accept(listener), core::task_end{"proxy_listener"});
    return {};
}

std::uint16_t fault_proxy::port() const {
    const std::lock_guard lock{this->mutex};
    return this->address.port;
}

void fault_proxy::close() {
    const std::lock_guard lock{this->mutex};
    if(const auto listener = std::exchange(this->acceptor, nullptr); listener != nullptr) {
        asio::post(listener->get_executor(), [listener] {
            boost::system::error_code ignored{};
            listener->close(ignored);
        });
    }
    for(const auto& weak : this->connections) {
        if(const auto open = weak.lock(); open) {
            open->close();
        }
    }
    this->connections.clear();
}

asio::awaitable<void> fault_proxy::serve(http::request& message, const http::target_parts& /*parts*/,
    core::duration /*hang_duration*/, http::response_writer& writer) {
    auto response = http::error_response(
        core::error{.cause = core::reason::not_found, .message = "unknown call " + message.target});
    co_await send_response(writer, std::move(response));
}

nlohmann::json fault_proxy::counters() const {
    nlohmann::json values = nlohmann::json::object();
    values["connections"] = this->traffic.connections.load();
    values["bytes_to_target"] = this->traffic.to_target.load();
    values["bytes_to_caller"] = this->traffic.to_caller.load();
    values["bytes_discarded"] = this->traffic.discarded.load();
    return values;
}

void fault_proxy::faults_changed() {
    const bool cut = this->faults.flag("cut");
    bool listening{false};
    {
        const std::lock_guard lock{this->mutex};
        listening = this->acceptor != nullptr;
    }
    if(cut) {
        this->close();
    } else if(!listening) {
        asio::co_spawn(asio::make_strand(this->context), this->listen_again(), core::task_end{"proxy_restart"});
    }
}

asio::awaitable<void> fault_proxy::accept(acceptor_ptr listener) {
    while(true) {
        boost::system::error_code failure{};
        tcp::socket socket{asio::make_strand(this->context)};
        co_await listener->async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if(!listener->is_open()) {
            co_return;
        }
        if(failure) {
            co_await async_sleep(accept_retry_delay);
            continue;
        }
        ++this->traffic.connections;
        const auto accepted = std::make_shared<connection>(*this, std::move(socket));
        {
            const std::lock_guard lock{this->mutex};
            std::erase_if(this->connections, [](const std::weak_ptr<connection>& weak) { return weak.expired(); });
            this->connections.push_back(accepted);
        }
        accepted->start();
    }
}

// Retries because the old listener may still be closing.
asio::awaitable<void> fault_proxy::listen_again() {
    while(!this->faults.flag("cut") && !this->start()) {
        co_await async_sleep(accept_retry_delay);
    }
}

} // namespace lagoonsaddle::standins
