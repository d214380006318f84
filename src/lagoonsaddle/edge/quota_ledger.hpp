#ifndef LAGOONSADDLE_EDGE_QUOTA_LEDGER_HPP
#define LAGOONSADDLE_EDGE_QUOTA_LEDGER_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/lease_tracker.hpp>
#include <lagoonsaddle/edge/quota_tolerance.hpp>
#include <lagoonsaddle/edge/types.hpp>
#include <lagoonsaddle/edge/windowed_sum.hpp>

namespace lagoonsaddle::edge {

/*! @brief What a node asks of a quota, in its unit. */
struct quota_need {
    /*! @brief For requests that wait. */
    double needed{};
    /*! @brief For requests that are expected soon. */
    double ahead{};
    /*! @brief A smaller grant is of no use. */
    double least{};
};

/*! @brief Answer of an authority. */
struct quota_decision {
    double granted{};
    /*! @brief When the least amount can be expected. */
    std::chrono::milliseconds retry_after{};
    /*! @brief Whether a deputy has nothing to add: this authority has had time to fill its buckets. */
    bool is_final{};
};

/*! @brief The right of a node to grant quotas as the holder of a lease. */
struct quota_standing {
    lease_tenure tenure{};
    /*! @brief Share of the nodes of the fleet that this node reaches; from 0 to 1. */
    double reachable_share{1.0};
};

/**
 * @brief Token buckets of the tenants whose quotas this node grants as the holder of one lease.
 *
 * A bucket is empty when a tenure begins. The holder of a lease cannot know whether the previous one still grants, nor,
 * without reads of the store, whether it was replaced. The weight of a holder scales the rate and the capacity of its
 * buckets so that the weights of two holders add up to 1 at most, except for moments that the tolerance covers:
 * - a holder whose predecessor may live on grants nothing until that has to know that its tenure is unconfirmed, half
 *   until it must have heard of its successor, and then the share of the nodes that it reaches;
 * - a holder without a recent confirmation grants a part of the share of the nodes that it reaches; what it had saved
 *   before is lost once its successor may have saved as much.
 *
 * Time is given to each call and must not decrease. Not thread-safe.
 */
class quota_ledger {
public:
    explicit quota_ledger(quota_bounds values) noexcept : bounds{values} {}

    /**
     * @brief Grants units of a tenant's quota.
     * @param owner Tenant with a limited quota, according to the configuration in force.
     * @param need What is asked.
     * @param standing Right of this node now.
     * @param now Current time.
     * @return What is granted: nothing, or at least the least useful amount.
     */
    [[nodiscard]] quota_decision grant(
        const tenant& owner, const quota_need& need, const quota_standing& standing, core::time_point now);

    /*! @brief Grants units as the deputy of an authority that cannot, as `grant` does; bounded in any window. */
    [[nodiscard]] quota_decision grant_as_deputy(
        const tenant& owner, const quota_need& need, const quota_standing& standing, core::time_point now);

    /*! @brief Cuts the buckets to the limits of a new configuration, and drops those of other tenants. */
    void apply(const configuration& config);

    /*! @brief Returns the weight of a holder, from 0 to 1. */
    [[nodiscard]] static double weight(const quota_standing& standing, core::time_point now) noexcept;

    /*! @brief Returns the number of units in a tenant's bucket when it was last used; nothing when it has none. */
    [[nodiscard]] std::optional<double> level(std::string_view name) const;

private:
    struct bucket {
        double level{};
        core::time_point counted_until{};
        /*! @brief Whether the bucket has been full since it was created. */
        bool was_full{false};
        /*! @brief Units granted within a window. */
        windowed_sum granted;
        /*! @brief Units that were refused lately, which the next ones wait for; decays. */
        double refused{};
        core::time_point refused_at{};
    };

    /*! @brief Empties the buckets when another tenure has begun, or the current one may have ended unnoticed. */
    void follow_tenure(const quota_standing& standing, core::time_point now);
    [[nodiscard]] bucket& fill(const tenant& owner, const quota_standing& standing, core::time_point now);
    /*! @brief Returns what a bucket can grant now, at a weight of the holder: nothing, or the least useful amount. */
    [[nodiscard]] double available(
        bucket& from, const tenant_quota& quota, const quota_need& need, double scale, core::time_point now) const;
    /*! @brief Returns what an empty bucket can grant because the tenant is below its limit over the whole window. A
     * bucket in debt grants nothing else, so that a window holds no more than without debts. */
    [[nodiscard]] double available_in_debt(
        bucket& from, const tenant_quota& quota, const quota_need& need, double scale, core::time_point now) const;
    /*! @brief Returns what a full bucket can grant beyond its burst: no wait makes room for such a request. */
    [[nodiscard]] double available_beyond_burst(
        bucket& from, const tenant_quota& quota, const quota_need& need, double scale, core::time_point now) const;
    /*! @brief Estimates when a bucket holds an amount, after what it has refused lately. */
    [[nodiscard]] static std::chrono::milliseconds estimate_wait(
        bucket& from, double missing, double refused, double rate, core::time_point now);

    quota_bounds bounds;
    core::time_point held_since{core::time_point::min()};
    /*! @brief Time from which new buckets are filled. */
    core::time_point filled_from{};
    bool forfeited{false};
    std::map<std::string, bucket, std::less<>> buckets{};
    std::map<std::string, windowed_sum, std::less<>> deputy_grants{};
};

} // namespace lagoonsaddle::edge

#endif
