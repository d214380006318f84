#include <algorithm>
#include <array>
#include <bitset>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/rules/validation.hpp>

namespace lagoonsaddle::rules {

namespace {

constexpr std::size_t minutes_per_week = 7u * minutes_per_day;

using week_minutes = std::bitset<minutes_per_week>;

constexpr std::array pattern_fields{&conditions::caller, &conditions::adapter, &conditions::version,
    &conditions::channel, &conditions::base_model, &conditions::availability_zone, &conditions::service};

/*! @brief Returns the minutes of the week that lie within a window, starting on Monday at 00:00 UTC. */
[[nodiscard]] week_minutes active_minutes(const time_window& window) {
    week_minutes week{};
    const auto length = (window.end_minute > window.start_minute)
                            ? window.end_minute - window.start_minute
                            : window.end_minute + minutes_per_day - window.start_minute;
    for(std::size_t day{}; day < 7u; ++day) {
        if((window.days >> day & 1u) != 0u) {
            const auto start = day * minutes_per_day + static_cast<std::size_t>(window.start_minute);
            for(std::size_t minute{}; minute < static_cast<std::size_t>(length); ++minute) {
                week.set((start + minute) % minutes_per_week);
            }
        }
    }
    return week;
}

/*! @brief Returns whether every name that matches `inner` also matches `outer`. */
[[nodiscard]] bool covers_pattern(std::string_view outer, std::string_view inner) noexcept {
    if(outer.ends_with('*')) {
        return inner.starts_with(outer.substr(0u, outer.size() - 1u));
    }
    return outer == inner;
}

/*! @brief Returns whether every name that matches a pattern of `inner` also matches one of `outer`. */
[[nodiscard]] bool covers_patterns(const pattern_list& outer, const pattern_list& inner) noexcept {
    if(outer.empty()) {
        return true;
    }
    return !inner.empty() && std::all_of(inner.begin(), inner.end(), [&outer](const std::string& pattern) {
        return std::any_of(outer.begin(), outer.end(),
            [&pattern](const std::string& outer_pattern) { return covers_pattern(outer_pattern, pattern); });
    });
}

/*! @brief Returns whether a name can match a pattern of both lists. */
[[nodiscard]] bool patterns_overlap(const pattern_list& left, const pattern_list& right) noexcept {
    if(left.empty() || right.empty()) {
        return true;
    }
    return std::any_of(left.begin(), left.end(), [&right](const std::string& left_pattern) {
        return std::any_of(right.begin(), right.end(), [&left_pattern](const std::string& right_pattern) {
            return covers_pattern(left_pattern, right_pattern) || covers_pattern(right_pattern, left_pattern);
        });
    });
}

/*! @brief Returns whether every request that matches `inner` also matches `outer`. */
[[nodiscard]] bool covers(const conditions& outer, const conditions& inner) {
    for(const auto field : pattern_fields) {
        if(!covers_patterns(outer.*field, inner.*field)) {
            return false;
        }
    }
    const auto outer_priority = outer.priority.value_or(priority_range{});
    const auto inner_priority = inner.priority.value_or(priority_range{});
    const auto outer_stall = outer.load_stall.value_or(stall_range{});
    const auto inner_stall = inner.load_stall.value_or(stall_range{});
    if(outer_priority.minimum > inner_priority.minimum || outer_priority.maximum < inner_priority.maximum ||
        outer_stall.minimum > inner_stall.minimum || outer_stall.maximum < inner_stall.maximum ||
        (outer.non_idempotent && outer.non_idempotent != inner.non_idempotent)) {
        return false;
    }
    if(!outer.time) {
        return true;
    }
    const auto inner_week = active_minutes(inner.time.value_or(time_window{}));
    return (inner_week & ~active_minutes(*outer.time)).none();
}

/*! @brief Returns whether a request can match both sets of conditions. */
[[nodiscard]] bool conditions_overlap(const conditions& left, const conditions& right) {
    for(const auto field : pattern_fields) {
        if(!patterns_overlap(left.*field, right.*field)) {
            return false;
        }
    }
    const auto left_priority = left.priority.value_or(priority_range{});
    const auto right_priority = right.priority.value_or(priority_range{});
    const auto left_stall = left.load_stall.value_or(stall_range{});
    const auto right_stall = right.load_stall.value_or(stall_range{});
    if(left_priority.minimum > right_priority.maximum || right_priority.minimum > left_priority.maximum ||
        left_stall.minimum > right_stall.maximum || right_stall.minimum > left_stall.maximum ||
        (left.non_idempotent && right.non_idempotent && left.non_idempotent != right.non_idempotent)) {
        return false;
    }
    return !left.time || !right.time || (active_minutes(*left.time) & active_minutes(*right.time)).any();
}

/*! @brief Collects the warnings for a rule set. */
class rule_checker {
public:
    explicit rule_checker(const rule_set& set) noexcept : rules{set.rules} {}

    [[nodiscard]] std::vector<diagnostic> collect_warnings() {
        for(std::size_t index{}; index < this->rules.size(); ++index) {
            const auto& checked = this->rules[index];
            if(!checked.enabled) {
                continue;
            }
            if(checked.then.action == action::drain) {
                this->check_drain(index);
            } else if(this->check_satisfiable(index)) {
                this->check_earlier_rules(index);
            }
            this->check_placement(index);
        }
        return std::move(this->warnings);
    }

private:
    void add_warning(std::size_t index, const std::string& path, std::string message) {
        this->warnings.push_back({.rule_index = index,
            .path = "rules[" + std::to_string(index) + "]." + path,
            .message = std::move(message)});
    }

    [[nodiscard]] std::string describe_rule(std::size_t index) const {
        return "rule " + std::to_string(index) + " \"" + this->rules[index].name + "\"";
    }

    /*! @brief Returns false, after adding a warning, if the conditions of a rule contradict each other. */
    bool check_satisfiable(std::size_t index) {
        const auto& when = this->rules[index].when;
        if(!when.version.empty() && !when.channel.empty()) {
            this->add_warning(
                index, "when", "the rule can never match: a request names a version or a channel, not both");
            return false;
        }
        const bool names_model =
            !when.adapter.empty() || !when.version.empty() || !when.channel.empty() || !when.base_model.empty();
        if(!when.service.empty() && names_model) {
            this->add_warning(index, "when", "the rule can never match: a request for a service names no model");
            return false;
        }
        return true;
    }

    void check_earlier_rules(std::size_t index) {
        const auto& checked = this->rules[index];
        bool unresolved_reported{false};
        for(std::size_t earlier{}; earlier < index; ++earlier) {
            const auto& earlier_rule = this->rules[earlier];
            if(!earlier_rule.enabled || earlier_rule.then.action == action::drain) {
                continue;
            }
            if(covers(earlier_rule.when, checked.when)) {
                const bool opposite = earlier_rule.then.action != checked.then.action;
                this->add_warning(index, "when",
                    "the rule can never match: " + this->describe_rule(earlier) + " matches all its requests first" +
                        (opposite ? " and contradicts it (" + std::string{to_string(earlier_rule.then.action)} +
                                        " instead of " + std::string{to_string(checked.then.action)} + ")"
                                  : ""));
                return;
            }
            // Only the first match applies, so the channel of requests that match both rules stays unresolved.
            if(!unresolved_reported && !checked.then.resolve.empty() && earlier_rule.then.resolve.empty() &&
                earlier_rule.when.version.empty() && earlier_rule.when.service.empty() &&
                earlier_rule.then.action == action::allow && conditions_overlap(earlier_rule.when, checked.when)) {
                this->add_warning(index, "then.resolve",
                    this->describe_rule(earlier) + " matches some of these requests first and resolves no channel; "
                                                   "they are refused");
                unresolved_reported = true;
            }
        }
    }

    void check_drain(std::size_t index) {
        for(std::size_t earlier{}; earlier < index; ++earlier) {
            const auto& earlier_rule = this->rules[earlier];
            if(earlier_rule.enabled && earlier_rule.then.action == action::drain &&
                covers_patterns(earlier_rule.then.drained_upstreams, this->rules[index].then.drained_upstreams) &&
                covers(earlier_rule.when, this->rules[index].when)) {
                this->add_warning(index, "then.upstreams", describe_rule(earlier) + " drains these upstreams already");
                return;
            }
        }
    }

    void check_placement(std::size_t index) {
        const auto& then = this->rules[index].then;
        for(const auto& [list, key] : {std::pair{&placement::availability_zones, "availability_zones"},
                std::pair{&placement::upstreams, "upstreams"}}) {
            for(const auto& pattern : then.prefer.*list) {
                if(covers_patterns(then.avoid.*list, {pattern}) && !(then.avoid.*list).empty()) {
                    this->add_warning(index, std::string{"then.prefer."} + key,
                        "\"" + pattern + "\" is both preferred and avoided; it is avoided");
                }
            }
        }
        for(std::size_t drain_index{}; drain_index < this->rules.size(); ++drain_index) {
            const auto& drain_rule = this->rules[drain_index];
            if(!drain_rule.enabled || drain_rule.then.action != action::drain || drain_rule.when.time) {
                continue;
            }
            for(const auto& pattern : then.prefer.upstreams) {
                if(covers_patterns(drain_rule.then.drained_upstreams, {pattern})) {
                    this->add_warning(index, "then.prefer.upstreams",
                        "\"" + pattern + "\" is drained by " + this->describe_rule(drain_index));
                }
            }
        }
    }

    const std::vector<rule>& rules;
    std::vector<diagnostic> warnings{};
};

} // namespace

std::vector<diagnostic> find_warnings(const rule_set& set) {
    return rule_checker{set}.collect_warnings();
}

} // namespace lagoonsaddle::rules
