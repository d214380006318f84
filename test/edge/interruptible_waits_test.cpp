#include <chrono>
#include <exception>
#include <optional>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/edge/interruptible_waits.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace {

namespace asio = boost::asio;

/*! @brief A wait for an operation that ends when the test says so. */
struct interruptible_waits_fixture {
    [[nodiscard]] asio::awaitable<int> operate() {
        co_await wait_for(this->operation);
        if(this->fails) {
            throw std::runtime_error{"the operation has failed"};
        }
        co_return 7;
    }

    void start() {
        asio::co_spawn(this->context,
            this->waits.wait<int>(
                this->operate(), [this] { return this->has_to_end; }, [this](int late) { this->released = late; }),
            [this](const std::exception_ptr& error, std::optional<int> value) {
                this->ended = true;
                this->failure = error;
                this->result = value;
            });
        this->context.poll();
    }

    void end_operation() {
        this->operation.cancel();
        this->context.poll();
    }

    asio::io_context context{1};
    asio::steady_timer operation{this->context, std::chrono::hours{1}};
    interruptible_waits waits{};
    bool has_to_end{false};
    bool fails{false};
    bool ended{false};
    std::exception_ptr failure{};
    std::optional<int> result{};
    std::optional<int> released{};
};

} // namespace

// Guards against an operation whose result is lost, or given up although it has ended.
TEST_CASE_FIXTURE(interruptible_waits_fixture, "wait_operation_that_ends_gives_its_result") {
    this->has_to_end = true;
    this->start();
    CHECK_FALSE(this->ended);
    this->end_operation();
    this->waits.begin_interruptions();
    this->context.poll();
    CHECK(this->result == 7);
    CHECK_FALSE(this->released.has_value());
}

// Guards against a wait that goes on when it has to end, and against a result that nobody releases.
TEST_CASE_FIXTURE(interruptible_waits_fixture, "wait_interrupted_releases_late_result") {
    this->start();
    this->has_to_end = true;
    this->waits.begin_interruptions();
    this->context.poll();
    CHECK(this->ended);
    CHECK_FALSE(this->result.has_value());
    this->end_operation();
    CHECK(this->released == 7);
}

// Guards against a wait that is not looked at again when it does not have to end at once.
TEST_CASE_FIXTURE(interruptible_waits_fixture, "wait_that_has_to_end_later_is_interrupted_then") {
    this->start();
    this->waits.begin_interruptions();
    this->context.poll();
    CHECK_FALSE(this->ended);
    this->has_to_end = true;
    while(!this->ended) {
        this->context.run_one();
    }
    CHECK_FALSE(this->result.has_value());
}

// Guards against a failure that its caller does not see, and against one that ends the process after its wait.
TEST_CASE_FIXTURE(interruptible_waits_fixture, "wait_failed_operation_throws_only_into_its_wait") {
    this->fails = true;
    SUBCASE("in time") {
        this->start();
        this->end_operation();
        CHECK(this->failure != nullptr);
    }
    SUBCASE("late") {
        this->start();
        this->has_to_end = true;
        this->waits.begin_interruptions();
        this->context.poll();
        this->end_operation();
        CHECK(this->ended);
        CHECK(this->failure == nullptr);
    }
    CHECK_FALSE(this->released.has_value());
}

} // namespace lagoonsaddle::edge
