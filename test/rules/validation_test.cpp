#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/rules/codec.hpp>
#include <lagoonsaddle/rules/validation.hpp>

namespace lagoonsaddle::rules {

namespace {

struct validation_fixture {
    [[nodiscard]] static std::vector<diagnostic> warnings_for(const std::vector<std::string_view>& rule_texts) {
        auto document = nlohmann::json::object();
        document["rules"] = nlohmann::json::array();
        for(const auto rule_text : rule_texts) {
            auto rule_json = nlohmann::json::parse(rule_text);
            rule_json["name"] = "r" + std::to_string(document["rules"].size());
            document["rules"].push_back(std::move(rule_json));
        }
        const auto set = decode(document);
        REQUIRE(set.has_value());
        return find_warnings(*set);
    }
};

} // namespace

// Guards against an unreachable or contradictory rule without a warning.
TEST_CASE_FIXTURE(validation_fixture, "find_warnings_unreachable_or_contradictory_rule_is_reported") {
    struct faulty_rule_set {
        std::vector<std::string_view> rules;
        std::string_view path;
        std::string_view text;
    };

    const std::vector<faulty_rule_set> faulty_rule_sets{
        {{R"({"then": {"action": "allow"}})", R"({"when": {"caller": "a"}, "then": {"action": "allow"}})"},
            "rules[1].when", "rule 0 \"r0\" matches all its requests first"},
        {{R"({"when": {"caller": "a*"}, "then": {"action": "refuse", "reason": "x"}})",
             R"({"when": {"caller": ["ab", "ac*"], "adapter": "x"}, "then": {"action": "allow"}})"},
            "rules[1].when", "contradicts it (refuse instead of allow)"},
        {{R"({"when": {"time": {"days": ["mon"], "from": "20:00", "to": "08:00"}}, "then": {"action": "allow"}})",
             R"({"when": {"time": {"days": ["tue"], "from": "00:00", "to": "07:00"}}, "then": {"action": "allow"}})"},
            "rules[1].when", "matches all its requests first"},
        {{R"({"when": {"version": "1", "channel": "stable"}, "then": {"action": "allow"}})"}, "rules[0].when",
            "a request names a version or a channel, not both"},
        {{R"({"when": {"service": "s", "adapter": "a"}, "then": {"action": "allow"}})"}, "rules[0].when",
            "a request for a service names no model"},
        {{R"({"when": {"caller": "a"}, "then": {"action": "allow", "priority": 9}})",
             R"({"when": {"channel": "stable"}, "then": {"action": "allow", "resolve": {"1": 1}}})"},
            "rules[1].then.resolve", "rule 0 \"r0\" matches some of these requests first and resolves no channel"},
        {{R"({"then": {"action": "allow", "prefer": {"upstreams": ["e1"]}, "avoid": {"upstreams": ["e*"]}}})"},
            "rules[0].then.prefer.upstreams", "both preferred and avoided"},
        {{R"({"then": {"action": "drain", "upstreams": "e1"}})",
             R"({"then": {"action": "allow", "prefer": {"upstreams": "e1"}}})"},
            "rules[1].then.prefer.upstreams", "is drained by rule 0"},
        {{R"({"then": {"action": "drain", "upstreams": "e*"}})", R"({"then": {"action": "drain", "upstreams": "e1"}})"},
            "rules[1].then.upstreams", "drains these upstreams already"},
    };
    for(const auto& faulty : faulty_rule_sets) {
        CAPTURE(faulty.text);
        const auto warnings = warnings_for(faulty.rules);
        REQUIRE(warnings.size() == 1u);
        CHECK(warnings[0].path == faulty.path);
        CHECK(warnings[0].rule_index == faulty.rules.size() - 1u);
        CHECK(warnings[0].message.find(faulty.text) != std::string::npos);
    }
}

// Guards against false warnings, which would lead operators to ignore warnings.
TEST_CASE_FIXTURE(validation_fixture, "find_warnings_reachable_rules_give_no_warning") {
    CHECK(warnings_for(
        {R"({"when": {"caller": "a*"}, "then": {"action": "allow"}})",
            R"({"when": {"caller": "*"}, "then": {"action": "allow"}})", R"({"then": {"action": "allow"}})"})
              .empty());
    CHECK(warnings_for({R"({"when": {"priority": {"min": 5}}, "then": {"action": "allow"}})",
                           R"({"when": {"priority": {"min": 4}}, "then": {"action": "allow"}})"})
              .empty());
    CHECK(warnings_for({R"({"when": {"version": "*"}, "then": {"action": "allow"}})",
                           R"({"when": {"channel": "stable"}, "then": {"action": "allow", "resolve": {"1": 1}}})"})
              .empty());
    CHECK(warnings_for({R"({"enabled": false, "then": {"action": "allow"}})", R"({"then": {"action": "allow"}})"})
              .empty());
    CHECK(warnings_for({R"({"when": {"non_idempotent": true}, "then": {"action": "allow"}})",
                           R"({"when": {"load_stall_ms": {"min": 1}}, "then": {"action": "allow"}})",
                           R"({"then": {"action": "allow"}})"})
              .empty());
}

} // namespace lagoonsaddle::rules
