#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/router.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;

struct router_fixture {
    upstream_view& add(upstream_report report, std::string zone = "kotte") {
        auto& view = this->views.emplace_back("engine" + std::to_string(this->views.size()), std::move(zone));
        report.sequence = 1u;
        REQUIRE(view.apply_report(std::move(report)));
        return view;
    }

    [[nodiscard]] ranking rank(const routing_request& request, router_options options = {}) const {
        std::vector<const upstream_view*> candidates(this->views.size());
        std::transform(
            this->views.begin(), this->views.end(), candidates.begin(), [](const auto& view) { return &view; });
        return router{options}.rank(request, candidates, this->now);
    }

    [[nodiscard]] static upstream_report engine(std::size_t running) {
        return {.running = running, .batch_limit = 8u, .service_time = 400ms, .free_slots = 1u};
    }

    core::adapter_version adapter{.adapter = "claims", .version = "3"};
    core::time_point now{};
    std::deque<upstream_view> views{};
};

} // namespace

// Guards against a cost component that is missing, has the wrong sign or ignores its weight.
TEST_CASE_FIXTURE(router_fixture, "rank_each_cost_component_affects_order") {
    struct row {
        const char* component;
        upstream_report better;
        upstream_report worse;
        router_options options;
    };

    auto resident = this->engine(4u);
    resident.resident = {this->adapter};
    auto resident_queue = this->engine(16u);
    resident_queue.resident = {this->adapter};
    auto loading = this->engine(4u);
    loading.loading = {{.adapter = this->adapter, .position = 0u}};
    auto queued_load = this->engine(4u);
    queued_load.loading = {{.adapter = this->adapter, .position = 2u}};
    auto full = this->engine(4u);
    full.free_slots = 0u;
    auto evictable = full;
    evictable.evictable_slots = 1u;
    auto cold_victim = evictable;
    cold_victim.victim_rate = 0.001;
    auto hot_victim = evictable;
    hot_victim.victim_rate = 1.;
    const std::vector<row> rows{
        {"eviction", cold_victim, hot_victim, {}},
        {"free slot", this->engine(4u), cold_victim, {}},
        {"queue wait", this->engine(8u), this->engine(16u), {}},
        {"running load", loading, queued_load, {}},
        {"load queue", loading, this->engine(4u), {}},
        {"residency", resident, loading, {}},
        {"stall weight low", this->engine(0u), resident_queue, {.stall_weight = 0.1}},
        {"stall weight high", resident_queue, this->engine(0u), {.stall_weight = 10.}},
        {"slot for the load", evictable, full, {}},
        {"batch fill", this->engine(6u), this->engine(1u), {}},
        {"batch weight", resident, this->engine(7u), {.batch_weight = 1., .batch_fill_value = 100ms}},
        {"batch weight high", this->engine(7u), resident, {.batch_weight = 50., .batch_fill_value = 100ms}},
    };
    for(const auto& [component, better, worse, options] : rows) {
        for(const auto swapped : {false, true}) {
            CAPTURE(component);
            this->views.clear();
            this->add(swapped ? worse : better);
            this->add(swapped ? better : worse);
            const auto result = this->rank({.adapter = this->adapter, .zone = "kotte"}, options);
            REQUIRE(result.candidates.size() == 2u);
            CHECK(result.candidates[0].index == (swapped ? 1u : 0u));
            CHECK(result.candidates[0].cost.total() < result.candidates[1].cost.total());
        }
    }
}

// Guards against an upstream in another zone that is ranked above an equal one in the same zone.
TEST_CASE_FIXTURE(router_fixture, "rank_other_zone_adds_transfer_time") {
    this->add(this->engine(4u), "dehiwala");
    this->add(this->engine(4u), "kotte");
    router zone_router{};
    zone_router.set_zone_transfer_time("kotte", "dehiwala", 7ms);
    const std::vector<const upstream_view*> candidates{&this->views[0], &this->views[1]};
    const auto result = zone_router.rank({.zone = "kotte"}, candidates, this->now);
    CHECK(result.candidates[0].index == 1u);
    CHECK(result.candidates[1].cost.zone_transfer == doctest::Approx(7.));
}

// Guards against entry nodes that send all requests to one upstream between two reports.
TEST_CASE_FIXTURE(router_fixture, "outstanding_requests_sent_since_report_are_added") {
    auto& view = this->add({.observed_at = this->now, .queued = 2u, .running = 3u});
    const auto first = view.request_sent(this->adapter, this->now + 1ms);
    const auto second = view.request_sent(this->adapter, this->now + 2ms);
    CHECK(view.outstanding_requests(this->now + 3ms) == 7u);
    view.request_finished(first);
    view.request_finished(first);
    CHECK(view.outstanding_requests(this->now + 3ms) == 6u);

    const auto third = view.request_sent(this->adapter, this->now + 4ms);
    CHECK(view.apply_report({.sequence = 2u, .observed_at = this->now + 3ms, .running = 6u}));
    CHECK(view.outstanding_requests(this->now + 5ms) == 7u);
    view.request_finished(third);
    CHECK(view.outstanding_requests(this->now + 5ms) == 6u);
    CHECK_FALSE(view.apply_report({.sequence = 1u, .observed_at = this->now + 5ms}));
    CHECK(view.outstanding_requests(this->now + 5ms) == 6u);

    view.request_finished(second);
    CHECK(view.outstanding_requests(this->now + 5ms) == 5u);
    view.request_sent(this->adapter, this->now + 5ms);
    CHECK(view.outstanding_requests(this->now + 6ms) == 6u);
    CHECK(view.outstanding_requests(this->now + 31s) == 5u);
}

// Guards against the load of an adapter on a second engine while its first load has not been reported yet.
TEST_CASE_FIXTURE(router_fixture, "rank_load_assumed_since_report_attracts_next_request") {
    this->add(this->engine(7u));
    auto& assumed = this->add(this->engine(0u));
    assumed.request_sent(this->adapter, this->now + 1ms);
    this->now += 2ms;
    CHECK(this->rank({.adapter = this->adapter, .zone = "kotte", .load_queue_length = 3u}).candidates[0].index == 1u);
    CHECK(assumed.load_queue_position(this->adapter, this->now) == 0u);
    CHECK_FALSE(assumed.load_queue_position(this->adapter, this->now + 10s));
    REQUIRE(assumed.apply_report({.sequence = 2u, .observed_at = this->now}));
    CHECK_FALSE(assumed.load_queue_position(this->adapter, this->now));
}

// Guards against requests for several non-resident adapters that are all sent to the last free slot of an engine
// between two reports.
TEST_CASE_FIXTURE(router_fixture, "rank_slots_used_since_report_add_cost") {
    auto& engine = this->add(this->engine(0u));
    CHECK(this->rank({.adapter = this->adapter}).candidates[0].cost.no_slot == 0.);
    engine.request_sent({.adapter = "other", .version = "1"}, this->now + 1ms);
    CHECK(this->rank({.adapter = this->adapter}).candidates[0].cost.no_slot == doctest::Approx(2'000.));

    auto report = this->engine(0u);
    report.sequence = 2u;
    report.evictable_slots = 3u;
    report.victim_rate = 0.01;
    REQUIRE(engine.apply_report(report));
    const auto first = this->rank({.adapter = this->adapter}).candidates[0].cost;
    CHECK(first.eviction == doctest::Approx(350. * (1. - std::exp(-0.2))));
    const auto weighted = this->rank({.adapter = this->adapter}, {.stall_weight = 3.}).candidates[0].cost;
    CHECK(weighted.eviction == doctest::Approx(3. * first.eviction));
    engine.request_sent({.adapter = "another", .version = "1"}, this->now + 1ms);
    CHECK(this->rank({.adapter = this->adapter}).candidates[0].cost.eviction > first.eviction);
    CHECK(this->rank({.adapter = this->adapter}).candidates[0].cost.no_slot == 0.);
}

// Guards against hot adapters that never get a replica while the weight store is overloaded.
TEST_CASE_FIXTURE(router_fixture, "rank_long_load_queue_still_allows_replica") {
    auto busy = this->engine(40u);
    busy.resident = {this->adapter};
    this->add(busy);
    this->add(this->engine(0u));
    const auto result = this->rank({.adapter = this->adapter, .zone = "kotte", .load_queue_length = 1'000u},
        {.load_time = 300ms, .load_queue_length_max = 4u});
    CHECK(result.candidates[0].index == 1u);
    CHECK(result.candidates[0].cost.load_stall == doctest::Approx(1'500.));
}

// Guards against an outdated report whose resident adapters are assumed to be still resident.
TEST_CASE_FIXTURE(router_fixture, "rank_old_report_raises_load_stall_of_resident") {
    auto report = this->engine(0u);
    report.resident = {this->adapter};
    this->add(report);
    CHECK(this->rank({.adapter = this->adapter}).candidates[0].cost.load_stall == doctest::Approx(0.));
    this->now += 60s;
    CHECK(this->rank({.adapter = this->adapter}).candidates[0].cost.load_stall == doctest::Approx(175.));
}

// Guards against prefix-cache hints that are kept after a gap in the events, their half-life or an eviction.
TEST_CASE_FIXTURE(router_fixture, "apply_cache_event_gap_drops_all_hints") {
    this->add(this->engine(0u));
    auto& view = this->add(this->engine(0u));
    view.apply_cache_event(7u, "p", true, this->now);
    view.apply_cache_event(8u, "q", true, this->now);
    view.apply_cache_event(8u, "q", false, this->now);
    CHECK(view.prefix_cache_confidence("q", this->now) == doctest::Approx(1.));
    CHECK(view.prefix_cache_confidence("p", this->now + 30s) == doctest::Approx(0.5));
    CHECK(this->rank({.prefix_digest = "p", .zone = "kotte"}).candidates[0].index == 1u);
    CHECK(this->rank({.prefix_digest = "p", .zone = "kotte"}).candidates[0].cost.prefix_hint == doctest::Approx(100.));
    view.apply_cache_event(9u, "q", false, this->now);
    CHECK(view.prefix_cache_confidence("q", this->now) == 0.);
    view.apply_cache_event(11u, "r", true, this->now);
    CHECK(view.prefix_cache_confidence("p", this->now) == 0.);
    CHECK(view.prefix_cache_confidence("r", this->now) == doctest::Approx(1.));
}

// Guards against an unbounded number of prefix-cache hints.
TEST_CASE("apply_cache_event_more_than_limit_drops_oldest") {
    upstream_view view{"engine", "kotte", {.hints_max = 3u}};
    for(std::uint64_t index{}; index < 10u; ++index) {
        view.apply_cache_event(index, "p" + std::to_string(index), true, core::time_point{});
    }
    CHECK(view.prefix_cache_confidence("p6", core::time_point{}) == 0.);
    CHECK(view.prefix_cache_confidence("p7", core::time_point{}) == 1.);
}

// Guards against new requests for a leaving upstream (invariant I6), and an outage when all upstreams are marked
// unhealthy.
TEST_CASE_FIXTURE(router_fixture, "rank_leaving_and_unhealthy_upstreams_are_excluded") {
    this->add(this->engine(0u)).set_leaving(true);
    this->add(this->engine(0u)).set_unhealthy(true);
    this->add(this->engine(0u));
    const auto all = this->rank({});
    REQUIRE(all.candidates.size() == 1u);
    CHECK(all.candidates[0].index == 2u);
    CHECK(all.excluded.size() == 2u);

    const std::vector<std::string> failed{"engine2"};
    const auto rest = this->rank({.excluded = failed});
    REQUIRE(rest.candidates.size() == 1u);
    CHECK(rest.candidates[0].index == 1u);
    CHECK(rest.excluded.size() == 2u);
}

// Guards against an isolated request that runs concurrently with others, which its crash would fail.
TEST_CASE_FIXTURE(router_fixture, "rank_isolated_gets_idle_or_least_busy_upstream") {
    this->add(this->engine(5u));
    this->add(this->engine(2u));
    auto& idle = this->add(this->engine(0u));
    const auto first = this->rank({.isolated = true});
    REQUIRE(first.candidates.size() == 1u);
    CHECK(first.candidates[0].index == 2u);
    CHECK(first.excluded.size() == 2u);

    idle.set_leaving(true);
    const auto second = this->rank({.isolated = true});
    REQUIRE(second.candidates.size() == 1u);
    CHECK(second.candidates[0].index == 1u);
}

// Guards against loads of an adapter on changing engines, each of which starts its request rate from zero.
TEST_CASE_FIXTURE(router_fixture, "rank_non_resident_adapter_uses_preferred_upstreams") {
    const router_options options{.batch_fill_value = 20ms, .preferred_upstreams = 2u, .non_preferred_penalty = 100ms};
    for(std::size_t index{}; index < 6u; ++index) {
        this->add(this->engine(0u));
    }
    const auto preferred = this->rank({.adapter = this->adapter, .zone = "kotte"}, options).candidates;
    CHECK(std::count_if(preferred.begin(), preferred.end(),
              [](const auto& entry) { return entry.cost.non_preferred > 0.; }) == 4);
    CHECK(preferred[0].cost.non_preferred == 0.);
    CHECK(preferred[1].cost.non_preferred == 0.);

    auto fuller = this->engine(7u);
    fuller.sequence = 2u;
    REQUIRE(this->views[preferred[2].index].apply_report(fuller));
    CHECK(this->rank({.adapter = this->adapter, .zone = "kotte"}, options).candidates[0].index == preferred[0].index);
    REQUIRE(this->views[preferred[1].index].apply_report(fuller));
    const auto reranked = this->rank({.adapter = this->adapter, .zone = "kotte"}, options).candidates;
    CHECK(reranked[0].index == preferred[1].index);
    CHECK(this->rank({}, options).candidates[0].cost.non_preferred == 0.);
}

// Guards against entry nodes that select different engines for the same non-resident adapter.
TEST_CASE_FIXTURE(router_fixture, "rank_equal_costs_same_order_on_each_node") {
    for(int index{}; index < 5; ++index) {
        this->add(this->engine(0u));
    }
    const auto name_of_best = [this](bool reversed) {
        std::vector<const upstream_view*> candidates{};
        for(const auto& view : this->views) {
            candidates.insert(reversed ? candidates.begin() : candidates.end(), &view);
        }
        return candidates
            [router{}.rank({.adapter = this->adapter, .zone = "kotte"}, candidates, this->now).candidates[0].index]
                ->name();
    };
    std::size_t distinct{};
    std::string previous_name{};
    for(int index{}; index < 20; ++index) {
        this->adapter.adapter = "adapter" + std::to_string(index);
        CHECK(name_of_best(false) == name_of_best(true));
        distinct += name_of_best(false) != previous_name ? 1u : 0u;
        previous_name = name_of_best(false);
    }
    CHECK(distinct > 5u);
}

// Guards against a wrong count of outstanding requests when sent and finished requests interleave with delayed reports.
TEST_CASE("upstream_view_random_interleaving_estimates_outstanding") {
    for_each_seed([](random_source& random) -> std::string {
        upstream_view view{"engine", "kotte"};
        const core::adapter_version adapter{};
        core::time_point now{};
        std::vector<std::uint64_t> tickets{};
        std::vector<std::pair<core::time_point, std::size_t>> history{{now, 0u}};
        core::time_point observed{};
        std::uint64_t sequence{};
        for(int step{}; step < 150; ++step) {
            now += 1ms;
            switch(random.below(3u)) {
            case 0u:
                tickets.push_back(view.request_sent(adapter, now));
                break;
            case 1u:
                if(!tickets.empty()) {
                    const auto index = random.below(tickets.size());
                    view.request_finished(tickets[index]);
                    tickets.erase(tickets.begin() + static_cast<std::ptrdiff_t>(index));
                }
                break;
            default: {
                // Reports are delayed and may arrive out of order.
                const auto& [at, count] =
                    history[history.size() - 1u - random.below(std::min<std::size_t>(8u, history.size()))];
                const auto newer = at >= observed;
                if(view.apply_report(
                       {.sequence = newer ? ++sequence : sequence, .observed_at = at, .running = count}) != newer) {
                    return "report accepted out of order";
                }
                observed = std::max(observed, at);
                break;
            }
            }
            history.emplace_back(now, tickets.size());
            if(view.outstanding_requests(now) < tickets.size()) {
                return "fewer requests outstanding than in progress";
            }
        }
        view.apply_report({.sequence = ++sequence, .observed_at = now, .running = tickets.size()});
        if(view.outstanding_requests(now) != tickets.size()) {
            return "wrong count after a current report";
        }
        for(const auto ticket : tickets) {
            view.request_finished(ticket);
        }
        return view.outstanding_requests(now) == 0u ? "" : "finished requests still counted";
    });
}

} // namespace lagoonsaddle::policy
