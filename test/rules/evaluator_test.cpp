#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/rules/evaluator.hpp>

namespace lagoonsaddle::rules {

namespace {

// 2026-12-03 is a Thursday.
constexpr std::chrono::milliseconds thursday{1'796'256'000'000};

struct evaluator_fixture {
    using pattern_field = pattern_list conditions::*;
    using value_field = std::string request_attributes::*;

    static constexpr std::array<std::pair<pattern_field, value_field>, 7u> name_fields{
        {{&conditions::caller, &request_attributes::caller}, {&conditions::adapter, &request_attributes::adapter},
            {&conditions::version, &request_attributes::version}, {&conditions::channel, &request_attributes::channel},
            {&conditions::base_model, &request_attributes::base_model},
            {&conditions::availability_zone, &request_attributes::availability_zone},
            {&conditions::service, &request_attributes::service}}};

    [[nodiscard]] static std::string random_name(std::mt19937_64& random) {
        // Short names over a small alphabet make equal names and common prefixes frequent.
        std::string result{};
        for(auto length = random() % 4u; length > 0u; --length) {
            result.push_back(static_cast<char>('a' + random() % 2u));
        }
        return result;
    }

    [[nodiscard]] static rule random_rule(std::mt19937_64& random) {
        rule generated{};
        generated.enabled = random() % 10u != 0u;
        for(const auto& [patterns, value] : name_fields) {
            for(auto count = (random() % 4u == 0u) ? 1u + random() % 3u : 0u; count > 0u; --count) {
                auto pattern = random_name(random);
                if(pattern.empty() || random() % 2u == 0u) {
                    pattern.push_back('*');
                }
                (generated.when.*patterns).push_back(std::move(pattern));
            }
        }
        if(random() % 3u == 0u) {
            const auto minimum = static_cast<int>(random() % 10u);
            generated.when.priority = priority_range{.minimum = minimum, .maximum = std::min(9, minimum + 4)};
        }
        if(random() % 5u == 0u) {
            generated.when.non_idempotent = random() % 2u == 0u;
        }
        if(random() % 5u == 0u) {
            generated.when.load_stall = stall_range{.minimum = std::chrono::milliseconds{random() % 3u}};
        }
        if(random() % 5u == 0u) {
            generated.when.time = time_window{.days = static_cast<std::uint8_t>(1u + random() % 127u),
                .start_minute = static_cast<int>(random() % 720u),
                .end_minute = static_cast<int>(720u + random() % 720u)};
        }
        if(random() % 12u == 0u) {
            generated.then = outcome{.action = action::drain, .drained_upstreams = {"e"}};
        }
        return generated;
    }

    [[nodiscard]] static request_attributes random_attributes(std::mt19937_64& random) {
        request_attributes attributes{};
        for(const auto& [patterns, value] : name_fields) {
            attributes.*value = random_name(random);
        }
        attributes.priority = static_cast<int>(random() % 10u);
        attributes.non_idempotent = random() % 2u == 0u;
        attributes.load_stall = std::chrono::milliseconds{random() % 3u};
        attributes.time = thursday + std::chrono::minutes{random() % 10'080u};
        return attributes;
    }

    // Independent reference implementation: compares character by character and shares no code with the evaluator.
    [[nodiscard]] static bool naive_match(const std::string& pattern, const std::string& value) {
        if(value.empty()) {
            return false;
        }
        for(std::size_t index{}; index < pattern.size(); ++index) {
            if(pattern[index] == '*') {
                return true;
            }
            if(index >= value.size() || value[index] != pattern[index]) {
                return false;
            }
        }
        return value.size() == pattern.size();
    }

    [[nodiscard]] static bool matches_conditions(const conditions& when, const request_attributes& attributes) {
        for(const auto& [patterns, value] : name_fields) {
            const auto& name = attributes.*value;
            if(!(when.*patterns).empty() &&
                std::none_of((when.*patterns).begin(), (when.*patterns).end(),
                    [&name](const std::string& pattern) { return naive_match(pattern, name); })) {
                return false;
            }
        }
        if(when.priority &&
            (attributes.priority < when.priority->minimum || attributes.priority > when.priority->maximum)) {
            return false;
        }
        if(when.time) {
            const auto minute = (attributes.time - thursday) / std::chrono::minutes{1};
            const auto weekday = (minute / 1'440 + 3) % 7;
            const auto minute_of_day = minute % 1'440;
            if((when.time->days >> weekday & 1) == 0 || minute_of_day < when.time->start_minute ||
                minute_of_day >= when.time->end_minute) {
                return false;
            }
        }
        return (!when.non_idempotent || *when.non_idempotent == attributes.non_idempotent) &&
               (!when.load_stall || attributes.load_stall >= when.load_stall->minimum);
    }

    [[nodiscard]] static rule resolving_rule() {
        rule result{.name = "stable"};
        result.when.channel = {"stable"};
        result.then.resolve = {{.version = "17", .share = 3u}, {.version = "18", .share = 1u}};
        return result;
    }
};

} // namespace

// Guards against an index that misses or invents a match, or that does not return the first matching rule.
TEST_CASE_FIXTURE(evaluator_fixture, "evaluator_random_rules_equal_naive_search") {
    std::mt19937_64 random{20'261'203u};
    std::size_t match_count{};
    for(int round{}; round < 40; ++round) {
        rule_set set{};
        for(auto count = random() % 200u; count > 0u; --count) {
            set.rules.push_back(random_rule(random));
        }
        const evaluator indexed{set};
        for(int sample{}; sample < 100; ++sample) {
            const auto attributes = random_attributes(random);
            std::optional<std::size_t> expected{};
            for(std::size_t index{}; index < set.rules.size() && !expected; ++index) {
                const auto& candidate = set.rules[index];
                if(candidate.enabled && candidate.then.action != action::drain &&
                    matches_conditions(candidate.when, attributes)) {
                    expected = index;
                }
            }
            match_count += expected ? 1u : 0u;
            CAPTURE(round);
            CAPTURE(sample);
            REQUIRE(indexed.evaluate(attributes).rule_index == expected);
        }
    }
    // Ensures that the sample contains both matching and non-matching requests.
    CHECK(match_count > 1'000u);
    CHECK(match_count < 4'000u);
}

// Guards against a channel that resolves to another version on a retry, and against wrong shares.
TEST_CASE_FIXTURE(evaluator_fixture, "evaluator_channel_resolves_by_share_and_request_id") {
    const evaluator rules{{.rules = {resolving_rule()}}};
    request_attributes attributes{.adapter = "a", .channel = "stable"};
    std::size_t newer_count{};
    constexpr std::size_t samples = 4'000u;
    for(std::size_t sample{}; sample < samples; ++sample) {
        attributes.request_id = std::to_string(sample);
        const auto first = rules.evaluate(attributes);
        CHECK(first.allowed);
        CHECK(rules.evaluate(attributes).version == first.version);
        newer_count += (first.version == "18") ? 1u : 0u;
    }
    CHECK(newer_count > samples / 5u);
    CHECK(newer_count < samples * 3u / 10u);
}

// Guards against a rule that replaces the version that the request names.
TEST_CASE_FIXTURE(evaluator_fixture, "evaluator_named_version_is_never_changed") {
    auto without_channel = resolving_rule();
    without_channel.when.channel.clear();
    const evaluator rules{{.rules = {without_channel}}};
    CHECK(rules.evaluate({.request_id = "1", .adapter = "a", .version = "5"}).version == "5");
}

// Guards against serving an arbitrary version for a channel that no rule resolves.
TEST_CASE_FIXTURE(evaluator_fixture, "evaluator_unresolved_channel_is_refused_with_reason") {
    const auto without_rule = evaluator{{}}.evaluate({.adapter = "a", .channel = "stable"});
    CHECK_FALSE(without_rule.allowed);
    CHECK(without_rule.reason == "no rule resolves the channel a:stable");

    rule earlier{.name = "urgent"};
    earlier.then.priority = 9;
    const evaluator rules{{.rules = {earlier, resolving_rule()}}};
    const auto unresolved = rules.evaluate({.adapter = "a", .channel = "stable"});
    CHECK_FALSE(unresolved.allowed);
    CHECK(unresolved.reason.find("\"urgent\" matches first") != std::string::npos);
}

// Guards against a time window that is shifted by a day or by the local time zone, or is wrong at midnight.
TEST_CASE_FIXTURE(evaluator_fixture, "time_window_past_midnight_belongs_to_start_day") {
    const time_window window{.days = 1u << 3u, .start_minute = 22 * 60, .end_minute = 6 * 60};
    using namespace std::chrono_literals;
    CHECK_FALSE(contains(window, thursday + 5h));
    CHECK_FALSE(contains(window, thursday + 21h + 59min + 59s));
    CHECK(contains(window, thursday + 22h));
    CHECK(contains(window, thursday + 29h + 59min + 59s));
    CHECK_FALSE(contains(window, thursday + 30h));
    CHECK_FALSE(contains(window, thursday + 46h));
}

// Guards against a drain rule that also applies to requests, or that ignores its time window.
TEST_CASE_FIXTURE(evaluator_fixture, "evaluator_drain_rule_matches_upstreams_but_no_request") {
    rule always{.name = "drain"};
    always.then = outcome{.action = action::drain, .drained_upstreams = {"e1", "g*"}};
    rule timed = always;
    timed.when.time = time_window{.days = 1u << 3u};
    timed.then.drained_upstreams = {"e2"};
    rule disabled = always;
    disabled.enabled = false;
    disabled.then.drained_upstreams = {"e3"};
    const evaluator rules{{.rules = {always, timed, disabled}}};
    CHECK_FALSE(rules.evaluate({.adapter = "a", .version = "1"}).rule_index.has_value());
    CHECK(rules.find_drain_rule("e1", thursday) == std::size_t{0u});
    CHECK(rules.find_drain_rule("g7", thursday) == std::size_t{0u});
    CHECK(rules.find_drain_rule("e2", thursday) == std::size_t{1u});
    CHECK_FALSE(rules.find_drain_rule("e2", thursday + std::chrono::days{1}).has_value());
    CHECK_FALSE(rules.find_drain_rule("e3", thursday).has_value());
}

// Guards against a refusal without its reason, and against a preferred zone that overrides an avoided upstream.
TEST_CASE_FIXTURE(evaluator_fixture, "evaluator_outcome_is_applied") {
    rule refusing_rule{.name = "refuse"};
    refusing_rule.when.caller = {"depot"};
    refusing_rule.then =
        outcome{.action = action::refuse, .reason = "closed", .retry_after = std::chrono::milliseconds{700}};
    rule placement_rule{.name = "place"};
    placement_rule.then.priority = 2;
    placement_rule.then.prefer.availability_zones = {"kotte"};
    placement_rule.then.avoid.upstreams = {"e1"};
    const evaluator rules{{.rules = {refusing_rule, placement_rule}}};

    const auto refused = rules.evaluate({.caller = "depot", .adapter = "a", .version = "1"});
    CHECK_FALSE(refused.allowed);
    CHECK(refused.reason == "closed");
    CHECK(refused.retry_after == std::chrono::milliseconds{700});

    const auto accepted = rules.evaluate({.caller = "counter", .adapter = "a", .version = "1", .priority = 8});
    CHECK(accepted.allowed);
    CHECK(accepted.priority == 2);
    CHECK(preference_of(accepted.then, "e1", "kotte") == placement_preference::avoid);
    CHECK(preference_of(accepted.then, "e2", "kotte") == placement_preference::prefer);
    CHECK(preference_of(accepted.then, "e2", "dehiwala") == placement_preference::neutral);
    CHECK(preference_of(nullptr, "e1", "kotte") == placement_preference::neutral);
}

} // namespace lagoonsaddle::rules
