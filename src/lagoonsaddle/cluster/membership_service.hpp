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

/*! @brief Runs the membership protocol over UDP. Thread-safe. */
class membership_service : public std::enable_shared_from_this<membership_service> {
public:
    using item_callback = std::function<void(const fleet::gossip_item&)>;
    using change_callback = std::function<void(const fleet::member_change&)>;
    using members_type = std::shared_ptr<const std::vector<fleet::member>>;

    /**
     * @brief Makes the service. `start` binds the socket.
     * @param context Runs the service; must outlive it.
     * @param clock Runtime clock; must outlive the service.
     * @param settings Settings of the protocol.
     */
    membership_service(boost::asio::io_context& context, const core::clock& clock, fleet::membership_settings settings);

    /**
     * @brief Binds the socket, without taking part yet.
     * @param listen Address to listen on; port 0 picks a free port.
     * @return The bound endpoint, or `unavailable`.
     */
    [[nodiscard]] core::result<core::endpoint> bind(const core::endpoint& listen);

    /**
     * @brief Joins the fleet. Callbacks must be registered before.
     * @param self Metadata of this node.
     * @param seeds Endpoints to join through.
     */
    void start(fleet::member_info self, std::vector<core::endpoint> seeds);

    /*! @brief Registers a callback for items of other nodes. */
    void on_item(item_callback callback);

    /*! @brief Registers a callback for changes of other members. */
    void on_change(change_callback callback);

    /**
     * @brief Spreads an item.
     * @param value Item to spread.
     * @return True when the item is new.
     */
    bool publish(fleet::gossip_item value);

    /**
     * @brief Adds endpoints to join through.
     * @param endpoints UDP endpoints.
     */
    void add_seeds(std::span<const core::endpoint> endpoints);

    /*! @brief Announces a planned stop. */
    void leave();

    /*! @brief Announces that the process exits, and stops. */
    void depart();

    [[nodiscard]] bool joined() const;
    [[nodiscard]] fleet::node_id self() const;

    /*! @brief Returns all known members, dead ones included, as of the last event. */
    [[nodiscard]] members_type members() const;

    /**
     * @brief Finds a live member.
     * @param name Name of the node.
     * @return The member, or nothing when it is unknown or not live.
     */
    [[nodiscard]] std::optional<fleet::member> find_live(std::string_view name) const;

    [[nodiscard]] std::vector<fleet::gossip_item> items(std::string_view kind) const;
    [[nodiscard]] fleet::membership_counters counters() const;

private:
    using strand_type = boost::asio::strand<boost::asio::io_context::executor_type>;

    boost::asio::awaitable<void> receive_datagrams();
    boost::asio::awaitable<void> run_timers();
    void send(std::vector<fleet::datagram> datagrams);
    void deliver();

    const core::clock& time;
    fleet::membership_settings settings;
    strand_type strand;
    boost::asio::ip::udp::socket socket;

    mutable std::mutex mutex{};
    std::unique_ptr<fleet::membership> protocol{};
    members_type view{std::make_shared<const std::vector<fleet::member>>()};
    std::vector<item_callback> item_callbacks{};
    std::vector<change_callback> change_callbacks{};
    bool stopped{false};
};

} // namespace lagoonsaddle::cluster

#endif
