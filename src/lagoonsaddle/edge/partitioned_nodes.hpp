#ifndef LAGOONSADDLE_EDGE_PARTITIONED_NODES_HPP
#define LAGOONSADDLE_EDGE_PARTITIONED_NODES_HPP

#include <cstdint>
#include <map>
#include <string>

#include <lagoonsaddle/cluster/membership_service.hpp>

namespace lagoonsaddle::edge {

/*! @brief Nodes that have announced that they are partitioned from their upstreams. Not thread-safe. */
class partitioned_nodes {
public:
    /**
     * @brief Announces whether this node is partitioned.
     * @param membership Membership of this node.
     * @param value Whether it is.
     */
    void announce(cluster::membership_service& membership, bool value);

    /*! @brief Applies an announcement; ignores items of other kinds. */
    void apply(const fleet::gossip_item& item);

    /*! @brief Returns whether a process has announced that it is partitioned, and not that this has ended. */
    [[nodiscard]] bool contains(const fleet::member_info& node) const;

private:
    /*! @brief Boot ids by name of the node. */
    std::map<std::string, std::uint64_t, std::less<>> boot_ids{};
};

} // namespace lagoonsaddle::edge

#endif
