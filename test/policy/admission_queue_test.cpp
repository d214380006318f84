#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/admission_queue.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;
using ids = std::vector<std::uint64_t>;

struct admission_queue_fixture {
    [[nodiscard]] static core::time_point at(core::duration elapsed) {
        return core::time_point{elapsed};
    }

    [[nodiscard]] static core::adapter_version make_adapter(const std::string& name) {
        return {.adapter = name, .version = "1"};
    }

    struct options {
        std::string adapter{"warm"};
        std::string caller{"depot"};
        int priority{5};
        core::duration deadline{60s};
        core::duration service_time{};
        bool isolated{};
        core::duration load_wait{};
        core::duration now{};
    };

    admission_result push(std::uint64_t id, const options& settings) {
        return this->queue.push({.id = id,
                                    .adapter = make_adapter(settings.adapter),
                                    .caller = settings.caller,
                                    .priority = settings.priority,
                                    .deadline = at(settings.deadline),
                                    .service_time = settings.service_time,
                                    .isolated = settings.isolated},
            settings.load_wait, at(settings.now));
    }

    [[nodiscard]] ids pop(std::size_t batch_headroom, std::size_t in_flight = 0u, core::duration now = {}) {
        ids result{};
        for(const auto& request : this->queue.pop(
                batch_headroom, in_flight, [](const auto& adapter) { return adapter.adapter != "cold"; }, at(now))) {
            result.push_back(request.id);
        }
        return result;
    }

    admission_queue queue{
        {.capacity = 4u, .isolation_wait = 1s, .dequeue_interval_default = 100ms, .service_time_factor = 1.}};
};

} // namespace

// Guards against a dispatch order that ignores priority, deadline or arrival within one caller.
TEST_CASE_FIXTURE(admission_queue_fixture, "pop_one_caller_orders_by_priority_deadline_arrival") {
    this->push(1u, {.deadline = 30s});
    this->push(2u, {.deadline = 20s});
    this->push(3u, {.priority = 7});
    this->push(4u, {.deadline = 20s});
    CHECK(this->pop(3u) == ids{3u, 2u, 4u});
    CHECK(this->pop(3u) == ids{1u});
}

// Guards against a non-resident adapter that blocks requests for resident ones.
TEST_CASE_FIXTURE(admission_queue_fixture, "pop_adapter_not_resident_is_skipped") {
    this->push(1u, {.adapter = "cold", .priority = 9});
    this->push(2u, {});
    this->push(3u, {.adapter = "hot"});
    CHECK(this->pop(8u) == ids{2u, 3u});
    CHECK(this->queue.size() == 1u);
    this->push(4u, {.adapter = ""});
    CHECK(this->pop(8u) == ids{4u});
}

// Guards against a caller that starves another one by sending many requests or only urgent ones.
TEST_CASE("pop_busy_caller_leaves_fair_share_to_other") {
    for(const auto priority : {5, 9}) {
        admission_queue queue{{.capacity = 400u, .priority_credit = 4., .dequeue_interval_default = 1ms}};
        for(std::uint64_t id{}; id < 200u; ++id) {
            REQUIRE(
                queue
                    .push({.id = id, .caller = "busy", .priority = priority, .deadline = core::time_point{60s}}, 0s, {})
                    .accepted());
        }
        for(std::uint64_t id{1'000u}; id < 1'050u; ++id) {
            REQUIRE(queue.push({.id = id, .caller = "light", .deadline = core::time_point{60s}}, 0s, {}).accepted());
        }
        std::size_t light{};
        for(const auto& request : queue.pop(
                100u, 0u, [](const auto&) { return true; }, core::time_point{1s})) {
            light += request.id >= 1'000u ? 1u : 0u;
        }
        CAPTURE(priority);
        CHECK(light >= (priority == 5 ? 49u : 42u));
    }
}

// Guards against a full queue that holds a request until its deadline (invariant I9), or refuses it without a
// `retry_after`.
TEST_CASE_FIXTURE(admission_queue_fixture, "push_full_is_refused_at_once_as_not_run") {
    for(std::uint64_t id{}; id < 4u; ++id) {
        REQUIRE(this->push(id, {}).accepted());
    }
    const auto full = this->push(9u, {});
    REQUIRE_FALSE(full.accepted());
    CHECK(full.refusal->cause == core::reason::overloaded);
    CHECK(full.refusal->verdict == core::verdict::not_run);
    CHECK(full.refusal->retry_after == 400ms);
    CHECK_FALSE(full.displaced);
    CHECK(this->queue.size() == 4u);
}

// Guards against a caller that occupies the whole queue, and an urgent request that is refused in favour of a less
// urgent one.
TEST_CASE_FIXTURE(admission_queue_fixture, "push_full_displaces_request_above_fair_share") {
    for(std::uint64_t id{}; id < 4u; ++id) {
        REQUIRE(this->push(id, {.priority = id == 1u ? 3 : 5}).accepted());
    }
    const auto other = this->push(9u, {.caller = "counter"});
    CHECK(other.accepted());
    REQUIRE(other.displaced);
    CHECK(other.displaced->request.id == 1u);
    CHECK(other.displaced->error.verdict == core::verdict::not_run);
    CHECK(other.displaced->error.retry_after >= 50ms);

    REQUIRE(this->push(10u, {.caller = "counter"}).displaced);
    CHECK_FALSE(this->push(11u, {.caller = "counter"}).accepted());
    const auto urgent = this->push(12u, {.caller = "counter", .priority = 8});
    CHECK(urgent.accepted());
    CHECK(urgent.displaced->request.id == 10u);
    CHECK(this->queue.size() == 4u);
}

// Guards against queued requests that cannot meet their deadline because of queue wait, load wait or service time.
TEST_CASE_FIXTURE(admission_queue_fixture, "push_deadline_cannot_be_met_is_refused") {
    struct row {
        options settings;
        bool accepted;
    };

    const std::vector<row> rows{
        {{.deadline = 299ms}, false},
        {{.deadline = 300ms}, true},
        {{.priority = 6, .deadline = 200ms}, true},
        {{.caller = "counter", .deadline = 100ms}, true},
        {{.caller = "counter", .deadline = 99ms}, false},
        {{.deadline = 2s, .load_wait = 2s}, true},
        {{.deadline = 1999ms, .load_wait = 2s}, false},
        {{.deadline = 799ms, .service_time = 500ms}, false},
        {{.deadline = 1s, .now = 1s}, false},
    };
    for(const auto& [settings, accepted] : rows) {
        this->queue = admission_queue{{.dequeue_interval_default = 100ms, .service_time_factor = 1.}};
        for(std::uint64_t id{}; id < 3u; ++id) {
            REQUIRE(this->push(id, {}).accepted());
        }
        const auto admission = this->push(9u, settings);
        CAPTURE(settings.deadline.count());
        CAPTURE(settings.caller);
        CHECK(admission.accepted() == accepted);
        if(!accepted) {
            CHECK(admission.refusal->cause == core::reason::deadline_exceeded);
            CHECK(admission.refusal->verdict == core::verdict::not_run);
            CHECK(admission.refusal->retry_after >= 50ms);
        }
    }
}

// Guards against a request that is dispatched or kept after its latest start.
TEST_CASE_FIXTURE(admission_queue_fixture, "expire_latest_start_passed_removes_request") {
    this->push(1u, {.deadline = 3s, .service_time = 1s});
    this->push(2u, {.deadline = 9s});
    CHECK(this->queue.next_expiry() == this->at(2s + 1ns));
    CHECK(this->queue.expire(this->at(2s)).empty());
    CHECK(this->pop(1u, 0u, 2s + 1ns) == ids{2u});
    const auto expired = this->queue.expire(this->at(2s + 1ns));
    REQUIRE(expired.size() == 1u);
    CHECK(expired[0].request.id == 1u);
    CHECK(expired[0].error.cause == core::reason::deadline_exceeded);
    CHECK(expired[0].error.retry_after >= 50ms);
    CHECK(this->queue.empty());
}

// Guards against a latest start based on the mean service time alone, with which about half of the requests miss their
// deadline.
TEST_CASE_FIXTURE(admission_queue_fixture, "expire_service_time_factor_moves_latest_start") {
    this->queue = admission_queue{{.service_time_factor = 1.5}};
    CHECK_FALSE(this->push(1u, {.deadline = 1'499ms, .service_time = 1s}).accepted());
    CHECK(this->push(2u, {.deadline = 3s, .service_time = 1s}).accepted());
    CHECK(this->queue.expire(this->at(1'500ms)).empty());
    CHECK(this->queue.expire(this->at(1'501ms)).size() == 1u);
}

// Guards against an isolated request that runs concurrently with others, or that is starved because the upstream is
// never idle.
TEST_CASE_FIXTURE(admission_queue_fixture, "pop_isolated_runs_with_nothing_in_flight") {
    this->push(1u, {});
    this->push(2u, {.isolated = true});
    CHECK(this->pop(8u, 3u, 500ms) == ids{1u});
    this->push(3u, {});
    CHECK(this->pop(8u, 3u, 1s).empty());
    CHECK(this->pop(8u, 0u, 1s) == ids{2u});
    CHECK(this->pop(8u, 1u, 2s).empty());
    CHECK(this->pop(8u, 0u, 2s) == ids{3u});

    this->push(4u, {.adapter = "cold", .isolated = true});
    this->push(5u, {});
    CHECK(this->pop(8u, 1u, 9s) == ids{5u});
}

// Guards against an expected wait that stays at its default, or that includes the wait for a load.
TEST_CASE_FIXTURE(admission_queue_fixture, "expected_wait_follows_measured_dequeue_interval") {
    this->queue = admission_queue{{.dequeue_interval_default = 100ms, .service_time_factor = 1.}};
    for(std::uint64_t id{}; id < 101u; ++id) {
        this->push(id, {.caller = std::to_string(id)});
    }
    for(int step{}; step < 100; ++step) {
        REQUIRE(this->pop(1u, 8u, step * 20ms).size() == 1u);
    }
    CHECK(this->queue.expected_wait() < 21ms);
    this->push(200u, {.adapter = "cold"});
    REQUIRE(this->pop(2u, 7u, 2s).size() == 1u);
    this->push(201u, {});
    REQUIRE(this->pop(2u, 7u, 50s).size() == 1u);
    CHECK(this->queue.expected_wait() < 21ms);
}

// Guards against demand that omits queued requests or has the wrong deadline.
TEST_CASE_FIXTURE(admission_queue_fixture, "demand_lists_adapters_by_waiting_requests") {
    this->push(1u, {.adapter = "cold", .deadline = 9s});
    this->push(2u, {.adapter = "hot", .deadline = 9s});
    this->push(3u, {.adapter = "hot", .deadline = 8s, .isolated = true});
    this->push(4u, {.adapter = "hot", .deadline = 20s});
    CHECK(this->queue.cancel(4u)->id == 4u);
    CHECK_FALSE(this->queue.cancel(4u));
    const auto demand = this->queue.demand();
    REQUIRE(demand.size() == 2u);
    CHECK(demand[0].adapter.adapter == "hot");
    CHECK(demand[0].waiting == 2u);
    CHECK(demand[0].nearest_deadline == this->at(8s));
    CHECK(this->queue.remove_adapter(this->make_adapter("hot")).size() == 2u);
    CHECK(this->queue.drain().size() == 1u);
    CHECK(this->queue.demand().empty());
}

// Guards against interleavings in which a request is lost, returned twice, dispatched after its latest start, or run
// concurrently with an isolated one.
TEST_CASE("admission_queue_random_interleaving_answers_each_request_once") {
    for_each_seed([](random_source& random) -> std::string {
        constexpr std::size_t capacity = 12u;
        admission_queue queue{{.capacity = capacity,
            .isolation_wait = 200ms,
            .dequeue_interval_default = 1ms,
            .service_time_factor = 1.}};
        std::map<std::uint64_t, queued_request> queued{};
        std::size_t in_flight{};
        auto isolated_in_flight = false;
        std::uint64_t next{};
        core::time_point now{};
        const auto take = [&queued](std::uint64_t id) {
            return queued.erase(id) == 1u;
        };
        for(int step{}; step < 200; ++step) {
            now += std::chrono::milliseconds{random.below(30u)};
            const auto warm = random.below(4u);
            switch(random.below(6u)) {
            case 0u:
            case 1u:
            case 2u: {
                const queued_request request{.id = next++,
                    .adapter = {.adapter = std::to_string(random.below(4u)), .version = "1"},
                    .caller = std::to_string(random.below(3u)),
                    .priority = static_cast<int>(random.below(10u)),
                    .deadline = now + std::chrono::milliseconds{random.below(900u)},
                    .service_time = std::chrono::milliseconds{random.below(100u)},
                    .isolated = random.below(10u) == 0u};
                const auto admission = queue.push(request, 0s, now);
                if(admission.displaced && !take(admission.displaced->request.id)) {
                    return "displaced an unknown request";
                }
                if(admission.accepted()) {
                    queued.emplace(request.id, request);
                } else if(admission.refusal->verdict != core::verdict::not_run || !admission.refusal->retry_after) {
                    return "refusal without verdict `not_run` or `retry_after`";
                }
                break;
            }
            case 3u: {
                const auto batch_headroom = random.below(4u);
                const auto popped = queue.pop(
                    batch_headroom, in_flight,
                    [warm](const auto& adapter) { return adapter.adapter == std::to_string(warm); }, now);
                if(popped.size() > batch_headroom) {
                    return "more requests than the batch headroom";
                }
                if(!popped.empty() && isolated_in_flight) {
                    return "dispatched concurrently with an isolated request";
                }
                for(const auto& request : popped) {
                    if(!take(request.id)) {
                        return "popped twice";
                    }
                    if(request.adapter.adapter != std::to_string(warm)) {
                        return "popped for an adapter that is not resident";
                    }
                    if(now + request.service_time > request.deadline) {
                        return "popped after its latest start";
                    }
                    if(request.isolated && (popped.size() > 1u || in_flight > 0u)) {
                        return "isolated request dispatched with others";
                    }
                    isolated_in_flight = request.isolated;
                }
                in_flight += popped.size();
                break;
            }
            case 4u:
                if(in_flight > 0u && --in_flight == 0u) {
                    isolated_in_flight = false;
                }
                break;
            default:
                if(!queued.empty() && random.below(3u) == 0u) {
                    const auto id = queued.begin()->first;
                    if(!queue.cancel(id) || !take(id)) {
                        return "cancel failed";
                    }
                }
                break;
            }
            if(random.below(3u) == 0u) {
                for(const auto& entry : queue.expire(now)) {
                    if(entry.request.deadline - entry.request.service_time >= now || !take(entry.request.id)) {
                        return "expired early or twice";
                    }
                }
                if(queue.next_expiry() && *queue.next_expiry() <= now) {
                    return "request kept after its latest start";
                }
            }
            if(queue.size() != queued.size() || queued.size() > capacity) {
                return "wrong queue size";
            }
            std::size_t demand{};
            for(const auto& entry : queue.demand()) {
                demand += entry.waiting;
            }
            if(demand != queued.size()) {
                return "wrong demand";
            }
        }
        for(const auto& request : queue.drain()) {
            if(!take(request.id)) {
                return "drained twice";
            }
        }
        return queued.empty() ? "" : "request lost";
    });
}

} // namespace lagoonsaddle::policy
