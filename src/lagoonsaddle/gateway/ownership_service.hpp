#ifndef LAGOONSADDLE_GATEWAY_OWNERSHIP_SERVICE_HPP
#define LAGOONSADDLE_GATEWAY_OWNERSHIP_SERVICE_HPP

#include <atomic>
#include <cstdint>
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

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/fleet/ownership.hpp>
#include <lagoonsaddle/gateway/order_authority.hpp>
#include <lagoonsaddle/gateway/upstream_directory.hpp>
#include <lagoonsaddle/platform/object_store.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Runs the ownership protocol of each availability zone over the object API. Thread-safe. */
class ownership_service final : public order_authority, public std::enable_shared_from_this<ownership_service> {
public:
    using change_callback = std::function<void()>;

    ownership_service(boost::asio::io_context& context, const core::clock& clock, fleet::ownership_settings settings,
        platform::object_store& objects, cluster::membership_service& membership, upstream_directory& upstreams,
        cluster::peer_directory& peers);

    /*! @brief Starts the protocol. Membership must be running. */
    void start();

    /**
     * @brief Registers a callback for ownership changes. It may also be called without a change.
     * @param callback Called on any thread.
     */
    void on_change(change_callback callback);

    /**
     * @brief Returns the owner of an upstream.
     * @param upstream Name of the upstream.
     * @return Owner and fencing token, or nothing if no owner is known.
     */
    [[nodiscard]] std::optional<fleet::assignment> owner(std::string_view upstream) const;

    /*! @brief Returns the upstreams whose known owner is this process. */
    [[nodiscard]] std::vector<std::string> owned_upstreams() const;

    /**
     * @brief Schedules a read of the ownership object of an upstream's zone, for use when its owner may have changed.
     * @param upstream Name of the upstream.
     */
    void refresh(std::string_view upstream);

    /**
     * @brief Returns the ownership object of a zone, to answer a peer.
     * @param zone Availability zone.
     * @return Last object known to this node; version 0 if none is known.
     */
    [[nodiscard]] fleet::ownership_snapshot snapshot(std::string_view zone) const;

    /*! @brief Starts to release all upstreams, for a planned stop. */
    void release_all();

    /*! @brief Returns whether all upstreams are released after `release_all`. */
    [[nodiscard]] bool released() const;

    /*! @brief Returns whether the object API has not answered for a whole lease. */
    [[nodiscard]] bool object_api_down() const;

    /*! @brief Returns the protocol counters by availability zone. */
    [[nodiscard]] std::map<std::string, fleet::ownership_counters> counters() const;

    [[nodiscard]] bool may_evict(std::string_view upstream) const override;
    [[nodiscard]] bool may_load(std::string_view upstream) const override;
    [[nodiscard]] bool may_route(std::string_view upstream) const override;
    [[nodiscard]] std::optional<std::uint64_t> fencing_token(std::string_view upstream) const override;
    [[nodiscard]] std::optional<core::time_point> owner_since(std::string_view upstream) const override;
    [[nodiscard]] core::duration takeover_eviction_delay(std::string_view upstream) const override;

    void stop();

private:
    struct zone_state {
        explicit zone_state(fleet::ownership initial) : protocol{std::move(initial)} {}

        mutable std::mutex mutex{};
        fleet::ownership protocol;
        bool peers_queried{false};
    };

    using zone_pointer = std::shared_ptr<zone_state>;

    [[nodiscard]] zone_pointer find_zone(std::string_view upstream) const;

    template<typename Function>
    [[nodiscard]] auto call_protocol(std::string_view upstream, Function function) const;

    void update_zones();
    boost::asio::awaitable<void> run_timers();
    boost::asio::awaitable<void> fetch_snapshot_from_peers(zone_pointer zone, std::string name);
    /*! @brief Calls a function with the protocol of each availability zone, and executes the returned actions. */
    void step_all_zones(const std::function<std::vector<fleet::ownership_action>(fleet::ownership&)>& step);
    void execute_actions(const zone_pointer& zone, std::vector<fleet::ownership_action> actions);
    boost::asio::awaitable<void> read_object(zone_pointer zone, fleet::read_object action);
    boost::asio::awaitable<void> write_object(zone_pointer zone, fleet::write_object action);
    void notify_change();

    boost::asio::io_context& context;
    const core::clock& clock;
    fleet::ownership_settings settings;
    platform::object_store& objects;
    cluster::membership_service& membership;
    upstream_directory& upstreams;
    cluster::peer_directory& peers;
    std::atomic<bool> stopping{false};

    /*! @brief Lists that were last passed to the zones. Accessed only from `run_timers`. */
    cluster::membership_service::member_snapshot last_members{};
    std::shared_ptr<const upstream_directory::description_map> last_upstreams{};

    mutable std::mutex mutex{};
    std::map<std::string, zone_pointer, std::less<>> zones{};
    std::vector<change_callback> callbacks{};
};

} // namespace lagoonsaddle::gateway

#endif
