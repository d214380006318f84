#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/standins/restartable_server.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds bind_retry_delay{20};

} // namespace

restartable_server::restartable_server(asio::io_context& io, http::handler& receiver, http::server_options values)
    : context{io}, target{receiver}, options{std::move(values)} {}

core::result<void> restartable_server::start() {
    const std::lock_guard lock{this->mutex};
    if(this->closed || this->active_server != nullptr) {
        return {};
    }
    auto next = std::make_unique<http::server>(this->context, this->target, this->options);
    auto started = next->start();
    if(started) {
        this->options.listen.port = next->port();
        this->active_server = std::move(next);
    }
    return started;
}

std::uint16_t restartable_server::port() const {
    const std::lock_guard lock{this->mutex};
    return this->options.listen.port;
}

void restartable_server::restart(core::duration time) {
    {
        const std::lock_guard lock{this->mutex};
        this->active_server.reset();
    }
    asio::co_spawn(
        this->context,
        [self = this->shared_from_this(), time]() -> asio::awaitable<void> { co_await self->listen_again(time); },
        core::task_end{"server_restart"});
}

void restartable_server::close() {
    const std::lock_guard lock{this->mutex};
    this->closed = true;
    this->active_server.reset();
}

asio::awaitable<void> restartable_server::listen_again(core::duration time) {
    co_await async_sleep(time);
    // Retries because the old listener may still be closing, or its port may be in use by an outgoing connection.
    while(!this->start()) {
        co_await async_sleep(bind_retry_delay);
    }
}

} // namespace lagoonsaddle::standins
