#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/edge/store_backoff.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

struct store_backoff_fixture {
    /*! @brief Runs a watcher whose calls all fail. */
    void run_failing_watcher(record_kind kind) {
        asio::co_spawn(
            this->context,
            [this, kind]() -> asio::awaitable<void> {
                while(true) {
                    this->calls.push_back(kind);
                    co_await this->backoff.wait_after_failure(kind);
                }
            },
            asio::detached);
    }

    [[nodiscard]] std::ptrdiff_t calls_of(record_kind kind) const {
        return std::ranges::count(this->calls, kind);
    }

    asio::io_context context{};
    store_backoff backoff{
        this->context, store_backoff_options{.delay_min = 5ms, .delay_max = 20ms, .probe_wait_max = 60s}};
    std::vector<record_kind> calls{};
};

} // namespace

// Guards against calls by all watchers of all nodes during an outage, which the store bills although it refuses them.
TEST_CASE_FIXTURE(store_backoff_fixture, "wait_after_failure_several_watchers_one_retries") {
    this->run_failing_watcher(record_kind::leases);
    this->run_failing_watcher(record_kind::upstreams);
    this->run_failing_watcher(record_kind::versions);
    this->context.run_for(200ms);
    CHECK(this->calls_of(record_kind::leases) > 3);
    CHECK(this->calls_of(record_kind::upstreams) == 1);
    CHECK(this->calls_of(record_kind::versions) == 1);
}

// Guards against watchers that notice the end of an outage only when their own delay ends.
TEST_CASE_FIXTURE(store_backoff_fixture, "record_success_wakes_waiting_watchers") {
    this->run_failing_watcher(record_kind::leases);
    this->run_failing_watcher(record_kind::upstreams);
    this->context.run_for(50ms);
    this->backoff.record_success();
    this->context.run_for(20ms);
    CHECK(this->calls_of(record_kind::upstreams) >= 2);
}

// Guards against watchers that wait forever for a probing watcher whose call hangs.
TEST_CASE_FIXTURE(store_backoff_fixture, "wait_after_failure_probing_watcher_hangs_others_retry") {
    store_backoff backoff_with_short_wait{
        this->context, store_backoff_options{.delay_min = 5ms, .probe_wait_max = 30ms}};
    int retries{};
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> { co_await backoff_with_short_wait.wait_after_failure(record_kind::leases); },
        asio::detached);
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> {
            co_await backoff_with_short_wait.wait_after_failure(record_kind::upstreams);
            ++retries;
        },
        asio::detached);
    this->context.run_for(200ms);
    CHECK(retries == 1);
}

// Guards against nodes that all repeat their calls at the same time because they lost the store together.
TEST_CASE_FIXTURE(store_backoff_fixture, "draw_delay_other_seed_returns_other_delays_between_half_and_longest") {
    store_backoff first{this->context, store_backoff_options{.delay_min = 400ms, .seed = 1u}};
    store_backoff second{this->context, store_backoff_options{.delay_min = 400ms, .seed = 1'000u}};
    std::vector<std::chrono::milliseconds> delays_of_first{};
    std::vector<std::chrono::milliseconds> delays_of_second{};
    for(int draw{}; draw < 20; ++draw) {
        delays_of_first.push_back(first.draw_delay());
        delays_of_second.push_back(second.draw_delay());
        CHECK(delays_of_first.back() >= 200ms);
        CHECK(delays_of_first.back() <= 400ms);
    }
    CHECK(delays_of_first != delays_of_second);
}

// Guards against a delay that grows without bound or is not reset by a success.
TEST_CASE_FIXTURE(store_backoff_fixture, "next_delay_max_grows_to_limit_and_is_reset") {
    CHECK(this->backoff.next_delay_max() == 5ms);
    this->run_failing_watcher(record_kind::leases);
    this->context.run_for(150ms);
    CHECK(this->backoff.next_delay_max() == 20ms);
    this->backoff.record_success();
    CHECK(this->backoff.next_delay_max() == 5ms);
}

} // namespace lagoonsaddle::edge
