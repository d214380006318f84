#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/rules/hit_counter.hpp>
#include <lagoonsaddle/rules/recent_requests.hpp>

namespace lagoonsaddle::rules {

namespace {

struct hit_counter_fixture {
    [[nodiscard]] static request_attributes make_attributes(std::size_t index) {
        return {.request_id = std::to_string(index),
            .caller = "depot",
            .base_model = "b",
            .adapter = "a",
            .version = "1",
            .time = std::chrono::milliseconds{index}};
    }

    hit_counter counter{};
};

} // namespace

// Guards against lost counts under contention and against latest matches that are not the latest of all shards.
TEST_CASE_FIXTURE(hit_counter_fixture, "hit_counter_several_threads_counts_all_and_keeps_latest") {
    constexpr std::size_t threads = 4u;
    constexpr std::size_t per_thread = 2'000u;
    std::vector<std::thread> workers{};
    for(std::size_t thread{}; thread < threads; ++thread) {
        workers.emplace_back([this, thread] {
            for(std::size_t index{}; index < per_thread; ++index) {
                this->counter.record("stable", make_attributes(index * threads + thread));
            }
        });
    }
    for(auto& worker : workers) {
        worker.join();
    }
    const auto hits = this->counter.hits("stable");
    CHECK(hits.count == threads * per_thread);
    CHECK(hits.latest_matches.size() == hit_counter::latest_matches_max);
    CHECK(this->counter.hits("other").count == 0u);
}

// Guards against matches that are returned in the wrong order or without their target.
TEST_CASE_FIXTURE(hit_counter_fixture, "hit_counter_latest_matches_are_newest_first") {
    for(std::size_t index{}; index < 100u; ++index) {
        this->counter.record("stable", make_attributes(index));
    }
    const auto latest_matches = this->counter.hits("stable").latest_matches;
    REQUIRE(latest_matches.size() == hit_counter::latest_matches_max);
    for(std::size_t index{}; index < latest_matches.size(); ++index) {
        CHECK(latest_matches[index].request_id == std::to_string(99u - index));
    }
    CHECK(latest_matches[0].target == "b/a@1");
}

// Guards against memory growth caused by renamed rules, whose old names are never removed.
TEST_CASE_FIXTURE(hit_counter_fixture, "hit_counter_retain_rules_drops_removed_rules") {
    this->counter.record("old", make_attributes(1u));
    this->counter.record("kept", make_attributes(1u));
    this->counter.retain_rules({.rules = {rule{.name = "kept"}}});
    CHECK(this->counter.hits("old").count == 0u);
    CHECK(this->counter.hits("kept").count == 1u);
}

// Guards against callers that exhaust memory by sending long names.
TEST_CASE_FIXTURE(hit_counter_fixture, "hit_counter_and_recent_requests_long_names_are_truncated") {
    auto attributes = make_attributes(1u);
    attributes.caller.assign(16'000u, 'x');
    attributes.adapter = attributes.caller;
    this->counter.record("stable", attributes);
    const auto latest_matches = this->counter.hits("stable").latest_matches;
    REQUIRE(latest_matches.size() == 1u);
    CHECK(latest_matches[0].caller.size() == stored_text_bytes_max);
    CHECK(latest_matches[0].target.size() < 2u * stored_text_bytes_max);
    recent_requests recent{8u};
    recent.record(attributes);
    CHECK(recent.snapshot().front().caller.size() == stored_text_bytes_max);
}

// Guards against unbounded growth and against keeping the oldest requests instead of the newest.
TEST_CASE_FIXTURE(hit_counter_fixture, "recent_requests_above_capacity_keeps_newest") {
    recent_requests recent{64u};
    for(std::size_t index{}; index < 10'000u; ++index) {
        recent.record(make_attributes(index));
    }
    const auto all = recent.snapshot();
    REQUIRE(all.size() == 64u);
    CHECK(all.back().request_id == "9999");
    CHECK(all.front().time > std::chrono::milliseconds{9'800});
}

} // namespace lagoonsaddle::rules
