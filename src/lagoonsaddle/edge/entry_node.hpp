#ifndef LAGOONSADDLE_EDGE_ENTRY_NODE_HPP
#define LAGOONSADDLE_EDGE_ENTRY_NODE_HPP

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/entry_settings.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle::edge {

/*! @brief What the node uses; everything must outlive it. */
struct entry_node_context {
    boost::asio::io_context& io;
    const core::clock& time;
    decision_log& log;
    const request_format& format;
    record_store& store;
    upstream_control& control;
    /*! @brief Sends the requests of callers. */
    http::client& client;
};

/**
 * @brief Entry node between callers and upstreams, whose durable state lives in the platform's store.
 *
 * Runs on one thread: its VMs have a quarter of a core, so that shards would only cost memory.
 */
class entry_node {
public:
    /**
     * @brief Makes a node that does not listen yet.
     * @param context What the node uses.
     * @param settings Settings.
     * @param boot_id Tells this process from earlier ones with the same name.
     */
    entry_node(entry_node_context context, entry_settings settings, std::uint64_t boot_id);
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    ~entry_node();

    /**
     * @brief Starts to listen and to read the store.
     * @return Nothing, or `unavailable` when an address cannot be bound.
     */
    [[nodiscard]] core::result<void> start();

    /*! @brief Stops as planned: not ready, leases released, requests served until none is left or the time is over. */
    [[nodiscard]] boost::asio::awaitable<void> stop();

    /*! @brief Returns the state of the node as JSON for a reader. */
    [[nodiscard]] std::string dump() const;

private:
    class parts;
    std::unique_ptr<parts> implementation;
};

} // namespace lagoonsaddle::edge

#endif
