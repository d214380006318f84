#ifndef LAGOONSADDLE_EDGE_PROCESS_METRICS_HPP
#define LAGOONSADDLE_EDGE_PROCESS_METRICS_HPP

#include <string>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Processor time and memory of the process. */
struct process_usage {
    double processor_seconds{};
    double resident_bytes{};
};

[[nodiscard]] process_usage read_process_usage();

/**
 * @brief Writes what is known of each upstream in the Prometheus text format.
 *
 * Upstreams come and go, so that their lines are made from the table and not kept in a registry.
 *
 * @param upstreams The upstreams.
 * @param now Current time.
 * @return The lines.
 */
[[nodiscard]] std::string upstream_metrics(const upstream_table& upstreams, core::time_point now);

} // namespace lagoonsaddle::edge

#endif
