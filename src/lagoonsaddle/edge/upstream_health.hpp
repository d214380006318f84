#ifndef LAGOONSADDLE_EDGE_UPSTREAM_HEALTH_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_HEALTH_HPP

#include <chrono>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Exponentially decayed failure ratio of the requests to one upstream. Not thread-safe.
 *
 * Based on request outcomes instead of health checks, because an upstream may fail its requests while its health check
 * succeeds.
 */
class upstream_health {
public:
    /*! @brief Records the outcome of a request. */
    void record(bool failed, core::time_point now) noexcept;

    /*! @brief Records a failed connection attempt, which also marks the upstream as unreachable for a short time. */
    void record_unreachable(core::time_point now) noexcept;

    /*! @brief Returns the ratio of failures, between 0 and 1, biased towards 0 while there are few outcomes. */
    [[nodiscard]] double failure_ratio(core::time_point now) const noexcept;

    /*! @brief Returns whether a connection attempt failed recently and no request has succeeded since. */
    [[nodiscard]] bool unreachable(core::time_point now) const noexcept;

private:
    void decay(core::time_point now) noexcept;

    double outcomes{};
    double failures{};
    core::time_point updated{};
    core::time_point unreachable_until{};
};

} // namespace lagoonsaddle::edge

#endif
