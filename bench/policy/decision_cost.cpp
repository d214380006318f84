#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>

#include "fleet.hpp"
#include <lagoonsaddle/policy/adapter_slots.hpp>
#include <lagoonsaddle/policy/admission_queue.hpp>
#include <lagoonsaddle/policy/load_scheduler.hpp>
#include <lagoonsaddle/policy/router.hpp>

namespace lagoonsaddle::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t iterations = 100'000u;

/*! @brief Processor time of this thread, which other processes on the machine disturb less than the wall clock. */
[[nodiscard]] core::duration thread_time() {
    timespec value{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

/*! @brief Calls a decision many times and prints the mean time of a call. */
template<typename Decision>
void print_cost(const char* name, std::size_t adapters, Decision decision) {
    const auto start = thread_time();
    for(std::size_t index{}; index < iterations; ++index) {
        decision(index);
    }
    const std::chrono::duration<double, std::nano> elapsed = thread_time() - start;
    std::printf("%-34s %8zu %10.0f\n", name, adapters, elapsed.count() / static_cast<double>(iterations));
}

void print_costs(std::size_t adapters) {
    auto shape = deployments().front();
    shape.adapters = adapters;
    const auto input = make_trace(shape, scenario::steady, 100., 1u);
    const auto adapter = [&input](std::size_t index) -> const core::adapter_version& {
        return input.adapters[input.requests[index % input.requests.size()].adapter];
    };
    const auto at = [](std::size_t index) {
        return core::time_point{100us * static_cast<long>(index)};
    };
    std::size_t sink{};

    // 12 engines are today's deployment; 112 are the engines of one base model in one zone at the design size.
    for(const std::size_t engines : {12u, 112u}) {
        std::vector<policy::upstream_view> views{};
        for(std::size_t index{}; index < engines; ++index) {
            views.emplace_back("engine-" + std::to_string(index), "zone");
            policy::upstream_report report{.sequence = 1u, .queued = index % 5u, .running = 6u, .batch_limit = 8u};
            for(std::size_t slot{}; slot < 8u; ++slot) {
                report.resident.push_back(adapter(index * 8u + slot));
            }
            views.back().apply_report(std::move(report));
        }
        std::vector<const policy::upstream_view*> candidates(views.size());
        std::transform(views.begin(), views.end(), candidates.begin(), [](const auto& view) { return &view; });
        const policy::router routes{};
        print_cost(engines == 12u ? "rank, 12 engines" : "rank, 112 engines", adapters, [&](std::size_t index) {
            sink += routes.rank({.adapter = adapter(index), .zone = "zone"}, candidates, at(index)).candidates.size();
        });
    }

    policy::adapter_slots slots{{.slots = 8u, .minimum_residency = 0s}};
    print_cost("slots: request and plan_load", adapters, [&](std::size_t index) {
        const auto& wanted = adapter(index);
        slots.request_queued(wanted, at(index));
        const auto plan = slots.plan_load(wanted, at(index));
        if(plan.action == policy::load_action::evict) {
            sink += slots.eviction_started(*plan.victim, wanted, at(index)) ? 1u : 0u;
            sink += slots.eviction_finished(*plan.victim, at(index)) ? 1u : 0u;
            slots.load_finished(wanted, at(index));
        } else if(plan.action == policy::load_action::use_free_slot) {
            sink += slots.load_started(wanted, at(index)) ? 1u : 0u;
            slots.load_finished(wanted, at(index));
        }
        slots.request_dropped(wanted);
    });

    policy::admission_queue queue{};
    for(std::size_t index{}; index < 200u; ++index) {
        static_cast<void>(queue.push({.id = iterations + index,
                                         .adapter = adapter(index),
                                         .caller = input.callers[index % input.callers.size()],
                                         .deadline = at(100u * iterations)},
            {}, at(0u)));
    }
    print_cost("queue: push and pop, 200 waiting", adapters, [&](std::size_t index) {
        static_cast<void>(queue.push({.id = index,
                                         .adapter = adapter(index),
                                         .caller = input.callers[index % input.callers.size()],
                                         .deadline = at(100u * iterations)},
            {}, at(index)));
        sink += queue
                    .pop(
                        1u, 7u, [](const auto&) { return true; }, at(index))
                    .size();
    });

    policy::load_scheduler order{{.grants_per_second = iterations}};
    for(std::size_t index{}; index < adapters; ++index) {
        order.request_load({.requester = "node", .engine = "engine", .adapter = input.adapters[index]}, at(0u));
    }
    print_cost("load order: request, poll, release", adapters, [&](std::size_t index) {
        order.request_load({.requester = "node",
                               .engine = "engine",
                               .adapter = input.adapters[index * 7u % adapters],
                               .waiting = 1u + index % 3u,
                               .nearest_deadline = at(index + 50'000u)},
            at(index));
        for(const auto& permit : order.poll(at(index)).granted) {
            order.release(permit.id, at(index));
        }
    });
    if(sink == 0u) {
        std::printf("no decisions were made\n");
    }
}

} // namespace

void print_decision_costs() {
    std::printf("%-34s %8s %10s\n", "decision", "adapters", "ns");
    for(const std::size_t adapters : {3'000u, 29'000u}) {
        print_costs(adapters);
    }
}

} // namespace lagoonsaddle::bench
