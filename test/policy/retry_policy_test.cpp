#include <algorithm>
#include <chrono>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/retry_policy.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;

struct retry_policy_fixture {
    core::time_point now{};
    failed_attempt attempt{.verdict = core::verdict::not_run,
        .cause = core::reason::connection_refused,
        .deadline = core::time_point{60s}};
    retry_policy policy{
        {.budget_per_success = 0.25, .budget_max = 3., .attempts_max = 10u, .backoff_min = 20ms, .backoff_max = 100ms}};
};

} // namespace

// Guards against a second execution of a non-idempotent request (invariant I5), a response that starts twice, and
// retries that cannot succeed.
TEST_CASE_FIXTURE(retry_policy_fixture, "decide_table_of_attempts_returns_outcome") {
    struct row {
        core::verdict verdict;
        core::reason cause;
        bool idempotent;
        std::size_t delivered_bytes;
        std::size_t attempts;
        retry_outcome outcome;
    };

    using core::reason;
    using core::verdict;
    const std::vector<row> rows{
        {verdict::not_run, reason::connection_refused, true, 0u, 1u, retry_outcome::retry},
        {verdict::not_run, reason::overloaded, false, 0u, 1u, retry_outcome::retry},
        {verdict::may_have_run, reason::connection_lost, true, 0u, 1u, retry_outcome::retry},
        {verdict::may_have_run, reason::connection_lost, false, 0u, 1u, retry_outcome::unsafe},
        {verdict::ran, reason::internal, false, 0u, 1u, retry_outcome::unsafe},
        {verdict::may_have_run, reason::connection_lost, true, 1u, 1u, retry_outcome::response_started},
        {verdict::not_run, reason::overloaded, true, 0u, 10u, retry_outcome::attempts_exhausted},
        {verdict::not_run, reason::quarantined, true, 0u, 1u, retry_outcome::not_retryable},
        {verdict::not_run, reason::invalid_argument, true, 0u, 1u, retry_outcome::not_retryable},
    };
    for(const auto& [verdict, cause, idempotent, delivered_bytes, attempts, outcome] : rows) {
        CAPTURE(static_cast<int>(outcome));
        retry_policy full_budget{{.budget_max = 3., .attempts_max = 10u}};
        const auto decision = full_budget.decide({.verdict = verdict,
                                                     .cause = cause,
                                                     .idempotent = idempotent,
                                                     .delivered_bytes = delivered_bytes,
                                                     .attempts = attempts,
                                                     .deadline = core::time_point{60s}},
            this->now);
        CHECK(decision.outcome == outcome);
        CHECK(full_budget.remaining_budget() == doctest::Approx(outcome == retry_outcome::retry ? 2. : 3.));
    }
}

// Guards against a retry storm that outlasts the failure that started it.
TEST_CASE_FIXTURE(retry_policy_fixture, "decide_budget_spent_waits_for_successes") {
    for(int count{}; count < 3; ++count) {
        CHECK(this->policy.decide(this->attempt, this->now).should_retry());
    }
    CHECK(this->policy.decide(this->attempt, this->now).outcome == retry_outcome::budget_exhausted);
    for(int count{}; count < 4; ++count) {
        CHECK_FALSE(this->policy.decide(this->attempt, this->now).should_retry());
        this->policy.record_success();
    }
    CHECK(this->policy.decide(this->attempt, this->now).should_retry());
    for(int count{}; count < 100; ++count) {
        this->policy.record_success();
    }
    CHECK(this->policy.remaining_budget() == doctest::Approx(3.));
}

// Guards against synchronised retries, a backoff without growth or limit, and an ignored `retry_after`.
TEST_CASE_FIXTURE(retry_policy_fixture, "decide_attempts_grow_backoff_with_full_jitter") {
    for(const auto& [attempts, limit] : std::vector<std::pair<std::size_t, core::duration>>{
            {1u, 20ms}, {2u, 40ms}, {3u, 80ms}, {4u, 100ms}, {9u, 100ms}}) {
        this->attempt.attempts = attempts;
        core::duration shortest{1h};
        core::duration longest{};
        for(int count{}; count < 200; ++count) {
            for(int success{}; success < 4; ++success) {
                this->policy.record_success();
            }
            const auto delay = this->policy.decide(this->attempt, this->now).delay;
            shortest = std::min(shortest, delay);
            longest = std::max(longest, delay);
        }
        CAPTURE(attempts);
        CHECK(longest <= limit);
        CHECK(longest > limit * 9 / 10);
        CHECK(shortest < limit / 10);
    }
    this->attempt.retry_after = 5s;
    CHECK(this->policy.decide(this->attempt, this->now).delay >= 5s);
}

// Guards against a retry after the deadline, and a rejected retry that is taken from the budget.
TEST_CASE_FIXTURE(retry_policy_fixture, "decide_delay_past_deadline_takes_no_budget") {
    this->attempt.retry_after = 5s;
    this->attempt.deadline = core::time_point{5s};
    CHECK(this->policy.decide(this->attempt, this->now).outcome == retry_outcome::past_deadline);
    CHECK(this->policy.remaining_budget() == doctest::Approx(3.));
}

// Guards against sequences of attempts in which retries exceed the budget or an unsafe request is retried.
TEST_CASE("retry_policy_random_attempts_stay_within_budget") {
    for_each_seed([](random_source& random) -> std::string {
        retry_policy policy{{.budget_per_success = 0.1, .budget_max = 5.}, 1u + random.below(1'000u)};
        std::size_t successes{};
        std::size_t retries{};
        core::time_point now{};
        for(int step{}; step < 200; ++step) {
            now += 1ms;
            if(random.below(3u) == 0u) {
                policy.record_success();
                ++successes;
                continue;
            }
            const failed_attempt attempt{.verdict = static_cast<core::verdict>(random.below(3u)),
                .cause = static_cast<core::reason>(random.below(core::reason_count)),
                .idempotent = random.below(2u) == 0u,
                .delivered_bytes = random.below(2u),
                .attempts = 1u + random.below(5u),
                .deadline = now + std::chrono::milliseconds{random.below(100u)}};
            const auto decision = policy.decide(attempt, now);
            if(!decision.should_retry()) {
                continue;
            }
            ++retries;
            if(attempt.delivered_bytes > 0u || (!attempt.idempotent && attempt.verdict != core::verdict::not_run)) {
                return "unsafe retry";
            }
            if(now + decision.delay >= attempt.deadline) {
                return "retry past the deadline";
            }
        }
        return static_cast<double>(retries) <= 5. + 0.1 * static_cast<double>(successes) + 1e-6
                   ? ""
                   : "more retries than the budget allows";
    });
}

} // namespace lagoonsaddle::policy
