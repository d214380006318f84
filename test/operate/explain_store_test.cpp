#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/operate/explain_store.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::operate {

namespace {

struct explain_store_fixture {
    [[nodiscard]] static explain_record record_of(
        const std::string& request_id, int time, std::optional<core::verdict> verdict = core::verdict::ran) {
        explain_record record{};
        record.request_id = request_id;
        record.time = std::chrono::milliseconds{time};
        record.verdict = verdict;
        return record;
    }

    explain_store store{{.capacity = 64u, .max_entries_per_record = 2u}};
};

} // namespace

// Guards against memory that grows with the number of requests, and against index entries of overwritten records.
TEST_CASE_FIXTURE(explain_store_fixture, "explain_store_above_capacity_overwrites_oldest") {
    for(int index{}; index < 5'000; ++index) {
        this->store.put(record_of(std::to_string(index), index));
    }
    CHECK(this->store.size() == 64u);
    std::size_t found{};
    for(int index{}; index < 5'000; ++index) {
        const auto records = this->store.find(std::to_string(index));
        REQUIRE(records.size() <= 1u);
        found += records.size();
        CHECK((records.empty() || records.front().time.count() == index));
    }
    CHECK(found == 64u);
    CHECK(this->store.find("4999").size() == 1u);
}

// Guards against a finished request shown as in progress, and against retries that overwrite each other.
TEST_CASE_FIXTURE(explain_store_fixture, "explain_store_same_id_replaces_only_record_in_progress") {
    this->store.put(record_of("r", 1, std::nullopt));
    CHECK(encode(this->store.find("r").front())["verdict"] == "in_progress");
    this->store.put(record_of("r", 1, core::verdict::may_have_run));
    this->store.put(record_of("r", 2, core::verdict::ran));
    const auto records = this->store.find("r");
    REQUIRE(records.size() == 2u);
    CHECK(records[0].verdict == core::verdict::ran);
    CHECK(records[1].verdict == core::verdict::may_have_run);
    CHECK(this->store.find("other").empty());
}

// Guards against a truncated record that lacks the upstream that served the request.
TEST_CASE_FIXTURE(explain_store_fixture, "explain_store_many_upstreams_keeps_chosen_one") {
    auto record = record_of("r", 1);
    for(int index{}; index < 10; ++index) {
        record.upstreams.push_back({.upstream = "e" + std::to_string(index), .chosen = index == 9});
    }
    this->store.put(std::move(record));
    const auto kept = this->store.find("r").front().upstreams;
    REQUIRE(kept.size() == 2u);
    CHECK(kept[0].upstream == "e9");
    CHECK(kept[1].upstream == "e0");
}

// Guards against memory exhaustion by long request ids, and against records that cannot be found by such an id.
TEST_CASE_FIXTURE(explain_store_fixture, "explain_store_long_request_id_is_truncated_and_found") {
    const std::string long_id(16'000u, 'x');
    this->store.put(record_of(long_id, 1));
    const auto records = this->store.find(long_id);
    REQUIRE(records.size() == 1u);
    CHECK(records[0].request_id.size() == rules::stored_text_bytes_max);
}

// Guards against members of the record that are missing in its JSON.
TEST_CASE_FIXTURE(explain_store_fixture, "explain_record_encode_contains_all_members") {
    auto record = record_of("r", 7, core::verdict::ran);
    record.rule = "stable";
    record.upstreams = {
        {.upstream = "e1", .owner = "n1", .cost = 3.5, .parts = {{"queue_wait_ms", 3.0}}, .chosen = true}};
    record.waits = {{.name = "queue", .duration = std::chrono::milliseconds{12}}};
    record.load = explain_load{.adapter_version = "a@1", .upstream = "e1", .duration = std::chrono::milliseconds{900}};
    record.attempts = {{.upstream = "e1", .owner = "n1", .verdict = core::verdict::not_run, .reason = "overloaded"}};
    const auto json = encode(record);
    CHECK(json["rule"] == "stable");
    CHECK(json["upstreams"][0]["parts"]["queue_wait_ms"] == 3.0);
    CHECK(json["waits"][0]["duration_ms"] == 12);
    CHECK(json["load"]["duration_ms"] == 900);
    CHECK(json["attempts"][0]["verdict"] == "not_run");
    CHECK(json["attempts"][0]["reason"] == "overloaded");
    CHECK(json["verdict"] == "ran");
}

} // namespace lagoonsaddle::operate
