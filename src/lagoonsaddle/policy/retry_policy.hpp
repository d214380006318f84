#ifndef LAGOONSADDLE_POLICY_RETRY_POLICY_HPP
#define LAGOONSADDLE_POLICY_RETRY_POLICY_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::policy {

/*! @brief Options of `retry_policy`. */
struct retry_policy_options {
    /*! @brief Retries added to the budget by each success. */
    double budget_per_success{0.1};
    /*! @brief Largest budget, which is also the initial one. */
    double budget_max{10.};
    std::size_t attempts_max{4u};
    /*! @brief Upper limit of the first backoff; doubles with each attempt. */
    core::duration backoff_min{std::chrono::milliseconds{20}};
    core::duration backoff_max{std::chrono::seconds{2}};
};

/*! @brief State of a request after a failed attempt. */
struct failed_attempt {
    core::verdict verdict{core::verdict::may_have_run};
    core::reason cause{core::reason::internal};
    bool idempotent{true};
    /*! @brief Response bytes already sent to the caller. */
    std::size_t delivered_bytes{};
    /*! @brief Attempts so far, including the failed one. */
    std::size_t attempts{1u};
    core::time_point deadline{};
    /*! @brief Minimum delay requested by the upstream. */
    std::optional<std::chrono::milliseconds> retry_after{};
};

/*! @brief Whether a request is retried, or why it is not. In the order in which the conditions are checked. */
enum class retry_outcome {
    retry,
    /*! @brief The failure is final, such as an invalid request. */
    not_retryable,
    /*! @brief The request may have run and is not idempotent. */
    unsafe,
    /*! @brief A part of the response was already sent to the caller. */
    response_started,
    attempts_exhausted,
    past_deadline,
    budget_exhausted
};

/*! @brief Result of `retry_policy::decide`. */
struct retry_decision {
    retry_outcome outcome{retry_outcome::not_retryable};
    /*! @brief Delay before the next attempt. */
    core::duration delay{};

    [[nodiscard]] bool should_retry() const noexcept {
        return this->outcome == retry_outcome::retry;
    }
};

/*! @brief Decides on retries by safety, number of attempts, deadline and a retry budget. Not thread-safe. */
class retry_policy {
public:
    /**
     * @brief Constructs a policy with a full budget.
     * @param options Options.
     * @param seed Seed of the random jitter.
     */
    explicit retry_policy(retry_policy_options options = {}, std::uint64_t seed = 1u);

    /*! @brief Records a success, which adds to the budget. */
    void record_success() noexcept;

    /**
     * @brief Decides whether a failed attempt is retried. A retry takes one from the budget.
     * @param attempt State of the request.
     * @param now Current time.
     * @return The decision.
     */
    [[nodiscard]] retry_decision decide(const failed_attempt& attempt, core::time_point now);

    /*! @brief Returns the number of retries left in the budget. */
    [[nodiscard]] double remaining_budget() const noexcept;

private:
    retry_policy_options options{};
    std::mt19937_64 random{};
    double budget_tokens{};
};

} // namespace lagoonsaddle::policy

#endif
