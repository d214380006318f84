#include "trace.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <numeric>
#include <random>
#include <set>

namespace lagoonsaddle::bench {

namespace {

using namespace std::chrono_literals;

constexpr core::duration warm_up = 120s;
constexpr core::duration measured = 480s;
constexpr std::size_t caller_count = 20u;
/*! @brief Share of the traffic that the busiest caller sends. */
constexpr double busy_caller_share = 0.4;
constexpr std::size_t burst_size = 30u;
constexpr double burst_interval_seconds = 20.;
/*! @brief Bursts use adapters up to this rank. */
constexpr std::size_t burst_ranks = 300u;
constexpr std::size_t shifted_ranks = 500u;

[[nodiscard]] std::vector<double> zipf_weights(const deployment& target) {
    std::vector<double> weights(target.adapters);
    for(std::size_t rank{}; rank < weights.size(); ++rank) {
        weights[rank] = std::pow(static_cast<double>(rank + 1u), -target.zipf_exponent);
    }
    return weights;
}

[[nodiscard]] core::duration from_seconds(double value) {
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{value});
}

[[nodiscard]] std::string numbered(const char* prefix, std::size_t index) {
    char text[32];
    std::snprintf(text, sizeof(text), "%s-%05zu", prefix, index);
    return text;
}

} // namespace

std::vector<deployment> deployments() {
    return {{.name = "beaudry-lachance",
                .engines = 12u,
                .loads_per_second = 3u,
                .load_time = 333ms,
                .zipf_exponent = 1.1,
                .stall_weight = 2.,
                .batch_weight = 1.},
        {.name = "colombo",
            .engines = 9u,
            .loads_per_second = 2u,
            .load_time = 500ms,
            .zipf_exponent = 1.3,
            .stall_weight = 1.,
            .batch_weight = 2.,
            .preferred_upstreams = 3u}};
}

std::string to_string(scenario value) {
    switch(value) {
    case scenario::steady:
        return "steady";
    case scenario::popularity_shift:
        return "popularity_shift";
    case scenario::photo_bursts:
        return "photo_bursts";
    case scenario::cold_restart:
        return "cold_restart";
    case scenario::failing_loads:
        return "failing_loads";
    case scenario::slow_store:
        return "slow_store";
    }
    return "";
}

double batch_capacity(const deployment& target) {
    return static_cast<double>(target.engines * target.batch_limit) /
           std::chrono::duration<double>{target.service_time}.count();
}

double load_capacity(const deployment& target) {
    const auto weights = zipf_weights(target);
    const auto resident = weights.begin() + static_cast<std::ptrdiff_t>(target.engines * target.slots);
    const auto tail =
        std::accumulate(resident, weights.end(), 0.) / std::accumulate(weights.begin(), weights.end(), 0.);
    return static_cast<double>(target.loads_per_second) / tail;
}

trace make_trace(const deployment& target, scenario kind, double rate, std::uint64_t seed) {
    trace result{.target = target,
        .measured_from = core::time_point{warm_up},
        .end = core::time_point{warm_up + measured},
        .seed = seed};
    const auto middle = core::time_point{warm_up + measured / 4};
    std::mt19937_64 random{seed};
    for(std::size_t index{}; index < target.adapters; ++index) {
        result.adapters.push_back({.adapter = numbered("adapter", index), .version = "1"});
    }
    for(std::size_t index{}; index < caller_count; ++index) {
        result.callers.push_back(numbered("caller", index));
    }

    const auto weights = zipf_weights(target);
    std::discrete_distribution<std::size_t> popularity(weights.begin(), weights.end());
    std::vector<double> shares(caller_count, (1. - busy_caller_share) / static_cast<double>(caller_count - 1u));
    shares[0] = busy_caller_share;
    std::discrete_distribution<std::size_t> caller(shares.begin(), shares.end());
    std::discrete_distribution<int> priority{{0., 0., 0., 1., 0., 8., 0., 1.}};
    // Token counts vary; a gamma distribution with shape 4 has a standard deviation of half its mean.
    std::gamma_distribution<double> length{4., 0.25};
    std::vector<std::size_t> by_rank(target.adapters);
    std::iota(by_rank.begin(), by_rank.end(), std::size_t{});
    std::shuffle(by_rank.begin(), by_rank.end(), random);

    const auto add = [&](core::time_point at, std::size_t adapter, std::size_t from) {
        result.requests.push_back({.arrival = at,
            .adapter = adapter,
            .caller = from,
            .priority = priority(random),
            .deadline = at + target.deadline,
            .service_time = std::chrono::duration_cast<core::duration>(target.service_time * length(random))});
    };
    const auto burst_rate =
        kind == scenario::photo_bursts ? static_cast<double>(burst_size) / burst_interval_seconds : 0.;
    std::exponential_distribution<double> gap{std::max(rate - burst_rate, 0.1 * rate)};
    auto shifted = kind != scenario::popularity_shift;
    for(core::time_point at{}; at < result.end; at += from_seconds(gap(random))) {
        if(!shifted && at >= middle) {
            std::shuffle(by_rank.begin(), by_rank.begin() + shifted_ranks, random);
            shifted = true;
        }
        add(at, by_rank[popularity(random)], caller(random));
    }
    if(kind == scenario::photo_bursts) {
        std::exponential_distribution<double> burst_gap{1. / burst_interval_seconds};
        std::uniform_int_distribution<std::size_t> rank{0u, burst_ranks - 1u};
        std::uniform_real_distribution<double> offset{0., 1.};
        for(core::time_point at{}; at < result.end; at += from_seconds(burst_gap(random))) {
            const auto adapter = by_rank[rank(random)];
            const auto from = caller(random);
            for(std::size_t count{}; count < burst_size; ++count) {
                add(at + from_seconds(offset(random)), adapter, from);
            }
        }
    }
    std::stable_sort(result.requests.begin(), result.requests.end(),
        [](const traced_request& left, const traced_request& right) { return left.arrival < right.arrival; });

    if(kind == scenario::cold_restart) {
        for(std::size_t engine{}; engine < target.engines / 3u; ++engine) {
            result.restarts.push_back({.at = middle, .engine = engine});
        }
    }
    if(kind == scenario::failing_loads) {
        result.load_failure_rate = 0.1;
    }
    if(kind == scenario::slow_store) {
        result.slow_from = middle;
        result.slow_until = middle + measured / 4;
    }
    return result;
}

std::size_t offline_loads(const trace& input) {
    constexpr auto never = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> next(input.requests.size(), never);
    std::vector<std::size_t> last(input.target.adapters, never);
    for(std::size_t index = input.requests.size(); index-- > 0u;) {
        next[index] = last[input.requests[index].adapter];
        last[input.requests[index].adapter] = index;
    }
    std::vector<std::size_t> next_use(input.target.adapters, never);
    std::vector<bool> resident(input.target.adapters);
    std::set<std::pair<std::size_t, std::size_t>> by_next_use{};
    std::size_t loads{};
    for(std::size_t index{}; index < input.requests.size(); ++index) {
        const auto adapter = input.requests[index].adapter;
        if(resident[adapter]) {
            by_next_use.erase({next_use[adapter], adapter});
        } else {
            loads += input.requests[index].arrival >= input.measured_from ? 1u : 0u;
            if(by_next_use.size() >= input.target.engines * input.target.slots) {
                const auto victim = std::prev(by_next_use.end());
                resident[victim->second] = false;
                by_next_use.erase(victim);
            }
            resident[adapter] = true;
        }
        next_use[adapter] = next[index];
        by_next_use.emplace(next[index], adapter);
    }
    return loads;
}

} // namespace lagoonsaddle::bench
