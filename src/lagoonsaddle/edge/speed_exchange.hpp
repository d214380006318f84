#ifndef LAGOONSADDLE_EDGE_SPEED_EXCHANGE_HPP
#define LAGOONSADDLE_EDGE_SPEED_EXCHANGE_HPP

#include <chrono>
#include <span>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/reservation_table.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

// What nodes tell each other about the speed of upstreams. A node sends few requests to a service without models, so
// that it tells its observations to a lease holder, and adopts what the lease holder knows from all nodes.

/*! @brief Time of the messages from the lease holder to the sender, to the upstream and back, and for which the sender
 * collects its progress. */
inline constexpr std::chrono::milliseconds prefill_message_time{25};

/*! @brief Records an observed prefill. One that is too short to tell its duration from that of the messages between the
 * nodes is ignored. */
void record_prefill(
    upstream_table& upstreams, const reservation_table::prefill_duration& observed, core::time_point now);

/*! @brief Returns what this node has observed since the last call, of a limited number of upstreams. */
[[nodiscard]] std::vector<wire::response_times> take_response_times(upstream_table& upstreams, core::time_point now);

/*! @brief Returns what this node knows, of a limited number of upstreams. */
[[nodiscard]] std::vector<wire::response_times> copy_response_times(
    const upstream_table& upstreams, core::time_point now);

/*! @brief Adds what a peer has observed. Ignores unknown upstreams and other incarnations of known ones. */
void merge_response_times(
    upstream_table& upstreams, std::span<const wire::response_times> observed, core::time_point now);

/*! @brief Replaces what this node knows by what a lease holder knows, where that is more. */
void adopt_response_times(upstream_table& upstreams, std::span<const wire::response_times> known, core::time_point now);

} // namespace lagoonsaddle::edge

#endif
