#ifndef LAGOONSADDLE_EDGE_PROCESS_METRICS_HPP
#define LAGOONSADDLE_EDGE_PROCESS_METRICS_HPP

#include <string>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Resource usage of the process. */
struct process_usage {
    /*! @brief User and system time since the start. */
    double processor_seconds{};
    double resident_bytes{};
};

/*! @brief Returns the resource usage of this process; a value that cannot be read is 0. */
[[nodiscard]] process_usage read_process_usage();

/**
 * @brief Formats the metrics of each upstream in the Prometheus text format.
 *
 * They are generated from the table instead of a registry, so that no series of removed upstreams remain.
 *
 * @param upstreams The upstreams.
 * @param now Current time.
 * @return The metrics as text.
 */
[[nodiscard]] std::string format_upstream_metrics(const upstream_table& upstreams, core::time_point now);

} // namespace lagoonsaddle::edge

#endif
