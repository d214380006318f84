#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

wakeup::wakeup(const asio::any_io_executor& executor) : timer{executor} {}

void wakeup::notify() {
    if(!this->pending.exchange(true)) {
        asio::post(this->timer.get_executor(), [self = this->shared_from_this()] {
            self->pending = false;
            self->timer.cancel();
        });
    }
}

asio::awaitable<void> wakeup::wait(core::duration timeout) {
    boost::system::error_code ignored{};
    this->timer.expires_after(timeout);
    co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> async_sleep(core::duration time) {
    if(time > core::duration::zero()) {
        boost::system::error_code ignored{};
        asio::steady_timer timer{co_await asio::this_coro::executor, time};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace lagoonsaddle::standins
