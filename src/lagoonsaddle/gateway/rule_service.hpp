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

/*! @brief What the rules in force say about a request. */
struct rule_verdict {
    /*! @brief Name of the rule that decided; empty when none matched. */
    std::string rule{};
    std::uint64_t rules_version{};
    /*! @brief Set when the request is refused. */
    std::optional<core::error> refusal{};
    int priority{};
    std::string version{};
    /*! @brief Rule set that decided, which keeps `then` valid. */
    std::shared_ptr<const rules::evaluator> source{};
    const rules::outcome* then{nullptr};
};

/*! @brief Rule set in force with its hit counts. Thread-safe. */
class rule_service {
public:
    explicit rule_service(const core::clock& clock);

    /**
     * @brief Puts a rule set into force. An invalid one is logged and ignored.
     * @param document Configuration `rules`.
     */
    void apply(const platform::config_document& document);

    /**
     * @brief Decides a request, counts the hit and applies the rate limit.
     * @param facts The request.
     * @param share Share of a rate limit that this node gives out.
     * @return The verdict.
     */
    [[nodiscard]] rule_verdict decide(const rules::request_attributes& facts, double share);

    /**
     * @brief Returns whether a rule drains an upstream.
     * @param upstream Name of the upstream.
     */
    [[nodiscard]] bool drained(std::string_view upstream) const;

    /*! @brief Returns the rule set in force. */
    [[nodiscard]] std::shared_ptr<const rules::evaluator> current() const;

    /*! @brief Returns the version of the rule set in force; 0 when there is none. */
    [[nodiscard]] std::uint64_t version() const;

    [[nodiscard]] const rules::hit_counter& hits() const noexcept {
        return this->counter;
    }

    [[nodiscard]] const rules::recent_requests& recent() const noexcept {
        return this->requests;
    }

private:
    const core::clock& time;
    mutable std::mutex mutex{};
    std::shared_ptr<const rules::evaluator> in_force{};
    std::uint64_t in_force_version{};
    rules::hit_counter counter{};
    rules::rate_limiter limiter{};
    rules::recent_requests requests{};
};

} // namespace lagoonsaddle::gateway

#endif
