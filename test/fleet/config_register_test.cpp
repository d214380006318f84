#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/fleet/config_register.hpp>

namespace lagoonsaddle::fleet {

namespace {

using namespace std::chrono_literals;

struct config_register_fixture {
    core::time_point now{1h};
    config_register values{};
};

} // namespace

// Guards against a configuration that reverts when an old body arrives late.
TEST_CASE_FIXTURE(config_register_fixture, "apply_lower_or_equal_version_changes_nothing") {
    CHECK(this->values.apply({"rules", 5u, "five"}));
    CHECK(!this->values.apply({"rules", 4u, "four"}));
    CHECK(!this->values.apply({"rules", 5u, "other"}));
    CHECK(this->values.find("rules")->body == "five");
    CHECK(!this->values.learn("rules", 4u));
    CHECK(this->values.known() == std::vector<config_version>{{"rules", 5u}});
    CHECK(this->values.find("shared") == nullptr);
}

// Guards against bodies that are never fetched, or fetched again while the first fetch is under way.
TEST_CASE_FIXTURE(config_register_fixture, "to_fetch_names_newer_versions_once_per_retry_time") {
    CHECK(this->values.learn("rules", 3u));
    CHECK(this->values.to_fetch(this->now) == std::vector<config_version>{{"rules", 3u}});
    CHECK(this->values.to_fetch(this->now + 100ms).empty());
    CHECK(this->values.to_fetch(this->now + 500ms) == std::vector<config_version>{{"rules", 3u}});
    this->values.fetch_failed("rules");
    CHECK(this->values.to_fetch(this->now + 510ms).size() == 1u);
    CHECK(this->values.learn("rules", 4u));
    CHECK(this->values.to_fetch(this->now + 520ms) == std::vector<config_version>{{"rules", 4u}});
    // A body below the highest known version is in force, but the highest one is still wanted.
    CHECK(this->values.apply({"rules", 3u, "three"}));
    CHECK(this->values.to_fetch(this->now + 530ms) == std::vector<config_version>{{"rules", 4u}});
    CHECK(this->values.apply({"rules", 4u, "four"}));
    CHECK(this->values.to_fetch(this->now + 10s).empty());
}

// Guards against a node that serves callers with a configuration older than its seeds know.
TEST_CASE_FIXTURE(config_register_fixture, "ready_needs_the_highest_version_of_every_seed") {
    CHECK(!this->values.ready());
    this->values.apply({"rules", 9u, "nine"});
    CHECK(!this->values.ready());
    this->values.learn_from_seed({{"rules", 8u}, {"shared", 2u}});
    CHECK(!this->values.ready());
    this->values.apply({"shared", 2u, "two"});
    CHECK(this->values.ready());
    this->values.learn_from_seed({{"rules", 11u}});
    CHECK(!this->values.ready());
    this->values.apply({"rules", 11u, "eleven"});
    CHECK(this->values.ready());
    // A change that spreads later does not take a node out of service.
    this->values.learn("rules", 12u);
    CHECK(this->values.ready());
}

// Guards against counts that include nodes that are gone, or versions that a node has left behind.
TEST_CASE_FIXTURE(config_register_fixture, "reported_counts_each_live_node_once") {
    this->values.report("n1", 1u, "rules", 5u);
    this->values.report("n1", 1u, "rules", 4u);
    this->values.report("n2", 1u, "rules", 5u);
    this->values.report("n3", 1u, "rules", 4u);
    CHECK(this->values.reported("rules") == std::map<std::uint64_t, std::size_t>{{4u, 1u}, {5u, 2u}});
    this->values.report("n1", 2u, "rules", 3u);
    this->values.forget("n2");
    CHECK(this->values.reported("rules") == std::map<std::uint64_t, std::size_t>{{3u, 1u}, {4u, 1u}});
    CHECK(this->values.reported("shared").empty());
}

// Guards against any order of events in which the version in force falls or the highest one is not fetched.
TEST_CASE("config_register_random_events_never_revert") {
    for(std::uint64_t seed{}; seed < seed_count(2000u); ++seed) {
        random_source random{seed};
        config_register values{};
        core::time_point now{};
        std::uint64_t in_force{};
        std::uint64_t highest{};
        for(int step{}; step < 100; ++step) {
            now += std::chrono::milliseconds{random.below(300u)};
            const auto version = 1u + random.below(50u);
            switch(random.below(4u)) {
            case 0:
                values.learn("rules", version);
                highest = std::max(highest, version);
                break;
            case 1:
                values.apply({"rules", version, std::to_string(version)});
                highest = std::max(highest, version);
                break;
            case 2:
                values.fetch_failed("rules");
                break;
            default:
                for(const auto& wanted : values.to_fetch(now)) {
                    CHECK_MESSAGE(wanted.version == highest, "seed " << seed);
                }
                break;
            }
            const auto* object = values.find("rules");
            const auto present = object == nullptr ? 0u : object->version;
            CHECK_MESSAGE(present >= in_force, "seed " << seed);
            CHECK_MESSAGE((object == nullptr || object->body == std::to_string(present)), "seed " << seed);
            in_force = present;
        }
        const auto wanted = values.to_fetch(now + 1h);
        CHECK_MESSAGE(wanted.empty() == (in_force == highest), "seed " << seed);
    }
}

} // namespace lagoonsaddle::fleet
