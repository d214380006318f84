#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/adapter_slots.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;

[[nodiscard]] core::adapter_version make_adapter(std::string name) {
    return {.adapter = std::move(name), .version = "1"};
}

struct adapter_slots_fixture {
    [[nodiscard]] core::time_point at(core::duration elapsed) const {
        return core::time_point{elapsed};
    }

    void load(const core::adapter_version& adapter, core::duration elapsed) {
        REQUIRE(this->slots.load_started(adapter, this->at(elapsed - 300ms)));
        this->slots.load_finished(adapter, this->at(elapsed));
    }

    void serve(const core::adapter_version& adapter, core::duration elapsed) {
        this->slots.request_queued(adapter, this->at(elapsed));
        REQUIRE(this->slots.request_dispatched(adapter));
        this->slots.request_finished(adapter);
    }

    void report(std::string boot_id, core::duration elapsed, std::vector<reported_adapter> resident) {
        this->change = this->slots.apply_report({.boot_id = std::move(boot_id),
                                                    .slots = 2u,
                                                    .resident = resident,
                                                    .loading = {},
                                                    .observed_at = this->at(elapsed)},
            this->at(elapsed + 100ms));
    }

    core::adapter_version hot{make_adapter("hot")};
    core::adapter_version warm{make_adapter("warm")};
    core::adapter_version cold{make_adapter("cold")};
    slots_change change{};
    adapter_slots slots{{.slots = 2u, .minimum_residency = 2s, .load_backoff_min = 1s, .load_backoff_max = 4s}};
};

} // namespace

// Guards against the eviction of an adapter with a request queued, in flight or reported by the engine (invariant I2).
TEST_CASE_FIXTURE(adapter_slots_fixture, "plan_load_all_pinned_returns_no_victim") {
    this->load(this->hot, 0s);
    this->load(this->warm, 0s);
    this->report("a", 1s, {{this->hot, 0u}, {this->warm, 1u}});
    this->slots.request_queued(this->hot, this->at(2s));
    CHECK(this->slots.plan_load(this->cold, this->at(10s)).blocked_by == load_block_reason::no_victim);

    REQUIRE(this->slots.request_dispatched(this->hot));
    CHECK(this->slots.plan_load(this->cold, this->at(10s)).blocked_by == load_block_reason::no_victim);

    this->slots.request_finished(this->hot);
    CHECK(this->slots.plan_load(this->cold, this->at(10s)).victim == this->hot);
    this->report("a", 3s, {{this->hot, 0u}, {this->warm, 0u}});
    CHECK(this->slots.plan_load(this->cold, this->at(10s)).victim == this->warm);
}

// Guards against thrashing, where an adapter is evicted right after its load.
TEST_CASE_FIXTURE(adapter_slots_fixture, "plan_load_below_minimum_residency_returns_retry_time") {
    this->load(this->hot, 1s);
    this->load(this->warm, 2s);
    const auto plan = this->slots.plan_load(this->cold, this->at(2s));
    CHECK(plan.blocked_by == load_block_reason::no_victim);
    CHECK(plan.retry_at == this->at(3s));
}

// Guards against a scan of rarely used adapters that evicts a frequently used one, because the scanned ones are still
// below their minimum residency.
TEST_CASE_FIXTURE(adapter_slots_fixture, "plan_load_scan_of_cold_adapters_keeps_hot_adapter") {
    this->load(this->hot, 0s);
    this->load(this->warm, 0s);
    for(int count{}; count < 100; ++count) {
        this->serve(this->hot, 1s);
    }
    std::size_t evictions{};
    for(int index{}; index < 40; ++index) {
        const auto now = this->at(3s + index * 500ms);
        const auto next = make_adapter("scan" + std::to_string(index));
        this->slots.request_queued(next, now);
        if(const auto plan = this->slots.plan_load(next, now); plan.action == load_action::evict) {
            REQUIRE(this->slots.eviction_started(*plan.victim, next, now));
            REQUIRE(this->slots.eviction_finished(*plan.victim, now) == next);
            this->slots.load_finished(next, now + 300ms);
            ++evictions;
        }
        this->slots.request_dropped(next);
    }
    CHECK(this->slots.is_resident(this->hot));
    CHECK(evictions > 5u);
}

// Guards against the eviction of an adapter that takes longer to reload than another with the same request rate.
TEST_CASE_FIXTURE(adapter_slots_fixture, "plan_load_equal_rates_evicts_shorter_load_time") {
    REQUIRE(this->slots.load_started(this->hot, this->at(0s)));
    this->slots.load_finished(this->hot, this->at(900ms));
    REQUIRE(this->slots.load_started(this->warm, this->at(0s)));
    this->slots.load_finished(this->warm, this->at(100ms));
    this->serve(this->hot, 1s);
    this->serve(this->warm, 1s);
    CHECK(this->slots.plan_load(this->cold, this->at(5s)).victim == this->warm);
}

// Guards against a failing load that is retried without a delay, and a backoff that is not reset by a success.
TEST_CASE_FIXTURE(adapter_slots_fixture, "load_failed_repeatedly_doubles_backoff_to_limit") {
    auto now = this->at(0s);
    for(const auto expected : std::array<core::duration, 4u>{1s, 2s, 4s, 4s}) {
        REQUIRE(this->slots.load_started(this->cold, now));
        const auto until = this->slots.load_failed(this->cold, now);
        CHECK(until == now + expected);
        CHECK(this->slots.plan_load(this->cold, until - 1ns).blocked_by == load_block_reason::backing_off);
        CHECK(this->slots.plan_load(this->warm, now).action == load_action::use_free_slot);
        now = until;
    }
    REQUIRE(this->slots.load_started(this->cold, now));
    this->slots.load_finished(this->cold, now);
    CHECK(this->slots.load_failed(this->cold, now) == now + 1s);
}

// Guards against the dispatch of requests to an engine that lost its adapters in a restart.
TEST_CASE_FIXTURE(adapter_slots_fixture, "report_new_boot_id_clears_residency_and_keeps_rates") {
    this->load(this->hot, 0s);
    this->serve(this->hot, 0s);
    REQUIRE(this->slots.load_started(this->warm, this->at(0s)));
    this->report("a", 1s, {{this->hot, 0u}});
    CHECK_FALSE(this->change.restarted);
    this->report("b", 2s, {});
    CHECK(this->change.restarted);
    CHECK(this->slots.free_slot_count() == 2u);
    CHECK(this->slots.hottest_adapters(1u, this->at(2s)) == std::vector{this->hot});
}

// Guards against a request that was interrupted by a restart, ends late and unpins an adapter with a new request.
TEST_CASE_FIXTURE(adapter_slots_fixture, "request_finished_after_restart_keeps_new_request_pinned") {
    this->load(this->hot, 0s);
    this->slots.request_queued(this->hot, this->at(0s));
    REQUIRE(this->slots.request_dispatched(this->hot));
    REQUIRE(this->slots.engine_restarted("b"));
    this->load(this->hot, 1s);
    this->slots.request_queued(this->hot, this->at(1s));
    REQUIRE(this->slots.request_dispatched(this->hot));
    this->slots.request_finished(this->hot);
    CHECK(this->slots.is_pinned(this->hot));
}

// Guards against a delayed report that restores an evicted adapter or removes a newly loaded one.
TEST_CASE_FIXTURE(adapter_slots_fixture, "report_older_than_change_does_not_undo_change") {
    this->report("a", 1s, {{this->hot, 0u}});
    CHECK(this->slots.is_resident(this->hot));
    this->load(this->warm, 4s);
    REQUIRE(this->slots.eviction_started(this->hot, this->cold, this->at(5s)));
    REQUIRE(this->slots.eviction_finished(this->hot, this->at(5s)) == this->cold);
    this->report("a", 3s, {{this->hot, 0u}});
    CHECK_FALSE(this->slots.is_resident(this->hot));
    CHECK(this->slots.is_resident(this->warm));
    CHECK(this->slots.state(this->cold) == slot_state::loading);
    this->report("a", 6s, {{this->cold, 0u}});
    CHECK(this->slots.is_resident(this->cold));
    CHECK(this->change.removed == std::vector{this->warm});
}

// Guards against a new owner that evicts an adapter with requests of the previous owner in flight.
TEST_CASE_FIXTURE(adapter_slots_fixture, "plan_load_after_takeover_waits_for_time_and_report") {
    this->report("a", 1s, {{this->hot, 0u}, {this->warm, 0u}});
    this->slots.ownership_taken(this->at(2s), this->at(9s));
    const auto plan = this->slots.plan_load(this->cold, this->at(8s));
    CHECK(plan.blocked_by == load_block_reason::evictions_forbidden);
    CHECK(plan.retry_at == this->at(9s));

    this->report("a", 9s, {{this->hot, 0u}, {this->warm, 0u}});
    CHECK(this->slots.plan_load(this->cold, this->at(10s)).blocked_by == load_block_reason::no_victim);
    this->report("a", 10s, {{this->hot, 0u}, {this->warm, 1u}});
    CHECK(this->slots.plan_load(this->cold, this->at(10s)).victim == this->hot);
}

// Guards against orders from an owner whose lease has expired.
TEST_CASE_FIXTURE(adapter_slots_fixture, "plan_load_orders_suspended_returns_none") {
    this->slots.suspend_orders(true);
    CHECK_FALSE(this->slots.load_started(this->hot, this->at(0s)));
    CHECK(this->slots.plan_load(this->hot, this->at(0s)).blocked_by == load_block_reason::orders_suspended);
    this->slots.suspend_orders(false);
    CHECK(this->slots.load_started(this->hot, this->at(0s)));
}

// Guards against a wrong count of slots for new loads, and a wrong request rate of the next victim.
TEST_CASE_FIXTURE(adapter_slots_fixture, "loadable_slots_counts_free_and_evictable") {
    CHECK(this->slots.loadable_slots(this->at(0s)) == 2u);
    this->load(this->hot, 0s);
    CHECK(this->slots.loadable_slots(this->at(1s)) == 1u);
    CHECK(this->slots.victim_rate(this->at(1s)) == 0.);
    this->load(this->warm, 0s);
    CHECK(this->slots.loadable_slots(this->at(2s)) == 2u);
    this->serve(this->hot, 2s);
    this->serve(this->warm, 2s);
    this->serve(this->warm, 2s);
    CHECK(this->slots.victim_rate(this->at(2s)) == doctest::Approx(this->slots.request_rate(this->hot, this->at(2s))));
    this->slots.request_queued(this->hot, this->at(2s));
    CHECK(this->slots.loadable_slots(this->at(2s)) == 1u);
    this->slots.ownership_taken(this->at(2s), this->at(9s));
    CHECK(this->slots.loadable_slots(this->at(3s)) == 0u);
    this->slots = adapter_slots{};
    this->slots.suspend_orders(true);
    CHECK(this->slots.loadable_slots(this->at(0s)) == 0u);
}

// Guards against memory use that grows with the number of adapters, and hot adapters that are dropped.
TEST_CASE("request_queued_more_adapters_than_tracked_drops_coldest") {
    adapter_slots slots{{.tracked_adapters_max = 100u}};
    const auto hot = make_adapter("hot");
    for(int index{}; index < 1'000; ++index) {
        const auto now = core::time_point{index * 10ms};
        for(const auto& adapter : {hot, make_adapter("scan" + std::to_string(index))}) {
            slots.request_queued(adapter, now);
            slots.request_dropped(adapter);
        }
    }
    CHECK(slots.hottest_adapters(1'000u, core::time_point{10s}).size() <= 101u);
    CHECK(slots.hottest_adapters(1u, core::time_point{10s}) == std::vector{hot});
    CHECK(slots.request_rate(hot, core::time_point{10s}) > 5.);
}

// Guards against interleavings of requests, orders, failures and restarts in which a pinned adapter or one below its
// minimum residency is evicted, more slots are used than exist, or a count is wrong.
TEST_CASE("adapter_slots_random_interleaving_keeps_invariants") {
    struct model {
        std::size_t queued{};
        std::size_t in_flight{};
        bool resident{};
        core::time_point resident_since{};
    };

    for_each_seed([](random_source& random) -> std::string {
        constexpr std::size_t adapter_count = 6u;
        constexpr auto minimum_residency = 300ms;
        adapter_slots slots{{.slots = 3u, .minimum_residency = minimum_residency, .load_backoff_min = 50ms}};
        std::array<model, adapter_count> models{};
        std::vector<std::pair<std::size_t, std::size_t>> evictions{};
        std::vector<std::size_t> loads{};
        core::time_point now{};
        for(int step{}; step < 200; ++step) {
            now += std::chrono::milliseconds{random.below(60u)};
            const auto index = random.below(adapter_count);
            const auto adapter = make_adapter(std::to_string(index));
            auto& state = models[index];
            switch(random.below(8u)) {
            case 0u:
                slots.request_queued(adapter, now);
                ++state.queued;
                break;
            case 1u:
                if(slots.request_dispatched(adapter)) {
                    if(!state.resident || state.queued == 0u) {
                        return "dispatched without a resident adapter or a queued request";
                    }
                    --state.queued;
                    ++state.in_flight;
                }
                break;
            case 2u:
                if(state.in_flight > 0u) {
                    slots.request_finished(adapter);
                    --state.in_flight;
                }
                break;
            case 3u:
                if(state.queued > 0u) {
                    slots.request_dropped(adapter);
                    --state.queued;
                }
                break;
            case 4u: {
                const auto plan = slots.plan_load(adapter, now);
                if(plan.action == load_action::use_free_slot) {
                    if(!slots.load_started(adapter, now)) {
                        return "load into a free slot refused";
                    }
                    loads.push_back(index);
                } else if(plan.action == load_action::evict) {
                    const auto victim = std::stoul(plan.victim->adapter);
                    const auto& entry = models[victim];
                    if(!entry.resident || entry.queued > 0u || entry.in_flight > 0u) {
                        return "pinned or non-resident victim";
                    }
                    if(now - entry.resident_since < minimum_residency) {
                        return "victim below its minimum residency";
                    }
                    if(!slots.eviction_started(*plan.victim, adapter, now)) {
                        return "eviction of the planned victim refused";
                    }
                    models[victim].resident = false;
                    evictions.emplace_back(victim, index);
                }
                break;
            }
            case 5u:
                if(!evictions.empty()) {
                    const auto [victim, successor] = evictions.back();
                    evictions.pop_back();
                    if(random.below(4u) == 0u) {
                        slots.eviction_failed(make_adapter(std::to_string(victim)));
                        models[victim].resident = true;
                    } else if(slots.eviction_finished(make_adapter(std::to_string(victim)), now) ==
                              make_adapter(std::to_string(successor))) {
                        loads.push_back(successor);
                    } else {
                        return "wrong successor after an eviction";
                    }
                }
                break;
            case 6u:
                if(!loads.empty()) {
                    const auto loaded = loads.back();
                    loads.pop_back();
                    if(random.below(4u) == 0u) {
                        slots.load_failed(make_adapter(std::to_string(loaded)), now);
                    } else {
                        slots.load_finished(make_adapter(std::to_string(loaded)), now);
                        models[loaded].resident = true;
                        models[loaded].resident_since = now;
                    }
                }
                break;
            default:
                if(random.below(20u) == 0u) {
                    slots.engine_restarted("boot" + std::to_string(step));
                    evictions.clear();
                    loads.clear();
                    for(auto& entry : models) {
                        entry.resident = false;
                    }
                }
                break;
            }

            std::size_t used = loads.size() + evictions.size();
            std::size_t in_flight{};
            for(std::size_t other{}; other < adapter_count; ++other) {
                used += models[other].resident ? 1u : 0u;
                in_flight += models[other].in_flight;
                if(slots.is_resident(make_adapter(std::to_string(other))) != models[other].resident) {
                    return "residency differs for adapter " + std::to_string(other);
                }
            }
            if(used > 3u || slots.free_slot_count() != 3u - used) {
                return "wrong number of free slots";
            }
            if(slots.in_flight_count() != in_flight) {
                return "wrong number of requests in flight";
            }
        }
        return "";
    });
}

} // namespace lagoonsaddle::policy
