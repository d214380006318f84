#include <algorithm>

#include <lagoonsaddle/edge/quota_tolerance.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Shares of the tolerance; deputies have the rest. */
constexpr double lifetime_share{0.25};
constexpr double fallback_share{0.1};
constexpr double oversize_share{0.1};
constexpr double reserve_share{0.25};
/*! @brief Time at the full rate that the reserve covers at most: it is enough for the time between charge and arrival,
 * and for two holders of a lease. */
constexpr std::chrono::duration<double> reserve_time_max{0.5};
/*! @brief Longest lifetime of a grant, for quotas whose tolerance is large. */
constexpr std::chrono::duration<double> lifetime_max{1.0};
/*! @brief Shortest lifetime of a grant: it has to outlast the call that brings it. */
constexpr std::chrono::duration<double> lifetime_min{0.1};

} // namespace

quota_tolerance divide_tolerance(const tenant_quota& quota, const quota_bounds& bounds) noexcept {
    const std::chrono::duration<double> window{bounds.window};
    const auto tolerance = bounds.overage * (quota.per_second * window.count() + quota.burst) + bounds.slack;
    const auto lifetime = std::clamp(
        std::chrono::duration<double>{lifetime_share * tolerance / quota.per_second}, lifetime_min, lifetime_max);
    const auto reserve = std::min(reserve_share * tolerance, reserve_time_max.count() * quota.per_second);
    const auto left = tolerance * (1.0 - fallback_share - oversize_share) - reserve;
    return {.grant_lifetime = std::chrono::duration_cast<core::duration>(lifetime),
        .deputy_units = std::max(left - lifetime.count() * quota.per_second, 0.0),
        .fallback_units = fallback_share * tolerance,
        .oversize_units = oversize_share * tolerance};
}

} // namespace lagoonsaddle::edge
