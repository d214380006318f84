#ifndef LAGOONSADDLE_EDGE_PLACEMENT_SERVICE_HPP
#define LAGOONSADDLE_EDGE_PLACEMENT_SERVICE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/lease_tracker.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/slot_ledger.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `placement_service`. */
struct placement_options {
    std::string self{};
    std::string availability_zone{};
    std::uint64_t boot_id{};
    bool fenced{true};
    /*! @brief Time between orders of two holders to one upstream where fencing tokens are not checked. */
    std::chrono::milliseconds lease_time{3'000};
};

/*! @brief An adapter that a request needs on an upstream. */
struct adapter_request {
    std::string upstream{};
    std::string model{};
    std::string adapter{};
    /*! @brief Oldest version that may serve; 0 for any. */
    std::uint64_t version_min{};
    std::chrono::milliseconds timeout{};
    /*! @brief Wait for a place instead of failing with `overloaded` when all are in use. */
    bool may_wait{};
};

/*! @brief What the service uses; everything must outlive it. */
struct placement_context {
    boost::asio::io_context& io;
    const core::clock& time;
    log_sink& log;
    record_store& store;
    upstream_control& control;
    route_table& routes;
    upstream_table& upstreams;
    cluster::membership_service& membership;
};

/**
 * @brief Keeps the leases of availability zones and orders the loads of the upstreams whose lease this node holds.
 *
 * All state is used from the one thread that runs the `io_context`.
 */
class placement_service : public std::enable_shared_from_this<placement_service> {
public:
    placement_service(placement_context context, placement_options options);

    /*! @brief Starts to keep leases and to give orders. */
    void start();

    /*! @brief Releases the leases of this node, so that another node takes over at once. */
    [[nodiscard]] boost::asio::awaitable<void> release();

    /**
     * @brief Makes an adapter resident on an upstream whose loads this node orders.
     * @param wanted What is wanted.
     * @return The resident version, or an error; the request has not been sent in either case.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::uint64_t>> ensure(adapter_request wanted);

    /*! @brief Returns the live node that orders loads in an availability zone, or nothing. */
    [[nodiscard]] std::optional<std::string> holder_of(std::string_view zone) const;

    /*! @brief Tells whether this node may order loads in an availability zone now. */
    [[nodiscard]] bool may_order(std::string_view zone) const;

    /*! @brief Returns the number of availability zones whose lease this node holds. */
    [[nodiscard]] std::size_t leases_held() const;

    /*! @brief Tells whether an upstream whose loads this node orders holds an adapter or has a place for it. */
    [[nodiscard]] bool can_place(const std::string& upstream, std::string_view model, std::string_view adapter) const;

    /*! @brief Tells whether some live node can order loads in an availability zone. */
    [[nodiscard]] bool can_load(std::string_view zone) const;

    /*! @brief Notes that requests use an adapter of an upstream whose loads this node orders. */
    void touch(const std::string& upstream, std::string_view model, std::string_view adapter);

    /*! @brief Takes over a lease record; a null record was removed. */
    void lease_changed(const std::string& zone, const stored_lease* record);

    /*! @brief Takes over an announced version. Returns true when it is new. */
    bool version_announced(const version_record& record);

    /*! @brief Returns the newest known version of an adapter and when it became known. */
    struct announced {
        std::uint64_t version{};
        core::time_point at{};
    };

    [[nodiscard]] announced newest(std::string_view model, std::string_view adapter) const;

    /*! @brief Follows the availability zones of the known upstreams. */
    void upstreams_changed();

private:
    struct driver {
        slot_ledger ledger;
        /*! @brief Wakes the driver when something is wanted. */
        boost::asio::steady_timer wake;
        /*! @brief Wakes the requests that wait for an adapter when the ledger changes. */
        boost::asio::steady_timer progress;
        std::uint64_t started_ms{};
        /*! @brief When the last report that was taken over was asked for. */
        std::optional<core::time_point> reported{};
        /*! @brief When the load of the base model was last ordered. */
        core::time_point model_ordered{};
    };

    [[nodiscard]] boost::asio::awaitable<void> keep_lease(std::string zone);
    [[nodiscard]] boost::asio::awaitable<void> drive(std::string upstream);
    [[nodiscard]] boost::asio::awaitable<bool> load_missing_model(const std::string& upstream, driver& state);
    [[nodiscard]] boost::asio::awaitable<void> give(
        const std::string& upstream, driver& state, const ledger_order& order);
    [[nodiscard]] boost::asio::awaitable<bool> synchronize(const std::string& upstream, driver& state);
    [[nodiscard]] boost::asio::awaitable<core::result<std::uint64_t>> wait_resident(
        const adapter_request& wanted, std::shared_ptr<driver> state, core::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<void> pause(driver& state, core::duration time);

    [[nodiscard]] lease_tracker& tracker(const std::string& zone);
    [[nodiscard]] holder_status status_of(const lease_tracker& lease) const;
    [[nodiscard]] std::optional<std::size_t> rank(const std::string& zone) const;
    [[nodiscard]] const service* service_of(const std::string& upstream) const;
    [[nodiscard]] bool drives(const std::string& upstream);
    [[nodiscard]] std::shared_ptr<driver> driver_of(const std::string& upstream);

    placement_context context;
    placement_options settings;
    core::time_point started{};
    bool releasing{false};
    std::map<std::string, lease_tracker, std::less<>> leases{};
    /*! @brief Availability zones whose leases this node keeps or tries to acquire. */
    std::set<std::string> kept_zones{};
    std::map<std::string, std::shared_ptr<driver>, std::less<>> drivers{};
    std::map<std::string, announced, std::less<>> versions{};
    /*! @brief Upstream that loads a base model at present, by availability zone. */
    std::map<std::string, std::string, std::less<>> model_loads{};
};

} // namespace lagoonsaddle::edge

#endif
