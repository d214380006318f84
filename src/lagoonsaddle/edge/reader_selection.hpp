#ifndef LAGOONSADDLE_EDGE_READER_SELECTION_HPP
#define LAGOONSADDLE_EDGE_READER_SELECTION_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `is_exact_reader`. */
struct reader_selection_options {
    /*! @brief Largest number of live nodes at which all of them use exact reads. */
    std::size_t all_exact_nodes_max{16u};
    /*! @brief Nodes with exact reads per availability zone of a larger fleet. */
    std::size_t exact_readers_per_zone{2u};
};

/**
 * @brief Returns the nodes of an availability zone that watch the store with exact reads.
 * @param zone The availability zone.
 * @param members Members of the fleet.
 * @param options Options.
 * @return Names of the nodes.
 */
[[nodiscard]] std::vector<std::string> exact_readers(
    std::string_view zone, std::span<const fleet::member> members, const reader_selection_options& options = {});

/**
 * @brief Returns whether a node watches the store with exact reads, which cost ten times as much as stale reads.
 *
 * In a large fleet, the first nodes of each availability zone by rendezvous hashing use exact reads and propagate
 * changes to the other nodes, so that the store's rate limit holds as the fleet grows. A node that is partitioned from
 * its availability zone selects itself.
 *
 * @param node_name Name of the node.
 * @param zone Availability zone of the node.
 * @param members Members of the fleet.
 * @param options Options.
 * @return True when the node uses exact reads.
 */
[[nodiscard]] bool is_exact_reader(std::string_view node_name, std::string_view zone,
    std::span<const fleet::member> members, const reader_selection_options& options = {});

} // namespace lagoonsaddle::edge

#endif
