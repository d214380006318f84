#include <iostream>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/accept_loop.hpp>

namespace lagoonsaddle::core {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

void accept_status::record_failure(time_point now, std::string_view message) {
    this->failing.store(true, std::memory_order_relaxed);
    if(this->logged_at && now - *this->logged_at < log_interval) {
        return;
    }
    this->logged_at = now;
    std::string line{"event=accept_failed listener="};
    line.append(this->name).append(" message=\"").append(message).append("\"\n");
    std::clog << line << std::flush;
}

void accept_status::record_success() noexcept {
    this->failing.store(false, std::memory_order_relaxed);
}

asio::awaitable<std::optional<tcp::socket>> accept_next(
    tcp::acceptor& acceptor, asio::any_io_executor executor, accept_status& status) {
    const boot_clock clock{};
    while(acceptor.is_open()) {
        boost::system::error_code failure{};
        tcp::socket socket{executor};
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if(!failure) {
            status.record_success();
            co_return std::optional{std::move(socket)};
        }
        if(failure == asio::error::operation_aborted) {
            break;
        }
        status.record_failure(clock.now(), failure.message());
        asio::steady_timer timer{co_await asio::this_coro::executor, accept_retry_delay};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return std::nullopt;
}

} // namespace lagoonsaddle::core
