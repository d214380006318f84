#include <set>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/upstream_selector.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct upstream_selector_fixture {
    upstream_selector_fixture() {
        for(const std::string zone : {"z1", "z2"}) {
            for(const std::string number : {"1", "2", "3"}) {
                std::string id{zone};
                id.append("-").append(number);
                upstream_entry entry{.id = std::move(id), .service = "s", .availability_zone = zone, .slots = 8u};
                entry.models["m"].version = 1u;
                this->table.update(entry, this->now);
            }
        }
    }

    [[nodiscard]] std::string choose(const selection_request& wanted) {
        const auto choice = this->selector.choose(this->table, wanted, this->now);
        return choice ? choice->upstream : "";
    }

    upstream_table table{};
    upstream_selector selector{{.availability_zone = "z1"}};
    core::time_point now{100s};
    selection_request wanted{.service = "s", .model = "m", .adapter = "a"};
};

} // namespace

// Guards against a load on another upstream for each request of an adapter.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_cold_adapter_same_upstream_from_every_zone") {
    const auto home = this->choose(this->wanted);
    const upstream_selector other{{.availability_zone = "z2"}};
    for(int index{}; index < 20; ++index) {
        this->wanted.adapter = "a";
        CHECK(this->choose(this->wanted) == home);
    }
    CHECK_FALSE(this->selector.choose(this->table, this->wanted, this->now)->resident);
}

// Guards against a load where the adapter is resident already.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_resident_adapter_returns_its_upstream") {
    const auto home = this->choose(this->wanted);
    const std::string holder = home == "z1-1" ? "z1-2" : "z1-1";
    this->table.observe_adapter(holder, "m", "a", true, 1u, this->now);
    const auto choice = this->selector.choose(this->table, this->wanted, this->now);
    CHECK(choice->upstream == holder);
    CHECK(choice->resident);
    this->wanted.version_min = 2u;
    CHECK_FALSE(this->selector.choose(this->table, this->wanted, this->now)->resident);
}

// Guards against requests for one hot adapter that wait behind each other while other upstreams are idle.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_loaded_home_spills_to_another") {
    const auto home = this->choose(this->wanted);
    this->table.observe_adapter(home, "m", "a", true, 1u, this->now);
    this->table.find(home)->peers = known_upstream::peer_load{.pending_tokens = 80'000u, .at = this->now};
    CHECK(this->choose(this->wanted) != home);
}

// Guards against an upstream that fails requests while its health check succeeds.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_failing_upstream_is_avoided_and_tried_again") {
    const auto home = this->choose(this->wanted);
    for(int index{}; index < 5; ++index) {
        this->table.find(home)->health.record(true, this->now);
    }
    CHECK(this->choose(this->wanted) != home);
    this->now += 60s;
    CHECK(this->choose(this->wanted) == home);
}

// Guards against a cold adapter in an availability zone in which nobody can order its load.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_zone_without_loader_loads_elsewhere") {
    const auto home = this->choose(this->wanted);
    const auto zone = home.substr(0u, 2u);
    this->wanted.can_load = [&zone](std::string_view candidate) {
        return candidate != zone;
    };
    CHECK(this->choose(this->wanted).substr(0u, 2u) != zone);
}

// Guards against a choice among upstreams that failed the request, are leaving, or lost their model.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_no_candidate_returns_nothing") {
    std::set<std::string> excluded{"z1-1", "z1-2", "z1-3", "z2-1"};
    this->table.mark_leaving("z2-2", 0u);
    this->table.observe_model_missing("z2-3", "m");
    this->wanted.excluded = &excluded;
    CHECK(this->choose(this->wanted).empty());
}

} // namespace lagoonsaddle::edge
