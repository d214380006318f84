#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/rules/rate_limiter.hpp>

namespace lagoonsaddle::rules {

namespace {

using namespace std::chrono_literals;

struct rate_limiter_fixture {
    [[nodiscard]] std::optional<std::chrono::milliseconds> try_acquire(
        const rate_limit& limit, std::string_view caller = "a", double node_share = 1.0, std::string_view rule = "r") {
        return this->limiter.try_acquire(rule, limit, caller, node_share, this->clock.now());
    }

    core::manual_clock clock{};
    rate_limiter limiter{{.buckets_per_shard = 8u}};
};

} // namespace

// Guards against an unbounded burst, a wrong refill rate and a wrong retry delay.
TEST_CASE_FIXTURE(rate_limiter_fixture, "rate_limiter_empty_bucket_returns_time_of_next_token") {
    const rate_limit limit{.per_second = 2.0, .burst = 3.0};
    for(int index{}; index < 3; ++index) {
        CHECK_FALSE(this->try_acquire(limit).has_value());
    }
    CHECK(this->try_acquire(limit) == 500ms);
    this->clock.advance(499ms);
    CHECK(this->try_acquire(limit) == 1ms);
    this->clock.advance(1ms);
    CHECK_FALSE(this->try_acquire(limit).has_value());
    CHECK(this->try_acquire(limit) == 500ms);
    this->clock.advance(1h);
    for(int index{}; index < 3; ++index) {
        CHECK_FALSE(this->try_acquire(limit).has_value());
    }
    CHECK(this->try_acquire(limit).has_value());
}

// Guards against callers or rules that consume each other's tokens.
TEST_CASE_FIXTURE(rate_limiter_fixture, "rate_limiter_bucket_belongs_to_rule_and_optionally_caller") {
    const rate_limit shared{.per_second = 1.0, .burst = 1.0};
    CHECK_FALSE(this->try_acquire(shared, "a").has_value());
    CHECK(this->try_acquire(shared, "b").has_value());
    CHECK_FALSE(this->try_acquire(shared, "b", 1.0, "other").has_value());
    const rate_limit separate{.per_second = 1.0, .burst = 1.0, .per_caller = true};
    CHECK_FALSE(this->try_acquire(separate, "a").has_value());
    CHECK_FALSE(this->try_acquire(separate, "b").has_value());
    CHECK(this->try_acquire(separate, "b").has_value());
}

// Guards against granting the whole limit once per node, and against a node share that never admits a request.
TEST_CASE_FIXTURE(rate_limiter_fixture, "rate_limiter_share_divides_rate_and_burst") {
    const rate_limit limit{.per_second = 8.0, .burst = 8.0};
    CHECK_FALSE(this->try_acquire(limit, "a", 0.25).has_value());
    CHECK_FALSE(this->try_acquire(limit, "a", 0.25).has_value());
    CHECK(this->try_acquire(limit, "a", 0.25) == 500ms);
    CHECK_FALSE(this->try_acquire(limit, "a", 0.0, "zero").has_value());
    CHECK(this->try_acquire(limit, "a", 0.0, "zero") == 24h);
}

// Guards against a client that exhausts memory by sending a new caller name with each request.
TEST_CASE_FIXTURE(rate_limiter_fixture, "rate_limiter_many_callers_bucket_count_is_bounded") {
    const rate_limit limit{.per_second = 1.0, .burst = 2.0, .per_caller = true};
    for(int index{}; index < 5'000; ++index) {
        static_cast<void>(this->try_acquire(limit, std::to_string(index)));
        this->clock.advance(1ms);
    }
    CHECK(this->limiter.bucket_count() <= 16u * 8u);
}

} // namespace lagoonsaddle::rules
