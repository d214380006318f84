#include <algorithm>

#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

namespace {

constexpr int days_per_week = 7;
// 1970-01-01 was a Thursday, and bit 0 of a window is Monday.
constexpr int epoch_weekday = 3;

} // namespace

bool matches_pattern(std::string_view pattern, std::string_view value) noexcept {
    if(value.empty()) {
        return false;
    }
    if(pattern.ends_with('*')) {
        pattern.remove_suffix(1u);
        return value.starts_with(pattern);
    }
    return pattern == value;
}

bool matches_any_pattern(const pattern_list& patterns, std::string_view value) noexcept {
    return std::any_of(patterns.begin(), patterns.end(),
        [value](const std::string& pattern) { return matches_pattern(pattern, value); });
}

bool contains(const time_window& window, std::chrono::milliseconds time) noexcept {
    const auto minutes = std::chrono::floor<std::chrono::minutes>(time).count();
    const auto day = std::chrono::floor<std::chrono::days>(time).count();
    const auto minute = static_cast<int>(minutes - day * minutes_per_day);
    const auto weekday = static_cast<int>(((day + epoch_weekday) % days_per_week + days_per_week) % days_per_week);
    const auto starts_on = [&window](int day_of_week) {
        return (window.days >> day_of_week & 1u) != 0u;
    };

    if(window.start_minute < window.end_minute) {
        return starts_on(weekday) && minute >= window.start_minute && minute < window.end_minute;
    }
    const auto yesterday = (weekday + days_per_week - 1) % days_per_week;
    return (starts_on(weekday) && minute >= window.start_minute) ||
           (starts_on(yesterday) && minute < window.end_minute);
}

void truncate_names(request_attributes& attributes) {
    for(auto* name : {&attributes.request_id, &attributes.caller, &attributes.base_model, &attributes.adapter,
            &attributes.version, &attributes.channel, &attributes.service}) {
        if(name->size() > stored_text_bytes_max) {
            name->resize(stored_text_bytes_max);
        }
    }
}

std::string_view to_string(action value) noexcept {
    switch(value) {
    case action::allow:
        return "allow";
    case action::refuse:
        return "refuse";
    case action::drain:
        return "drain";
    }
    return "allow";
}

} // namespace lagoonsaddle::rules
