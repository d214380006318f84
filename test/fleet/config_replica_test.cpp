#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/fleet/config_replica.hpp>

namespace lagoonsaddle::fleet {

namespace {

using namespace std::chrono_literals;

struct config_replica_fixture {
    core::time_point now{1h};
    config_replica replica{};
};

} // namespace

// Guards against a configuration that reverts when the body of an older version arrives late.
TEST_CASE_FIXTURE(config_replica_fixture, "apply_lower_or_equal_version_changes_nothing") {
    CHECK(this->replica.apply({"rules", 5u, "five"}));
    CHECK(!this->replica.apply({"rules", 4u, "four"}));
    CHECK(!this->replica.apply({"rules", 5u, "other"}));
    CHECK(this->replica.find("rules")->body == "five");
    CHECK(!this->replica.observe_version("rules", 4u));
    CHECK(this->replica.known_versions() == std::vector<config_version>{{"rules", 5u}});
    CHECK(this->replica.find("shared") == nullptr);
}

// Guards against bodies that are never fetched, or fetched again while a fetch is in progress.
TEST_CASE_FIXTURE(config_replica_fixture, "begin_fetches_returns_newer_versions_once_per_retry_interval") {
    CHECK(this->replica.observe_version("rules", 3u));
    CHECK(this->replica.begin_fetches(this->now) == std::vector<config_version>{{"rules", 3u}});
    CHECK(this->replica.begin_fetches(this->now + 100ms).empty());
    CHECK(this->replica.begin_fetches(this->now + 500ms) == std::vector<config_version>{{"rules", 3u}});
    this->replica.on_fetch_failed("rules");
    CHECK(this->replica.begin_fetches(this->now + 510ms).size() == 1u);
    CHECK(this->replica.observe_version("rules", 4u));
    CHECK(this->replica.begin_fetches(this->now + 520ms) == std::vector<config_version>{{"rules", 4u}});
    // Applying a version below the highest known one does not cancel the fetch of the highest one.
    CHECK(this->replica.apply({"rules", 3u, "three"}));
    CHECK(this->replica.begin_fetches(this->now + 530ms) == std::vector<config_version>{{"rules", 4u}});
    CHECK(this->replica.apply({"rules", 4u, "four"}));
    CHECK(this->replica.begin_fetches(this->now + 10s).empty());
}

// Guards against a node that becomes ready with a configuration older than the one its seeds know.
TEST_CASE_FIXTURE(config_replica_fixture, "ready_requires_the_highest_version_of_every_seed") {
    CHECK(!this->replica.ready());
    this->replica.apply({"rules", 9u, "nine"});
    CHECK(!this->replica.ready());
    this->replica.require_versions({{"rules", 8u}, {"shared", 2u}});
    CHECK(!this->replica.ready());
    this->replica.apply({"shared", 2u, "two"});
    CHECK(this->replica.ready());
    this->replica.require_versions({{"rules", 11u}});
    CHECK(!this->replica.ready());
    this->replica.apply({"rules", 11u, "eleven"});
    CHECK(this->replica.ready());
    // A version published after the node became ready does not make it unready.
    this->replica.observe_version("rules", 12u);
    CHECK(this->replica.ready());
}

// Guards against counts that include departed nodes or superseded versions of a node.
TEST_CASE_FIXTURE(config_replica_fixture, "count_nodes_by_version_counts_each_node_once") {
    this->replica.record_node_version("n1", 1u, "rules", 5u);
    this->replica.record_node_version("n1", 1u, "rules", 4u);
    this->replica.record_node_version("n2", 1u, "rules", 5u);
    this->replica.record_node_version("n3", 1u, "rules", 4u);
    CHECK(this->replica.count_nodes_by_version("rules") == std::map<std::uint64_t, std::size_t>{{4u, 1u}, {5u, 2u}});
    this->replica.record_node_version("n1", 2u, "rules", 3u);
    this->replica.forget_node("n2");
    CHECK(this->replica.count_nodes_by_version("rules") == std::map<std::uint64_t, std::size_t>{{3u, 1u}, {4u, 1u}});
    CHECK(this->replica.count_nodes_by_version("shared").empty());
}

// Guards against an order of events in which the applied version decreases or the highest one is not fetched.
TEST_CASE("config_replica_random_events_never_revert") {
    for(std::uint64_t seed{}; seed < seed_count(2000u); ++seed) {
        random_source random{seed};
        config_replica replica{};
        core::time_point now{};
        std::uint64_t last_applied{};
        std::uint64_t highest_known{};
        for(int step{}; step < 100; ++step) {
            now += std::chrono::milliseconds{random.below(300u)};
            const auto version = 1u + random.below(50u);
            switch(random.below(4u)) {
            case 0:
                replica.observe_version("rules", version);
                highest_known = std::max(highest_known, version);
                break;
            case 1:
                replica.apply({"rules", version, std::to_string(version)});
                highest_known = std::max(highest_known, version);
                break;
            case 2:
                replica.on_fetch_failed("rules");
                break;
            default:
                for(const auto& requested : replica.begin_fetches(now)) {
                    CHECK_MESSAGE(requested.version == highest_known, "seed " << seed);
                }
                break;
            }
            const auto* object = replica.find("rules");
            const auto applied_version = object == nullptr ? 0u : object->version;
            CHECK_MESSAGE(applied_version >= last_applied, "seed " << seed);
            CHECK_MESSAGE((object == nullptr || object->body == std::to_string(applied_version)), "seed " << seed);
            last_applied = applied_version;
        }
        const auto requested = replica.begin_fetches(now + 1h);
        CHECK_MESSAGE(requested.empty() == (last_applied == highest_known), "seed " << seed);
    }
}

} // namespace lagoonsaddle::fleet
