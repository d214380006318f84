#ifndef LAGOONSADDLE_GATEWAY_LOAD_SERVICE_HPP
#define LAGOONSADDLE_GATEWAY_LOAD_SERVICE_HPP

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

/*! @brief Need for a load, as the owner of an engine sees it. */
struct load_need {
    std::string engine{};
    core::adapter_version adapter{};
    std::size_t waiting{};
    core::time_point nearest_deadline{};
};

/*! @brief Permission to load one adapter now. */
struct load_grant {
    std::uint64_t permit{};
    /*! @brief Node that granted the permit and takes it back. */
    std::string granter{};
    core::time_point expires_at{};
};

/*! @brief Gives permissions to load. Thread-safe. */
class load_permits {
public:
    load_permits() = default;
    load_permits(const load_permits&) = delete;
    load_permits& operator=(const load_permits&) = delete;
    virtual ~load_permits() = default;

    /**
     * @brief Waits for a permit.
     * @param need The need; asked again with newer numbers while it lasts.
     * @param timeout Longest time to wait.
     * @return The permit, or an error.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<load_grant>> acquire(
        load_need need, std::chrono::milliseconds timeout) = 0;

    /**
     * @brief Returns a permit.
     * @param grant The permit.
     */
    virtual void release(const load_grant& grant) = 0;
};

/**
 * @brief The fleet-wide load order. The owner of the weight store grants permits to all nodes. Thread-safe.
 *
 * A permit only limits the rate at the weight store. When its owner is not live and cannot be replaced because the
 * object API is down, the first live node by rendezvous hashing grants instead.
 */
class load_service final : public load_permits, public std::enable_shared_from_this<load_service> {
public:
    load_service(boost::asio::io_context& context, const core::clock& clock, policy::load_scheduler_options options,
        std::string weight_store, cluster::membership_service& membership, ownership_service& ownership,
        cluster::peer_directory& peers);

    /*! @brief Starts to grant permits when this node is the granter. */
    void start();

    [[nodiscard]] boost::asio::awaitable<core::result<load_grant>> acquire(
        load_need need, std::chrono::milliseconds timeout) override;
    void release(const load_grant& grant) override;

    /**
     * @brief Handles a load request of a peer.
     * @param peer Name of the node.
     * @param packed Packed `wire::load_request`.
     * @param answer Takes the permit.
     */
    [[nodiscard]] boost::asio::awaitable<void> handle_request(
        std::string peer, std::string packed, std::shared_ptr<wire::responder> answer);

    /**
     * @brief Handles the return of a permit by a peer.
     * @param packed Packed `wire::load_done`.
     */
    void handle_done(std::string_view packed);

    /**
     * @brief Drops the requests of a node that died.
     * @param node Name of the node.
     */
    void node_lost(std::string_view node);

    /*! @brief Returns the loads that wait for a permit of this node. */
    [[nodiscard]] std::vector<policy::ranked_load> positions() const;

    void stop();

private:
    using key_type = std::pair<std::string, core::adapter_version>;
    struct waiter;

    [[nodiscard]] std::string granter() const;
    boost::asio::awaitable<core::result<load_grant>> wait_for_permit(
        std::string requester, load_need need, std::chrono::milliseconds timeout, std::shared_ptr<waiter> entry);
    boost::asio::awaitable<void> run_timers();
    void poll();

    boost::asio::io_context& context;
    const core::clock& time;
    policy::load_scheduler_options settings;
    std::string weight_store;
    cluster::membership_service& membership;
    ownership_service& ownership;
    cluster::peer_directory& peers;

    mutable std::mutex mutex{};
    policy::load_scheduler scheduler;
    std::map<key_type, std::shared_ptr<waiter>> waiters{};
    bool granting{false};
    bool stopping{false};
};

} // namespace lagoonsaddle::gateway

#endif
