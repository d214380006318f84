#ifndef LAGOONSADDLE_EDGE_QUOTA_TOLERANCE_HPP
#define LAGOONSADDLE_EDGE_QUOTA_TOLERANCE_HPP

#include <chrono>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief What all nodes together may admit of a quota within any window:
 * (`per_second` x `window` + `burst`) x (1 + `overage`) + `slack`.
 */
struct quota_bounds {
    core::duration window{std::chrono::milliseconds{8'000}};
    double overage{0.1};
    /*! @brief In the unit of the quota. */
    double slack{};
};

/**
 * @brief Division of what the bounds allow beyond the rate and the burst of a quota.
 *
 * A token bucket alone uses the rate and the burst. What is left covers the ways in which more is admitted. A part
 * of it is given to none of them: it covers the time between the charge of a request and its arrival at the upstream,
 * and the moments in which two nodes hold the lease.
 */
struct quota_tolerance {
    /*! @brief Time from the question of a node after which what it was granted can no longer be used. */
    core::duration grant_lifetime{};
    /*! @brief Units that deputies may grant in any window. */
    double deputy_units{};
    /*! @brief Units that all nodes together may admit in any window without a grant. */
    double fallback_units{};
    /*! @brief Units by which one request may exceed the burst. */
    double oversize_units{};
};

/*! @brief Divides the tolerance of a limited quota. */
[[nodiscard]] quota_tolerance divide_tolerance(const tenant_quota& quota, const quota_bounds& bounds) noexcept;

} // namespace lagoonsaddle::edge

#endif
