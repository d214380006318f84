#ifndef LAGOONSADDLE_EDGE_PARTITIONED_NODES_HPP
#define LAGOONSADDLE_EDGE_PARTITIONED_NODES_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Nodes that have announced that they are partitioned from their upstreams. Not thread-safe.
 *
 * An announcement holds for a limited time and is repeated while the partition lasts, so that a node which misses the
 * end of a partition does not take the other one for partitioned forever.
 */
class partitioned_nodes {
public:
    /**
     * @brief Announces whether this node is partitioned.
     * @param membership Membership of this node.
     * @param value Whether it is.
     * @param now Current time.
     */
    void announce(cluster::membership_service& membership, bool value, core::time_point now);

    /*! @brief Repeats the announcement of this node's own partition, if it is due. */
    void repeat_announcement(cluster::membership_service& membership, core::time_point now);

    /**
     * @brief Creates the announcement of a node, newer than its earlier ones, and applies it.
     * @param self The node.
     * @param value Whether it is partitioned.
     * @param known Its latest announcement that the fleet knows; nothing when there is none, or it has expired.
     * @param now Current time.
     * @return The announcement.
     */
    [[nodiscard]] fleet::gossip_item make_announcement(
        const fleet::node_id& self, bool value, const std::optional<fleet::gossip_item>& known, core::time_point now);

    /*! @brief Applies an announcement; ignores items of other kinds. */
    void apply(const fleet::gossip_item& item, core::time_point now);

    /*! @brief Returns whether a process has announced that it is partitioned, and not that this has ended. */
    [[nodiscard]] bool contains(const fleet::member_info& node, core::time_point now) const;

private:
    struct announcement {
        std::uint64_t boot_id{};
        core::time_point expires{};
    };

    void store(const fleet::gossip_item& item, core::time_point now);

    /*! @brief By name of the node. */
    std::map<std::string, announcement, std::less<>> announcements{};
    /*! @brief Name of this node; empty before its first announcement. */
    std::string own_name{};
    /*! @brief Version of the latest announcement at the name of this node. */
    std::uint64_t own_version{};
    /*! @brief Whether the fleet knows an announcement of an earlier process that is newer than this one's. */
    bool superseded{false};
    /*! @brief When this node has last announced that it is partitioned; nothing when it is not. */
    std::optional<core::time_point> announced_at{};
};

} // namespace lagoonsaddle::edge

#endif
