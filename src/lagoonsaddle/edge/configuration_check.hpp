#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_CHECK_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_CHECK_HPP

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/*! @brief Longest time of a route; longer ones are written by mistake and exceed the range of the clock. */
inline constexpr std::chrono::milliseconds route_time_max{std::chrono::hours{24}};

/**
 * @brief Checks whether a configuration may come into force.
 *
 * A route that leads nowhere harms only its own requests, which are refused: to refuse the whole configuration for it
 * would cost all others, and a node that starts has no earlier one.
 *
 * @param value A configuration from the store or from a peer.
 * @return Nothing, or `invalid_argument` with the route and what is wrong with it.
 */
[[nodiscard]] core::result<void> check_configuration(const configuration& value);

/*! @brief Returns whether each key of the tenants in `earlier` belongs to a tenant of the same name in `later`. */
[[nodiscard]] bool keeps_all_keys(const configuration& earlier, const configuration& later);

} // namespace lagoonsaddle::edge

#endif
