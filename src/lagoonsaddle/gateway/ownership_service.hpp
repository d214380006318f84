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

/*! @brief Runs the ownership protocol for all availability zones against the object API. Thread-safe. */
class ownership_service final : public order_authority, public std::enable_shared_from_this<ownership_service> {
public:
    using owned_callback = std::function<void()>;

    ownership_service(boost::asio::io_context& context, const core::clock& clock, fleet::ownership_settings settings,
        platform::object_store& objects, cluster::membership_service& membership, upstream_directory& upstreams,
        cluster::peer_directory& peers);

    /*! @brief Starts the protocol. Membership must be running. */
    void start();

    /**
     * @brief Registers a callback for possible changes of what this node owns.
     * @param callback Called on any thread.
     */
    void on_change(owned_callback callback);

    /**
     * @brief Returns the owner of an upstream.
     * @param upstream Name of the upstream.
     * @return Owner and fencing token, or nothing when none is known.
     */
    [[nodiscard]] std::optional<fleet::assignment> owner(std::string_view upstream) const;

    /*! @brief Returns the upstreams whose known owner is this process. */
    [[nodiscard]] std::vector<std::string> owned() const;

    /**
     * @brief Reads the object of an upstream's zone again soon, such as after a sign that its owner has changed.
     * @param upstream Name of the upstream.
     */
    void refresh(std::string_view upstream);

    /**
     * @brief Returns the object of a zone for a peer.
     * @param zone Availability zone.
     * @return Object as this node knows it.
     */
    [[nodiscard]] fleet::ownership_snapshot snapshot(std::string_view zone) const;

    /*! @brief Gives up all upstreams for a planned stop. */
    void release_all();

    /*! @brief Returns whether this node owns nothing any more after `release_all`. */
    [[nodiscard]] bool released() const;

    /*! @brief Returns whether the object API has not answered for a whole lease. */
    [[nodiscard]] bool object_api_down() const;

    [[nodiscard]] std::map<std::string, fleet::ownership_counters> counters() const;

    [[nodiscard]] bool may_evict(std::string_view upstream) const override;
    [[nodiscard]] bool may_load(std::string_view upstream) const override;
    [[nodiscard]] bool may_route(std::string_view upstream) const override;
    [[nodiscard]] std::optional<std::uint64_t> fencing_token(std::string_view upstream) const override;
    [[nodiscard]] std::optional<core::time_point> owner_since(std::string_view upstream) const override;
    [[nodiscard]] core::duration takeover_wait(std::string_view upstream) const override;

    void stop();

private:
    struct zone_state {
        explicit zone_state(fleet::ownership initial) : protocol{std::move(initial)} {}

        mutable std::mutex mutex{};
        fleet::ownership protocol;
        bool asked_peers{false};
    };

    using zone_pointer = std::shared_ptr<zone_state>;

    [[nodiscard]] zone_pointer zone_of(std::string_view upstream) const;

    template<typename Question>
    [[nodiscard]] auto query(std::string_view upstream, Question question) const;

    void update_zones();
    boost::asio::awaitable<void> run_timers();
    boost::asio::awaitable<void> learn_from_peers(zone_pointer zone, std::string name);
    /*! @brief Takes a step of the protocol in each availability zone, and performs what it asks for. */
    void step_all_zones(const std::function<std::vector<fleet::ownership_action>(fleet::ownership&)>& step);
    void perform(const zone_pointer& zone, std::vector<fleet::ownership_action> actions);
    boost::asio::awaitable<void> read(zone_pointer zone, fleet::read_object action);
    boost::asio::awaitable<void> write(zone_pointer zone, fleet::write_object action);
    void changed();

    boost::asio::io_context& context;
    const core::clock& time;
    fleet::ownership_settings settings;
    platform::object_store& objects;
    cluster::membership_service& membership;
    upstream_directory& upstreams;
    cluster::peer_directory& peers;
    std::atomic<bool> stopping{false};

    /*! @brief Lists that the zones were last given; used by `run_timers` alone. */
    cluster::membership_service::member_snapshot seen_members{};
    std::shared_ptr<const upstream_directory::descriptions_type> seen_upstreams{};

    mutable std::mutex mutex{};
    std::map<std::string, zone_pointer, std::less<>> zones{};
    std::vector<owned_callback> callbacks{};
};

} // namespace lagoonsaddle::gateway

#endif
