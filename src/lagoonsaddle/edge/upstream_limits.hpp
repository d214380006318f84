#ifndef LAGOONSADDLE_EDGE_UPSTREAM_LIMITS_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_LIMITS_HPP

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of `upstream_limits`, all of which must outlive it. */
struct upstream_limits_context {
    const core::clock& clock;
    log_sink& log;
    upstream_table& upstreams;
    cluster::membership_service& membership;
    cluster::peer_directory& peers;
};

/**
 * @brief Keeps the requests of this node within its share of the limits that upstreams name.
 *
 * A node that observes a limit, or its end, announces it to all nodes. A refusal by an upstream that tolerates few of
 * them is told to all peers at once. Must only be used from the thread that runs the `io_context`.
 */
class upstream_limits {
public:
    upstream_limits(upstream_limits_context context, std::string node_name);

    /*! @brief Applies the limit that a response states, or its end, to the upstream. */
    void observe(const std::string& upstream, std::optional<double> per_second, core::time_point sent_at);

    /*! @brief Applies how many refusals a response states that the upstream tolerates, or that it states no limit. */
    void observe_refusal_limit(
        const std::string& upstream, std::optional<unsigned> refusals_per_second, core::time_point sent_at);

    /*! @brief Records that an upstream has refused a request of this node for want of room, and tells the peers. */
    void record_refusal(const std::string& upstream);

    /*! @brief Applies what another node has told about a refusal. */
    void merge_refusal(std::string_view packed);

    /*! @brief Records that a request is sent to an upstream, before it counts as in progress there. */
    void record_send(upstream_state& upstream) const;

    /*! @brief Applies an announcement of another node; ignores items of other kinds. */
    void apply(const fleet::gossip_item& item);

    /*! @brief Applies the announcements that arrived before their upstream was known. */
    void apply_announced();

    /*! @brief Updates the nodes that share the limits. A node counts for some time after it was last seen alive. */
    void update_nodes();

    /*! @brief Returns whether this node may send a request to an upstream now. */
    [[nodiscard]] bool may_send(const upstream_state& upstream) const;

    /**
     * @brief Adds the upstreams of a service to which this node may not send a request now.
     * @param service Name of the service.
     * @param excluded Receives the ids.
     * @return Time until the first of them may get a request; nothing when none was added.
     */
    [[nodiscard]] std::optional<core::duration> exclude_waiting(
        std::string_view service, std::set<std::string>& excluded) const;

private:
    [[nodiscard]] std::optional<core::duration> wait_time(const upstream_state& upstream) const;
    /*! @brief Returns a number between 0 and 1. */
    [[nodiscard]] double draw_jitter();
    void log_limit(const std::string& upstream, std::optional<double> per_second, std::string_view source);

    upstream_limits_context context;
    std::string node_name;
    std::map<std::string, core::time_point, std::less<>> nodes_last_seen{};
    std::vector<std::string> nodes{};
    /*! @brief Source of the jitter of pauses. */
    std::minstd_rand random{std::random_device{}()};
};

} // namespace lagoonsaddle::edge

#endif
