#ifndef LAGOONSADDLE_GATEWAY_RULE_SERVICE_HPP
#define LAGOONSADDLE_GATEWAY_RULE_SERVICE_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/platform/config_store.hpp>
#include <lagoonsaddle/rules/evaluator.hpp>
#include <lagoonsaddle/rules/hit_counter.hpp>
#include <lagoonsaddle/rules/rate_limiter.hpp>
#include <lagoonsaddle/rules/recent_requests.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Decision of the active rule set on a request. */
struct rule_decision {
    /*! @brief Name of the matching rule; empty when none matched. */
    std::string rule{};
    std::uint64_t rules_version{};
    /*! @brief Set when the request is refused. */
    std::optional<core::error> refusal{};
    int priority{};
    /*! @brief Adapter version to serve; empty when no rule resolves the channel of the request. */
    std::string version{};
    /*! @brief Evaluator that made the decision; keeps `outcome` valid. */
    std::shared_ptr<const rules::evaluator> evaluator{};
    /*! @brief Outcome of the matching rule; null when none matched. */
    const rules::outcome* outcome{nullptr};
};

/*! @brief Active rule set with its hit counts and rate limits. Thread-safe. */
class rule_service {
public:
    explicit rule_service(const core::clock& clock);

    /**
     * @brief Activates a rule set. An invalid one is logged and ignored, an outdated one is ignored.
     * @param document Configuration `rules`.
     */
    void apply(const platform::config_document& document);

    /**
     * @brief Evaluates the rules for a request, counts the hit and applies the rate limit.
     * @param facts Properties of the request.
     * @param rate_limit_share Fraction of each rate limit that this node may use, from 0 to 1.
     * @return The decision.
     */
    [[nodiscard]] rule_decision decide(const rules::request_attributes& facts, double rate_limit_share);

    /**
     * @brief Returns whether a rule drains an upstream at this time.
     * @param upstream Name of the upstream.
     */
    [[nodiscard]] bool is_drained(std::string_view upstream) const;

    /*! @brief Returns the evaluator of the active rule set. */
    [[nodiscard]] std::shared_ptr<const rules::evaluator> active_rules() const;

    /*! @brief Returns the version of the active rule set; 0 when there is none. */
    [[nodiscard]] std::uint64_t active_version() const;

    [[nodiscard]] const rules::hit_counter& hits() const noexcept {
        return this->hit_counts;
    }

    [[nodiscard]] const rules::recent_requests& recent_requests() const noexcept {
        return this->recent_facts;
    }

private:
    const core::clock& clock;
    mutable std::mutex mutex{};
    std::shared_ptr<const rules::evaluator> active_evaluator{};
    std::uint64_t active_rules_version{};
    rules::hit_counter hit_counts{};
    rules::rate_limiter rate_limiter{};
    rules::recent_requests recent_facts{};
};

} // namespace lagoonsaddle::gateway

#endif
