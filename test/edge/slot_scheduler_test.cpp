#include <random>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/slot_scheduler.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct slot_scheduler_fixture {
    slot_scheduler_fixture() {
        upstream_report report{.orders_accepted = 3u};
        report.models["m"].version = 1u;
        REQUIRE(this->scheduler.synchronize(report, this->now, this->now));
    }

    void load_adapter(const std::string& adapter) {
        this->scheduler.add_waiter("m", adapter, 0u, this->now);
        const auto order = this->scheduler.next_order(this->now);
        REQUIRE(order.has_value());
        CHECK(order->load);
        CHECK(order->adapter == adapter);
        this->scheduler.record_outcome(*order, order_outcome::accepted, this->now);
        this->scheduler.record_outcome(*order, order_outcome::done, this->now);
        this->scheduler.remove_waiter("m", adapter);
    }

    slot_scheduler scheduler{{.slots = 2u}};
    core::time_point now{100s};
};

} // namespace

// Guards against ordering more adapters than slots, which crashes the upstream: the least recently used one is evicted
// first.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_full_upstream_unloads_least_recently_used") {
    this->load_adapter("a");
    this->now += 1s;
    this->load_adapter("b");
    this->now += 1s;
    this->scheduler.record_use("m", "a", this->now - 600ms);
    this->scheduler.add_waiter("m", "c", 0u, this->now);
    const auto order = this->scheduler.next_order(this->now);
    REQUIRE(order.has_value());
    CHECK_FALSE(order->load);
    CHECK(order->adapter == "b");
    this->scheduler.record_outcome(*order, order_outcome::done, this->now);
    CHECK(this->scheduler.next_order(this->now)->adapter == "c");
}

// Guards against a caller that fills the memory of the lease holder with adapter names, at one time or over time.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "add_waiter_many_names_keeps_few_uses") {
    for(unsigned number{}; number < 20'000u; ++number) {
        const auto adapter = "n" + std::to_string(number);
        this->scheduler.add_waiter("m", adapter, 0u, this->now);
        this->scheduler.remove_waiter("m", adapter);
    }
    CHECK(this->scheduler.known_uses() <= 1'024u);
    for(unsigned number{}; number < 2'000u; ++number) {
        this->now += 10ms;
        this->scheduler.record_use("m", "u" + std::to_string(number), this->now);
    }
    CHECK(this->scheduler.known_uses() <= 1'001u);
}

// Guards against adapters that look unused, and are evicted first, because names of other adapters were kept.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_many_names_unloads_least_recently_used") {
    for(unsigned number{}; number < 20'000u; ++number) {
        this->scheduler.record_use("m", "n" + std::to_string(number), this->now);
    }
    this->load_adapter("a");
    this->load_adapter("b");
    this->now += 1s;
    this->scheduler.record_use("m", "a", this->now);
    upstream_report report{.orders_accepted = 5u};
    report.models["m"].version = 1u;
    report.models["m"].adapters = {{"a", 1u}, {"b", 1u}};
    this->now += 1s;
    REQUIRE(this->scheduler.synchronize(report, this->now, this->now));
    this->scheduler.add_waiter("m", "c", 0u, this->now);
    const auto order = this->scheduler.next_order(this->now);
    REQUIRE(order.has_value());
    CHECK_FALSE(order->load);
    CHECK(order->adapter == "b");
}

// Guards against an order that the upstream calls invalid and that is repeated without a delay, ahead of sound ones.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_invalid_order_is_not_repeated_at_once") {
    this->scheduler.add_waiter("m", "odd", 0u, this->now);
    this->scheduler.add_waiter("m", "sound", 0u, this->now + 1ms);
    const auto order = this->scheduler.next_order(this->now);
    REQUIRE(order.has_value());
    REQUIRE(order->adapter == "odd");
    this->scheduler.record_outcome(*order, order_outcome::invalid, this->now);
    CHECK(this->scheduler.is_refused("m", "odd", this->now));
    upstream_report report{.orders_accepted = 3u};
    report.models["m"].version = 1u;
    REQUIRE(this->scheduler.synchronize(report, this->now + 1s, this->now + 500ms));
    const auto next = this->scheduler.next_order(this->now + 500ms);
    REQUIRE(next.has_value());
    CHECK(next->adapter == "sound");
    CHECK_FALSE(this->scheduler.is_refused("m", "odd", this->now + 1s));
}

// Guards against evicting an adapter in use.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_all_in_use_returns_nothing") {
    this->load_adapter("a");
    this->load_adapter("b");
    this->now += 1s;
    this->scheduler.record_use("m", "a", this->now);
    this->scheduler.record_use("m", "b", this->now);
    this->scheduler.add_waiter("m", "c", 0u, this->now);
    CHECK_FALSE(this->scheduler.next_order(this->now).has_value());
    CHECK_FALSE(this->scheduler.has_adapter_slot("m", "c", this->now));
    CHECK(this->scheduler.has_adapter_slot("m", "a", this->now));
    CHECK(this->scheduler.free_slots(this->now) == 0u);
}

// Guards against more adapters than slots: an upstream that no longer holds the adapter answers `done` without counting
// the order, so that the next order could match the count of another node's order.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "record_outcome_unload_of_reported_adapter_waits_for_report") {
    upstream_report full{.orders_accepted = 3u};
    full.models["m"].adapters = {{"a", 1u}, {"b", 1u}};
    REQUIRE(this->scheduler.synchronize(full, this->now, this->now));
    this->now += 1s;
    this->scheduler.add_waiter("m", "c", 0u, this->now);
    const auto eviction = this->scheduler.next_order(this->now);
    REQUIRE(eviction.has_value());
    REQUIRE_FALSE(eviction->load);
    this->scheduler.record_outcome(*eviction, order_outcome::done, this->now);
    CHECK_FALSE(this->scheduler.next_order(this->now).has_value());
    // Another node has loaded `d` into the slot.
    upstream_report current{.orders_accepted = 4u};
    current.models["m"].adapters = {{eviction->adapter == "a" ? "b" : "a", 1u}, {"d", 1u}};
    REQUIRE(this->scheduler.synchronize(current, this->now + 100ms, this->now + 110ms));
    const auto next = this->scheduler.next_order(this->now + 110ms);
    REQUIRE(next.has_value());
    CHECK_FALSE(next->load);
}

// Guards against losing the effect of an order to a report that describes an earlier state.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "synchronize_report_older_than_order_is_ignored") {
    this->load_adapter("a");
    upstream_report outdated{.orders_accepted = 3u};
    outdated.models["m"].version = 1u;
    CHECK_FALSE(this->scheduler.synchronize(outdated, this->now + 50ms, this->now + 60ms));
    CHECK(this->scheduler.resident_version("m", "a").has_value());
    CHECK(this->scheduler.synchronize(outdated, this->now + 500ms, this->now + 510ms));
    CHECK_FALSE(this->scheduler.resident_version("m", "a").has_value());
}

// Guards against loads for requests that have been abandoned, which evict adapters that are needed.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "remove_waiter_last_request_cancels_load") {
    CHECK(this->scheduler.add_waiter("m", "a", 0u, this->now));
    CHECK_FALSE(this->scheduler.add_waiter("m", "a", 0u, this->now));
    this->scheduler.remove_waiter("m", "a");
    CHECK(this->scheduler.next_order(this->now).has_value());
    this->scheduler.remove_waiter("m", "a");
    CHECK_FALSE(this->scheduler.next_order(this->now).has_value());
}

// Guards against keeping an old version of an adapter after a newer one was announced.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "set_newest_version_replaces_older_resident") {
    this->load_adapter("a");
    this->scheduler.set_newest_version("m", "a", 4u);
    const auto order = this->scheduler.next_order(this->now);
    REQUIRE(order.has_value());
    CHECK(order->load);
    CHECK(order->version == 4u);
}

// Guards against loading a version that is replaced already because a request would be content with it.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_missing_adapter_is_loaded_at_newest_version") {
    this->scheduler.set_newest_version("m", "a", 4u);
    this->scheduler.add_waiter("m", "a", 3u, this->now);
    const auto order = this->scheduler.next_order(this->now);
    REQUIRE(order.has_value());
    CHECK(order->version == 4u);
}

// Guards against further orders after the number of accepted orders no longer matches, as when a late order overtook
// one.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "record_outcome_out_of_turn_requires_report") {
    this->scheduler.add_waiter("m", "a", 0u, this->now);
    const auto order = this->scheduler.next_order(this->now);
    this->scheduler.record_outcome(*order, order_outcome::out_of_turn, this->now);
    CHECK_FALSE(this->scheduler.synchronized());
    CHECK_FALSE(this->scheduler.next_order(this->now).has_value());
}

// Guards against counting a repeated order twice, after which the upstream refuses all later orders.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "record_outcome_repeated_load_counts_once") {
    this->scheduler.add_waiter("m", "a", 0u, this->now);
    const auto order = this->scheduler.next_order(this->now);
    this->scheduler.record_outcome(*order, order_outcome::accepted, this->now);
    CHECK(this->scheduler.orders_accepted() == 4u);
    CHECK_FALSE(this->scheduler.next_order(this->now).has_value());
    this->now = *this->scheduler.next_confirmation();
    const auto repeated = this->scheduler.next_order(this->now);
    REQUIRE(repeated.has_value());
    this->scheduler.record_outcome(*repeated, order_outcome::accepted, this->now);
    CHECK(this->scheduler.orders_accepted() == 4u);
    this->scheduler.record_outcome(*repeated, order_outcome::done, this->now);
    CHECK(this->scheduler.orders_accepted() == 4u);
    CHECK(this->scheduler.resident_version("m", "a").has_value());
}

// Random requests, uses and outcomes. Guards against more adapters than slots.
TEST_CASE("next_order_random_operations_never_exceed_slots") {
    constexpr std::size_t slots{4u};
    for(unsigned seed{1u}; seed <= 50u; ++seed) {
        std::mt19937 random{seed};
        slot_scheduler scheduler{{.slots = slots}};
        core::time_point now{100s};
        upstream_report actual{};
        actual.models["m"].version = 1u;
        REQUIRE(scheduler.synchronize(actual, now, now));
        for(int step{}; step < 400; ++step) {
            now += std::chrono::milliseconds{random() % 300u};
            const auto adapter = "a" + std::to_string(random() % 12u);
            if(random() % 2u == 0u) {
                scheduler.add_waiter("m", adapter, 0u, now);
            } else {
                scheduler.record_use("m", adapter, now);
            }
            const auto order = scheduler.next_order(now);
            if(!order) {
                continue;
            }
            auto& resident = actual.models["m"].adapters;
            if(random() % 8u == 0u) {
                scheduler.record_outcome(*order, order_outcome::out_of_turn, now);
                REQUIRE(scheduler.synchronize(actual, now + 500ms, now + 500ms));
                continue;
            }
            const bool executed = order->load ? !resident.contains(order->adapter) : true;
            if(order->load) {
                resident.emplace(order->adapter, 1u);
            } else {
                resident.erase(order->adapter);
            }
            actual.orders_accepted += executed ? 1u : 0u;
            REQUIRE(resident.size() <= slots);
            scheduler.record_outcome(
                *order, order->load && executed ? order_outcome::accepted : order_outcome::done, now);
            CHECK(scheduler.orders_accepted() == actual.orders_accepted);
        }
    }
}

// Guards against evicting an adapter that requests wait for to load another one.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_adapter_that_requests_wait_for_is_not_evicted") {
    this->load_adapter("a");
    this->load_adapter("b");
    this->now += 1s;
    this->scheduler.record_use("m", "b", this->now - 500ms);
    this->scheduler.add_waiter("m", "a", 0u, this->now);
    this->now += 1s;
    this->scheduler.add_waiter("m", "c", 0u, this->now);
    const auto order = this->scheduler.next_order(this->now);
    REQUIRE(order.has_value());
    CHECK_FALSE(order->load);
    CHECK(order->adapter == "b");
}

namespace {

/*! @brief Gate that prefers the adapter `m/urgent` and counts what it was asked for. */
class fixed_gate final : public load_gate {
public:
    [[nodiscard]] std::size_t position(std::string_view key) override {
        return key == "m/urgent" ? 0u : 1u;
    }

    [[nodiscard]] bool may_evict_for(std::string_view) override {
        return this->open;
    }

    [[nodiscard]] bool begin_load(std::string_view) override {
        return this->open;
    }

    bool open{true};
};

} // namespace

// Guards against loads and evictions ahead of their turn, and against a closed gate that delays confirmations.
TEST_CASE_FIXTURE(slot_scheduler_fixture, "next_order_follows_gate") {
    fixed_gate gate{};
    this->load_adapter("a");
    this->scheduler.add_waiter("m", "early", 0u, this->now);
    this->scheduler.add_waiter("m", "urgent", 0u, this->now + 1ms);
    gate.open = false;
    CHECK_FALSE(this->scheduler.next_order(this->now, &gate).has_value());
    gate.open = true;
    const auto order = this->scheduler.next_order(this->now, &gate);
    REQUIRE(order.has_value());
    CHECK(order->adapter == "urgent");
    this->scheduler.record_outcome(*order, order_outcome::accepted, this->now);
    this->now += 1s;
    gate.open = false;
    const auto confirmation = this->scheduler.next_order(this->now, &gate);
    REQUIRE(confirmation.has_value());
    CHECK(confirmation->adapter == "urgent");
    this->scheduler.record_outcome(*confirmation, order_outcome::done, this->now);
    this->scheduler.remove_waiter("m", "urgent");
    CHECK_FALSE(this->scheduler.next_order(this->now, &gate).has_value());
    gate.open = true;
    const auto eviction = this->scheduler.next_order(this->now, &gate);
    REQUIRE(eviction.has_value());
    CHECK_FALSE(eviction->load);
}

} // namespace lagoonsaddle::edge
