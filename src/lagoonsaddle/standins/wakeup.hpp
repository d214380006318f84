#ifndef LAGOONSADDLE_STANDINS_WAKEUP_HPP
#define LAGOONSADDLE_STANDINS_WAKEUP_HPP

#include <atomic>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/change_listener.hpp>

namespace lagoonsaddle::standins {

/**
 * @brief Event on which one coroutine waits for a change.
 *
 * The coroutine runs on the executor of the object, checks its condition and waits again without suspending in between;
 * a notification is posted to that executor, so that it cannot be lost between the check and the wait.
 */
class wakeup final : public change_listener, public std::enable_shared_from_this<wakeup> {
public:
    /**
     * @brief Constructs an event.
     * @param executor Executor of the waiting coroutine, typically a strand.
     */
    explicit wakeup(const boost::asio::any_io_executor& executor);

    /*! @brief Ends the current wait, if any. Thread-safe. */
    void notify() override;

    /**
     * @brief Waits for a notification.
     * @param timeout Longest time to wait.
     */
    boost::asio::awaitable<void> wait(core::duration timeout);

private:
    boost::asio::steady_timer timer;
    std::atomic<bool> pending{false};
};

/**
 * @brief Suspends the calling coroutine.
 * @param time Time to wait; returns at once when it is not positive.
 */
boost::asio::awaitable<void> async_sleep(core::duration time);

} // namespace lagoonsaddle::standins

#endif
