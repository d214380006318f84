#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include <lagoonsaddle/edge/quota_account.hpp>

namespace lagoonsaddle::edge {

namespace {

using seconds_type = std::chrono::duration<double>;

/*! @brief Time constant of the decay of the observed demand. */
constexpr seconds_type demand_decay_time{1.0};
/*! @brief Time for which a node asks ahead, at most half of the lifetime of the grant. */
constexpr seconds_type ahead_time{0.3};
/*! @brief Differences of units that are rounding errors. */
constexpr double rounding{1e-6};

} // namespace

quota_account::quota_account(quota_bounds values, core::time_point now) noexcept : bounds{values}, started{now} {}

quota_account::tenant_state& quota_account::state_of(const tenant& owner) {
    auto found = this->states.find(owner.name);
    if(found == this->states.end()) {
        tenant_state created{.admitted_without_grant = windowed_sum{this->bounds.window}};
        found = this->states.emplace(owner.name, std::move(created)).first;
    }
    found->second.quota = owner.quota;
    return found->second;
}

void quota_account::decay(tenant_state& state, core::time_point now) {
    const auto factor = std::exp(-(seconds_type{now - state.decayed_at} / demand_decay_time));
    state.recent_requests *= factor;
    state.recent_units *= factor;
    state.decayed_at = now;
}

std::optional<quota_charge> quota_account::take(
    const std::string& name, tenant_state& state, double units, core::time_point now) {
    std::erase_if(state.lots, [now](const lot& value) { return value.expires <= now; });
    double total{};
    for(const auto& value : state.lots) {
        total += value.units;
    }
    if(total + rounding < units) {
        return std::nullopt;
    }
    quota_charge taken{.tenant = name, .units = units, .expires = now};
    if(!state.lots.empty()) {
        taken.expires = state.lots.front().expires;
    }
    for(auto left = units; left > 0.0 && !state.lots.empty();) {
        const auto part = std::min(left, state.lots.front().units);
        left -= part;
        state.lots.front().units -= part;
        if(state.lots.front().units <= 0.0) {
            state.lots.pop_front();
        }
    }
    return taken;
}

std::optional<quota_charge> quota_account::charge(const tenant& owner, double units, core::time_point now) {
    auto& state = this->state_of(owner);
    decay(state, now);
    state.recent_requests += 1.0;
    state.recent_units += units;
    return state.waiting.empty() ? take(owner.name, state, units, now) : std::nullopt;
}

std::uint64_t quota_account::add_waiting(const tenant& owner, double units, unsigned priority) {
    this->state_of(owner).waiting.push_back({.ticket = ++this->last_ticket, .units = units, .priority = priority});
    return this->last_ticket;
}

void quota_account::remove_waiting(std::string_view name, std::uint64_t ticket) {
    if(const auto found = this->states.find(name); found != this->states.end()) {
        std::erase_if(found->second.waiting, [ticket](const waiting_request& value) { return value.ticket == ticket; });
    }
}

std::size_t quota_account::waiting_count(std::string_view name) const {
    const auto found = this->states.find(name);
    return found == this->states.end() ? 0u : found->second.waiting.size();
}

quota_need quota_account::take_need(const tenant& owner, core::time_point now) {
    auto& state = this->state_of(owner);
    quota_need need{};
    for(auto& value : state.waiting) {
        value.asked = true;
        need.least = need.needed == 0.0 ? value.units : std::min(need.least, value.units);
        need.needed += value.units;
    }
    const auto held = this->balance(owner.name, now);
    need.needed = std::ceil(std::max(need.needed - held, 0.0));
    need.least = std::min(std::ceil(std::max(need.least - held, 0.0)), need.needed);
    decay(state, now);
    // Below one request in that time, most of what is asked ahead would expire unused.
    const seconds_type lifetime{divide_tolerance(owner.quota, this->bounds).grant_lifetime};
    const auto share = std::min(ahead_time, lifetime / 2.0) / demand_decay_time;
    need.ahead = state.recent_requests * share >= 1.0 ? std::floor(state.recent_units * share) : 0.0;
    return need;
}

void quota_account::add_grant(const tenant& owner, double units, core::time_point asked_at) {
    if(units <= 0.0) {
        return;
    }
    auto& lots = this->state_of(owner).lots;
    const lot added{.units = units, .expires = asked_at + divide_tolerance(owner.quota, this->bounds).grant_lifetime};
    lots.insert(std::ranges::upper_bound(lots, added.expires, {}, &lot::expires), added);
}

std::vector<quota_admission> quota_account::admit_waiting(const tenant& owner, core::time_point now) {
    auto& state = this->state_of(owner);
    std::ranges::stable_sort(state.waiting, {}, [](const waiting_request& value) {
        return std::tuple{!value.asked, value.priority, value.units};
    });
    std::vector<quota_admission> admitted{};
    std::erase_if(state.waiting, [&](const waiting_request& value) {
        auto taken = take(owner.name, state, value.units, now);
        if(taken) {
            admitted.push_back({.ticket = value.ticket, .charge = std::move(*taken)});
        }
        return taken.has_value();
    });
    return admitted;
}

std::vector<quota_admission> quota_account::admit_without_grant(
    const tenant& owner, std::size_t nodes, core::time_point now) {
    std::vector<quota_admission> admitted{};
    std::erase_if(this->state_of(owner).waiting, [&](const waiting_request& value) {
        auto charged = value.asked ? this->charge_without_grant(owner, value.units, nodes, now) : std::nullopt;
        if(charged) {
            admitted.push_back({.ticket = value.ticket, .charge = std::move(*charged)});
        }
        return charged.has_value();
    });
    return admitted;
}

std::optional<quota_charge> quota_account::charge_without_grant(
    const tenant& owner, double units, std::size_t nodes, core::time_point now) {
    if(now - this->started < this->bounds.window || nodes == 0u) {
        return std::nullopt;
    }
    auto& state = this->state_of(owner);
    const auto share = divide_tolerance(owner.quota, this->bounds).fallback_units / static_cast<double>(nodes);
    if(state.admitted_without_grant.sum(now) + units > share) {
        return std::nullopt;
    }
    state.admitted_without_grant.add(units, now);
    return quota_charge{.tenant = owner.name, .units = units, .expires = now};
}

void quota_account::ask_again(std::string_view name) {
    if(const auto found = this->states.find(name); found != this->states.end()) {
        for(auto& value : found->second.waiting) {
            value.asked = false;
        }
    }
}

std::vector<std::uint64_t> quota_account::remove_asked(std::string_view name) {
    std::vector<std::uint64_t> removed{};
    if(const auto found = this->states.find(name); found != this->states.end()) {
        std::erase_if(found->second.waiting, [&removed](const waiting_request& value) {
            if(value.asked) {
                removed.push_back(value.ticket);
            }
            return value.asked;
        });
    }
    return removed;
}

std::vector<std::uint64_t> quota_account::remove_all(std::string_view name) {
    std::vector<std::uint64_t> removed{};
    if(const auto found = this->states.find(name); found != this->states.end()) {
        for(const auto& value : found->second.waiting) {
            removed.push_back(value.ticket);
        }
        found->second.waiting.clear();
    }
    return removed;
}

void quota_account::credit(const quota_charge& unused, core::time_point now) {
    const auto found = this->states.find(unused.tenant);
    if(found == this->states.end() || unused.expires <= now || unused.units <= 0.0) {
        return;
    }
    auto& lots = found->second.lots;
    lots.insert(std::ranges::upper_bound(lots, unused.expires, {}, &lot::expires),
        lot{.units = unused.units, .expires = unused.expires});
}

void quota_account::apply(const configuration& config) {
    for(auto& [name, state] : this->states) {
        const tenant* owner{};
        if(config.tenants) {
            const auto found = std::ranges::find(*config.tenants, name, &tenant::name);
            owner = found == config.tenants->end() ? nullptr : &*found;
        }
        const bool kept = owner != nullptr && owner->quota.unit == state.quota.unit &&
                          owner->quota.per_second >= state.quota.per_second && owner->quota.burst >= state.quota.burst;
        if(!kept) {
            state.lots.clear();
        }
    }
    std::erase_if(this->states, [&config](const auto& entry) {
        const bool is_listed =
            config.tenants && std::ranges::find(*config.tenants, entry.first, &tenant::name) != config.tenants->end();
        return !is_listed && entry.second.waiting.empty();
    });
}

double quota_account::balance(std::string_view name, core::time_point now) const {
    double total{};
    if(const auto found = this->states.find(name); found != this->states.end()) {
        for(const auto& value : found->second.lots) {
            total += value.expires > now ? value.units : 0.0;
        }
    }
    return total;
}

} // namespace lagoonsaddle::edge
