#ifndef LAGOONSADDLE_EDGE_READER_ROSTER_HPP
#define LAGOONSADDLE_EDGE_READER_ROSTER_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `reads_exactly`. */
struct reader_options {
    /*! @brief Fleets up to this size have only exact readers. */
    std::size_t small_fleet{16u};
    /*! @brief Exact readers per availability zone of a larger fleet. */
    std::size_t per_zone{2u};
};

/**
 * @brief Tells whether a node watches the store with exact reads, which cost ten times as much as stale ones.
 *
 * The first nodes of each availability zone by rendezvous hashing do, and tell the others what is new. A node that is
 * cut off from its zone sees itself as one of the first. Answers a fleet whose calls grow faster than the store's
 * rates.
 *
 * @param self Name of the node.
 * @param zone Its availability zone.
 * @param members Members of the fleet.
 * @param options Options.
 * @return True when the node reads exactly.
 */
[[nodiscard]] bool reads_exactly(std::string_view self, std::string_view zone, std::span<const fleet::member> members,
    const reader_options& options = {});

} // namespace lagoonsaddle::edge

#endif
