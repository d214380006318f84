#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <span>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/prefill_group.hpp>
#include <lagoonsaddle/edge/speed_reference.hpp>
#include <lagoonsaddle/edge/upstream_selector.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Time in which a request rate decays to 1/e. */
constexpr std::chrono::duration<double> rate_decay_time{5.0};
/*! @brief Number of tracked rates above which inactive ones are removed; an adapter without a rate counts as rare. */
constexpr std::size_t tracked_rates_max{8'192u};

// Costs are in milliseconds of delay.
/*! @brief Load of an adapter from the weight store. */
constexpr double load_cost_ms{250.0};
/*! @brief Resident adapter on an upstream that is not preferred: its prompt cache is cold. */
constexpr double non_preferred_cost_ms{40.0};
/*! @brief Load on an upstream that is not preferred: the preferred ones still hold the adapter in memory. */
constexpr double non_preferred_load_cost_ms{300.0};
/*! @brief Upstream in another availability zone: traffic between availability zones is expensive. */
constexpr double zone_cost_ms{60.0};
/*! @brief Load in an availability zone in which no live node can order it. */
constexpr double zone_cannot_load_cost_ms{5'000.0};
/*! @brief Cost of a failure ratio of 1. */
constexpr double failure_cost_ms{4'000.0};
constexpr double unreachable_cost_ms{20'000.0};
/*! @brief Refused request because the upstream was full; decays over `refusal_decay_time`. */
constexpr double refusal_cost_ms{400.0};
constexpr std::chrono::duration<double> refusal_decay_time{1.0};
/*! @brief Prompt tokens that an upstream prefills per millisecond. */
constexpr double prefill_tokens_per_ms{40.0};
/*! @brief Weight of pending prefills relative to other costs. Below 1, because a load elsewhere also takes a slot that
 * other adapters need. */
constexpr double pending_prefill_weight{0.6};
/*! @brief Delay that each running request adds to the others of an upstream that serves a model. */
constexpr double batch_cost_ms{2.0};
/*! @brief Delay of a service without models when all request slots are in use. */
constexpr double service_cost_ms{120.0};
/*! @brief Upstream whose adapter slots are all in use: the load has to wait for one. */
constexpr double no_slot_cost_ms{400.0};
/*! @brief Load that each other node is assumed to put on a service without models, relative to this node's load. */
constexpr double peer_load_ratio{0.5};
/*! @brief Range of the random part of the cost of a service without models, relative to the difference between its
 * fastest and its slowest upstream. Without it, all nodes would use the fastest one at the same time. */
constexpr double draw_range{0.5};

/*! @brief Returns the rate key of a shared prefix; cached prefixes are specific to an adapter. */
[[nodiscard]] std::string prefix_key(const std::string& adapter, std::uint64_t shared_prefix) {
    return adapter + '#' + std::to_string(shared_prefix);
}

/*! @brief Returns the delay in milliseconds caused by the requests in progress on an upstream. */
[[nodiscard]] double queueing_cost(const upstream_state& upstream, const selection_request& request) {
    if(request.model.empty()) {
        const double peer_factor =
            1.0 + peer_load_ratio * static_cast<double>(std::max<std::size_t>(request.nodes, 1u) - 1u);
        return service_cost_ms * peer_factor * upstream.in_flight / std::max(upstream.entry.request_slots, 1u);
    }
    if(request.reservations != nullptr) {
        const auto load = request.reservations->load_of(upstream.entry.id);
        return pending_prefill_weight * static_cast<double>(load.pending_tokens) / prefill_tokens_per_ms +
               batch_cost_ms * static_cast<double>(load.in_flight);
    }
    // This is an estimate: the lease holder of the availability zone chooses again, knowing the requests of all nodes.
    return static_cast<double>(upstream.pending_tokens) / prefill_tokens_per_ms + batch_cost_ms * upstream.in_flight +
           (request.zone_delay_ms ? request.zone_delay_ms(upstream.entry.availability_zone) : 0.0);
}

/*! @brief Speeds of the candidates for a request, in their order. */
struct speed_assessment {
    /*! @brief Factors by which the candidates are slower than their mean. */
    std::vector<double> slowness{};
    std::optional<double> mean_ratio{};

    /*! @brief Returns the mean response time of a service without models in milliseconds; 0 when it is not known. */
    [[nodiscard]] double response_ms() const noexcept {
        return this->mean_ratio.value_or(0.0);
    }
};

/*! @brief Assesses the candidates by the observations of this node; the zones of engines, of which a node without the
 * lease has none, by the reports of the lease holders. */
[[nodiscard]] speed_assessment assess_speeds(
    std::span<const std::pair<std::uint64_t, const upstream_state*>> candidates, const selection_request& request,
    core::time_point now) {
    speed_assessment assessed{};
    assessed.slowness.reserve(candidates.size());
    if(!request.model.empty() && request.reservations == nullptr) {
        for(const auto& [hash, upstream] : candidates) {
            const auto& zone = upstream->entry.availability_zone;
            assessed.slowness.push_back(request.zone_slowness ? request.zone_slowness(zone) : 1.0);
        }
        return assessed;
    }
    speed_reference reference{};
    std::vector<speed_summary> summaries{};
    summaries.reserve(candidates.size());
    for(const auto& [hash, upstream] : candidates) {
        reference.add(summaries.emplace_back(upstream->speed.summarize(now)));
    }
    for(const auto& summary : summaries) {
        assessed.slowness.push_back(reference.slowness_of(summary));
    }
    assessed.mean_ratio = reference.mean_ratio();
    return assessed;
}

/*! @brief Returns a number that follows the Gumbel distribution, the same for the same upstream and draw. Subtracting
 * such numbers from costs makes the choice of the least cost a random one, weighted by the costs. */
[[nodiscard]] double gumbel_draw(const std::string& upstream, std::uint64_t draw) {
    constexpr unsigned mantissa_shift{11u};
    constexpr double mantissa_range{9007199254740992.0};
    const double uniform = (static_cast<double>(core::hash(upstream, draw) >> mantissa_shift) + 0.5) / mantissa_range;
    return -std::log(-std::log(uniform));
}

/*! @brief Returns the range in milliseconds of the random part of the costs; 0 when all candidates are equally fast. */
[[nodiscard]] double draw_scale_ms(const speed_assessment& speeds, const selection_request& request) {
    if(!request.model.empty() || request.draw == 0u || speeds.slowness.empty()) {
        return 0.0;
    }
    const auto [fastest, slowest] = std::ranges::minmax(speeds.slowness);
    return draw_range * speeds.response_ms() * (1.0 - fastest / slowest);
}

/*! @brief Returns by how many milliseconds the run of a request takes longer than at an upstream of mean speed: its
 * prefill, or its whole response at a service without models. */
[[nodiscard]] double run_cost(
    double slowness, std::uint64_t cold_tokens, const speed_assessment& speeds, const selection_request& request) {
    if(request.model.empty()) {
        return (slowness - 1.0) * speeds.response_ms();
    }
    // The same weight as that of what is ahead in the queue: otherwise, queues would grow on fast upstreams beyond the
    // point at which a slow one would be done sooner.
    const double weight = request.reservations != nullptr ? pending_prefill_weight : 1.0;
    return weight * (slowness - 1.0) * static_cast<double>(cold_tokens) / prefill_tokens_per_ms;
}

[[nodiscard]] double failure_cost(const upstream_state& upstream, core::time_point now) {
    double cost = failure_cost_ms * upstream.health.failure_ratio(now);
    if(upstream.health.unreachable(now)) {
        cost += unreachable_cost_ms;
    }
    if(upstream.refused_at != core::time_point::min()) {
        const std::chrono::duration<double> age{now - upstream.refused_at};
        cost += refusal_cost_ms * std::exp(-(age / refusal_decay_time));
    }
    return cost;
}

} // namespace

void upstream_selector::update_rate(const std::string& key, core::time_point now) {
    if(this->rates.size() >= tracked_rates_max && !this->rates.contains(key)) {
        std::erase_if(this->rates, [now](const auto& entry) { return now - entry.second.updated > rate_decay_time; });
    }
    auto& entry = this->rates[key];
    const std::chrono::duration<double> age{now - entry.updated};
    entry.per_second = entry.per_second * std::exp(-(age / rate_decay_time)) + 1.0 / rate_decay_time.count();
    entry.updated = now;
}

void upstream_selector::record_request(
    std::string_view model, std::string_view adapter, std::uint64_t shared_prefix, core::time_point now) {
    const auto key = adapter_key(model, adapter);
    if(!adapter.empty()) {
        this->update_rate(key, now);
    }
    if(shared_prefix != 0u) {
        this->update_rate(prefix_key(key, shared_prefix), now);
    }
}

std::size_t upstream_selector::preferred_count(std::string_view key, std::size_t nodes, core::time_point now) const {
    const auto found = this->rates.find(key);
    if(found == this->rates.end()) {
        return 1u;
    }
    const std::chrono::duration<double> age{now - found->second.updated};
    const auto own_rate = found->second.per_second * std::exp(-(age / rate_decay_time));
    const auto node_count = static_cast<double>(std::max<std::size_t>(nodes, 1u));
    // Of many nodes, each sees a rare adapter once at a time: scaled to the fleet, that single request would look like
    // a high rate.
    const auto chance_rate = (1.0 - 1.0 / node_count) / rate_decay_time.count();
    const auto fleet_rate = std::max(own_rate - chance_rate, 0.0) * node_count;
    const auto upstreams_needed =
        1u + static_cast<std::size_t>(fleet_rate / this->settings.requests_per_preferred_upstream);
    // Nodes estimate the rate from their own requests only. Rounding up to a power of two makes them mostly agree.
    return std::bit_ceil(upstreams_needed);
}

bool upstream_selector::is_candidate(const upstream_table& table, const upstream_state& upstream,
    const selection_request& request, core::time_point now) {
    const auto& entry = upstream.entry;
    if(request.excluded != nullptr && request.excluded->contains(entry.id)) {
        return false;
    }
    if(!request.zone.empty() && entry.availability_zone != request.zone) {
        return false;
    }
    if(request.software_version && table.certain_version(upstream, now) != request.software_version) {
        return false;
    }
    return request.model.empty() || upstream.holds_model(request.model);
}

upstream_selector::ranked_upstreams upstream_selector::rank_upstreams(
    const upstream_table& table, const selection_request& request, core::time_point now) const {
    // All nodes rank the upstreams alike, whatever their availability zone: one resident copy of an adapter serves all
    // zones, and a load from the weight store costs more than a transfer between zones.
    const std::string key = adapter_key(request.model, request.adapter);
    const auto accepting = table.accepting_requests(request.service);
    ranked_upstreams ranking{};
    for(const auto* upstream : accepting) {
        if(is_candidate(table, *upstream, request, now)) {
            ranking.emplace_back(core::hash(key + upstream->entry.id), upstream);
        }
    }
    std::ranges::sort(ranking, std::greater{}, &ranked_upstreams::value_type::first);
    const auto prefill_group = request.model.empty() ? std::set<std::string_view>{} : select_prefill_group(accepting);
    if(!prefill_group.empty()) {
        const bool is_long = is_long_prompt(request.prompt_tokens);
        std::ranges::stable_partition(ranking, [&prefill_group, is_long](const ranked_upstreams::value_type& entry) {
            return prefill_group.contains(entry.second->entry.id) == is_long;
        });
    }
    return ranking;
}

std::set<std::string_view> upstream_selector::preferred_for_prefix(
    std::span<const ranked_upstreams::value_type> preferred_upstreams, const selection_request& request,
    core::time_point now) const {
    const auto key = prefix_key(adapter_key(request.model, request.adapter), request.shared_prefix);
    ranked_upstreams ranking{};
    ranking.reserve(preferred_upstreams.size());
    for(const auto& [hash, upstream] : preferred_upstreams) {
        ranking.emplace_back(core::hash(key + upstream->entry.id), upstream);
    }
    const auto count = std::min(this->preferred_count(key, request.nodes, now), ranking.size());
    const auto chosen_end = ranking.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranking, chosen_end, std::greater{}, &ranked_upstreams::value_type::first);
    std::set<std::string_view> chosen{};
    for(auto entry = ranking.begin(); entry != chosen_end; ++entry) {
        chosen.insert(entry->second->entry.id);
    }
    return chosen;
}

std::optional<selection> upstream_selector::choose(
    const upstream_table& table, const selection_request& request, core::time_point now) const {
    const bool serves_models = !request.model.empty();
    const bool needs_adapter = !request.adapter.empty();
    const auto ranking = this->rank_upstreams(table, request, now);
    const auto preferred_size =
        needs_adapter ? std::min(ranking.size(),
                            this->preferred_count(adapter_key(request.model, request.adapter), request.nodes, now))
                      : ranking.size();
    const bool has_shared_prefix = serves_models && request.shared_prefix != 0u;
    const auto cached_on = has_shared_prefix
                               ? this->preferred_for_prefix(std::span{ranking}.first(preferred_size), request, now)
                               : std::set<std::string_view>{};
    const auto speeds = assess_speeds(ranking, request, now);
    const double draw_scale = draw_scale_ms(speeds, request);
    std::optional<selection> best{};
    double wait_sum{};
    for(std::size_t index{}; index < ranking.size(); ++index) {
        const auto& upstream = *ranking[index].second;
        const auto version = upstream.adapter_version(request.model, request.adapter, now);
        const bool resident = !needs_adapter || (version && *version >= request.version_min);
        const bool is_cached = cached_on.contains(upstream.entry.id);
        const auto cached_tokens = is_cached ? std::min(request.shared_tokens, request.prompt_tokens) : 0u;
        const auto cold_tokens = request.prompt_tokens - cached_tokens;
        const double slowness = speeds.slowness[index];
        const double wait = slowness * queueing_cost(upstream, request);
        wait_sum += wait;
        double cost = wait + failure_cost(upstream, now) + run_cost(slowness, cold_tokens, speeds, request);
        cost -= draw_scale > 0.0 ? draw_scale * gumbel_draw(upstream.entry.id, request.draw) : 0.0;
        cost += upstream.entry.availability_zone == this->settings.availability_zone ? 0.0 : zone_cost_ms;
        if(has_shared_prefix && !is_cached) {
            cost += static_cast<double>(request.shared_tokens) / prefill_tokens_per_ms;
        }
        if(index >= preferred_size) {
            cost += resident ? non_preferred_cost_ms : non_preferred_load_cost_ms;
        }
        if(!resident) {
            cost += load_cost_ms + (request.load_wait_ms ? request.load_wait_ms(upstream.entry) : 0.0);
            const bool load_possible =
                !request.zone_can_load || request.zone_can_load(upstream.entry.availability_zone);
            cost += load_possible ? 0.0 : zone_cannot_load_cost_ms;
            cost += request.has_adapter_slot && !request.has_adapter_slot(upstream.entry.id) ? no_slot_cost_ms : 0.0;
        }
        if(!best || cost < best->cost_ms) {
            best = selection{
                .upstream = upstream.entry.id, .resident = resident, .cost_ms = cost, .cold_tokens = cold_tokens};
        }
    }
    if(best) {
        best->mean_wait_ms = wait_sum / static_cast<double>(ranking.size());
        best->mean_slowness = request.model.empty() ? std::nullopt : speeds.mean_ratio;
    }
    return best;
}

} // namespace lagoonsaddle::edge
