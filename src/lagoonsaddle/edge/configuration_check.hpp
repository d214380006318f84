#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_CHECK_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_CHECK_HPP

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/*! @brief Longest time of a route; longer ones are written by mistake and exceed the range of the clock. */
inline constexpr std::chrono::milliseconds route_time_max{std::chrono::hours{24}};

/**
 * @brief Checks whether a configuration may come into force.
 * @param value A configuration from the store or from a peer.
 * @return Nothing, or `invalid_argument` with the route and what is wrong with it.
 */
[[nodiscard]] core::result<void> check_configuration(const configuration& value);

} // namespace lagoonsaddle::edge

#endif
