#include <cstdint>
#include <map>
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

    /*! @brief Lets another request wait on an upstream, as the holder of the availability zone knows it. */
    void place(const std::string& upstream, std::uint64_t tokens) {
        this->load.reserve({"n", ++this->placed}, {.upstream = upstream, .cold_tokens = tokens});
        this->wanted.exact_load = &this->load;
    }

    std::uint64_t placed{};
    reservation_ledger load{};
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

// Guards against shared parts of prompts that each upstream reads again, and against one upstream that reads them all.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_shared_prefix_meets_on_one_of_the_adapters_homes") {
    for(const auto& [id, known] : this->table.all()) {
        this->table.observe_adapter(id, "m", "a", true, 1u, this->now);
    }
    for(int index{}; index < 500; ++index) {
        this->selector.record_request("m", "a", 0u, this->now);
    }
    this->wanted.prompt_tokens = 9'000u;
    this->wanted.shared_tokens = 6'000u;
    std::set<std::string> used{};
    for(std::uint64_t prefix{1u}; prefix <= 40u; ++prefix) {
        this->wanted.shared_prefix = prefix;
        const auto first = this->selector.choose(this->table, this->wanted, this->now);
        CHECK(first->cold_tokens == 3'000u);
        CHECK(this->choose(this->wanted) == first->upstream);
        used.insert(first->upstream);
    }
    // Three upstreams are in the node's own availability zone; each is the home of some prefix.
    CHECK(used.size() >= 3u);
}

// Guards against a prefix whose home is so busy that reading it elsewhere is sooner.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_shared_prefix_with_busy_home_is_read_elsewhere") {
    this->wanted.adapter = "";
    this->wanted.prompt_tokens = 9'000u;
    this->wanted.shared_prefix = 7u;
    this->wanted.shared_tokens = 6'000u;
    const auto home = this->choose(this->wanted);
    this->place(home, 3'000u);
    CHECK(this->choose(this->wanted) == home);
    this->place(home, 40'000u);
    const auto other = this->selector.choose(this->table, this->wanted, this->now);
    CHECK(other->upstream != home);
    CHECK(other->cold_tokens == 9'000u);
}

// Plays a steady load of one hot adapter whose requests share 30 prefixes, sent by two nodes that know only their own
// requests. Guards against nodes that disagree on the homes: a shared part may be read on two upstreams at most.
TEST_CASE_FIXTURE(
    upstream_selector_fixture, "choose_two_nodes_steady_load_reads_each_prefix_on_two_upstreams_at_most") {
    upstream_selector other{{.availability_zone = "z2"}};
    for(const auto& [id, known] : this->table.all()) {
        this->table.observe_adapter(id, "m", "a", true, 1u, this->now);
    }
    this->wanted.nodes = 2u;
    this->wanted.prompt_tokens = 9'000u;
    this->wanted.shared_tokens = 6'000u;
    std::map<std::uint64_t, std::set<std::string>> read_on{};
    for(std::uint64_t index{}; index < 1'200u; ++index) {
        this->now += 30ms;
        auto& node = index % 2u == 0u ? this->selector : other;
        this->wanted.shared_prefix = 1u + index * 7u % 30u;
        node.record_request("m", "a", this->wanted.shared_prefix, this->now);
        const auto choice = node.choose(this->table, this->wanted, this->now);
        // The first seconds only teach the rates.
        if(index >= 600u) {
            read_on[this->wanted.shared_prefix].insert(choice->upstream);
        }
    }
    CHECK(read_on.size() == 30u);
    for(const auto& [prefix, upstreams] : read_on) {
        CAPTURE(prefix);
        CHECK(upstreams.size() <= 2u);
    }
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
    this->place(home, 80'000u);
    CHECK(this->choose(this->wanted) != home);
}

// Plays a burst of long prompts placed by one holder, without a shared part. Guards against prompts that queue behind
// each other, and hold up the streams there, while other upstreams are idle.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_burst_of_long_prompts_each_upstream_gets_one_before_a_second") {
    this->wanted.adapter = "";
    this->wanted.zone = "z1";
    this->wanted.prompt_tokens = 9'000u;
    std::map<std::string, int> prompts{};
    for(int index{}; index < 6; ++index) {
        const auto choice = this->selector.choose(this->table, this->wanted, this->now);
        REQUIRE(choice.has_value());
        ++prompts[choice->upstream];
        this->place(choice->upstream, choice->cold_tokens);
    }
    CHECK(prompts == std::map<std::string, int>{{"z1-1", 2}, {"z1-2", 2}, {"z1-3", 2}});
}

// Guards against a choice outside of the availability zone whose holder makes it.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_zone_given_returns_upstream_of_the_zone") {
    for(const auto* adapter : {"a", "b", "c", "d"}) {
        this->wanted.adapter = adapter;
        this->wanted.zone = "z2";
        CHECK(this->choose(this->wanted).starts_with("z2"));
    }
}

// Guards against a cold adapter that waits for a place while another upstream has one.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_home_without_place_loads_elsewhere") {
    const auto home = this->choose(this->wanted);
    this->wanted.has_place = [&home](const std::string& upstream) {
        return upstream != home;
    };
    CHECK(this->choose(this->wanted) != home);
}

// Guards against requests that go on to an availability zone whose holder reports a long delay.
TEST_CASE_FIXTURE(upstream_selector_fixture, "choose_zone_with_long_delay_goes_elsewhere") {
    this->wanted.adapter = "";
    const auto zone = this->choose(this->wanted).substr(0u, 2u);
    this->wanted.zone_delay_ms = [&zone](std::string_view candidate) {
        return candidate == zone ? 900.0 : 0.0;
    };
    CHECK(this->choose(this->wanted).substr(0u, 2u) != zone);
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
