#ifndef LAGOONSADDLE_GATEWAY_CONFIG_SERVICE_HPP
#define LAGOONSADDLE_GATEWAY_CONFIG_SERVICE_HPP

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/fleet/config_replica.hpp>
#include <lagoonsaddle/platform/config_store.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::gateway {

/**
 * @brief Keeps the configuration objects of this node at the highest known version. Thread-safe.
 *
 * In each availability zone the live node that ranks first by rendezvous hashing watches the object API. Versions
 * spread as membership items; the other nodes fetch the bodies from the node that announced them, or from the object
 * API.
 */
class config_service : public std::enable_shared_from_this<config_service> {
public:
    using applied_callback = std::function<void(const platform::config_document&)>;

    config_service(boost::asio::io_context& context, const core::clock& clock, platform::object_store& objects,
        cluster::membership_service& membership, cluster::peer_directory& peers, std::string zone);

    /*! @brief Starts the watch and fetch loops. */
    void start();

    /**
     * @brief Registers a callback for applied configuration objects.
     * @param callback Called on any thread, with increasing versions for each name.
     */
    void on_applied(applied_callback callback);

    /**
     * @brief Records the version that a membership item of the kind `config` announces; ignores other kinds.
     * @param item Membership item.
     */
    void merge(const fleet::gossip_item& item);

    /**
     * @brief Returns the applied version of a configuration object.
     * @param name Name, such as `rules`.
     * @return The object, or nothing when no version has been applied.
     */
    [[nodiscard]] std::optional<fleet::config_object> find(std::string_view name) const;

    /**
     * @brief Saves a change to the object API, applies it on this node and announces it.
     * @param change Change with the expected version.
     * @return The new version, or the failure.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> save(
        platform::config_change change);

    /**
     * @brief Saves the value of an earlier version as a new version, applies it on this node and announces it.
     * @param change Change with the expected version; its value is replaced.
     * @param version Version to restore.
     * @return The new version, or the failure.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> undo(
        platform::config_change change, platform::object_version version);

    /*! @brief Returns whether all versions known when the node joined have been applied. */
    [[nodiscard]] bool ready() const;

    /**
     * @brief Counts the live nodes by applied version, and starts queries that update the counts for the next call.
     *
     * Nodes are queried on demand. Announcing the applied versions of every node by membership items used the whole
     * gossip byte budget at 240 nodes, and a new version did not reach 480 nodes within 21 s.
     *
     * @param name Name, such as `rules`.
     * @return Number of nodes by version, as of the latest responses.
     */
    [[nodiscard]] std::map<std::uint64_t, std::size_t> count_nodes_by_version(std::string_view name);

    /**
     * @brief Removes the recorded versions of a node that is no longer live.
     * @param node Name of the node.
     */
    void forget_node(std::string_view node);

    /*! @brief Returns the names and versions of all applied objects. */
    [[nodiscard]] std::vector<fleet::config_version> applied_versions() const;

    /*! @brief Requests the loops to end; returns without waiting for them. */
    void stop();

private:
    [[nodiscard]] bool is_watcher() const;
    boost::asio::awaitable<void> run_watch_loop();
    boost::asio::awaitable<void> run_fetch_loop();
    boost::asio::awaitable<bool> list_versions();
    boost::asio::awaitable<void> fetch(fleet::config_version wanted);
    /*! @brief Applies an object that another node holds; returns whether its version is the wanted one or newer. */
    boost::asio::awaitable<bool> fetch_from_node(std::string node, fleet::config_version wanted);
    boost::asio::awaitable<bool> fetch_from_store(std::string name);
    /*! @brief Asks a few live nodes in turn, for a version that neither its announcer nor the store gives. */
    boost::asio::awaitable<bool> fetch_from_any_node(std::string announcer, fleet::config_version wanted);
    boost::asio::awaitable<void> query_node_version(std::string node, std::string name);
    void apply(const fleet::config_object& object);

    boost::asio::io_context& context;
    const core::clock& clock;
    platform::object_store& objects;
    platform::config_store store;
    cluster::membership_service& membership;
    cluster::peer_directory& peers;
    std::string zone;
    std::atomic<bool> stopping{false};

    mutable std::mutex mutex{};
    fleet::config_replica replica{};
    std::map<std::string, std::string, std::less<>> announcers{};
    std::vector<applied_callback> callbacks{};
    bool required_versions_set{false};
    std::optional<core::time_point> last_node_query_at{};

    // Held during callbacks, so that the versions of a name are delivered in order.
    std::mutex delivery_mutex{};
    std::map<std::string, std::uint64_t, std::less<>> delivered_versions{};
};

} // namespace lagoonsaddle::gateway

#endif
