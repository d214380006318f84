#ifndef LAGOONSADDLE_EDGE_SPEED_REFERENCE_HPP
#define LAGOONSADDLE_EDGE_SPEED_REFERENCE_HPP

#include <optional>

#include <lagoonsaddle/edge/upstream_speed.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Mean speed of a group of upstreams, and the slowness of one of them relative to it. Not thread-safe.
 *
 * Errors that all upstreams share, such as a nominal speed that is too high, cancel out.
 */
class speed_reference {
public:
    /*! @brief Adds what is known of an upstream of the group. */
    void add(const speed_summary& known) noexcept;

    /**
     * @brief Returns by which factor an upstream is slower than the group.
     * @param known What is known of the upstream.
     * @return The factor; close to 1 while there are few observations, and 1 without any.
     */
    [[nodiscard]] double slowness_of(const speed_summary& known) const noexcept;

    /*! @brief Returns the mean ratio of the group, or nothing without enough observations. */
    [[nodiscard]] std::optional<double> mean_ratio() const noexcept;

private:
    double confidence{};
    double sum{};
};

} // namespace lagoonsaddle::edge

#endif
