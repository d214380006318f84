#ifndef LAGOONSADDLE_EDGE_SPEED_MONITOR_HPP
#define LAGOONSADDLE_EDGE_SPEED_MONITOR_HPP

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Estimated speed of an upstream. */
struct upstream_slowness {
    std::string upstream{};
    std::string service{};
    /*! @brief Factor by which the upstream is slower than the mean of its service. */
    double factor{1.0};
    /*! @brief Whether the factor is outside of the usual range. */
    bool unusual{};
};

/*! @brief Returns the estimates of all upstreams of which this node knows observations. */
[[nodiscard]] std::vector<upstream_slowness> assess_slowness(const upstream_table& upstreams, core::time_point now);

/*! @brief Finds upstreams whose estimated speed leaves the usual range or returns to it. Not thread-safe. */
class speed_monitor {
public:
    /**
     * @brief Compares the estimates with those of the last call.
     * @param upstreams The upstreams.
     * @param now Current time.
     * @return The changes; a limited number at a time, and none within a second of the last comparison.
     */
    [[nodiscard]] std::vector<upstream_slowness> update(const upstream_table& upstreams, core::time_point now);

private:
    std::set<std::string, std::less<>> unusual{};
    core::time_point next_update{core::time_point::min()};
};

} // namespace lagoonsaddle::edge

#endif
