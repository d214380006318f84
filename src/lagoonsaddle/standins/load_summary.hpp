#ifndef LAGOONSADDLE_STANDINS_LOAD_SUMMARY_HPP
#define LAGOONSADDLE_STANDINS_LOAD_SUMMARY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/load_check.hpp>

namespace lagoonsaddle::standins {

/*! @brief Aggregates the outcomes of a load and compares them with the counters of the stand-ins. Not thread-safe. */
class load_summary {
public:
    /*! @brief Times of one call. */
    struct timing {
        std::optional<core::duration> first_token{};
        core::duration total{};
        bool past_deadline{false};
    };

    /**
     * @brief Adds the outcome of a call.
     * @param call The call.
     * @param outcome Result of the check of its response.
     * @param times Its times.
     */
    void add(const planned_call& call, const call_outcome& outcome, const timing& times);

    /*! @brief Counts a call that an open loop skipped because too many were in flight. */
    void add_unsent() noexcept;

    /**
     * @brief Adds the counters of a service. Executions of a key are summed over all services.
     * @param counters Answer of the service's `/counters`.
     */
    void add_service_counters(const nlohmann::json& counters);

    /**
     * @brief Adds the counters of an engine.
     * @param before Answer of the engine's `/counters` before the load.
     * @param after Answer after the load.
     */
    void add_engine_counters(const nlohmann::json& before, const nlohmann::json& after);

    /**
     * @brief Returns the summary.
     * @param elapsed Time that the load took.
     * @return The summary as a JSON object.
     */
    [[nodiscard]] nlohmann::json to_json(core::duration elapsed) const;

    /*! @brief Returns whether a response or counter violates the guarantees to callers. */
    [[nodiscard]] bool has_violations() const;

private:
    struct counts {
        std::uint64_t requests{};
        std::uint64_t wrong_adapters{};
        std::uint64_t wrong_prompts{};
        std::uint64_t incomplete{};
        std::uint64_t failures_without_verdict{};
        std::uint64_t past_deadline{};
        std::uint64_t not_sent{};
        std::uint64_t loads{};
        std::uint64_t load_failures{};
        std::uint64_t steps{};
        std::uint64_t batched_requests{};
        std::uint64_t batch_capacity{};
        std::uint64_t evicted_in_use{};
        std::uint64_t false_not_run{};
        /*! @brief Stand-ins whose counters could not be read; the comparison is partial when it is not zero. */
        std::uint64_t counters_missing{};
    };

    [[nodiscard]] std::uint64_t duplicates() const;
    [[nodiscard]] std::uint64_t false_not_run() const;

    counts totals{};
    std::map<std::string, std::uint64_t> by_verdict{};
    std::map<std::string, std::uint64_t> by_reason{};
    std::vector<double> first_token_ms{};
    std::vector<double> total_ms{};
    std::vector<double> load_stall_ms{};
    bool has_service_counters{false};
    bool has_engine_counters{false};
    /*! @brief Request ids, or idempotency keys if any, of calls with the verdict `not_run`. */
    std::unordered_set<std::string> reported_not_run{};
    std::unordered_set<std::string> keys{};
    std::map<std::string, std::uint64_t> executions{};
};

/**
 * @brief Formats a summary as text.
 * @param summary Result of `load_summary::to_json`.
 * @return One line per value, nested names joined by dots.
 */
[[nodiscard]] std::string summary_text(const nlohmann::json& summary);

} // namespace lagoonsaddle::standins

#endif
