#ifndef LAGOONSADDLE_RULES_RULE_HPP
#define LAGOONSADDLE_RULES_RULE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonsaddle::rules {

/*! @brief Largest number of rules in a set. The evaluator allocates one bit per rule on the stack. */
inline constexpr std::size_t rule_count_max = 4'096u;

/*! @brief Bytes stored of a text that a caller sent. Longer than any pattern, so that truncation changes no match. */
inline constexpr std::size_t stored_text_bytes_max = 256u;

inline constexpr int priority_max = 9;
inline constexpr int minutes_per_day = 24 * 60;

/*! @brief Accepted values of a field, each a name or a prefix followed by `*`. An empty list accepts any value. */
using pattern_list = std::vector<std::string>;

/*! @brief Range of priorities, both ends included. */
struct priority_range {
    int minimum{0};
    int maximum{priority_max};

    friend bool operator==(const priority_range&, const priority_range&) = default;
};

/*! @brief Range of expected load stalls, both ends included. */
struct stall_range {
    std::chrono::milliseconds minimum{0};
    std::chrono::milliseconds maximum{std::chrono::milliseconds::max()};

    friend bool operator==(const stall_range&, const stall_range&) = default;
};

/*! @brief Weekly time window in UTC. A window whose end is before its start ends on the next day. */
struct time_window {
    /*! @brief Days on which the window starts; bit 0 is Monday. */
    std::uint8_t days{0x7fu};
    /*! @brief Start, in minutes since midnight. */
    int start_minute{0};
    /*! @brief End (exclusive), in minutes since midnight. */
    int end_minute{minutes_per_day};

    friend bool operator==(const time_window&, const time_window&) = default;
};

/*! @brief `when` part of a rule. All conditions must hold; the values of one condition are alternatives. */
struct conditions {
    pattern_list caller{};
    pattern_list adapter{};
    pattern_list version{};
    pattern_list channel{};
    pattern_list base_model{};
    /*! @brief Availability zone of the node that received the request. */
    pattern_list availability_zone{};
    pattern_list service{};
    std::optional<priority_range> priority{};
    std::optional<time_window> time{};
    std::optional<bool> non_idempotent{};
    std::optional<stall_range> load_stall{};

    friend bool operator==(const conditions&, const conditions&) = default;
};

/*! @brief Effect of a rule. */
enum class action { allow, refuse, drain };

/*! @brief Token bucket limit for the whole deployment; each node grants a share of it. */
struct rate_limit {
    /*! @brief Refill rate in tokens per second. */
    double per_second{1.0};
    /*! @brief Capacity in tokens. */
    double burst{1.0};
    /*! @brief Whether each caller has its own bucket. */
    bool per_caller{false};

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/*! @brief Version that a channel may resolve to, with its weight relative to the other versions. */
struct version_share {
    std::string version{};
    std::uint32_t share{1u};

    friend bool operator==(const version_share&, const version_share&) = default;
};

/*! @brief Patterns of the availability zones and upstreams to prefer or to avoid. */
struct placement {
    pattern_list availability_zones{};
    pattern_list upstreams{};

    [[nodiscard]] bool empty() const noexcept {
        return this->availability_zones.empty() && this->upstreams.empty();
    }

    friend bool operator==(const placement&, const placement&) = default;
};

/*! @brief `then` part of a rule. */
struct outcome {
    rules::action action{rules::action::allow};
    /*! @brief Message returned to the caller of a refused request. */
    std::string reason{};
    std::optional<std::chrono::milliseconds> retry_after{};
    std::optional<rules::rate_limit> rate_limit{};
    std::optional<int> priority{};
    /*! @brief Versions to which the requested channel resolves. */
    std::vector<version_share> resolve{};
    placement prefer{};
    placement avoid{};
    /*! @brief Upstreams that receive no new requests, if the action is `drain`. */
    pattern_list drained_upstreams{};

    friend bool operator==(const outcome&, const outcome&) = default;
};

/*! @brief Routing rule: conditions and the outcome that applies if they hold. */
struct rule {
    std::string name{};
    std::string description{};
    bool enabled{true};
    conditions when{};
    outcome then{};

    friend bool operator==(const rule&, const rule&) = default;
};

/*! @brief Rules in order of evaluation. */
struct rule_set {
    std::vector<rule> rules{};

    friend bool operator==(const rule_set&, const rule_set&) = default;
};

/*! @brief Attributes of a request that conditions are matched against. Absent names are empty. */
struct request_attributes {
    std::string request_id{};
    std::string caller{};
    std::string base_model{};
    std::string adapter{};
    std::string version{};
    std::string channel{};
    std::string service{};
    std::string availability_zone{};
    int priority{5};
    bool non_idempotent{false};
    /*! @brief Expected load stall; zero if the adapter is resident on an upstream. */
    std::chrono::milliseconds load_stall{0};
    /*! @brief Time since the Unix epoch. */
    std::chrono::milliseconds time{0};
};

/**
 * @brief Returns whether a name matches a pattern.
 * @param pattern A name, or a prefix followed by `*`.
 * @param value A name. An empty name matches no pattern.
 * @return True if it matches.
 */
[[nodiscard]] bool matches_pattern(std::string_view pattern, std::string_view value) noexcept;

/**
 * @brief Returns whether a name matches at least one pattern.
 * @param patterns The patterns.
 * @param value A name.
 * @return True if any pattern matches.
 */
[[nodiscard]] bool matches_any_pattern(const pattern_list& patterns, std::string_view value) noexcept;

/**
 * @brief Returns whether a point in time lies within a window.
 * @param window The window.
 * @param time Time since the Unix epoch.
 * @return True if it lies within the window.
 */
[[nodiscard]] bool contains(const time_window& window, std::chrono::milliseconds time) noexcept;

/**
 * @brief Truncates names that the caller chose to `stored_text_bytes_max`, so that long headers cannot exhaust memory.
 * @param attributes The request attributes, modified in place.
 */
void truncate_names(request_attributes& attributes);

/*! @brief Returns the name of an action as it appears in JSON. */
[[nodiscard]] std::string_view to_string(action value) noexcept;

} // namespace lagoonsaddle::rules

#endif
