#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/rules/preview.hpp>

namespace lagoonsaddle::rules {

namespace {

struct preview_fixture {
    preview_fixture() {
        rule allow{.name = "allow"};
        allow.then.priority = 3;
        this->current.rules = {allow};
        for(std::size_t index{}; index < 60u; ++index) {
            this->requests.push_back({.request_id = std::to_string(index),
                .caller = (index < 55u) ? "depot" : "counter",
                .base_model = "b",
                .adapter = "a",
                .version = "1"});
        }
    }

    [[nodiscard]] preview_report preview_against(const rule_set& proposed) const {
        return preview(evaluator{this->current}, evaluator{proposed}, this->requests);
    }

    rule_set current{};
    std::vector<request_attributes> requests{};
};

} // namespace

// Guards against a preview that omits a refusal or lists more differences than its limit.
TEST_CASE_FIXTURE(preview_fixture, "preview_new_refusal_is_listed_with_its_reason") {
    auto proposed = this->current;
    rule refusing_rule{.name = "refuse"};
    refusing_rule.when.caller = {"depot"};
    refusing_rule.then = outcome{.action = action::refuse, .reason = "closed"};
    proposed.rules.insert(proposed.rules.begin(), refusing_rule);
    const auto report = this->preview_against(proposed);
    CHECK(report.requests == 60u);
    CHECK(report.changed == 55u);
    CHECK(report.newly_refused == 55u);
    CHECK(report.newly_allowed == 0u);
    CHECK(report.hits == std::vector<std::uint64_t>{55u, 5u});
    REQUIRE(report.differences.size() == preview_differences_max);
    const auto& first = report.differences.front();
    CHECK(first.request_id == "0");
    CHECK(first.target == "b/a@1");
    CHECK(first.rule_before == "allow");
    CHECK(first.rule_after == "refuse");
    CHECK(first.changes == std::vector<std::string>{"action: allow -> refuse (closed)"});
}

// Guards against reporting a difference when another rule gives the same decision.
TEST_CASE_FIXTURE(preview_fixture, "preview_other_rule_same_outcome_is_no_difference") {
    auto proposed = this->current;
    proposed.rules[0].name = "renamed";
    CHECK(this->preview_against(proposed).changed == 0u);
}

// Guards against a changed field of an outcome that the preview does not compare.
TEST_CASE_FIXTURE(preview_fixture, "preview_changed_outcome_names_the_field") {
    const auto change_of = [this](auto edit) {
        auto proposed = this->current;
        edit(proposed.rules[0].then);
        const auto report = this->preview_against(proposed);
        REQUIRE(report.changed == 60u);
        return report.differences.front().changes.front();
    };
    CHECK(change_of([](outcome& then) { then.priority = 7; }) == "priority: 3 -> 7");
    CHECK(change_of([](outcome& then) { then.prefer.upstreams = {"e1"}; }) == R"(prefer: none -> {"upstreams":"e1"})");
    CHECK(change_of([](outcome& then) { then.avoid.upstreams = {"e1"}; }) == R"(avoid: none -> {"upstreams":"e1"})");
    CHECK(change_of([](outcome& then) { then.rate_limit = rate_limit{}; }).starts_with("rate_limit: none -> "));
}

} // namespace lagoonsaddle::rules
