#include <chrono>

#include <lagoonsaddle/edge/interruptible_waits.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Interval at which waits that may end early are checked. */
constexpr std::chrono::milliseconds check_interval{50};
/*! @brief Expiry of a timer that serves as a condition variable. */
constexpr std::chrono::hours change_timer_expiry{24 * 365};

} // namespace

void interruptible_waits::begin_interruptions() {
    this->interruptions = true;
    for(auto* wait : this->waiting) {
        wait->changed.cancel();
    }
}

asio::awaitable<void> interruptible_waits::wait_until_done(pending_wait& wait, const condition& has_to_end) {
    this->waiting.insert(&wait);
    while(!wait.done && !(this->interruptions && has_to_end())) {
        wait.changed.expires_after(
            this->interruptions ? core::duration{check_interval} : core::duration{change_timer_expiry});
        co_await wait_for(wait.changed);
    }
    wait.interrupted = !wait.done;
    this->waiting.erase(&wait);
}

} // namespace lagoonsaddle::edge
