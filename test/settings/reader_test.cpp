#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/settings/keys.hpp>
#include <lagoonsaddle/settings/reader.hpp>

namespace lagoonsaddle::settings {

namespace {

struct reader_fixture {
    // Merges a patch into a minimal valid file.
    [[nodiscard]] static read_result parse_with(std::string_view patch) {
        auto document = nlohmann::json::parse(R"({
            "node": {"name": "entry-1", "availability_zone": "kotte"},
            "operator_api": {"token_file": "token"},
            "platform": {"object_store": "127.0.0.1:9000"}
        })");
        document.merge_patch(nlohmann::json::parse(patch));
        return parse(document.dump(), "node.json");
    }

    [[nodiscard]] static std::vector<std::string> format_errors(const read_result& outcome) {
        std::vector<std::string> lines{};
        if(!outcome) {
            for(const auto& error : outcome.error()) {
                lines.push_back(to_string(error));
            }
        }
        return lines;
    }
};

} // namespace

// Guards against changed defaults and against a parser that rejects comments.
TEST_CASE_FIXTURE(reader_fixture, "parse_minimal_file_with_comments_returns_defaults") {
    const auto outcome = parse(R"({
        // the node
        "node": {"name": "entry-1", "availability_zone": "kotte"},
        "operator_api": {"token_file": "token"}, /* required */
        "platform": {"object_store": "[::1]:9000"}
    })",
        "node.json");
    REQUIRE(format_errors(outcome).empty());
    CHECK(outcome->node.availability_zone == "kotte");
    CHECK(outcome->platform.object_store == core::endpoint{.address = "::1", .port = 9000u});
    CHECK(outcome->ownership.lease_duration == std::chrono::milliseconds{6'000});
    CHECK(outcome->ownership.lease_refresh == std::chrono::milliseconds{2'000});
    CHECK(outcome->ownership.order_validity == std::chrono::milliseconds{1'000});
    CHECK(outcome->policy.leaving_grace == std::chrono::milliseconds{2'000});
    CHECK(outcome->policy.retry_budget_ratio == 0.1);
}

// Guards against a key whose value is dropped or stored in the member of another key.
TEST_CASE_FIXTURE(reader_fixture, "parse_set_keys_are_stored") {
    const auto outcome = parse_with(R"({
        "policy": {"stall_weight": 2.5, "batch_weight": 0, "loads_per_second": 2},
        "membership": {"address": "10.0.0.4", "port": 0, "probe_interval_ms": 500},
        "seeds": ["10.0.0.5:7000"],
        "upstreams": [
            {"name": "e1", "kind": "engine", "address": "10.0.0.6", "port": 9100, "availability_zone": "kotte",
             "base_model": "llama", "checks_fencing_token": true},
            {"name": "s1", "kind": "service", "address": "10.0.0.7", "port": 9200, "availability_zone": "kotte",
             "service": "counter"}],
        "log": {"level": "warning"}})");
    REQUIRE(format_errors(outcome).empty());
    CHECK(outcome->policy.stall_weight == 2.5);
    CHECK(outcome->policy.batch_weight == 0.0);
    CHECK(outcome->policy.loads_per_second == 2.0);
    CHECK(outcome->membership.listen == core::endpoint{.address = "10.0.0.4", .port = 0u});
    CHECK(outcome->membership.probe_interval == std::chrono::milliseconds{500});
    REQUIRE(outcome->seeds.size() == 1u);
    CHECK(outcome->seeds[0] == core::endpoint{.address = "10.0.0.5", .port = 7000u});
    REQUIRE(outcome->upstreams.size() == 2u);
    CHECK(outcome->upstreams[0].checks_fencing_token);
    CHECK(outcome->upstreams[0].base_model == "llama");
    CHECK(outcome->upstreams[1].kind == upstream_kind::service);
    CHECK(outcome->upstreams[1].endpoint == core::endpoint{.address = "10.0.0.7", .port = 9200u});
    CHECK(outcome->log.level == "warning");
}

// Guards against an invalid value that is accepted, or whose error lacks the file, path or accepted values.
TEST_CASE_FIXTURE(reader_fixture, "parse_wrong_value_names_file_path_and_accepted_values") {
    struct test_case {
        std::string_view patch;
        std::string_view expected;
    };

    const std::vector<test_case> test_cases{
        {R"({"policy": {"queue_limt": 1}})",
            "node.json: policy.queue_limt: unknown key; accepted keys here: batch_weight,"},
        {R"({"polcy": {}})", "node.json: polcy: unknown key; accepted keys here: caller_api, journal, log,"},
        {R"({"policy": 3})",
            "node.json: policy: value is not accepted; accepted: an object with the keys batch_weight,"},
        {R"({"policy": {"queue_limit": 0}})",
            "node.json: policy.queue_limit: value 0 is not accepted; accepted: an integer from 1 to 100000"},
        {R"({"policy": {"queue_limit": 1.5}})", "node.json: policy.queue_limit: value 1.5 is not accepted;"},
        {R"({"policy": {"queue_limit": "1"}})", "node.json: policy.queue_limit: value \"1\" is not accepted;"},
        {R"({"policy": {"stall_weight": -1}})",
            "node.json: policy.stall_weight: value -1 is not accepted; accepted: a number from 0 to 1000"},
        {R"({"caller_api": {"port": 65536}})", "node.json: caller_api.port: value 65536 is not accepted;"},
        {R"({"caller_api": {"address": "entry-1"}})", "node.json: caller_api.address: value \"entry-1\" is not "
                                                      "accepted; accepted: a numeric IPv4 or IPv6 address"},
        {R"({"node": {"name": null}})", "node.json: node.name: required key is missing;"},
        {R"({"node": {"name": ""}})", "node.json: node.name: value \"\" is not accepted; accepted: a non-empty string"},
        {R"({"seeds": ["10.0.0.1:7000", "10.0.0.2"]})", "node.json: seeds: value "},
        {R"({"platform": {"object_store": "127.0.0.1:0"}})", "node.json: platform.object_store: value "},
        {R"({"log": {"level": "loud"}})",
            R"(node.json: log.level: value "loud" is not accepted; accepted: one of "debug")"},
        {R"({"upstreams": {}})", "node.json: upstreams: value is not accepted; accepted: a list of objects"},
        {R"({"upstreams": [7]})", "node.json: upstreams[0]: value is not accepted; accepted: an object"},
        {R"({"upstreams": [{"name": "e", "kind": "engine", "address": "10.0.0.1", "port": 1, "availability_zone": "a"}]})",
            "node.json: upstreams[0].base_model: required key is missing;"},
        {R"({"upstreams": [{"name": "s", "kind": "service", "address": "10.0.0.1", "port": 1, "availability_zone": "a"}]})",
            "node.json: upstreams[0].service: required key is missing;"},
        {R"({"upstreams": [{"name": "s", "kind": "gpu", "address": "10.0.0.1", "port": 1, "availability_zone": "a"}]})",
            "node.json: upstreams[0].kind: value \"gpu\" is not accepted; accepted: one of \"engine\", \"service\""},
        {R"({"caller_api": {"default_deadline_ms": 120001}})",
            "node.json: caller_api.default_deadline_ms: value 120001 is not accepted; accepted: at most "
            "caller_api.max_deadline_ms (120000)"},
        {R"({"ownership": {"lease_refresh_ms": 6000}})",
            "node.json: ownership.lease_refresh_ms: value 6000 is not accepted; accepted: less than "
            "ownership.lease_duration_ms (6000)"},
        {R"({"stop_timeout_ms": 1000})", "node.json: caller_api.max_deadline_ms: value 120000 is not accepted;"},
    };
    for(const auto& entry : test_cases) {
        CAPTURE(entry.patch);
        const auto lines = format_errors(parse_with(entry.patch));
        REQUIRE(lines.size() == 1u);
        CHECK(lines[0].substr(0u, entry.expected.size()) == entry.expected);
    }
}

// Guards against a reader that stops at the first error.
TEST_CASE_FIXTURE(reader_fixture, "parse_several_errors_returns_all") {
    const auto lines =
        format_errors(parse(R"({"node": {"name": 1, "threads": 0}, "extra": true, "log": {"levl": "info"}})", "f"));
    CHECK(lines.size() == 7u);
}

// Guards against a repeated key whose last value silently replaces the earlier one.
TEST_CASE_FIXTURE(reader_fixture, "parse_repeated_key_is_rejected") {
    const auto outcome = parse(R"({"node": {"name": "a", "availability_zone": "z", "name": "b"},
        "operator_api": {"token_file": "t"}, "platform": {"object_store": "127.0.0.1:1"},
        "upstreams": [{"name": "s", "kind": "service", "address": "10.0.0.1", "port": 1, "availability_zone": "a",
        "service": "x", "service": "x"}]})",
        "f");
    CHECK(format_errors(outcome) == std::vector<std::string>{"f: node.name: key is repeated; accepted: each key once",
                                        "f: upstreams[0].service: key is repeated; accepted: each key once"});
}

// Guards against two upstreams with one name, which would share an entry in the ownership object.
TEST_CASE_FIXTURE(reader_fixture, "parse_upstream_name_used_twice_is_rejected") {
    const auto lines = format_errors(parse_with(R"({"upstreams": [
        {"name": "s", "kind": "service", "address": "10.0.0.1", "port": 1, "availability_zone": "a", "service": "x"},
        {"name": "s", "kind": "service", "address": "10.0.0.2", "port": 1, "availability_zone": "a", "service": "x"}]})"));
    CHECK(lines ==
          std::vector<std::string>{"node.json: upstreams[1].name: \"s\" is used twice; accepted: a unique name"});
}

// Guards against a missing or malformed file that is reported as valid or aborts the process.
TEST_CASE_FIXTURE(reader_fixture, "check_unreadable_or_broken_file_is_invalid") {
    CHECK_FALSE(check_file("/nonexistent/node.json").valid);
    CHECK_FALSE(check_file("/").valid);
    CHECK(format_errors(parse("{\"node\": ", "f"))[0].starts_with("f: not valid JSON: "));
    CHECK(format_errors(parse("[]", "f"))[0] == "f: value is not accepted; accepted: a JSON object");
}

} // namespace lagoonsaddle::settings
