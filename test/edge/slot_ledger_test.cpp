#include <random>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/slot_ledger.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct slot_ledger_fixture {
    slot_ledger_fixture() {
        upstream_report report{.orders_accepted = 3u};
        report.models["m"].version = 1u;
        REQUIRE(this->ledger.synchronize(report, this->now, this->now));
    }

    void load(const std::string& adapter) {
        this->ledger.want("m", adapter, 0u, this->now);
        const auto order = this->ledger.next(this->now);
        REQUIRE(order.has_value());
        CHECK(order->load);
        CHECK(order->adapter == adapter);
        this->ledger.record(*order, order_outcome::accepted, this->now);
        this->ledger.record(*order, order_outcome::done, this->now);
        this->ledger.unwant("m", adapter);
    }

    slot_ledger ledger{{.slots = 2u}};
    core::time_point now{100s};
};

} // namespace

// Guards against a load beyond the places, on which the upstream crashes: the least recently used adapter goes first.
TEST_CASE_FIXTURE(slot_ledger_fixture, "next_full_upstream_unloads_least_recently_used") {
    this->load("a");
    this->now += 1s;
    this->load("b");
    this->now += 1s;
    this->ledger.touch("m", "a", this->now - 600ms);
    this->ledger.want("m", "c", 0u, this->now);
    const auto order = this->ledger.next(this->now);
    REQUIRE(order.has_value());
    CHECK_FALSE(order->load);
    CHECK(order->adapter == "b");
    this->ledger.record(*order, order_outcome::done, this->now);
    CHECK(this->ledger.next(this->now)->adapter == "c");
}

// Guards against the eviction of an adapter in use.
TEST_CASE_FIXTURE(slot_ledger_fixture, "next_all_in_use_returns_nothing") {
    this->load("a");
    this->load("b");
    this->now += 1s;
    this->ledger.touch("m", "a", this->now);
    this->ledger.touch("m", "b", this->now);
    this->ledger.want("m", "c", 0u, this->now);
    CHECK_FALSE(this->ledger.next(this->now).has_value());
    CHECK_FALSE(this->ledger.can_place("m", "c", this->now));
    CHECK(this->ledger.can_place("m", "a", this->now));
    CHECK(this->ledger.free_places(this->now) == 0u);
}

// Guards against the loss of an order's effect: a report describes a moment before the order.
TEST_CASE_FIXTURE(slot_ledger_fixture, "synchronize_report_older_than_order_is_ignored") {
    this->load("a");
    upstream_report old{.orders_accepted = 3u};
    old.models["m"].version = 1u;
    CHECK_FALSE(this->ledger.synchronize(old, this->now + 50ms, this->now + 60ms));
    CHECK(this->ledger.resident("m", "a").has_value());
    CHECK(this->ledger.synchronize(old, this->now + 500ms, this->now + 510ms));
    CHECK_FALSE(this->ledger.resident("m", "a").has_value());
}

// Guards against loads for requests that nobody waits for any more, which displace adapters in use.
TEST_CASE_FIXTURE(slot_ledger_fixture, "unwant_last_request_cancels_load") {
    CHECK(this->ledger.want("m", "a", 0u, this->now));
    CHECK_FALSE(this->ledger.want("m", "a", 0u, this->now));
    this->ledger.unwant("m", "a");
    CHECK(this->ledger.next(this->now).has_value());
    this->ledger.unwant("m", "a");
    CHECK_FALSE(this->ledger.next(this->now).has_value());
}

// Guards against an adapter that keeps its old version after a newer one was announced.
TEST_CASE_FIXTURE(slot_ledger_fixture, "announce_newer_version_replaces_resident") {
    this->load("a");
    this->ledger.announce("m", "a", 4u);
    const auto order = this->ledger.next(this->now);
    REQUIRE(order.has_value());
    CHECK(order->load);
    CHECK(order->version == 4u);
}

// Guards against an order that a late one has overtaken: the number of accepted orders no longer matches.
TEST_CASE_FIXTURE(slot_ledger_fixture, "record_out_of_turn_needs_report") {
    this->ledger.want("m", "a", 0u, this->now);
    const auto order = this->ledger.next(this->now);
    this->ledger.record(*order, order_outcome::out_of_turn, this->now);
    CHECK_FALSE(this->ledger.synchronized());
    CHECK_FALSE(this->ledger.next(this->now).has_value());
}

// Guards against a repeated order that is counted twice, so that all later orders are refused.
TEST_CASE_FIXTURE(slot_ledger_fixture, "record_repeated_load_counts_once") {
    this->ledger.want("m", "a", 0u, this->now);
    const auto order = this->ledger.next(this->now);
    this->ledger.record(*order, order_outcome::accepted, this->now);
    CHECK(this->ledger.orders_accepted() == 4u);
    CHECK_FALSE(this->ledger.next(this->now).has_value());
    this->now = *this->ledger.next_confirmation();
    const auto repeated = this->ledger.next(this->now);
    REQUIRE(repeated.has_value());
    this->ledger.record(*repeated, order_outcome::accepted, this->now);
    CHECK(this->ledger.orders_accepted() == 4u);
    this->ledger.record(*repeated, order_outcome::done, this->now);
    CHECK(this->ledger.orders_accepted() == 4u);
    CHECK(this->ledger.resident("m", "a").has_value());
}

// Guards, over random series of wishes, uses and outcomes, against more adapters than places.
TEST_CASE("next_random_series_never_exceeds_slots") {
    constexpr std::size_t slots{4u};
    for(unsigned seed{1u}; seed <= 50u; ++seed) {
        std::mt19937 random{seed};
        slot_ledger ledger{{.slots = slots}};
        core::time_point now{100s};
        upstream_report truth{};
        truth.models["m"].version = 1u;
        REQUIRE(ledger.synchronize(truth, now, now));
        for(int step{}; step < 400; ++step) {
            now += std::chrono::milliseconds{random() % 300u};
            const auto adapter = "a" + std::to_string(random() % 12u);
            if(random() % 2u == 0u) {
                ledger.want("m", adapter, 0u, now);
            } else {
                ledger.touch("m", adapter, now);
            }
            const auto order = ledger.next(now);
            if(!order) {
                continue;
            }
            auto& held = truth.models["m"].adapters;
            if(random() % 8u == 0u) {
                ledger.record(*order, order_outcome::out_of_turn, now);
                REQUIRE(ledger.synchronize(truth, now + 500ms, now + 500ms));
                continue;
            }
            const bool counted = order->load ? !held.contains(order->adapter) : true;
            if(order->load) {
                held.emplace(order->adapter, 1u);
            } else {
                held.erase(order->adapter);
            }
            truth.orders_accepted += counted ? 1u : 0u;
            REQUIRE(held.size() <= slots);
            ledger.record(*order, order->load && counted ? order_outcome::accepted : order_outcome::done, now);
            CHECK(ledger.orders_accepted() == truth.orders_accepted);
        }
    }
}

} // namespace lagoonsaddle::edge
