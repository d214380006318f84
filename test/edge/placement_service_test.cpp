#include <memory>
#include <string>
#include <vector>

#include <boost/asio/detached.hpp>

#include "placement_fixture.hpp"

namespace lagoonsaddle::edge {

// Guards against completing a request before its adapter is resident, and against sending one order per request.
TEST_CASE_FIXTURE(placement_fixture, "ensure_resident_cold_adapter_is_loaded_once_for_all_requests") {
    REQUIRE(this->acquire_lease());
    int ready{};
    for(int index{}; index < 5; ++index) {
        boost::asio::co_spawn(
            this->context,
            [this, &ready]() -> boost::asio::awaitable<void> {
                const auto version = co_await this->placement->ensure_resident(make_request("u1", "a"));
                CHECK(version.has_value());
                CHECK(this->control.engines["u1"].adapters.contains("a"));
                ++ready;
            },
            boost::asio::detached);
    }
    REQUIRE(this->run_until([&ready] { return ready == 5; }));
    CHECK(this->control.engines["u1"].orders == 1u);
}

// Guards against a request that is placed at the version which its load was ordered at although newer ones have
// replaced that one meanwhile, as when the load had to wait for the runs of the version before.
TEST_CASE_FIXTURE(placement_fixture, "ensure_resident_version_replaced_during_its_load_is_loaded_again") {
    REQUIRE(this->acquire_lease());
    this->placement->on_version_announced({.model = "m", .adapter = "a", .version = 1u});
    this->control.load_duration = replaced_version_grace + std::chrono::milliseconds{500};
    auto request = make_request("u1", "a");
    request.version_min = 1u;
    std::optional<core::result<std::uint64_t>> placed{};
    boost::asio::co_spawn(this->context, this->placement->ensure_resident(request),
        [&placed](const std::exception_ptr&, core::result<std::uint64_t> value) { placed = std::move(value); });
    REQUIRE(this->run_until([this] { return !this->control.engines["u1"].load_ends.empty(); }));
    this->placement->on_version_announced({.model = "m", .adapter = "a", .version = 2u});
    REQUIRE(this->run_until([&placed] { return placed.has_value(); }));
    REQUIRE(placed->has_value());
    CHECK(**placed == 2u);
}

// Guards against a peer that is told all versions but those whose time has not ended yet.
TEST_CASE_FIXTURE(placement_fixture, "copy_versions_beyond_limit_copies_those_announced_last") {
    const auto now = this->clock.now();
    this->placement->on_version_learned({.model = "m", .adapter = "a", .version = 1u}, std::nullopt);
    this->placement->on_version_learned({.model = "m", .adapter = "b", .version = 1u}, now - std::chrono::minutes{1});
    this->placement->on_version_learned({.model = "m", .adapter = "c", .version = 1u}, now);
    this->placement->on_version_learned({.model = "m", .adapter = "c", .version = 2u}, now);
    CHECK(this->placement->copy_versions(10u).size() == 3u);
    const auto copies = this->placement->copy_versions(2u);
    REQUIRE(copies.size() == 2u);
    CHECK(copies.front().adapter == "c");
    CHECK(copies.back().adapter == "b");
    const auto ages = this->placement->version_ages(copies);
    REQUIRE(ages.size() == 2u);
    CHECK(ages.front().has_value());
    CHECK(ages.back() >= 60'000u);
}

// Guards against more adapters than slots, and against evicting an adapter in use: the third adapter is refused.
TEST_CASE_FIXTURE(placement_fixture, "ensure_resident_all_slots_in_use_fails_as_overloaded") {
    REQUIRE(this->acquire_lease());
    CHECK(this->run(this->placement->ensure_resident(make_request("u1", "a"))).has_value());
    CHECK(this->run(this->placement->ensure_resident(make_request("u1", "b"))).has_value());
    this->placement->record_use("u1", "m", "a");
    this->placement->record_use("u1", "m", "b");
    CHECK_FALSE(this->placement->has_adapter_slot("u1", "m", "c"));
    CHECK(this->placement->has_adapter_slot("u1", "m", "a"));
    const auto third = this->run(this->placement->ensure_resident(make_request("u1", "c")));
    REQUIRE_FALSE(third.has_value());
    CHECK(third.error().cause == core::reason::overloaded);
    CHECK(third.error().verdict == core::verdict::not_run);
    CHECK(this->control.adapter_count_max == 2u);
}

// Guards against adapters that stay resident without requests while others wait for a slot.
TEST_CASE_FIXTURE(placement_fixture, "ensure_resident_evicts_idle_adapter") {
    REQUIRE(this->acquire_lease());
    for(const auto* adapter : {"a", "b", "c"}) {
        auto request = make_request("u1", adapter);
        request.may_wait = true;
        CHECK(this->run(this->placement->ensure_resident(request)).has_value());
    }
    CHECK(this->control.adapter_count_max == 2u);
    CHECK(this->control.engines["u1"].adapters.contains("c"));
}

// Guards against a crash that was observed when an upstream was removed while an order to it was in progress.
TEST_CASE_FIXTURE(placement_fixture, "ensure_resident_upstream_removed_during_order_fails_and_service_continues") {
    REQUIRE(this->acquire_lease());
    this->control.order_delay = std::chrono::milliseconds{30};
    std::optional<core::result<std::uint64_t>> first{};
    boost::asio::co_spawn(this->context, this->placement->ensure_resident(make_request("u1", "a")),
        [&first](const std::exception_ptr&, core::result<std::uint64_t> value) { first = std::move(value); });
    REQUIRE(this->run_until([this] { return this->control.calls > 0; }));
    CHECK(this->upstreams.remove("u1", this->clock.now()));
    REQUIRE(this->run_until([&first] { return first.has_value(); }));
    CHECK_FALSE(first->has_value());
    CHECK(this->run(this->placement->ensure_resident(make_request("u2", "a"))).has_value());
}

// Guards against two nodes that order loads after a lease was released, and against requests that wait for a node that
// is stopping.
TEST_CASE_FIXTURE(placement_fixture, "release_leases_clears_holder_and_refuses_loads") {
    REQUIRE(this->acquire_lease());
    boost::asio::co_spawn(this->context, this->placement->release_leases(), boost::asio::detached);
    REQUIRE(this->run_until([this] { return this->store.leases["z"].lease.holder.empty(); }));
    CHECK_FALSE(this->placement->may_order_loads("z"));
    const auto late = this->run(this->placement->ensure_resident(make_request("u1", "a")));
    REQUIRE_FALSE(late.has_value());
    CHECK(late.error().cause == core::reason::lease_expired);
}

// Guards against a lease holder that keeps the lease although it reaches no upstream, and one that never takes it
// again.
TEST_CASE_FIXTURE(placement_fixture, "maintain_lease_partitioned_holder_releases_it_until_the_partition_has_healed") {
    REQUIRE(this->acquire_lease());
    this->partitions.announce(*this->membership, true, this->clock.now());
    REQUIRE(this->run_until([this] { return this->store.leases["z"].lease.holder.empty(); }));
    CHECK_FALSE(this->placement->may_order_loads("z"));
    // Longer than the absence of a holder after which a lease is acquired.
    CHECK_FALSE(this->run_until(
        [this] { return !this->store.leases["z"].lease.holder.empty(); }, std::chrono::milliseconds{1'500}));
    this->partitions.announce(*this->membership, false, this->clock.now());
    CHECK(this->acquire_lease());
}

// Guards against an order with the token of another node: the lease may pass to it while a worker waits for a report
// that shows that the base model is missing.
TEST_CASE_FIXTURE(placement_fixture, "send_order_lease_lost_while_worker_waits_for_report_is_not_sent") {
    bool is_taken{};
    this->control.holds_model = false;
    this->control.before_report = [this, &is_taken] {
        auto taken = this->store.leases["z"];
        taken.lease.holder = "other";
        ++taken.lease.fencing_token;
        ++taken.revision;
        this->store.leases["z"] = taken;
        this->placement->on_lease_changed("z", &taken);
        is_taken = true;
    };
    boost::asio::co_spawn(
        this->context,
        [this]() -> boost::asio::awaitable<void> {
            boost::asio::steady_timer timer{this->context};
            while(!this->placement->may_order_loads("z")) {
                timer.expires_after(std::chrono::milliseconds{1});
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            static_cast<void>(co_await this->placement->ensure_resident(make_request("u1", "a")));
        },
        boost::asio::detached);
    REQUIRE(this->run_until([&is_taken] { return is_taken; }));
    CHECK_FALSE(this->run_until([this] { return !this->control.sent.empty(); }, std::chrono::milliseconds{500}));
}

// Guards against a read of each availability zone's lease by all nodes at the start of a fleet.
TEST_CASE_FIXTURE(placement_fixture, "on_leases_listed_lease_is_not_read_before_it_is_acquired") {
    this->placement->on_leases_listed(0u);
    REQUIRE(this->acquire_lease());
    CHECK(this->store.lease_reads == 0);
}

// Guards against holders in other availability zones: all nodes of a fleet start without knowing each other.
TEST_CASE_FIXTURE(placement_fixture, "maintain_lease_started_node_leaves_other_zones_to_their_nodes") {
    upstream_entry entry{.id = "u3",
        .service = "s",
        .availability_zone = "y",
        .address = {.address = "127.0.0.1", .port = 3u},
        .request_slots = 8u};
    this->upstreams.update(entry, this->clock.now());
    this->placement->on_leases_listed(0u);
    this->placement->on_upstreams_changed();
    REQUIRE(this->acquire_lease());
    CHECK_FALSE(this->run_until([this] { return this->store.leases.contains("y"); }, std::chrono::milliseconds{1'500}));
    CHECK(this->run_until([this] { return this->store.leases.contains("y"); }, std::chrono::milliseconds{4'000}));
}

} // namespace lagoonsaddle::edge
