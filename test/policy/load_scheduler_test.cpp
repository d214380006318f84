#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/load_scheduler.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;

struct load_scheduler_fixture {
    [[nodiscard]] static core::time_point at(core::duration elapsed) {
        return core::time_point{elapsed};
    }

    void request(const std::string& name, core::duration elapsed, std::size_t waiting = 1u,
        std::optional<core::duration> deadline = {}, std::optional<core::duration> load_time = {},
        const std::string& requester = "node") {
        load_request request{.requester = requester,
            .engine = "engine",
            .adapter = {.adapter = name, .version = "1"},
            .waiting = waiting,
            .load_time = load_time};
        if(deadline) {
            request.nearest_deadline = this->at(*deadline);
        }
        this->scheduler.request_load(request, this->at(elapsed));
    }

    /*! @brief Polls, releases the granted permits and returns the names of their adapters. */
    [[nodiscard]] std::vector<std::string> grants(core::duration elapsed) {
        std::vector<std::string> names{};
        for(const auto& permit : this->scheduler.poll(this->at(elapsed)).granted) {
            names.push_back(permit.adapter.adapter);
            REQUIRE(this->scheduler.release(permit.id, this->at(elapsed)));
        }
        return names;
    }

    load_scheduler scheduler{{.concurrent_permits = 1u, .grants_per_second = 3u, .permit_validity = 5s}};
};

using adapter_names = std::vector<std::string>;

} // namespace

// Guards against a rank that ignores waiting requests, deadlines or load times.
TEST_CASE_FIXTURE(load_scheduler_fixture, "poll_several_requests_grants_highest_rank_first") {
    struct row {
        const char* description;
        std::size_t waiting;
        std::optional<core::duration> deadline;
        std::optional<core::duration> load_time;
    };

    const std::vector<row> rows{
        {"more waiting requests", 3u, {}, {}},
        {"near deadline", 1u, 1s, {}},
        {"short load", 1u, {}, 100ms},
    };
    for(const auto& [description, waiting, deadline, load_time] : rows) {
        CAPTURE(description);
        this->scheduler = load_scheduler{{.permit_validity = 5s}};
        this->request("plain", 0s, 1u, 60s);
        this->request("better", 0s, waiting, deadline ? deadline : 60s, load_time);
        CHECK(this->grants(0s) == adapter_names{"better"});
        CHECK(this->grants(0s) == adapter_names{"plain"});
    }
}

// Guards against priority for a deadline that passes before the load can end.
TEST_CASE_FIXTURE(load_scheduler_fixture, "poll_deadline_cannot_be_met_is_not_urgent") {
    this->request("late", 0s, 1u, 100ms);
    this->request("plain", 0s, 1u, 3s);
    CHECK(this->grants(0s) == adapter_names{"plain"});
    CHECK(this->scheduler.poll(this->at(100ms)).dropped.at(0).reason == load_drop_reason::deadline_passed);
}

// Guards against more concurrent permits, or more grants per second, than allowed.
TEST_CASE_FIXTURE(load_scheduler_fixture, "poll_at_limit_grants_nothing") {
    for(const auto* name : {"a", "b", "c", "d"}) {
        this->request(name, 0s);
    }
    const auto first = this->scheduler.poll(this->at(0s));
    REQUIRE(first.granted.size() == 1u);
    CHECK(this->scheduler.poll(this->at(0s)).granted.empty());
    REQUIRE(this->scheduler.release(first.granted[0].id, this->at(100ms)));
    CHECK(this->grants(100ms).size() == 1u);
    CHECK(this->grants(200ms).size() == 1u);
    const auto limited = this->scheduler.poll(this->at(300ms));
    CHECK(limited.granted.empty());
    CHECK(limited.next_poll == this->at(1s));
    CHECK(this->grants(1s).size() == 1u);
}

// Guards against a load with a single waiting request that is starved by loads with more waiting requests.
TEST_CASE_FIXTURE(load_scheduler_fixture, "poll_load_with_single_waiting_request_is_granted_within_bound") {
    this->request("single", 0s);
    std::size_t grants_before{};
    auto granted = false;
    for(int index{}; index < 40 && !granted; ++index) {
        const auto now = index * 400ms;
        this->request("hot" + std::to_string(index), now, 50u);
        this->request("preload", now, 0u);
        granted = this->grants(now) == adapter_names{"single"};
        grants_before += granted ? 0u : 1u;
    }
    CHECK(granted);
    // The request is aged after 3 s, which is 8 grants, and one of the next three grants is reserved for it.
    CHECK(grants_before >= 8u);
    CHECK(grants_before <= 11u);
}

// Guards against two loads of the same adapter on an engine, and a renewal that resets the age of the request.
TEST_CASE_FIXTURE(load_scheduler_fixture, "request_repeated_replaces_earlier_one") {
    this->request("a", 0s, 1u);
    this->request("b", 1s, 1u);
    this->request("a", 2s, 1u);
    CHECK(this->scheduler.waiting_count() == 2u);
    const auto loads = this->scheduler.ranked_loads(this->at(2s), 1u);
    REQUIRE(loads.size() == 1u);
    CHECK(loads[0].adapter.adapter == "a");
    CHECK(loads[0].age == 2s);
    this->request("b", 2s, 5u);
    const auto permit = this->scheduler.poll(this->at(2s)).granted.at(0);
    CHECK(permit.adapter.adapter == "b");
    this->request("b", 2s, 9u);
    CHECK(this->scheduler.waiting_count() == 1u);
    REQUIRE(this->scheduler.release(permit.id, this->at(2s)));
    this->request("b", 2s, 9u);
    CHECK(this->scheduler.waiting_count() == 2u);
}

// Guards against an unreleased permit that blocks all later grants, and the release of an expired permit.
TEST_CASE_FIXTURE(load_scheduler_fixture, "poll_permit_expired_grants_next") {
    this->request("a", 0s);
    this->request("b", 0s);
    const auto permit = this->scheduler.poll(this->at(0s)).granted.at(0);
    CHECK(this->scheduler.poll(this->at(4s)).next_poll == this->at(5s));
    CHECK_FALSE(this->scheduler.release(permit.id, this->at(5s)));
    const auto actions = this->scheduler.poll(this->at(5s));
    REQUIRE(actions.expired.size() == 1u);
    CHECK(actions.expired[0].id == permit.id);
    CHECK(actions.granted.size() == 1u);
    CHECK_FALSE(this->scheduler.release(permit.id, this->at(5s)));
}

// Guards against grants to a failed node, and an exceeded limit while its engine is still loading.
TEST_CASE_FIXTURE(load_scheduler_fixture, "remove_requester_drops_requests_and_keeps_permits") {
    this->request("a", 0s, 9u, {}, {}, "dead");
    REQUIRE(this->scheduler.poll(this->at(0s)).granted.size() == 1u);
    this->request("b", 0s, 9u, {}, {}, "dead");
    this->request("c", 0s, 1u, {}, {}, "alive");
    CHECK(this->scheduler.remove_requester("dead") == 1u);
    CHECK(this->scheduler.poll(this->at(1s)).granted.empty());
    CHECK(this->grants(5s) == adapter_names{"c"});
}

// Guards against a new owner that grants while permits of the previous owner are valid.
TEST_CASE_FIXTURE(load_scheduler_fixture, "block_grants_until_earlier_poll_grants_nothing") {
    this->scheduler.block_grants_until(this->at(5s));
    this->request("a", 0s);
    const auto actions = this->scheduler.poll(this->at(4s));
    CHECK(actions.granted.empty());
    CHECK(actions.next_poll == this->at(5s));
    CHECK(this->grants(5s) == adapter_names{"a"});
}

// Guards against requests that are kept although they are not renewed, and an unbounded load queue.
TEST_CASE_FIXTURE(load_scheduler_fixture, "poll_request_not_renewed_or_queue_full_is_dropped") {
    this->scheduler = load_scheduler{{.request_expiry = 30s, .requests_max = 2u}};
    this->scheduler.block_grants_until(this->at(100s));
    this->request("a", 0s, 2u, 1s);
    this->request("b", 20s, 2u);
    this->request("c", 20s, 2u);
    const auto rejected = this->scheduler.poll(this->at(20s)).dropped;
    REQUIRE(rejected.size() == 1u);
    CHECK(rejected[0].reason == load_drop_reason::queue_full);
    const auto not_renewed = this->scheduler.poll(this->at(30s)).dropped;
    REQUIRE(not_renewed.size() == 1u);
    CHECK(not_renewed[0].request.adapter.adapter == "a");
    CHECK(not_renewed[0].reason == load_drop_reason::not_renewed);
    CHECK(this->scheduler.withdraw("engine", {.adapter = "b", .version = "1"}));
    CHECK_FALSE(this->scheduler.withdraw("engine", {.adapter = "b", .version = "1"}));
}

// Guards against interleavings that exceed a limit, grant two permits for one load, or lose a request.
TEST_CASE("load_scheduler_random_interleaving_keeps_limits") {
    for_each_seed([](random_source& random) -> std::string {
        const auto concurrent = 1u + random.below(3u);
        const auto per_second = 1u + random.below(4u);
        load_scheduler scheduler{{.concurrent_permits = concurrent,
            .grants_per_second = per_second,
            .permit_validity = 700ms,
            .aging_threshold = 2s,
            .request_expiry = 10s}};
        std::map<std::uint64_t, load_permit> held{};
        std::map<std::string, core::time_point> wanted{};
        std::vector<core::time_point> grants{};
        core::time_point now{};
        for(int step{}; step < 200; ++step) {
            now += std::chrono::milliseconds{random.below(120u)};
            const auto name = std::to_string(random.below(12u));
            const auto permitted = std::any_of(held.begin(), held.end(), [&](const auto& entry) {
                return entry.second.adapter.adapter == name && entry.second.expires_at > now;
            });
            switch(random.below(6u)) {
            case 0u:
            case 1u:
            case 2u:
                scheduler.request_load({.requester = "node" + std::to_string(random.below(3u)),
                                           .engine = "engine",
                                           .adapter = {.adapter = name, .version = "1"},
                                           .waiting = 1u + random.below(5u)},
                    now);
                if(!permitted) {
                    wanted.try_emplace(name, now);
                }
                break;
            case 3u:
                if(!held.empty()) {
                    const auto permit = held.begin()->second;
                    held.erase(held.begin());
                    if(scheduler.release(permit.id, now) != (permit.expires_at > now)) {
                        return "wrong result of release";
                    }
                }
                break;
            case 4u:
                if(random.below(10u) == 0u) {
                    const auto found = scheduler.withdraw("engine", {.adapter = name, .version = "1"});
                    if(found != (wanted.erase(name) > 0u)) {
                        return "wrong result of withdraw";
                    }
                }
                break;
            default:
                break;
            }
            const auto actions = scheduler.poll(now);
            std::erase_if(held, [now](const auto& entry) { return entry.second.expires_at <= now; });
            for(const auto& dropped : actions.dropped) {
                wanted.erase(dropped.request.adapter.adapter);
            }
            for(const auto& permit : actions.granted) {
                for(const auto& [id, other] : held) {
                    if(other.adapter == permit.adapter) {
                        return "two permits for one load";
                    }
                }
                if(wanted.erase(permit.adapter.adapter) == 0u) {
                    return "permit without a request";
                }
                held.emplace(permit.id, permit);
                grants.push_back(now);
            }
            if(held.size() > concurrent || held.size() != scheduler.permit_count()) {
                return "wrong number of permits";
            }
            if(std::count_if(grants.begin(), grants.end(), [now](auto grant) { return grant > now - 1s; }) >
                static_cast<std::ptrdiff_t>(per_second)) {
                return "too many grants per second";
            }
            if(scheduler.waiting_count() != wanted.size()) {
                return "wrong number of waiting requests";
            }
            if(!wanted.empty() && held.size() < concurrent && !actions.next_poll) {
                return "no time for the next poll";
            }
        }
        // Without further releases, all permits expire and each remaining request is granted or dropped.
        for(int step{}; step < 100 && scheduler.waiting_count() > 0u; ++step) {
            now += 700ms;
            static_cast<void>(scheduler.poll(now));
        }
        return scheduler.waiting_count() == 0u ? "" : "request lost";
    });
}

} // namespace lagoonsaddle::policy
