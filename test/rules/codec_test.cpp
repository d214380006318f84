#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/rules/codec.hpp>

namespace lagoonsaddle::rules {

namespace {

struct codec_fixture {
    [[nodiscard]] static nlohmann::json document_with_rule(std::string_view when, std::string_view then) {
        auto document =
            nlohmann::json::parse(R"({"rules": [{"name": "first", "then": {"action": "allow"}}, {"name": "r"}]})");
        document["rules"][1]["when"] = nlohmann::json::parse(when);
        document["rules"][1]["then"] = nlohmann::json::parse(then);
        return document;
    }
};

} // namespace

// Guards against a field of a rule that is lost when a rule set is encoded and decoded again.
TEST_CASE_FIXTURE(codec_fixture, "codec_full_rule_set_survives_round_trip") {
    const auto document = nlohmann::json::parse(R"({"rules": [
        {"name": "night", "description": "low priority at night", "enabled": false,
         "when": {"caller": ["depot-*", "counter"], "adapter": "a", "version": "*", "base_model": "b",
                  "availability_zone": "kotte", "priority": {"min": 2, "max": 4}, "non_idempotent": true,
                  "load_stall_ms": {"min": 250}, "time": {"days": ["sat", "sun"], "from": "22:00", "to": "06:30"}},
         "then": {"action": "allow", "priority": 1, "rate_limit": {"per_second": 2.5, "burst": 5.0, "per_caller": true},
                  "prefer": {"availability_zones": "kotte"}, "avoid": {"upstreams": ["e1", "e2*"]}}},
        {"name": "stable", "when": {"adapter": "a", "channel": "stable"},
         "then": {"action": "allow", "resolve": {"17": 9, "18": 1}}},
        {"name": "stop", "when": {"service": "counter"},
         "then": {"action": "refuse", "reason": "closed", "retry_after_ms": 500}},
        {"name": "drain", "when": {}, "then": {"action": "drain", "upstreams": "e9"}}]})");
    const auto set = decode(document);
    REQUIRE(set.has_value());
    CHECK(encode(*set) == document);
    CHECK(decode(encode(*set)) == set);
}

// Guards against an invalid rule that is accepted, or whose error lacks the path or the accepted values.
TEST_CASE_FIXTURE(codec_fixture, "codec_invalid_rule_error_names_rule_and_key") {
    struct invalid_rule {
        std::string_view when;
        std::string_view then;
        std::string_view path;
        std::string_view message;
    };

    constexpr std::string_view allow = R"({"action": "allow"})";
    const std::vector<invalid_rule> invalid_rules{
        {R"({"calller": "a"})", allow, "when.calller", "unknown key; accepted keys here: caller, adapter,"},
        {R"({"caller": "a*b"})", allow, "when.caller", "accepted: a name or a list of 1 to 1000 names; `*` only as"},
        {R"({"caller": []})", allow, "when.caller", "accepted: a name or a list"},
        {R"({"caller": ["a", 1]})", allow, "when.caller", "accepted: a name or a list"},
        {R"({"priority": {"min": 5, "max": 4}})", allow, "when.priority", "the range is empty"},
        {R"({"priority": {"max": 10}})", allow, "when.priority.max", "accepted: an integer from 0 to 9"},
        {R"({"load_stall_ms": {"min": 2, "max": 1}})", allow, "when.load_stall_ms", "the range is empty"},
        {R"({"time": {"from": "25:00"}})", allow, "when.time.from", "accepted: a time of day in UTC"},
        {R"({"time": {"from": "08:00", "to": "08:00"}})", allow, "when.time", "the window is empty"},
        {R"({"time": {"days": ["monday"]}})", allow, "when.time.days", "accepted: a list of mon, tue,"},
        {R"({"non_idempotent": 1})", allow, "when.non_idempotent", "accepted: true or false"},
        {"{}", "{}", "then.action", "accepted: \"allow\", \"refuse\" or \"drain\""},
        {"{}", R"({"action": "allow", "reason": "x"})", "then.reason", "unknown key; accepted keys here: action,"},
        {"{}", R"({"action": "refuse"})", "then.reason", "required key is missing"},
        {"{}", R"({"action": "refuse", "reason": "x", "retry_after_ms": -1})", "then.retry_after_ms",
            "accepted: an integer from 0"},
        {"{}", R"({"action": "allow", "rate_limit": {}})", "then.rate_limit.per_second", "required key is missing"},
        {"{}", R"({"action": "allow", "rate_limit": {"per_second": 0}})", "then.rate_limit.per_second",
            "accepted: a number from 0.001"},
        {"{}", R"({"action": "allow", "prefer": {}})", "then.prefer", "accepted: availability_zones, upstreams"},
        {R"({"channel": "s"})", R"({"action": "allow", "resolve": {"17": 0}})", "then.resolve.17",
            "accepted: an integer"},
        {R"({"caller": "a"})", R"({"action": "drain", "upstreams": "e"})", "when", "a drain applies to an upstream"},
    };
    for(const auto& invalid : invalid_rules) {
        CAPTURE(invalid.when);
        CAPTURE(invalid.then);
        const auto set = decode(document_with_rule(invalid.when, invalid.then));
        REQUIRE_FALSE(set.has_value());
        REQUIRE(set.error().size() == 1u);
        CHECK(set.error()[0].rule_index == std::size_t{1u});
        CHECK(set.error()[0].path == "rules[1]." + std::string{invalid.path});
        CHECK(set.error()[0].message.substr(0u, invalid.message.size()) == invalid.message);
    }
}

// Guards against a rule that serves another adapter or version than the request names.
TEST_CASE_FIXTURE(codec_fixture, "codec_rule_that_changes_adapter_or_version_is_rejected") {
    for(const auto* then : {R"({"action": "allow", "adapter": "b"})", R"({"action": "allow", "version": "2"})",
            R"({"action": "allow", "base_model": "b"})", R"({"action": "allow", "model": "b/a@2"})",
            R"({"action": "allow", "resolve": {"2": 1}})", R"({"action": "allow", "resolve": {"b@2": 1}})"}) {
        CAPTURE(then);
        const auto set = decode(document_with_rule(R"({"adapter": "a"})", then));
        REQUIRE_FALSE(set.has_value());
        CHECK(set.error()[0].message.find("cannot change") != std::string::npos);
    }
}

// Guards against duplicate rule names, which would merge hits and rate limits, and against reporting only the first
// error.
TEST_CASE_FIXTURE(codec_fixture, "codec_several_errors_are_all_returned") {
    const auto set = decode(nlohmann::json::parse(R"({"rules": [
        {"name": "a", "then": {"action": "allow"}}, {"name": "a", "then": {"action": "allow"}}, {"then": 1}, 7],
        "x": 1})"));
    REQUIRE_FALSE(set.has_value());
    std::vector<std::string> paths{};
    for(const auto& error : set.error()) {
        paths.push_back(error.path);
    }
    CHECK(paths == std::vector<std::string>{"x", "rules[1].name", "rules[2].name", "rules[2].then",
                       "rules[2].then.action", "rules[3]", "rules[3].name", "rules[3].then"});
    CHECK_FALSE(decode(nlohmann::json::array()).has_value());
    CHECK_FALSE(decode(nlohmann::json::object()).has_value());
}

} // namespace lagoonsaddle::rules
