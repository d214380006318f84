#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/path_monitor.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct path_monitor_fixture {
    void pass(core::duration time) {
        this->now += time;
    }

    /*! @brief Applies a sample of three upstreams. */
    bool sample(bool reached) {
        return this->monitor.apply({.started = this->now, .tried = 3u, .reached = reached}, this->now);
    }

    core::time_point now{std::chrono::hours{1}};
    path_monitor monitor{};
    const std::vector<std::string> upstreams{"u1", "u2", "u3", "u4", "u5"};
};

} // namespace

// Guards against a node that takes the pause of one upstream for a partition.
TEST_CASE_FIXTURE(path_monitor_fixture, "is_sample_due_one_upstream_silent_returns_false_while_others_answer") {
    this->monitor.begin_exchange(1u, this->now);
    this->monitor.begin_exchange(2u, this->now);
    for(int step{}; step < 20; ++step) {
        this->pass(100ms);
        this->monitor.record_received(2u, "u2", this->now);
        CHECK_FALSE(this->monitor.is_sample_due(this->now));
    }
}

// Guards against a node that does not notice that all its connections hang, and one that samples without need.
TEST_CASE_FIXTURE(path_monitor_fixture, "is_sample_due_all_upstreams_silent_returns_true_while_exchanges_wait") {
    this->monitor.record_received(1u, "u1", this->now);
    this->pass(2s);
    CHECK_FALSE(this->monitor.is_sample_due(this->now));
    this->monitor.begin_exchange(2u, this->now);
    this->pass(400ms);
    CHECK_FALSE(this->monitor.is_sample_due(this->now));
    this->pass(100ms);
    CHECK(this->monitor.is_sample_due(this->now));
    CHECK_FALSE(this->sample(true));
    this->pass(100ms);
    CHECK_FALSE(this->monitor.is_sample_due(this->now));
    this->pass(400ms);
    CHECK(this->monitor.is_sample_due(this->now));
    this->monitor.end_exchange(2u);
    CHECK_FALSE(this->monitor.is_sample_due(this->now));
}

// Guards against a partition that is declared without a failed sample, or never ends.
TEST_CASE_FIXTURE(path_monitor_fixture, "apply_sample_decides_on_partition") {
    CHECK_FALSE(this->monitor.apply({.started = this->now}, this->now));
    CHECK_FALSE(this->monitor.partitioned());
    CHECK(this->sample(false));
    CHECK(this->monitor.partitioned());
    CHECK_FALSE(this->sample(false));
    this->pass(200ms);
    CHECK_FALSE(this->monitor.is_sample_due(this->now));
    this->pass(100ms);
    CHECK(this->monitor.is_sample_due(this->now));
    CHECK(this->sample(true));
    CHECK_FALSE(this->monitor.partitioned());
    CHECK(this->monitor.is_sample_valid(this->now));
    this->pass(200ms);
    CHECK_FALSE(this->monitor.is_sample_valid(this->now));
}

// Guards against a request on a connection that hangs, and against giving up one that has carried bytes since.
TEST_CASE_FIXTURE(path_monitor_fixture, "reuse_limit_while_partitioned_excludes_connections_idle_since_before") {
    CHECK_FALSE(this->monitor.reuse_limit(this->now).has_value());
    this->sample(false);
    this->pass(700ms);
    CHECK(this->monitor.reuse_limit(this->now) == core::duration{700ms});
    this->sample(true);
    CHECK_FALSE(this->monitor.reuse_limit(this->now).has_value());
}

// Guards against a sample of upstreams that have failed before, which would show a partition where there is none.
TEST_CASE_FIXTURE(path_monitor_fixture, "choose_sample_prefers_upstreams_heard_last_to_suspect") {
    this->monitor.record_received(1u, "u5", this->now);
    this->pass(1ms);
    this->monitor.record_received(1u, "u2", this->now);
    this->pass(1ms);
    this->monitor.record_received(1u, "u4", this->now);
    CHECK(this->monitor.choose_sample(this->upstreams, "u4") == std::vector<std::string>{"u2", "u5", "u1"});
    CHECK(this->monitor.choose_sample(std::vector<std::string>{"u4"}, "u4") == std::vector<std::string>{"u4"});
    CHECK(this->monitor.choose_sample({}, "u4").empty());
}

// Guards against a cut that is not found to have healed because the same dead upstreams are tried each time.
TEST_CASE_FIXTURE(path_monitor_fixture, "choose_sample_while_partitioned_tries_all_upstreams_in_turn") {
    this->sample(false);
    std::vector<std::string> tried{};
    for(int round{}; round < 2; ++round) {
        for(auto& id : this->monitor.choose_sample(this->upstreams, {})) {
            tried.push_back(std::move(id));
        }
    }
    for(const auto& id : this->upstreams) {
        CHECK(std::ranges::find(tried, id) != tried.end());
    }
}

// Guards against exchanges that are given up although their upstream answers, in any order of events.
TEST_CASE_FIXTURE(path_monitor_fixture, "silent_exchanges_random_events_returns_only_those_without_bytes") {
    for(std::uint32_t seed{1u}; seed <= 200u; ++seed) {
        CAPTURE(seed);
        std::minstd_rand random{seed};
        std::map<std::uint64_t, core::time_point> expected{};
        path_monitor tested{};
        for(int step{}; step < 100; ++step) {
            const std::uint64_t id = random() % 8u;
            this->pass(std::chrono::milliseconds{random() % 200u});
            const auto event = random() % 3u;
            if(event == 0u) {
                tested.begin_exchange(id, this->now);
                expected[id] = this->now;
            } else if(event == 1u) {
                tested.record_received(id, "u1", this->now);
                if(expected.contains(id)) {
                    expected[id] = this->now;
                }
            } else {
                tested.end_exchange(id);
                expected.erase(id);
            }
            for(const auto silent : tested.silent_exchanges(this->now)) {
                REQUIRE(expected.contains(silent));
                CHECK(this->now - expected.at(silent) >= core::duration{500ms});
            }
        }
    }
}

} // namespace lagoonsaddle::edge
