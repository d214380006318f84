#include <algorithm>

#include <lagoonsaddle/policy/retry_policy.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Returns whether another attempt can succeed. */
[[nodiscard]] bool is_retryable(core::reason cause) noexcept {
    switch(cause) {
    case core::reason::rate_limited:
    case core::reason::overloaded:
    case core::reason::unavailable:
    case core::reason::connection_refused:
    case core::reason::connection_lost:
    case core::reason::timeout:
    case core::reason::protocol_error:
    case core::reason::adapter_not_resident:
    case core::reason::adapter_load_failed:
    case core::reason::stale_fencing_token:
    case core::reason::lease_expired:
    case core::reason::draining:
    case core::reason::internal:
        return true;
    case core::reason::invalid_argument:
    case core::reason::not_found:
    case core::reason::unauthorized:
    case core::reason::conflict:
    case core::reason::payload_too_large:
    case core::reason::deadline_exceeded:
    case core::reason::cancelled:
    case core::reason::quarantined:
    case core::reason::key_reused:
    case core::reason::in_progress:
    case core::reason::outcome_unknown:
    case core::reason::refused_by_rule:
        return false;
    }
    return false;
}

} // namespace

retry_policy::retry_policy(retry_policy_options options, std::uint64_t seed)
    : options{options}, random{seed}, budget_tokens{options.budget_max} {}

void retry_policy::record_success() noexcept {
    this->budget_tokens = std::min(this->options.budget_max, this->budget_tokens + this->options.budget_per_success);
}

retry_decision retry_policy::decide(const failed_attempt& attempt, core::time_point now) {
    if(!is_retryable(attempt.cause)) {
        return {.outcome = retry_outcome::not_retryable};
    }
    if(attempt.verdict != core::verdict::not_run && !attempt.idempotent) {
        return {.outcome = retry_outcome::unsafe};
    }
    if(attempt.delivered_bytes > 0u) {
        return {.outcome = retry_outcome::response_started};
    }
    if(attempt.attempts >= this->options.attempts_max) {
        return {.outcome = retry_outcome::attempts_exhausted};
    }

    auto backoff_limit = this->options.backoff_min;
    for(std::size_t attempt_count{1u}; attempt_count < attempt.attempts && backoff_limit < this->options.backoff_max;
        ++attempt_count) {
        backoff_limit *= 2;
    }
    backoff_limit = std::min(backoff_limit, this->options.backoff_max);
    std::uniform_int_distribution<core::duration::rep> jitter{0, backoff_limit.count()};
    const auto delay = core::duration{jitter(this->random)} +
                       core::duration{attempt.retry_after.value_or(std::chrono::milliseconds{})};
    if(now + delay >= attempt.deadline) {
        return {.outcome = retry_outcome::past_deadline};
    }
    if(this->budget_tokens < 1.) {
        return {.outcome = retry_outcome::budget_exhausted};
    }
    this->budget_tokens -= 1.;
    return {.outcome = retry_outcome::retry, .delay = delay};
}

double retry_policy::remaining_budget() const noexcept {
    return this->budget_tokens;
}

} // namespace lagoonsaddle::policy
