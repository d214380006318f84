#ifndef LAGOONSADDLE_RULES_HIT_COUNTER_HPP
#define LAGOONSADDLE_RULES_HIT_COUNTER_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/*! @brief One match of a rule. */
struct rule_match {
    std::string request_id{};
    std::string caller{};
    /*! @brief `base/adapter@version`, `base/adapter:channel` or the name of the service. */
    std::string target{};
    /*! @brief Time since the Unix epoch. */
    std::chrono::milliseconds time{0};
};

/*! @brief Hits of one rule. */
struct rule_hits {
    std::uint64_t count{};
    /*! @brief Most recent matches, newest first. */
    std::vector<rule_match> latest_matches{};
};

/*! @brief Counts matches per rule name. Thread-safe: sharded by request id, one mutex per shard. */
class hit_counter {
public:
    /*! @brief Maximum number of recent matches that each shard keeps, and that are returned, per rule. */
    static constexpr std::size_t latest_matches_max = 5u;

    /**
     * @brief Records a match of a rule.
     * @param rule Name of the rule.
     * @param attributes The request.
     */
    void record(const std::string& rule, const request_attributes& attributes);

    /**
     * @brief Returns the hits of one rule.
     * @param rule Name of the rule.
     * @return The merged hits of all shards; zero for a rule that never matched.
     */
    [[nodiscard]] rule_hits hits(const std::string& rule) const;

    /**
     * @brief Removes the hits of rules that are not in a rule set.
     * @param set The active rule set.
     */
    void retain_rules(const rule_set& set);

private:
    struct shard_hits {
        std::uint64_t count{};
        std::deque<rule_match> latest_matches{};
    };

    struct shard_state {
        mutable std::mutex mutex{};
        std::unordered_map<std::string, shard_hits> hits_by_rule{};
    };

    std::array<shard_state, 8u> shards{};
};

/**
 * @brief Formats the target of a request.
 * @param attributes The request.
 * @return `base/adapter@version`, `base/adapter:channel` or the name of the service.
 */
[[nodiscard]] std::string format_target(const request_attributes& attributes);

} // namespace lagoonsaddle::rules

#endif
