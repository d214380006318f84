#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

asio::awaitable<void> sleep_for(core::duration duration) {
    asio::steady_timer timer{co_await asio::this_coro::executor, duration};
    co_await wait_for(timer);
}

asio::awaitable<void> wait_for(asio::steady_timer& timer) {
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace lagoonsaddle::edge
