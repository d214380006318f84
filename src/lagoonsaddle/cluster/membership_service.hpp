#ifndef LAGOONSADDLE_CLUSTER_MEMBERSHIP_SERVICE_HPP
#define LAGOONSADDLE_CLUSTER_MEMBERSHIP_SERVICE_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/fleet/membership.hpp>

namespace lagoonsaddle::cluster {

/*! @brief Runs the gossip membership protocol over UDP. Thread-safe. */
class membership_service : public std::enable_shared_from_this<membership_service> {
public:
    using item_callback = std::function<void(const fleet::gossip_item&)>;
    using member_change_callback = std::function<void(const fleet::member_change&)>;
    /*! @brief Immutable list of all known members. */
    using member_snapshot = std::shared_ptr<const std::vector<fleet::member>>;

    /**
     * @brief Creates the service; `bind` opens its socket and `start` joins the fleet.
     * @param context Executes the socket and timer operations; must outlive the service.
     * @param clock Monotonic clock; must outlive the service.
     * @param settings Protocol settings.
     */
    membership_service(boost::asio::io_context& context, const core::clock& clock, fleet::membership_settings settings);

    /**
     * @brief Binds the UDP socket without joining the fleet.
     * @param listen Address and port to bind; port 0 selects a free port.
     * @return The bound endpoint, or `unavailable`.
     */
    [[nodiscard]] core::result<core::endpoint> bind(const core::endpoint& listen);

    /**
     * @brief Joins the fleet. Register all callbacks first.
     * @param self Metadata of this node.
     * @param seeds UDP endpoints of members to contact first.
     */
    void start(fleet::member_info self, std::vector<core::endpoint> seeds);

    /*! @brief Registers a callback for items received from other nodes; it runs without the lock. */
    void on_item(item_callback callback);

    /*! @brief Registers a callback for state changes of other members; it runs without the lock. */
    void on_member_change(member_change_callback callback);

    /**
     * @brief Disseminates an item to all members by gossip.
     * @param item Item to disseminate.
     * @return True when the item is newer than the known one; false also before `start`.
     */
    bool publish(fleet::gossip_item item);

    /**
     * @brief Adds endpoints through which this node may join.
     * @param endpoints UDP endpoints of members.
     */
    void add_seeds(std::span<const core::endpoint> endpoints);

    /*! @brief Announces that this node is about to stop and takes no new work. */
    void announce_leaving();

    /*! @brief Announces that this node has left, stops the protocol and closes the socket. */
    void stop();

    /*! @brief Returns true once the complete state of at least one peer was received, or when there are no seeds. */
    [[nodiscard]] bool joined() const;

    /*! @brief Returns the name and boot id of this node. Requires `start`. */
    [[nodiscard]] fleet::node_id local_node() const;

    /*! @brief Returns all known members, including dead ones, as of the last membership change. */
    [[nodiscard]] member_snapshot members() const;

    /**
     * @brief Finds a live member.
     * @param name Name of the node.
     * @return The member, or nothing when it is unknown or not live.
     */
    [[nodiscard]] std::optional<fleet::member> find_live_member(std::string_view name) const;

    /*! @brief Returns the items of a kind, by key. */
    [[nodiscard]] std::vector<fleet::gossip_item> items(std::string_view kind) const;
    [[nodiscard]] fleet::membership_counters counters() const;

private:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;

    boost::system::error_code open_socket(const boost::asio::ip::udp::endpoint& local);
    boost::asio::awaitable<void> receive_datagrams();
    boost::asio::awaitable<void> run_timers();
    void send_datagrams(std::vector<fleet::datagram> datagrams);
    void dispatch_events();

    const core::clock& clock_source;
    fleet::membership_settings settings;
    strand_type strand;
    boost::asio::ip::udp::socket socket;

    mutable std::mutex mutex{};
    std::unique_ptr<fleet::membership> protocol{};
    member_snapshot current_members{std::make_shared<const std::vector<fleet::member>>()};
    std::vector<item_callback> item_callbacks{};
    std::vector<member_change_callback> member_change_callbacks{};
    bool stopped{false};
};

} // namespace lagoonsaddle::cluster

#endif
