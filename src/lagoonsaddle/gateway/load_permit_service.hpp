#ifndef LAGOONSADDLE_GATEWAY_LOAD_PERMIT_SERVICE_HPP
#define LAGOONSADDLE_GATEWAY_LOAD_PERMIT_SERVICE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/gateway/ownership_service.hpp>
#include <lagoonsaddle/policy/load_scheduler.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Queued requests of one engine that need an adapter loaded. */
struct load_demand {
    std::string engine{};
    core::adapter_version adapter{};
    /*! @brief Number of queued requests for the adapter. */
    std::size_t waiting{};
    core::time_point nearest_deadline{};
};

/*! @brief Permission to load one adapter, valid until `expires_at`. */
struct granted_permit {
    std::uint64_t id{};
    /*! @brief Node that granted the permit, to which it is released. */
    std::string granter{};
    core::time_point expires_at{};
};

/*! @brief Grants load permits. Thread-safe. */
class load_permit_provider {
public:
    load_permit_provider() = default;
    load_permit_provider(const load_permit_provider&) = delete;
    load_permit_provider& operator=(const load_permit_provider&) = delete;
    virtual ~load_permit_provider() = default;

    /**
     * @brief Requests a load permit and waits for it. Call again with current values after a timeout.
     * @param demand Engine, adapter and queued requests that need the load.
     * @param timeout Longest time to wait.
     * @return The permit, or `unavailable` if none was granted in time.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<granted_permit>> acquire(
        load_demand demand, std::chrono::milliseconds timeout) = 0;

    /**
     * @brief Releases a permit after its load, so that the next one can be granted.
     * @param permit The permit.
     */
    virtual void release(const granted_permit& permit) = 0;
};

/**
 * @brief Schedules the adapter loads of all nodes with permits, to limit the load on the weight store. Thread-safe.
 *
 * The owner of the weight store grants the permits. If this owner is not live, such as when the object API is down and
 * a new owner cannot be assigned, the first live node by rendezvous hashing grants them. This is
 * safe, because a permit only limits the rate at the weight store.
 */
class load_permit_service final : public load_permit_provider,
                                  public std::enable_shared_from_this<load_permit_service> {
public:
    load_permit_service(boost::asio::io_context& context, const core::clock& clock,
        policy::load_scheduler_options options, std::string weight_store, cluster::membership_service& membership,
        ownership_service& ownership, cluster::peer_directory& peers);

    /*! @brief Starts the timer that grants permits while this node is the granter. */
    void start();

    [[nodiscard]] boost::asio::awaitable<core::result<granted_permit>> acquire(
        load_demand demand, std::chrono::milliseconds timeout) override;
    void release(const granted_permit& permit) override;

    /**
     * @brief Handles a permit request of a peer.
     * @param peer Name of the node.
     * @param packed Packed `wire::load_request`.
     * @param answer Receives the packed `wire::load_permit`.
     */
    [[nodiscard]] boost::asio::awaitable<void> handle_permit_request(
        std::string peer, std::string packed, std::shared_ptr<wire::responder> answer);

    /**
     * @brief Handles the release of a permit by a peer.
     * @param packed Packed `wire::load_done`.
     */
    void handle_permit_release(std::string_view packed);

    /**
     * @brief Removes the load requests of a node that is no longer live.
     * @param node Name of the node.
     */
    void remove_node(std::string_view node);

    /*! @brief Returns the loads that wait for a permit from this node, first to be granted first. */
    [[nodiscard]] std::vector<policy::ranked_load> ranked_loads() const;

    void stop();

private:
    using load_key = std::pair<std::string, core::adapter_version>;
    struct permit_waiter;

    /*! @brief Returns the name of the node that grants permits now. */
    [[nodiscard]] std::string find_granter() const;
    boost::asio::awaitable<core::result<granted_permit>> wait_for_permit(std::string requester, load_demand demand,
        std::chrono::milliseconds timeout, std::shared_ptr<permit_waiter> waiter);
    boost::asio::awaitable<void> run_timers();
    void grant_permits();

    boost::asio::io_context& context;
    const core::clock& clock;
    policy::load_scheduler_options settings;
    std::string weight_store;
    cluster::membership_service& membership;
    ownership_service& ownership;
    cluster::peer_directory& peers;

    mutable std::mutex mutex{};
    policy::load_scheduler scheduler;
    std::map<load_key, std::shared_ptr<permit_waiter>> waiters{};
    bool granting{false};
    bool stopping{false};
};

} // namespace lagoonsaddle::gateway

#endif
