#include <algorithm>
#include <cmath>
#include <utility>

#include <lagoonsaddle/edge/quota_ledger.hpp>

namespace lagoonsaddle::edge {

namespace {

using std::chrono::milliseconds;
using seconds_type = std::chrono::duration<double>;

/*! @brief Age of a confirmation from which a holder counts as unconfirmed. The lease is read every 0.9 s. */
constexpr milliseconds confirmation_age_max{1'200};
/*! @brief Time within which a holder that was replaced hears of it, unless it is partitioned from the other nodes. */
constexpr milliseconds replacement_notice_max{3'000};
/*! @brief Weight of a holder whose predecessor may not have heard of it yet. */
constexpr double early_weight{0.5};
/*! @brief Weight of an unconfirmed holder. Tenants use about 0.56 of their rate usually, so that an outage of the store
 * costs them nothing. */
constexpr double unconfirmed_weight{0.6};
/*! @brief Time constant of the decay of what was refused. */
constexpr seconds_type refused_decay_time{0.5};
/*! @brief Bounds of the time after which a refused caller should come back. */
constexpr milliseconds retry_after_min{100};
constexpr milliseconds retry_after_max{2'000};
/*! @brief Part of its capacity that a bucket keeps for waiting requests, and does not grant for expected ones. */
constexpr double kept_share{0.5};
/*! @brief Time of a tenure after which a bucket that has not been full is so because of its tenant's load. */
constexpr milliseconds settle_time{6'000};
/*! @brief Requests for which an empty bucket goes into debt at most. Requests that are large for their quota arrive in
 * groups that exceed the burst although their tenant is far below its limit over a window. */
constexpr double debt_requests_max{6.0};
/*! @brief Differences of units that are rounding errors. */
constexpr double rounding{1e-6};
/*! @brief Multiple of a need that is reserved for smaller ones, and the share of a bucket above which none is. */
constexpr double reserved_needs{20.0};
constexpr double reserved_share_max{0.5};
/*! @brief Multiple of the smallest waiting request that is granted while the bucket holds only what is reserved. */
constexpr double small_needs{8.0};

[[nodiscard]] bool is_confirmed(const lease_tenure& tenure, core::time_point now) noexcept {
    return tenure.confirmed_at + confirmation_age_max >= now;
}

/*! @brief Returns the weight that follows from the time since the tenure began. */
[[nodiscard]] double tenure_weight(const lease_tenure& tenure, core::time_point now) noexcept {
    const auto age = now - tenure.held_since;
    if(tenure.predecessor_ended || age >= replacement_notice_max) {
        return 1.0;
    }
    return age < confirmation_age_max ? 0.0 : early_weight;
}

/*! @brief Returns the integral of `tenure_weight` over a time, in seconds. */
[[nodiscard]] double weighted_seconds(
    const lease_tenure& tenure, core::time_point begin, core::time_point end) noexcept {
    const auto overlap = [begin, end](core::time_point from, core::time_point until) {
        return std::max(seconds_type{std::min(end, until) - std::max(begin, from)}.count(), 0.0);
    };
    if(tenure.predecessor_ended) {
        return overlap(begin, end);
    }
    const auto early = tenure.held_since + confirmation_age_max;
    const auto late = tenure.held_since + replacement_notice_max;
    return early_weight * overlap(early, late) + overlap(late, std::max(late, end));
}

/*! @brief Returns the units that a need must leave in a bucket for smaller requests (trunk reservation): of what a
 * tenant sends beyond its quota, the requests that need most are refused, since each of them would cost many others. */
[[nodiscard]] double reserve_for_smaller(const tenant_quota& quota, double needed, double capacity) noexcept {
    const auto reserve = quota.unit == quota_unit::tokens ? reserved_needs * needed : 0.0;
    // A bucket of a few requests has no room for a reserve: its tenant would be refused below its limit.
    return reserve <= capacity * reserved_share_max ? reserve : 0.0;
}

/*! @brief Returns the weight that does not depend on the time since the tenure began. */
[[nodiscard]] double view_weight(const quota_standing& standing, core::time_point now) noexcept {
    const bool confirmed = is_confirmed(standing.tenure, now);
    const auto share =
        confirmed && standing.tenure.predecessor_ended ? 1.0 : std::clamp(standing.reachable_share, 0.0, 1.0);
    return confirmed ? share : unconfirmed_weight * share;
}

} // namespace

double quota_ledger::weight(const quota_standing& standing, core::time_point now) noexcept {
    return tenure_weight(standing.tenure, now) * view_weight(standing, now);
}

void quota_ledger::follow_tenure(const quota_standing& standing, core::time_point now) {
    if(standing.tenure.held_since != this->held_since) {
        this->held_since = standing.tenure.held_since;
        this->filled_from = this->held_since;
        this->forfeited = false;
        this->buckets.clear();
    }
    // Also after a pause of the process, in which a successor may have filled its buckets.
    const bool may_be_replaced = standing.tenure.confirmed_at + replacement_notice_max < now;
    if(may_be_replaced && !std::exchange(this->forfeited, true)) {
        this->filled_from = now;
        for(auto& [name, value] : this->buckets) {
            value.level = std::min(value.level, 0.0);
            value.counted_until = now;
        }
    }
    this->forfeited = may_be_replaced;
}

quota_ledger::bucket& quota_ledger::fill(const tenant& owner, const quota_standing& standing, core::time_point now) {
    this->follow_tenure(standing, now);
    auto found = this->buckets.find(owner.name);
    if(found == this->buckets.end()) {
        bucket created{.counted_until = this->filled_from, .granted = windowed_sum{this->bounds.window}};
        found = this->buckets.emplace(owner.name, std::move(created)).first;
    }
    auto& filled = found->second;
    const auto capacity = owner.quota.burst * weight(standing, now);
    filled.level += owner.quota.per_second * view_weight(standing, now) *
                    weighted_seconds(standing.tenure, filled.counted_until, now);
    filled.was_full = filled.was_full || (filled.level >= owner.quota.burst && capacity >= owner.quota.burst);
    filled.level = std::min(filled.level, capacity);
    filled.counted_until = now;
    return filled;
}

double quota_ledger::available(
    bucket& from, const tenant_quota& quota, const quota_need& need, double scale, core::time_point now) const {
    const auto capacity = quota.burst * scale;
    if(from.level + rounding >= need.needed + reserve_for_smaller(quota, need.needed, capacity)) {
        const auto spare = std::max(from.level - need.needed - capacity * kept_share, 0.0);
        return need.needed + std::min(need.ahead, std::floor(spare));
    }
    const bool has_reserve = reserve_for_smaller(quota, need.least, capacity) > 0.0;
    const auto partial =
        std::floor(has_reserve ? std::min({need.needed, small_needs * need.least, from.level}) : from.level);
    const auto reserve = has_reserve ? reserve_for_smaller(quota, std::max(partial, need.least), capacity) : 0.0;
    if(from.level + rounding >= std::max(partial, need.least) + reserve) {
        return std::max(partial, need.least);
    }
    if(has_reserve) {
        // Debts are for requests that are large for their quota; here they would use up what is reserved.
        return 0.0;
    }
    return std::max(this->available_in_debt(from, quota, need, scale, now),
        this->available_beyond_burst(from, quota, need, scale, now));
}

double quota_ledger::available_in_debt(
    bucket& from, const tenant_quota& quota, const quota_need& need, double scale, core::time_point now) const {
    // The sum of the window is complete only when this node alone has granted all of it.
    if(scale < 1.0 || now - this->filled_from < this->bounds.window) {
        return 0.0;
    }
    const auto window_units = quota.per_second * seconds_type{this->bounds.window}.count();
    const auto room = std::min({need.needed, std::floor(window_units - from.granted.sum(now)),
        std::floor(from.level + debt_requests_max * need.least)});
    return room >= need.least ? room : 0.0;
}

double quota_ledger::available_beyond_burst(
    bucket& from, const tenant_quota& quota, const quota_need& need, double scale, core::time_point now) const {
    const auto capacity = quota.burst * scale;
    if(scale <= 0.0 || from.level + rounding < capacity) {
        return 0.0;
    }
    const auto oversize = divide_tolerance(quota, this->bounds).oversize_units;
    const auto allowed = quota.per_second * seconds_type{this->bounds.window}.count() + quota.burst;
    const bool fits = need.least <= quota.burst + oversize || from.granted.sum(now) + need.least <= allowed + oversize;
    return fits ? need.least : 0.0;
}

milliseconds quota_ledger::estimate_wait(
    bucket& from, double missing, double refused, double rate, core::time_point now) {
    const seconds_type age{now - from.refused_at};
    from.refused *= std::exp(-(age / refused_decay_time));
    from.refused_at = now;
    const seconds_type wait{rate > 0.0 ? (missing + from.refused) / rate : seconds_type{retry_after_max}.count()};
    from.refused += refused;
    return std::clamp(std::chrono::ceil<milliseconds>(std::min(wait, seconds_type{retry_after_max})), retry_after_min,
        retry_after_max);
}

quota_decision quota_ledger::grant(
    const tenant& owner, const quota_need& need, const quota_standing& standing, core::time_point now) {
    auto& from = this->fill(owner, standing, now);
    const auto scale = weight(standing, now);
    const auto capacity = owner.quota.burst * scale;
    quota_decision decision{.granted = scale > 0.0 ? this->available(from, owner.quota, need, scale, now) : 0.0};
    const bool is_settled = from.was_full || now - standing.tenure.held_since >= settle_time;
    decision.is_final = scale >= 1.0 && is_settled;
    from.level -= decision.granted;
    if(decision.granted > 0.0) {
        from.granted.add(decision.granted, now);
    }
    if(decision.granted < need.needed) {
        const auto missing = std::max(std::min(need.least, capacity) - from.level, 0.0);
        decision.retry_after =
            estimate_wait(from, missing, need.needed - decision.granted, owner.quota.per_second * scale, now);
    }
    return decision;
}

quota_decision quota_ledger::grant_as_deputy(
    const tenant& owner, const quota_need& need, const quota_standing& standing, core::time_point now) {
    const auto tolerance = divide_tolerance(owner.quota, this->bounds);
    const auto found =
        this->deputy_grants.try_emplace(owner.name, this->bounds.window + tolerance.grant_lifetime).first;
    auto& granted = found->second;
    // What another process granted as the deputy just before this tenure is not known.
    const auto known =
        std::min(seconds_type{now - standing.tenure.held_since} / seconds_type{this->bounds.window}, 1.0);
    const auto left = tolerance.deputy_units * weight(standing, now) * known - granted.sum(now);
    quota_decision decision{.retry_after = retry_after_max, .is_final = true};
    if(left >= need.needed) {
        decision.granted = need.needed;
    } else if(left >= need.least) {
        decision.granted = std::floor(left);
    }
    if(decision.granted > 0.0) {
        granted.add(decision.granted, now);
    }
    return decision;
}

void quota_ledger::apply(const configuration& config) {
    const auto* tenants = config.tenants ? &*config.tenants : nullptr;
    const auto limit_of = [tenants](std::string_view name) -> const tenant_quota* {
        if(tenants == nullptr) {
            return nullptr;
        }
        const auto found = std::ranges::find(*tenants, name, &tenant::name);
        return found != tenants->end() && found->quota.is_limited() ? &found->quota : nullptr;
    };
    std::erase_if(this->buckets, [&limit_of](const auto& entry) { return limit_of(entry.first) == nullptr; });
    std::erase_if(this->deputy_grants, [&limit_of](const auto& entry) { return limit_of(entry.first) == nullptr; });
    for(auto& [name, value] : this->buckets) {
        value.level = std::min(value.level, limit_of(name)->burst);
    }
}

std::optional<double> quota_ledger::level(std::string_view name) const {
    const auto found = this->buckets.find(name);
    return found == this->buckets.end() ? std::nullopt : std::optional{found->second.level};
}

} // namespace lagoonsaddle::edge
