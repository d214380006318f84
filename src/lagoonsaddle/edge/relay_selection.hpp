#ifndef LAGOONSADDLE_EDGE_RELAY_SELECTION_HPP
#define LAGOONSADDLE_EDGE_RELAY_SELECTION_HPP

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lagoonsaddle::edge {

/*! @brief A peer that can relay connections. */
struct relay_candidate {
    std::string name{};
    std::string availability_zone{};
    /*! @brief Exchanges of this node that the peer relays at present. */
    std::size_t exchanges{};
};

/*! @brief The path that a relayed connection bridges. */
struct relayed_path {
    std::string_view upstream{};
    std::string_view upstream_zone{};
    /*! @brief Availability zone of the node that asks. */
    std::string_view node_zone{};
};

/**
 * @brief Selects the peer with the fewest exchanges of this node, so that all of them carry an even share.
 *
 * A peer in neither of the path's availability zones counts as if it had a few more, because the bytes then cross zones
 * twice. Equal ones are ranked by rendezvous hashing of the upstream, so that nodes do not all choose the same.
 *
 * @param candidates The peers.
 * @param path The path.
 * @return Index of the peer, or nothing when there is none.
 */
[[nodiscard]] std::optional<std::size_t> select_relay(
    std::span<const relay_candidate> candidates, const relayed_path& path);

} // namespace lagoonsaddle::edge

#endif
