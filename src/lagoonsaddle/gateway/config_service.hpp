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
 * @brief Keeps the configuration objects of this node at the highest version that is known. Thread-safe.
 *
 * The first live node of each availability zone by rendezvous hashing watches the object API. Versions spread as
 * membership items; the others fetch the bodies from the node that announced them, or from the object API.
 */
class config_service : public std::enable_shared_from_this<config_service> {
public:
    using applied_callback = std::function<void(const platform::config_document&)>;

    config_service(boost::asio::io_context& context, const core::clock& clock, platform::object_store& objects,
        cluster::membership_service& membership, cluster::peer_directory& peers, std::string zone);

    /*! @brief Starts to follow the configuration. */
    void start();

    /**
     * @brief Registers a callback for configurations that come into force.
     * @param callback Called on any thread, for each name with growing versions.
     */
    void on_applied(applied_callback callback);

    /**
     * @brief Applies a membership item of the kind `config`.
     * @param value The item.
     */
    void receive(const fleet::gossip_item& value);

    /**
     * @brief Returns a configuration object as it is in force.
     * @param name Name such as `rules`.
     * @return The object, or nothing.
     */
    [[nodiscard]] std::optional<fleet::config_object> find(std::string_view name) const;

    /**
     * @brief Stores a changed configuration, puts it into force on this node and announces it.
     * @param change The change.
     * @return The new version, or the failure.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> save(
        platform::config_change change);

    /**
     * @brief Stores the value of an earlier version as a new version.
     * @param change The change; its value is replaced.
     * @param version Earlier version.
     * @return The new version, or the failure.
     */
    [[nodiscard]] boost::asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> undo(
        platform::config_change change, platform::object_version version);

    /*! @brief Returns whether the highest versions that the seeds know are in force. */
    [[nodiscard]] bool ready() const;

    /**
     * @brief Counts the live nodes that have a version in force, and asks them again for the next call.
     *
     * Nodes are asked only while somebody looks. When each node announced its versions by membership items, they took
     * the whole byte budget at 240 nodes, and a new version did not reach 480 nodes within 21 s.
     *
     * @param name Name such as `rules`.
     * @return Number of nodes by version, as of the last answers.
     */
    [[nodiscard]] std::map<std::uint64_t, std::size_t> reported(std::string_view name);

    /**
     * @brief Forgets what a node that died has in force.
     * @param node Name of the node.
     */
    void node_lost(std::string_view node);

    [[nodiscard]] std::vector<fleet::config_version> applied() const;

    void stop();

private:
    [[nodiscard]] bool watches() const;
    boost::asio::awaitable<void> run_watch();
    boost::asio::awaitable<void> run_fetch();
    boost::asio::awaitable<bool> list_versions();
    boost::asio::awaitable<void> fetch(fleet::config_version wanted);
    boost::asio::awaitable<void> refresh(std::string name);
    boost::asio::awaitable<void> ask_version(std::string node, std::string name);
    void apply(const fleet::config_object& object);

    boost::asio::io_context& context;
    const core::clock& time;
    platform::object_store& objects;
    platform::config_store store;
    cluster::membership_service& membership;
    cluster::peer_directory& peers;
    std::string zone;
    std::atomic<bool> stopping{false};

    mutable std::mutex mutex{};
    fleet::config_replica versions{};
    std::map<std::string, std::string, std::less<>> announcers{};
    std::vector<applied_callback> callbacks{};
    bool seeds_asked{false};
    std::optional<core::time_point> asked_nodes_at{};

    // Keeps the callbacks of one name in the order of their versions.
    std::mutex delivery{};
    std::map<std::string, std::uint64_t, std::less<>> delivered{};
};

} // namespace lagoonsaddle::gateway

#endif
