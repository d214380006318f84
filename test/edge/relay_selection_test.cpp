#include <cstddef>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/relay_selection.hpp>

namespace lagoonsaddle::edge {

namespace {

struct relay_selection_fixture {
    std::vector<relay_candidate> candidates{{.name = "n1", .availability_zone = "a"},
        {.name = "n2", .availability_zone = "b"}, {.name = "n3", .availability_zone = "c"}};
    relayed_path path{.upstream = "u", .upstream_zone = "a", .node_zone = "b"};
};

} // namespace

// Guards against one peer that carries the requests of a partitioned node alone.
TEST_CASE_FIXTURE(relay_selection_fixture, "select_relay_many_exchanges_spreads_them_evenly") {
    for(int exchange{}; exchange < 90; ++exchange) {
        const auto index = select_relay(this->candidates, this->path);
        REQUIRE(index.has_value());
        ++this->candidates[*index].exchanges;
    }
    for(const auto& candidate : this->candidates) {
        CHECK(candidate.exchanges >= 28u);
    }
}

// Guards against bytes that cross availability zones twice while a peer on the way has room.
TEST_CASE_FIXTURE(relay_selection_fixture, "select_relay_idle_peers_returns_one_in_zone_of_path") {
    for(const auto* upstream : {"u1", "u2", "u3", "u4", "u5", "u6"}) {
        this->path.upstream = upstream;
        CHECK(select_relay(this->candidates, this->path) != 2u);
    }
}

// Guards against a node that waits for a peer although there is none.
TEST_CASE_FIXTURE(relay_selection_fixture, "select_relay_no_candidates_returns_nothing") {
    CHECK_FALSE(select_relay({}, this->path).has_value());
}

} // namespace lagoonsaddle::edge
