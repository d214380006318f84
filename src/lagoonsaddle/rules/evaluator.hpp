#ifndef LAGOONSADDLE_RULES_EVALUATOR_HPP
#define LAGOONSADDLE_RULES_EVALUATOR_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/*! @brief Result of evaluating the rules for a request. */
struct decision {
    /*! @brief Index of the first matching rule; empty if none matched. */
    std::optional<std::size_t> rule_index{};
    /*! @brief Outcome of that rule, owned by the evaluator; null if none matched. */
    const outcome* then{nullptr};
    /*! @brief False if the request must be refused. Rate limits are applied separately by `rate_limiter`. */
    bool allowed{true};
    /*! @brief Message returned to the caller of a refused request. */
    std::string reason{};
    std::optional<std::chrono::milliseconds> retry_after{};
    int priority{};
    /*! @brief Version to serve: the one that the request names, or the one that its channel resolves to. */
    std::string version{};
};

/*! @brief Preference of an outcome for an upstream. */
enum class placement_preference { prefer, neutral, avoid };

namespace internal {

/*! @brief Index from the values of one request attribute to the rules that accept them. */
class pattern_index {
public:
    using bitset_type = std::vector<std::uint64_t>;

    /*! @brief Adds a rule with its patterns. Rules must be added in increasing order of index. */
    void add(std::size_t rule_index, const pattern_list& patterns);

    /*! @brief Clears the candidate bits of rules that do not accept the value. */
    void filter(std::string_view value, std::span<std::uint64_t> candidates) const;

private:
    struct string_hash {
        using is_transparent = void;

        [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };

    /*! @brief Maps a name or a prefix to the indices of the rules that accept it. */
    using postings_type = std::unordered_map<std::string, std::vector<std::uint32_t>, string_hash, std::equal_to<>>;

    /*! @brief Rules without patterns for this attribute, one bit per rule. */
    bitset_type unconstrained_rules{};
    /*! @brief Whether any rule has patterns for this attribute. */
    bool has_patterns{false};
    postings_type exact_postings{};
    postings_type prefix_postings{};
    /*! @brief Distinct prefix lengths in increasing order. */
    std::vector<std::size_t> prefix_lengths{};
};

} // namespace internal

/**
 * @brief Finds the first rule that matches a request. Immutable after construction, hence thread-safe.
 *
 * Each name attribute of a request has an index from values to rules. A lookup yields a bitset of the rules that accept
 * the value; the bitsets of all attributes are intersected, and only the remaining rules are checked one by one.
 */
class evaluator {
public:
    /**
     * @brief Builds the indices for a rule set.
     * @param set A valid rule set, as returned by `decode`.
     */
    explicit evaluator(rule_set set);

    /**
     * @brief Evaluates a request against the enabled rules; the first match applies. Drain rules are skipped.
     * @param attributes The request.
     * @return The decision. A request for a channel that the matching rule does not resolve is refused.
     */
    [[nodiscard]] decision evaluate(const request_attributes& attributes) const;

    /**
     * @brief Finds the enabled drain rule that applies to an upstream.
     * @param upstream Name of the upstream.
     * @param time Time since the Unix epoch.
     * @return Index of the first such rule; empty if there is none.
     */
    [[nodiscard]] std::optional<std::size_t> find_drain_rule(
        std::string_view upstream, std::chrono::milliseconds time) const noexcept;

    /*! @brief Returns the rule set that the evaluator was built from. */
    [[nodiscard]] const rule_set& source_rules() const noexcept {
        return this->source;
    }

private:
    [[nodiscard]] std::optional<std::size_t> find_match(const request_attributes& attributes) const;

    rule_set source;
    std::size_t word_count{};
    std::vector<std::uint64_t> enabled_rules{};
    std::array<internal::pattern_index, 7u> pattern_indices{};
    std::array<std::vector<std::uint64_t>, priority_max + 1> rules_by_priority{};
    std::array<std::vector<std::uint64_t>, 2u> rules_by_non_idempotent{};
    std::vector<std::size_t> drain_rules{};
};

/**
 * @brief Returns the preference of an outcome for an upstream.
 * @param then The outcome; null if no rule matched.
 * @param upstream Name of the upstream.
 * @param availability_zone Its availability zone.
 * @return `avoid` if the outcome avoids the upstream or its zone, `prefer` if it prefers one of them, else `neutral`.
 */
[[nodiscard]] placement_preference preference_of(
    const outcome* then, std::string_view upstream, std::string_view availability_zone) noexcept;

} // namespace lagoonsaddle::rules

#endif
