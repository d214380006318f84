#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iterator>
#include <optional>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/policy/router.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Average fraction of a running load that remains. */
constexpr double running_load_fraction = 0.5;

[[nodiscard]] double milliseconds(core::duration value) noexcept {
    return std::chrono::duration<double, std::milli>{value}.count();
}

/*! @brief Candidate with its rendezvous hash of adapter and upstream, which is the same on all entry nodes. */
struct scored_candidate {
    ranked_candidate candidate{};
    std::uint64_t rendezvous_hash{};
};

/*! @brief Sorted in place of the candidates, which are larger. The cost is rounded to whole milliseconds. */
struct sort_key {
    double cost{};
    std::uint64_t rendezvous_hash{};
    std::size_t index{};
};

} // namespace

router::router(router_options options) : options{options} {}

void router::set_zone_transfer_time(const std::string& first, const std::string& second, core::duration transfer_time) {
    this->zone_transfer_times[std::minmax(first, second)] = transfer_time;
}

ranking router::rank(
    const routing_request& request, std::span<const upstream_view* const> candidates, core::time_point now) const {
    ranking result{};
    std::vector<scored_candidate> scored_candidates{};
    scored_candidates.reserve(candidates.size());
    std::vector<std::size_t> unhealthy{};
    std::optional<std::size_t> least_busy{};
    std::size_t least_outstanding{};
    const auto rendezvous_seed = core::hash(request.adapter.version, core::hash(request.adapter.adapter));

    const auto adapter_hash = std::hash<core::adapter_version>{}(request.adapter);

    const auto add_candidate = [&](std::size_t index) {
        const auto& view = *candidates[index];
        const auto& report = view.report();
        scored_candidate entry{};
        entry.candidate.index = index;
        auto& cost = entry.candidate.cost;

        const auto outstanding = view.outstanding_requests(now);
        const auto limit = std::max<std::size_t>(report.batch_limit, 1u);
        if(outstanding >= limit) {
            const auto service_time =
                report.service_time > core::duration{} ? report.service_time : this->options.service_time_default;
            cost.queue_wait =
                static_cast<double>(outstanding - limit + 1u) * milliseconds(service_time) / static_cast<double>(limit);
        } else {
            const auto fill = static_cast<double>(outstanding + 1u) / static_cast<double>(limit);
            cost.batch_gain = this->options.batch_weight * milliseconds(this->options.batch_fill_value) *
                              (fill + std::clamp(report.batch_fill, 0., 1.)) / 2.;
        }

        const auto needs_adapter = !request.adapter.adapter.empty();
        entry.candidate.resident = !needs_adapter || view.is_resident(request.adapter, adapter_hash);
        if(needs_adapter) {
            auto loads =
                static_cast<double>(std::min(request.load_queue_length, this->options.load_queue_length_max)) + 1.;
            if(entry.candidate.resident) {
                const auto age = std::chrono::duration<double>{std::max(core::duration{}, now - report.observed_at)} /
                                 std::chrono::duration<double>{this->options.residency_half_life};
                loads *= 1. - std::exp2(-age);
            } else if(const auto position = view.load_queue_position(request.adapter, now)) {
                loads = static_cast<double>(*position) + running_load_fraction;
            } else if(view.has_report()) {
                // Loads for requests sent since the report use the free slots and the victims with the lowest rates.
                const auto loads_ahead = view.assumed_load_count();
                if(report.free_slots + report.evictable_slots <= loads_ahead) {
                    cost.no_slot = milliseconds(this->options.no_slot_penalty);
                }
                if(report.free_slots <= loads_ahead) {
                    const auto expected_requests =
                        report.victim_rate * static_cast<double>(loads_ahead - report.free_slots + 1u) *
                        std::chrono::duration<double>{this->options.eviction_horizon}.count();
                    cost.eviction = this->options.stall_weight * loads * milliseconds(this->options.load_time) *
                                    (1. - std::exp(-expected_requests));
                }
            }
            cost.load_stall = this->options.stall_weight * loads * milliseconds(this->options.load_time);
        }

        if(request.zone != view.zone()) {
            const auto found = this->zone_transfer_times.find(std::minmax(std::string{request.zone}, view.zone()));
            cost.zone_transfer = milliseconds(
                found == this->zone_transfer_times.end() ? this->options.zone_transfer_time_default : found->second);
        }
        cost.prefix_hint =
            milliseconds(this->options.prefix_hint_value) * view.prefix_cache_confidence(request.prefix_digest, now);

        entry.rendezvous_hash = core::hash(view.name(), rendezvous_seed);
        scored_candidates.push_back(entry);
    };

    for(std::size_t index{}; index < candidates.size(); ++index) {
        const auto& view = *candidates[index];
        if(std::find(request.excluded.begin(), request.excluded.end(), view.name()) != request.excluded.end()) {
            result.excluded.push_back({.index = index, .reason = exclusion_reason::excluded});
        } else if(view.is_leaving()) {
            result.excluded.push_back({.index = index, .reason = exclusion_reason::leaving});
        } else if(view.is_unhealthy()) {
            unhealthy.push_back(index);
        } else if(const auto outstanding = request.isolated ? view.outstanding_requests(now) : 0u; outstanding > 0u) {
            result.excluded.push_back({.index = index, .reason = exclusion_reason::busy});
            if(!least_busy || outstanding < least_outstanding) {
                least_busy = index;
                least_outstanding = outstanding;
            }
        } else {
            add_candidate(index);
        }
    }
    if(scored_candidates.empty() && least_busy) {
        std::erase_if(
            result.excluded, [least_busy](const excluded_candidate& entry) { return entry.index == *least_busy; });
        add_candidate(*least_busy);
    }
    if(scored_candidates.empty()) {
        std::for_each(unhealthy.begin(), unhealthy.end(), add_candidate);
    } else {
        std::transform(unhealthy.begin(), unhealthy.end(), std::back_inserter(result.excluded), [](std::size_t index) {
            return excluded_candidate{.index = index, .reason = exclusion_reason::unhealthy};
        });
    }

    if(!request.adapter.adapter.empty() && scored_candidates.size() > this->options.preferred_upstreams) {
        std::vector<std::uint64_t> rendezvous_hashes(scored_candidates.size());
        std::transform(scored_candidates.begin(), scored_candidates.end(), rendezvous_hashes.begin(),
            [](const scored_candidate& entry) { return entry.rendezvous_hash; });
        const auto first_non_preferred =
            std::next(rendezvous_hashes.begin(), static_cast<std::ptrdiff_t>(this->options.preferred_upstreams));
        std::nth_element(rendezvous_hashes.begin(), first_non_preferred, rendezvous_hashes.end(), std::greater<>{});
        for(auto& entry : scored_candidates) {
            if(!entry.candidate.resident && entry.rendezvous_hash <= *first_non_preferred) {
                entry.candidate.cost.non_preferred = milliseconds(this->options.non_preferred_penalty);
            }
        }
    }
    std::vector<sort_key> order(scored_candidates.size());
    for(std::size_t index{}; index < scored_candidates.size(); ++index) {
        order[index] = {.cost = std::round(scored_candidates[index].candidate.cost.total()),
            .rendezvous_hash = scored_candidates[index].rendezvous_hash,
            .index = index};
    }
    const auto count = std::min(order.size(), this->options.candidates_max);
    std::partial_sort(order.begin(), std::next(order.begin(), static_cast<std::ptrdiff_t>(count)), order.end(),
        [](const sort_key& left, const sort_key& right) {
            return left.cost != right.cost ? left.cost < right.cost : left.rendezvous_hash > right.rendezvous_hash;
        });
    result.candidates.reserve(count);
    for(std::size_t index{}; index < count; ++index) {
        result.candidates.push_back(scored_candidates[order[index].index].candidate);
    }
    return result;
}

} // namespace lagoonsaddle::policy
