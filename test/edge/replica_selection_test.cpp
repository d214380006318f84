#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/replica_selection.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Nine nodes in three availability zones, in which four, two and three of them are. */
struct replica_selection_fixture {
    replica_selection_fixture() {
        for(const std::string name : {"a1", "a2", "a3", "a4", "b1", "b2", "c1", "c2", "c3"}) {
            this->members.push_back({.info = {.name = name, .availability_zone = name.substr(0u, 1u)}});
        }
    }

    [[nodiscard]] fleet::member& member(std::string_view name) {
        return *std::ranges::find_if(
            this->members, [name](const fleet::member& other) { return other.info.name == name; });
    }

    std::vector<fleet::member> members{};
};

} // namespace

// Guards against records that are lost with an availability zone.
TEST_CASE_FIXTURE(replica_selection_fixture, "select_replicas_are_in_different_availability_zones") {
    std::set<std::string> used{};
    for(int key{}; key < 200; ++key) {
        const auto selected = select_replicas(std::to_string(key), this->members, 3u);
        REQUIRE(selected.size() == 3u);
        std::set<char> zones{};
        for(const auto& name : selected) {
            zones.insert(name.front());
            used.insert(name);
        }
        CHECK(zones.size() == 3u);
    }
    CHECK(used.size() == this->members.size());
}

// Guards against records that are no longer found because one of the nodes that keep them has failed or is about to
// stop.
TEST_CASE_FIXTURE(replica_selection_fixture, "select_replicas_after_failure_keeps_the_others") {
    const auto before = select_replicas("r", this->members, 3u);
    for(const auto state : {fleet::member_state::dead, fleet::member_state::leaving}) {
        this->member(before.front()).state = state;
        const auto after = select_replicas("r", this->members, 3u);
        CHECK(after.size() == 3u);
        CHECK(std::ranges::find(after, before.front()) == after.end());
        for(const auto& name : {before[1], before[2]}) {
            CHECK(std::ranges::find(after, name) != after.end());
        }
    }
    CHECK(select_replicas("r", std::vector<fleet::member>{}, 3u).empty());
}

} // namespace lagoonsaddle::edge
