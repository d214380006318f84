#ifndef LAGOONSADDLE_EDGE_REPLICA_SELECTION_HPP
#define LAGOONSADDLE_EDGE_REPLICA_SELECTION_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Selects the nodes that keep a record, by rendezvous hashing of its key, in different availability zones as far
 * as there are enough.
 *
 * All nodes with the same view of the members select the same ones, so that a record is found without a directory. When
 * a node fails, the others that were selected stay selected.
 *
 * @param key Key of the record.
 * @param members Members of the fleet; those that are not live, or are about to stop, are not selected.
 * @param count Number of nodes to select.
 * @return Names of the nodes, fewer when there are fewer members.
 */
[[nodiscard]] std::vector<std::string> select_replicas(
    std::string_view key, std::span<const fleet::member> members, std::size_t count);

} // namespace lagoonsaddle::edge

#endif
