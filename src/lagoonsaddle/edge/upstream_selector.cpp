#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/upstream_selector.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Time constant of the request rates of adapters. */
constexpr std::chrono::duration<double> rate_memory{5.0};
/*! @brief Adapters whose rates are remembered; a forgotten one counts as rare. */
constexpr std::size_t rates_max{8'192u};

// Costs in milliseconds of delay.
/*! @brief Load of an adapter from the weight store. */
constexpr double load_cost_ms{250.0};
/*! @brief Upstream other than one of the adapter's homes that holds it: its prompt cache is cold. */
constexpr double away_cost_ms{40.0};
/*! @brief Load on an upstream other than one of the adapter's homes: the homes still have it in memory. */
constexpr double away_load_cost_ms{300.0};
/*! @brief Upstream in another availability zone: transfers between availability zones are expensive. */
constexpr double zone_cost_ms{60.0};
/*! @brief Availability zone in which no node can order the load. */
constexpr double no_loader_cost_ms{5'000.0};
/*! @brief Failure share of 1. */
constexpr double failure_cost_ms{4'000.0};
constexpr double unreachable_cost_ms{20'000.0};
/*! @brief Refusal because the upstream was full, fading over `refusal_memory`. */
constexpr double refusal_cost_ms{400.0};
constexpr std::chrono::duration<double> refusal_memory{1.0};
/*! @brief Prompt tokens that an upstream reads per millisecond. */
constexpr double prompt_tokens_per_ms{40.0};
/*! @brief Weight of prompts that wait at an upstream against the cost of a load elsewhere: a load takes a place that
 * other adapters need. */
constexpr double pending_prompt_weight{0.6};
/*! @brief Delay that each running request adds to the others of a model upstream. */
constexpr double batch_cost_ms{2.0};
/*! @brief Delay of a plain service per request in proportion to its places. */
constexpr double service_cost_ms{120.0};
/*! @brief Upstream whose adapter places are all in use: a load has to wait for one. */
constexpr double no_place_cost_ms{400.0};
/*! @brief Load that each other node is assumed to put on a plain service, in parts of this node's. */
constexpr double peer_load_share{0.5};

/*! @brief Returns the key of a shared prefix of prompts; cached parts belong to one adapter. */
[[nodiscard]] std::string prefix_key(const std::string& adapter, std::uint64_t shared_prefix) {
    return adapter + '#' + std::to_string(shared_prefix);
}

/*! @brief Returns the delay by requests in progress on an upstream. */
[[nodiscard]] double waiting_cost(const known_upstream& upstream, const selection_request& wanted) {
    if(wanted.model.empty()) {
        const double share = 1.0 + peer_load_share * static_cast<double>(std::max<std::size_t>(wanted.nodes, 1u) - 1u);
        return service_cost_ms * share * upstream.in_flight / std::max(upstream.entry.slots, 1u);
    }
    if(wanted.exact_load != nullptr) {
        const auto load = wanted.exact_load->load_of(upstream.entry.id);
        return pending_prompt_weight * static_cast<double>(load.pending_tokens) / prompt_tokens_per_ms +
               batch_cost_ms * static_cast<double>(load.in_flight);
    }
    // The holder of the availability zone chooses again by the whole load.
    return static_cast<double>(upstream.pending_tokens) / prompt_tokens_per_ms + batch_cost_ms * upstream.in_flight +
           (wanted.zone_delay_ms ? wanted.zone_delay_ms(upstream.entry.availability_zone) : 0.0);
}

[[nodiscard]] double trouble_cost(const known_upstream& upstream, core::time_point now) {
    double cost = failure_cost_ms * upstream.health.failure_share(now);
    if(upstream.health.unreachable(now)) {
        cost += unreachable_cost_ms;
    }
    if(upstream.refused_at != core::time_point::min()) {
        const std::chrono::duration<double> age{now - upstream.refused_at};
        cost += refusal_cost_ms * std::exp(-(age / refusal_memory));
    }
    return cost;
}

} // namespace

void upstream_selector::count(const std::string& key, core::time_point now) {
    if(this->rates.size() >= rates_max && !this->rates.contains(key)) {
        std::erase_if(this->rates, [now](const auto& entry) { return now - entry.second.updated > rate_memory; });
    }
    auto& entry = this->rates[key];
    const std::chrono::duration<double> age{now - entry.updated};
    entry.per_second = entry.per_second * std::exp(-(age / rate_memory)) + 1.0 / rate_memory.count();
    entry.updated = now;
}

void upstream_selector::record_request(
    std::string_view model, std::string_view adapter, std::uint64_t shared_prefix, core::time_point now) {
    const auto key = adapter_key(model, adapter);
    if(!adapter.empty()) {
        this->count(key, now);
    }
    if(shared_prefix != 0u) {
        this->count(prefix_key(key, shared_prefix), now);
    }
}

std::size_t upstream_selector::homes(std::string_view key, std::size_t nodes, core::time_point now) const {
    const auto found = this->rates.find(key);
    if(found == this->rates.end()) {
        return 1u;
    }
    const std::chrono::duration<double> age{now - found->second.updated};
    const auto own = found->second.per_second * std::exp(-(age / rate_memory));
    const auto fleet = own * static_cast<double>(std::max<std::size_t>(nodes, 1u));
    const auto needed = 1u + static_cast<std::size_t>(fleet / this->settings.requests_per_home);
    // Each node estimates the rate from its own requests; with powers of two, estimates that differ agree mostly.
    return std::bit_ceil(needed);
}

upstream_selector::ranked_upstreams upstream_selector::rank(
    const upstream_table& table, const selection_request& wanted) const {
    // All availability zones rank the upstreams alike: an adapter resident once serves them all, and a load from the
    // weight store costs more than the transfer between availability zones.
    const std::string key = adapter_key(wanted.model, wanted.adapter);
    ranked_upstreams ranking{};
    for(const auto* upstream : table.usable(wanted.service)) {
        const bool excluded = wanted.excluded != nullptr && wanted.excluded->contains(upstream->entry.id);
        const bool elsewhere = !wanted.zone.empty() && upstream->entry.availability_zone != wanted.zone;
        if(!excluded && !elsewhere && (wanted.model.empty() || upstream->holds_model(wanted.model))) {
            ranking.emplace_back(core::hash(key + upstream->entry.id), upstream);
        }
    }
    std::ranges::sort(ranking, std::greater{}, &ranked_upstreams::value_type::first);
    return ranking;
}

std::set<std::string_view> upstream_selector::prefix_homes(std::span<const ranked_upstreams::value_type> adapter_homes,
    const selection_request& wanted, core::time_point now) const {
    const auto key = prefix_key(adapter_key(wanted.model, wanted.adapter), wanted.shared_prefix);
    ranked_upstreams ranking{};
    ranking.reserve(adapter_homes.size());
    for(const auto& [hash, upstream] : adapter_homes) {
        ranking.emplace_back(core::hash(key + upstream->entry.id), upstream);
    }
    const auto count = std::min(this->homes(key, wanted.nodes, now), ranking.size());
    const auto middle = ranking.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranking, middle, std::greater{}, &ranked_upstreams::value_type::first);
    std::set<std::string_view> chosen{};
    for(auto entry = ranking.begin(); entry != middle; ++entry) {
        chosen.insert(entry->second->entry.id);
    }
    return chosen;
}

std::optional<selection> upstream_selector::choose(
    const upstream_table& table, const selection_request& wanted, core::time_point now) const {
    const bool serves_models = !wanted.model.empty();
    const bool placed = !wanted.adapter.empty();
    const auto ranking = this->rank(table, wanted);
    const auto home_count =
        placed ? std::min(ranking.size(), this->homes(adapter_key(wanted.model, wanted.adapter), wanted.nodes, now))
               : ranking.size();
    const bool shares = serves_models && wanted.shared_prefix != 0u;
    const auto kept_on =
        shares ? this->prefix_homes(std::span{ranking}.first(home_count), wanted, now) : std::set<std::string_view>{};
    std::optional<selection> best{};
    double wait_sum{};
    for(std::size_t index{}; index < ranking.size(); ++index) {
        const auto& upstream = *ranking[index].second;
        const auto version = upstream.adapter_version(wanted.model, wanted.adapter, now);
        const bool resident = !placed || (version && *version >= wanted.version_min);
        const bool kept = kept_on.contains(upstream.entry.id);
        const auto cached = kept ? std::min(wanted.shared_tokens, wanted.prompt_tokens) : 0u;
        const auto cold = wanted.prompt_tokens - cached;
        const double wait = waiting_cost(upstream, wanted);
        wait_sum += wait;
        double cost = wait + trouble_cost(upstream, now);
        cost += upstream.entry.availability_zone == this->settings.availability_zone ? 0.0 : zone_cost_ms;
        if(shares && !kept) {
            cost += static_cast<double>(wanted.shared_tokens) / prompt_tokens_per_ms;
        }
        if(index >= home_count) {
            cost += resident ? away_cost_ms : away_load_cost_ms;
        }
        if(!resident) {
            cost += load_cost_ms;
            const bool loadable = !wanted.can_load || wanted.can_load(upstream.entry.availability_zone);
            cost += loadable ? 0.0 : no_loader_cost_ms;
            cost += wanted.has_place && !wanted.has_place(upstream.entry.id) ? no_place_cost_ms : 0.0;
        }
        if(!best || cost < best->cost_ms) {
            best = selection{.upstream = upstream.entry.id, .resident = resident, .cost_ms = cost, .cold_tokens = cold};
        }
    }
    if(best) {
        best->mean_wait_ms = wait_sum / static_cast<double>(ranking.size());
    }
    return best;
}

} // namespace lagoonsaddle::edge
