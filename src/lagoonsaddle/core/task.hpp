#ifndef LAGOONSADDLE_CORE_TASK_HPP
#define LAGOONSADDLE_CORE_TASK_HPP

#include <chrono>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lagoonsaddle::core {

/*! @brief Returns the number of tasks of this process that an exception has ended. Thread-safe. */
[[nodiscard]] std::uint64_t failed_tasks() noexcept;

/**
 * @brief Logs and counts a task that an exception has ended. Thread-safe.
 * @param name Name of the task.
 * @param failure The exception; nothing happens when it is null.
 */
void report_task_failure(std::string_view name, const std::exception_ptr& failure) noexcept;

/**
 * @brief Runs the handlers of a context until it is stopped or has no work left.
 *
 * An exception that leaves a handler, such as one for lack of memory, is logged and counted; it ends what the handler
 * belonged to and nothing else.
 *
 * @param context The context. Several threads may run it at once.
 */
void run_handlers(boost::asio::io_context& context);

/*! @brief Completion handler of a coroutine that nobody waits for. */
class task_end {
public:
    explicit task_end(std::string task_name) : name{std::move(task_name)} {}

    void operator()(const std::exception_ptr& failure) const {
        report_task_failure(this->name, failure);
    }

private:
    std::string name;
};

/**
 * @brief Starts a coroutine that nobody waits for. An exception that leaves it is logged and counted.
 * @param executor Executor or execution context that runs it.
 * @param name Name of the task, for the log.
 * @param task Returns the coroutine; called once.
 */
template<typename Executor, typename Task>
void start_task(Executor&& executor, std::string name, Task task) {
    boost::asio::co_spawn(std::forward<Executor>(executor), std::move(task), task_end{std::move(name)});
}

/*! @brief Delay after which a service that an exception has ended begins again. */
inline constexpr std::chrono::milliseconds service_restart_delay{1'000};

/**
 * @brief Runs a coroutine again after a delay whenever an exception ends it; returns when it returns.
 * @param name Name of the task, for the log.
 * @param task Returns the coroutine; called once for each run.
 */
template<typename Task>
boost::asio::awaitable<void> run_service(std::string name, Task task) {
    while(true) {
        std::exception_ptr failure{};
        try {
            co_await task();
        } catch(...) {
            failure = std::current_exception();
        }
        if(!failure) {
            co_return;
        }
        report_task_failure(name, failure);
        boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, service_restart_delay};
        boost::system::error_code ignored{};
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

/**
 * @brief Starts a coroutine that runs as long as the process has work for it, such as a loop. An exception that leaves
 * it is logged and counted, and the coroutine begins again after a delay.
 * @param executor Executor or execution context that runs it.
 * @param name Name of the task, for the log.
 * @param task Returns the coroutine; called once for each run.
 */
template<typename Executor, typename Task>
void start_service(Executor&& executor, std::string name, Task task) {
    auto log_name = name;
    start_task(std::forward<Executor>(executor), std::move(log_name),
        [name = std::move(name), task = std::move(task)] { return run_service(name, task); });
}

} // namespace lagoonsaddle::core

#endif
