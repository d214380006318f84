#ifndef LAGOONSADDLE_EDGE_INTERRUPTIBLE_WAITS_HPP
#define LAGOONSADDLE_EDGE_INTERRUPTIBLE_WAITS_HPP

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/core/task.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Waits for operations that cannot be cancelled, and ends these waits early once that is allowed.
 *
 * Must only be used from one thread.
 */
class interruptible_waits {
public:
    /*! @brief Returns whether a wait has to end now. */
    using condition = std::function<bool()>;

    /**
     * @brief Waits for an operation, or until its wait has to end.
     * @param operation The operation, which goes on by itself when its wait ends early; it must own what it uses then.
     * @param has_to_end Asked at short intervals once `begin_interruptions` has been called.
     * @param release Receives the result of an operation whose wait has ended early; may be empty.
     * @return The result, or nothing when the wait has ended early.
     */
    template<typename Type>
    [[nodiscard]] boost::asio::awaitable<std::optional<Type>> wait(
        boost::asio::awaitable<Type> operation, condition has_to_end, std::function<void(Type)> release = {});

    /*! @brief Allows waits to end early, from now on. */
    void begin_interruptions();

private:
    struct pending_wait {
        explicit pending_wait(const boost::asio::any_io_executor& executor) : changed{executor} {}

        boost::asio::steady_timer changed;
        bool done{false};
        bool interrupted{false};
    };

    template<typename Type>
    struct pending_result : pending_wait {
        using pending_wait::pending_wait;

        std::optional<Type> value{};
        std::exception_ptr failure{};
    };

    [[nodiscard]] boost::asio::awaitable<void> wait_until_done(pending_wait& wait, const condition& has_to_end);

    std::set<pending_wait*> waiting{};
    bool interruptions{false};
};

template<typename Type>
boost::asio::awaitable<std::optional<Type>> interruptible_waits::wait(
    boost::asio::awaitable<Type> operation, condition has_to_end, std::function<void(Type)> release) {
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto pending = std::make_shared<pending_result<Type>>(executor);
    auto finish = [pending, release = std::move(release)](const std::exception_ptr& failure, Type value) {
        if(pending->interrupted) {
            core::report_task_failure("interrupted_wait", failure);
            if(!failure && release) {
                release(std::move(value));
            }
            return;
        }
        pending->done = true;
        pending->failure = failure;
        if(!failure) {
            pending->value = std::move(value);
        }
        pending->changed.cancel();
    };
    boost::asio::co_spawn(executor, std::move(operation), std::move(finish));
    co_await this->wait_until_done(*pending, has_to_end);
    if(pending->failure) {
        std::rethrow_exception(pending->failure);
    }
    co_return std::move(pending->value);
}

} // namespace lagoonsaddle::edge

#endif
