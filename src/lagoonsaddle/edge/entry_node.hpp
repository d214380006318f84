#ifndef LAGOONSADDLE_EDGE_ENTRY_NODE_HPP
#define LAGOONSADDLE_EDGE_ENTRY_NODE_HPP

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/entry_settings.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of the node, all of which must outlive it. */
struct entry_node_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    decision_log& log;
    const request_format& format;
    record_store& store;
    upstream_control& control;
    /*! @brief Sends the requests of callers to upstreams. */
    http::client& client;
};

/**
 * @brief Reverse proxy between callers and upstreams, whose durable state is in the platform's store.
 *
 * Runs on a single thread: its VMs have a quarter of a core, so that more threads would only cost memory.
 */
class entry_node {
public:
    /**
     * @brief Creates a node that does not listen yet.
     * @param context Dependencies.
     * @param settings Settings.
     * @param boot_id Distinguishes this process from earlier ones with the same node name.
     */
    entry_node(entry_node_context context, entry_settings settings, std::uint64_t boot_id);
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    ~entry_node();

    /**
     * @brief Starts the listeners and the watches of the store.
     * @return Nothing, or `unavailable` when an address cannot be bound.
     */
    [[nodiscard]] core::result<void> start();

    /**
     * @brief Drains the node.
     *
     * Reports not ready and releases the leases at once, then serves requests until none is left or the stop timeout is
     * about to end.
     */
    [[nodiscard]] boost::asio::awaitable<void> stop();

    /**
     * @brief Adds nodes through which to join the fleet.
     * @param addresses IP addresses; known ones are ignored.
     */
    void apply_seeds(std::span<const std::string> addresses);

    /*! @brief Returns the state of the node as JSON, for diagnosis. */
    [[nodiscard]] std::string state_json() const;

private:
    class impl;
    std::unique_ptr<impl> implementation;
};

} // namespace lagoonsaddle::edge

#endif
