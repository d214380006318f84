#ifndef LAGOONSADDLE_EDGE_UPSTREAM_HEALTH_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_HEALTH_HPP

#include <chrono>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Share of failed requests of one upstream, with older results weighing less. Not thread-safe.
 *
 * Judges by results instead of health checks: an upstream may fail its requests while its health check succeeds.
 */
class upstream_health {
public:
    /*! @brief Records the result of a request. */
    void record(bool failed, core::time_point now) noexcept;

    /*! @brief Records that no connection could be made, which weighs like several failures. */
    void record_unreachable(core::time_point now) noexcept;

    /*! @brief Returns the share of failures, drawn towards zero while there are few results. */
    [[nodiscard]] double failure_share(core::time_point now) const noexcept;

    /*! @brief Returns true shortly after a connection attempt failed. */
    [[nodiscard]] bool unreachable(core::time_point now) const noexcept;

private:
    void decay(core::time_point now) noexcept;

    double results{};
    double failures{};
    core::time_point updated{};
    core::time_point unreachable_until{};
};

} // namespace lagoonsaddle::edge

#endif
