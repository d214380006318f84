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

/*! @brief Connections to the other nodes, by node name. Thread-safe. */
class peer_directory {
public:
    /**
     * @brief Makes an empty directory.
     * @param context Runs the connections; must outlive them.
     * @param membership Knows the endpoints of the nodes; must outlive the directory.
     * @param self Greeting to peers.
     */
    peer_directory(boost::asio::io_context& context, const membership_service& membership, wire::hello self);

    /**
     * @brief Returns the connection to a live node.
     * @param node Name of the node.
     * @return The connection, or nothing when the node is not live.
     */
    [[nodiscard]] std::shared_ptr<wire::peer_client> find(std::string_view node);

    /*! @brief Returns the connections to all live nodes but this one. */
    [[nodiscard]] std::vector<std::shared_ptr<wire::peer_client>> all();

    /*! @brief Returns the names of all live nodes but this one. */
    [[nodiscard]] std::vector<std::string> live_names() const;

    /**
     * @brief Closes the connection to a node that died, so that waiting requests end at once.
     * @param node Name of the node.
     */
    void drop(std::string_view node);

    [[nodiscard]] const std::string& self() const noexcept {
        return this->greeting.node;
    }

    /**
     * @brief Sends a message without an answer to all live nodes but this one.
     * @param type Type of the message.
     * @param body Packed message.
     */
    void broadcast(wire::message_type type, const std::string& body);

private:
    struct entry {
        core::endpoint target{};
        std::uint64_t boot_id{};
        std::shared_ptr<wire::peer_client> client{};
    };

    [[nodiscard]] std::shared_ptr<wire::peer_client> connect(const fleet::member& node);

    boost::asio::io_context& context;
    const membership_service& membership;
    wire::hello greeting;
    std::mutex mutex{};
    std::map<std::string, entry, std::less<>> entries{};
};

} // namespace lagoonsaddle::cluster

#endif
