#ifndef LAGOONSADDLE_EDGE_PLACEMENT_SERVICE_HPP
#define LAGOONSADDLE_EDGE_PLACEMENT_SERVICE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
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
#include <lagoonsaddle/edge/load_admission.hpp>
#include <lagoonsaddle/edge/partitioned_nodes.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/slot_scheduler.hpp>
#include <lagoonsaddle/edge/unanswered_nodes.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/edge/version_history.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `placement_service`. */
struct placement_options {
    /*! @brief Name of this node. */
    std::string node_name{};
    std::string availability_zone{};
    std::uint64_t boot_id{};
    bool upstreams_check_tokens{true};
    /*! @brief Address of this node for other nodes; all nodes have the same port. */
    core::endpoint peer_endpoint{};
    /*! @brief Delay before the first order under a newly acquired lease; the previous holder may still send orders
     * for this long. */
    std::chrono::milliseconds lease_time{3'000};
    load_admission_options loads{};
};

/*! @brief Request for an adapter to be resident on an upstream. */
struct adapter_request {
    std::string upstream{};
    std::string model{};
    std::string adapter{};
    /*! @brief Oldest acceptable version; 0 for any. */
    std::uint64_t version_min{};
    std::chrono::milliseconds timeout{};
    /*! @brief Whether to wait for a slot instead of failing with `overloaded` when all slots are in use. */
    bool may_wait{};
    /*! @brief Priority of the request, 0 being the most urgent; nothing when the sender states none. */
    std::optional<unsigned> priority{};
    /*! @brief When the latency objective ends; nothing when the sender states none. */
    std::optional<core::time_point> objective{};
    /*! @brief When the request ends. While other loads delay this one, it waits beyond `timeout` as long as the
     * deadline can be met, and is refused once it cannot. Nothing when the sender states none. */
    std::optional<core::time_point> deadline{};
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};
    /*! @brief Called at least once per half of `timeout` while the request waits; may be empty. */
    std::function<void()> on_waiting{};
    /*! @brief Returns false when nobody waits for the request any more; may be empty. */
    std::function<bool()> is_wanted{};
};

/*! @brief Dependencies of the service, which must outlive it. */
struct placement_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    record_store& store;
    upstream_control& control;
    route_table& routes;
    upstream_table& upstreams;
    cluster::membership_service& membership;
    const partitioned_nodes& partitions;
    const unanswered_nodes& unanswered;
};

/**
 * @brief Maintains the leases of availability zones and orders loads on the upstreams whose lease this node holds.
 *
 * Must be used only from the thread that runs the `io_context`.
 */
class placement_service : public std::enable_shared_from_this<placement_service> {
public:
    placement_service(placement_context context, placement_options options);

    /*! @brief Starts to maintain leases and to order loads. */
    void start();

    /*! @brief Returns whether another node could acquire the leases of this one. */
    [[nodiscard]] bool has_successor() const;

    /*! @brief Releases the leases of this node, so that other nodes can take over without delay. */
    [[nodiscard]] boost::asio::awaitable<void> release_leases();

    /**
     * @brief Makes an adapter resident on an upstream whose loads this node orders.
     * @param request The adapter and the upstream.
     * @return The resident version, or an error with the verdict `not_run`: the caller's request has not been sent yet.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::uint64_t>> ensure_resident(adapter_request request);

    /*! @brief Returns the name of the live node that holds the lease of an availability zone, or nothing. */
    [[nodiscard]] std::optional<std::string> lease_holder(std::string_view zone) const;

    /*! @brief Returns whether this node may order loads in an availability zone now. */
    [[nodiscard]] bool may_order_loads(std::string_view zone) const;

    /*! @brief Returns since when this node has held the lease of an availability zone; nothing when it does not hold
     * it, gives it up, or was replaced as far as it has heard. */
    [[nodiscard]] std::optional<lease_tenure> tenure(std::string_view zone) const;

    /*! @brief Returns the number of leases that this node holds. */
    [[nodiscard]] std::size_t leases_held() const;

    /*! @brief Returns whether an adapter is resident, at a version or a newer one, on an upstream whose loads this node
     * orders. */
    [[nodiscard]] bool is_resident(
        const std::string& upstream, std::string_view model, std::string_view adapter, std::uint64_t version_min) const;

    /*! @brief Returns whether an adapter is resident on an upstream or can be loaded there. True for upstreams whose
     * loads this node does not order. */
    [[nodiscard]] bool has_adapter_slot(
        const std::string& upstream, std::string_view model, std::string_view adapter) const;

    /*! @brief Returns how long other loads delay the load of an adapter on an upstream in milliseconds; 0 for upstreams
     * whose loads this node does not order. */
    [[nodiscard]] double load_wait_ms(const std::string& upstream, std::string_view model, std::string_view adapter);

    /*! @brief Returns how long other loads of an availability zone delay a new one in milliseconds; 0 for zones whose
     * loads this node does not order. */
    [[nodiscard]] double load_wait_ms(std::string_view zone);

    /*! @brief Returns the state of the loads by availability zone, for the zones whose lease this node holds. */
    [[nodiscard]] std::map<std::string, load_admission_state> load_states();

    /*! @brief Returns whether a live node can order loads in an availability zone. */
    [[nodiscard]] bool zone_can_load(std::string_view zone) const;

    /*! @brief Records that a request uses an adapter. Ignored for upstreams whose loads this node does not order. */
    void record_use(const std::string& upstream, std::string_view model, std::string_view adapter);

    /*! @brief Applies a change of a lease record; null when the record was removed. */
    void on_lease_changed(const std::string& zone, const stored_lease* record);

    /*! @brief Applies the end of a list of all leases, whose records were applied by `on_lease_changed`: the other
     * leases do not exist, so that they need not be read one by one. */
    void on_leases_listed(std::uint64_t epoch);

    /*! @brief Applies a lease that a peer knows; returns true when it is newer than the known one. */
    bool on_lease_copied(const stored_lease& record);

    /*! @brief Returns the known leases. */
    [[nodiscard]] std::vector<stored_lease> known_leases() const;

    /*! @brief Returns the announced versions for a peer, at most `count_max` of them; those of the adapters that were
     * announced last when there are more. */
    [[nodiscard]] std::vector<wire::version_copy> copy_versions(std::size_t count_max) const;

    /*! @brief Returns the times since versions were announced. */
    [[nodiscard]] wire::version_ages_ms version_ages(std::span<const wire::version_copy> versions) const;

    /*! @brief Returns the digest of all announced versions. */
    [[nodiscard]] std::uint64_t versions_digest() const noexcept {
        return this->announced_versions_digest;
    }

    /*! @brief Applies a version that was announced just now. Returns true when it is newer than the known one. */
    bool on_version_announced(const version_record& record);

    /*! @brief Applies a version that was announced at another time; nothing when the time is not known, so that no
     * older version may be used any more. Returns true when it is newer than the known one. */
    bool on_version_learned(const version_record& record, std::optional<core::time_point> announced_at);

    /*! @brief Returns the newest announced version of an adapter; 0 when none was announced. */
    [[nodiscard]] std::uint64_t newest_version(std::string_view model, std::string_view adapter) const;

    /*! @brief Returns the oldest version of an adapter that may be used if each one may be for `grace` after a newer
     * one was announced, as far as this node knows; 0 for any. */
    [[nodiscard]] std::uint64_t oldest_allowed_version(
        std::string_view model, std::string_view adapter, core::duration grace) const;

    /*! @brief Starts to maintain leases and to order loads for upstreams that became known. */
    void on_upstreams_changed();

private:
    static constexpr std::chrono::milliseconds lease_check_interval{100};

    /*! @brief Keyed by `model/adapter`. */
    using versions_by_adapter = std::map<std::string, version_history, std::less<>>;

    class admission_ticket;
    class upstream_load_gate;

    struct load_worker {
        slot_scheduler scheduler;
        /*! @brief Cancelled to wake the worker when an adapter is requested or announced. */
        boost::asio::steady_timer wake_timer;
        /*! @brief Cancelled to wake requests that wait for an adapter when the state of the scheduler changes. */
        boost::asio::steady_timer change_timer;
        std::uint64_t started_ms{};
        /*! @brief When the last report was requested. */
        std::optional<core::time_point> report_requested_at{};
        /*! @brief When the load of the base model was last ordered. */
        core::time_point model_load_ordered_at{};
        /*! @brief Since when the upstream has answered neither orders nor requests for reports; nothing while it does.
         */
        std::optional<core::time_point> silent_since{};
    };

    [[nodiscard]] boost::asio::awaitable<void> maintain_lease(std::string zone);
    /*! @brief Reads or acquires the lease of an availability zone, as its state demands. */
    [[nodiscard]] boost::asio::awaitable<void> renew_lease(const std::string& zone);
    [[nodiscard]] boost::asio::awaitable<void> acquire_lease(const std::string& zone, core::time_point started);
    [[nodiscard]] boost::asio::awaitable<void> release_lease(const std::string& zone);
    /*! @brief Returns whether this node is partitioned from the upstreams, so that it can order nothing. */
    [[nodiscard]] bool is_partitioned() const;
    [[nodiscard]] boost::asio::awaitable<void> run_load_worker(std::string upstream);
    [[nodiscard]] boost::asio::awaitable<bool> load_missing_model(const std::string& upstream, load_worker& worker);
    [[nodiscard]] boost::asio::awaitable<void> send_order(
        const std::string& upstream, load_worker& worker, const slot_order& order);
    [[nodiscard]] boost::asio::awaitable<bool> synchronize(const std::string& upstream, load_worker& worker);
    [[nodiscard]] boost::asio::awaitable<core::result<std::uint64_t>> wait_until_resident(
        const adapter_request& request, std::shared_ptr<load_worker> worker, core::time_point deadline);
    /*! @brief Adds a request to the loads of its availability zone; returns why it is refused when too many wait. */
    [[nodiscard]] core::result<void> admit(admission_ticket& ticket, const adapter_request& request);
    /*! @brief Returns why a request that waits for a load fails now, or nothing. */
    [[nodiscard]] std::optional<core::error> review_wait(
        const adapter_request& request, load_worker& worker, const admission_ticket& ticket, core::time_point deadline);
    /*! @brief Returns the error of a refused request, and counts and logs the refusal. */
    [[nodiscard]] core::error refuse_load(const adapter_request& request, const load_refusal& refusal);
    /*! @brief Returns whether a load that was not complete in time is only delayed by other loads. */
    [[nodiscard]] bool is_delayed(const adapter_request& request, const load_worker& worker) const;
    /*! @brief Records whether an upstream has answered. */
    void record_answer(load_worker& worker, bool answered) const;
    [[nodiscard]] std::shared_ptr<load_admission> admission_of(const std::string& zone);
    /*! @brief Returns the admission of the availability zone of an upstream; null when the upstream is unknown. */
    [[nodiscard]] std::shared_ptr<load_admission> admission_of_upstream(const std::string& upstream);
    /*! @brief Chooses the next order of an upstream in the order of its availability zone. */
    [[nodiscard]] std::optional<slot_order> next_order(const std::string& upstream, load_worker& worker);
    /*! @brief Applies the outcome of an order to the loads of the availability zone. */
    void record_load_outcome(const std::string& upstream, const slot_order& order, order_outcome outcome);
    /*! @brief Wakes the workers whose upstreams may begin a load now. */
    void wake_ready_workers(load_admission& admission);
    /*! @brief Wakes the requests that are to be refused. */
    void wake_refused_requests(load_admission& admission);
    [[nodiscard]] boost::asio::awaitable<void> wait_for_wake(load_worker& worker, core::duration timeout);

    [[nodiscard]] lease_tracker& lease_of(const std::string& zone);
    /*! @brief Lets the membership join through a lease holder that it has not found by itself. */
    void contact_unknown_holder(const lease_tracker& lease);
    [[nodiscard]] holder_status holder_status_of(const lease_tracker& lease) const;
    [[nodiscard]] bool is_candidate(const fleet::member& node) const;
    [[nodiscard]] std::optional<std::size_t> candidate_rank(const std::string& zone) const;
    [[nodiscard]] const service* service_of(const std::string& upstream) const;
    [[nodiscard]] bool orders_loads_of(const std::string& upstream);
    [[nodiscard]] std::shared_ptr<load_worker> load_worker_of(const std::string& upstream);

    placement_context context;
    placement_options settings;
    core::time_point started_at{};
    bool releasing{false};
    std::map<std::string, lease_tracker, std::less<>> leases{};
    /*! @brief Boot ids of the holders that were contacted last, by availability zone. */
    std::map<std::string, std::uint64_t> contacted_holders{};
    /*! @brief Epoch of the last list of all leases; nothing before the first one. */
    std::optional<std::uint64_t> leases_listed_in{};
    /*! @brief Availability zones whose leases this node holds or tries to acquire. */
    std::set<std::string> maintained_zones{};
    std::map<std::string, std::shared_ptr<load_worker>, std::less<>> load_workers{};
    /*! @brief By availability zone; only those whose lease this node holds or has held. */
    std::map<std::string, std::shared_ptr<load_admission>, std::less<>> admissions{};
    versions_by_adapter announced_versions{};
    std::uint64_t announced_versions_digest{};
    /*! @brief Upstream that is loading a base model, by availability zone. */
    std::map<std::string, std::string, std::less<>> model_loading_upstreams{};
};

} // namespace lagoonsaddle::edge

#endif
