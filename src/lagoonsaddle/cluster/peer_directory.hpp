#ifndef LAGOONSADDLE_CLUSTER_PEER_DIRECTORY_HPP
#define LAGOONSADDLE_CLUSTER_PEER_DIRECTORY_HPP

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/wire/peer_client.hpp>

namespace lagoonsaddle::cluster {

/*! @brief Returns whether a member is gone without having left as planned. */
[[nodiscard]] bool has_failed(const fleet::member_change& change) noexcept;

/*! @brief Connections to the other nodes, by node name. Thread-safe. */
class peer_directory {
public:
    /**
     * @brief Creates a directory without connections.
     * @param context Executes the connections; must outlive them.
     * @param membership Source of the endpoints and states of the nodes; must outlive the directory.
     * @param self Handshake message sent on each new connection.
     */
    peer_directory(boost::asio::io_context& context, const membership_service& membership, wire::hello self);

    /**
     * @brief Returns the connection to a live node.
     * @param node Name of the node.
     * @return The connection, or null when the node is unknown or not live.
     */
    [[nodiscard]] std::shared_ptr<wire::peer_client> find(std::string_view node);

    /*! @brief Returns the connections to all live nodes except this one. */
    [[nodiscard]] std::vector<std::shared_ptr<wire::peer_client>> live_peers();

    /*! @brief Returns the names of all live nodes except this one. */
    [[nodiscard]] std::vector<std::string> live_peer_names() const;

    /**
     * @brief Ends the connection to a node that is no longer live or has restarted.
     *
     * Outstanding requests to a node that has failed fail at once. One that has left as planned has answered all of
     * them, but its last frames may not have been read yet: its connection is no longer used, and closed only later.
     *
     * @param change Change of the node.
     */
    void end_connection(const fleet::member_change& change);

    /*! @brief Returns the name of this node. */
    [[nodiscard]] const std::string& local_node_name() const noexcept {
        return this->hello_message.node;
    }

    /**
     * @brief Sends a one-way message to all live nodes except this one. Delivery is not guaranteed.
     * @param type Message type.
     * @param body Packed message.
     */
    void broadcast(wire::message_type type, const std::string& body);

private:
    struct connection {
        core::endpoint target{};
        std::uint64_t boot_id{};
        std::shared_ptr<wire::peer_client> client{};
    };

    /*! @brief Returns the connection to a node; replaces one to an earlier boot or endpoint of the node. */
    [[nodiscard]] std::shared_ptr<wire::peer_client> client_for(const fleet::member& node);

    boost::asio::io_context& context;
    const membership_service& membership;
    wire::hello hello_message;
    std::mutex mutex{};
    std::map<std::string, connection, std::less<>> connections{};
};

} // namespace lagoonsaddle::cluster

#endif
