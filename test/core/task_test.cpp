#include <new>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/core/task.hpp>

namespace lagoonsaddle::core {

namespace {

boost::asio::awaitable<void> fail_first(int& runs) {
    if(++runs == 1) {
        throw std::runtime_error{"first run"};
    }
    co_return;
}

} // namespace

// Guards against a coroutine that an exception ends without a word.
TEST_CASE("start_task_exception_is_counted_and_does_not_end_the_process") {
    boost::asio::io_context context{};
    int runs{};
    const auto before = failed_tasks();
    start_task(context, "once", [&runs] { return fail_first(runs); });
    context.run();
    CHECK(runs == 1);
    CHECK(failed_tasks() == before + 1u);
}

// Guards against a loop that the process needs and that is gone after one exception.
TEST_CASE("start_service_exception_begins_again") {
    boost::asio::io_context context{};
    int runs{};
    const auto before = failed_tasks();
    start_service(context, "loop", [&runs] { return fail_first(runs); });
    context.run();
    CHECK(runs == 2);
    CHECK(failed_tasks() == before + 1u);
}

// Guards against a process that ends because memory ran out in a handler.
TEST_CASE("run_handlers_exception_of_a_handler_ends_nothing_else") {
    boost::asio::io_context context{};
    bool later{};
    const auto before = failed_tasks();
    boost::asio::post(context, [] { throw std::bad_alloc{}; });
    boost::asio::post(context, [&later] { later = true; });
    run_handlers(context);
    CHECK(later);
    CHECK(failed_tasks() == before + 1u);
}

} // namespace lagoonsaddle::core
