#include <atomic>
#include <cstdio>
#include <iostream>

#include <lagoonsaddle/core/task.hpp>

namespace lagoonsaddle::core {

namespace {

std::atomic<std::uint64_t> failure_count{0u};

[[nodiscard]] std::string message_of(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch(const std::exception& exception) {
        return exception.what();
    } catch(...) {
        return "an exception of unknown type";
    }
}

} // namespace

std::uint64_t failed_tasks() noexcept {
    return failure_count.load(std::memory_order_relaxed);
}

void report_task_failure(std::string_view name, const std::exception_ptr& failure) noexcept {
    if(!failure) {
        return;
    }
    failure_count.fetch_add(1u, std::memory_order_relaxed);
    try {
        std::string line{"event=task_failed task="};
        line.append(name).append(" message=\"").append(message_of(failure)).append("\"\n");
        std::clog << line << std::flush;
    } catch(const std::exception&) {
        // Without memory for the line, this one needs none.
        std::fputs("event=task_failed message=\"no memory for the log line\"\n", stderr);
    }
}

void run_handlers(boost::asio::io_context& context) {
    while(true) {
        try {
            context.run();
            return;
        } catch(...) {
            report_task_failure("handler", std::current_exception());
        }
    }
}

} // namespace lagoonsaddle::core
