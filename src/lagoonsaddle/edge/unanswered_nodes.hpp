#ifndef LAGOONSADDLE_EDGE_UNANSWERED_NODES_HPP
#define LAGOONSADDLE_EDGE_UNANSWERED_NODES_HPP

#include <map>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Nodes that the store has not answered lately although it answers this one.
 *
 * Others have asked this node for its records; this node itself knows. Other nodes need not know of them, as only those
 * that the store answers acquire leases and tell what is new. Not thread-safe.
 */
class unanswered_nodes {
public:
    /*! @brief Records that the store does not answer a node. */
    void record(std::string_view node, core::time_point now);

    /*! @brief Records that the store answers a node. */
    void remove(std::string_view node);

    /*! @brief Returns whether a node was recorded lately. */
    [[nodiscard]] bool contains(std::string_view node, core::time_point now) const;

private:
    std::map<std::string, core::time_point, std::less<>> recorded_at{};
};

} // namespace lagoonsaddle::edge

#endif
