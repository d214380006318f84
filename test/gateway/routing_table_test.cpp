#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/gateway/routing_table.hpp>

namespace lagoonsaddle::gateway {

namespace {

struct routing_table_fixture {
    routing_table_fixture() {
        for(const auto* name : {"e1", "e2"}) {
            this->upstreams.emplace(
                name, upstream::description{.name = name, .availability_zone = "kotte", .base_model = "base"});
        }
        this->table.update(this->upstreams);
    }

    void report(const std::string& upstream, std::uint64_t token, std::uint64_t sequence, bool resident) {
        wire::upstream_report value{.upstream = upstream,
            .fencing_token = token,
            .sequence = sequence,
            .healthy = true,
            .batch_limit = 8u,
            .free_slots = 1u};
        if(resident) {
            value.resident.push_back("a@1");
        }
        this->table.apply_report(value);
    }

    [[nodiscard]] routing_result rank() const {
        return this->table.rank(route_request{.base_model = "base", .adapter = {.adapter = "a", .version = "1"}});
    }

    core::manual_clock clock{};
    upstream_directory::description_map upstreams{};
    routing_table table{policy::router_options{}, this->clock, "kotte"};
};

} // namespace

// Guards against requests to a leaving upstream, whether a mark or the VM list reports it.
TEST_CASE_FIXTURE(routing_table_fixture, "routing_table_leaving_upstream_gets_no_requests") {
    this->report("e1", 1u, 1u, true);
    this->report("e2", 1u, 1u, true);
    this->table.mark_leaving("e1");
    REQUIRE(this->rank().candidates.size() == 1u);
    CHECK(this->rank().candidates.front().upstream == "e2");

    this->upstreams.at("e2").leaving = true;
    this->table.update(this->upstreams);
    CHECK(this->rank().candidates.empty());
}

// Guards against a late report of a former owner, which must not overwrite the report of the current owner.
TEST_CASE_FIXTURE(routing_table_fixture, "routing_table_report_of_former_owner_is_ignored") {
    this->report("e1", 5u, 1u, true);
    this->report("e2", 5u, 1u, false);
    this->report("e1", 4u, 99u, false);
    CHECK(this->rank().candidates.front().upstream == "e1");
    CHECK(this->rank().candidates.front().resident);
}

// Guards against routing to an upstream that was removed from the VM list.
TEST_CASE_FIXTURE(routing_table_fixture, "routing_table_removed_upstream_is_no_candidate") {
    this->upstreams.erase("e1");
    this->table.update(this->upstreams);
    REQUIRE(this->rank().candidates.size() == 1u);
    CHECK(this->rank().candidates.front().upstream == "e2");
}

} // namespace lagoonsaddle::gateway
