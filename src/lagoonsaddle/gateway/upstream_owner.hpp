#ifndef LAGOONSADDLE_GATEWAY_UPSTREAM_OWNER_HPP
#define LAGOONSADDLE_GATEWAY_UPSTREAM_OWNER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/cluster/quarantine_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/gateway/load_permit_service.hpp>
#include <lagoonsaddle/gateway/order_authority.hpp>
#include <lagoonsaddle/gateway/request_record.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/policy/adapter_slots.hpp>
#include <lagoonsaddle/policy/admission_queue.hpp>
#include <lagoonsaddle/upstream/description.hpp>
#include <lagoonsaddle/upstream/engine_client.hpp>
#include <lagoonsaddle/upstream/service_client.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/messages.hpp>
#include <lagoonsaddle/wire/peer_server.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Options of the owner of an upstream. */
struct upstream_owner_options {
    policy::adapter_slots_options slots{};
    policy::admission_queue_options queue{};
    /*! @brief Limit of requests in flight on a plain service, and on an engine before its first report. */
    std::size_t concurrency_default{16u};
    /*! @brief Expected load time, for the deadline check on admission. */
    std::chrono::milliseconds load_estimate{350};
    /*! @brief Time between two polls of the engine's report, and between two reports to this node. */
    std::chrono::milliseconds report_interval{250};
    std::chrono::milliseconds report_timeout{1'000};
    /*! @brief Smallest time between two reports to other nodes if only the load changed. Entry nodes that use the
     * upstream receive its load with each answer. */
    std::chrono::milliseconds load_report_interval{2'000};
    /*! @brief Time after which an unchanged report is sent again, for nodes that missed the last one. */
    std::chrono::milliseconds repeated_report_interval{10'000};
    /*! @brief Time to wait for a load permit before it is requested again with current values. */
    std::chrono::milliseconds permit_timeout{5'000};
    /*! @brief Time to wait for the engine's response to an order. */
    std::chrono::milliseconds order_timeout{10'000};
    /*! @brief Time after which the engine must not execute an order that it has received. */
    std::chrono::milliseconds order_validity{1'000};
    /*! @brief Largest number of attempts to resume a broken stream. */
    unsigned resume_attempts{3u};
};

/*! @brief Counters of the owner of an upstream since its construction. */
struct upstream_owner_counters {
    std::uint64_t admitted{};
    std::uint64_t refused{};
    std::uint64_t completed{};
    std::uint64_t failed{};
    std::uint64_t cancelled{};
    std::uint64_t resumed{};
    std::uint64_t crashes{};
    std::uint64_t loads{};
    std::uint64_t load_failures{};
    std::uint64_t evictions{};
    std::uint64_t wrong_adapter{};
    std::uint64_t not_resident{};
    std::uint64_t declined{};
};

/*! @brief Dependencies of the owner of an upstream; all must outlive it. */
struct upstream_owner_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    http::client& http_client;
    const order_authority& authority;
    load_permit_provider& permits;
    cluster::quarantine_service& quarantine;
    request_observer& observer;
};

/**
 * @brief Owner of one upstream: its queue, its adapter slots and the requests in flight. Thread-safe; each owner is one
 * shard with a mutex of its own.
 *
 * Only the owner sends requests and orders (load or evict an adapter) to the upstream. Requests wait in the admission
 * queue until their adapter is resident and the batch has a free slot.
 */
class upstream_owner : public std::enable_shared_from_this<upstream_owner> {
public:
    /*! @brief Receives a report, and whether to send it to the other nodes. */
    using report_callback = std::function<void(const wire::upstream_report&, bool)>;

    /**
     * @brief Makes an owner that is not started.
     * @param owner_context Dependencies.
     * @param description The upstream.
     * @param options Options.
     * @param on_report Receives the reports for entry nodes.
     */
    upstream_owner(upstream_owner_context owner_context, upstream::description description,
        const upstream_owner_options& options, report_callback on_report);

    /*! @brief Starts the timers, which poll the upstream and publish reports. */
    void start();

    /**
     * @brief Serves one request and sends its answer. Completes when the answer is complete.
     * @param request The request.
     * @param answer Receives the answer.
     */
    [[nodiscard]] boost::asio::awaitable<void> serve(wire::submit request, std::shared_ptr<wire::responder> answer);

    /**
     * @brief Sets whether the upstream is leaving. If so, queued and new requests are refused as `not_run`; requests in
     * flight continue.
     * @param is_leaving True if the upstream is leaving.
     */
    void set_leaving(bool is_leaving);

    /*! @brief Ends the ownership: refuses queued and new requests as `not_run`. Requests in flight continue. */
    void retire();

    /*! @brief Returns whether nothing is queued or in flight. */
    [[nodiscard]] bool is_idle() const;

    /*! @brief Stops the timers. */
    void stop();

    [[nodiscard]] upstream_owner_counters counters() const;

    /*! @brief Returns the state as JSON, for state dumps. */
    [[nodiscard]] nlohmann::json state_json() const;

private:
    /*! @brief Result of waiting in the queue: success when dispatched, or the error that ends the request. */
    using dispatch = core::result<void>;

    /*! @brief Admitted request, queued or running. */
    struct pending_request {
        core::adapter_version adapter{};
        std::string body_digest{};
        /*! @brief The adapter was not resident on arrival; the queue wait is reported as load stall. */
        bool waits_for_load{false};
        std::shared_ptr<wire::async_queue<dispatch>> result{std::make_shared<wire::async_queue<dispatch>>()};
    };

    using pending_pointer = std::shared_ptr<pending_request>;
    /*! @brief Request that left the queue, and its result. Resolved after the mutex is released. */
    using resolution = std::pair<pending_pointer, dispatch>;

    struct cancellation;
    struct run_outcome;

    [[nodiscard]] core::result<std::uint64_t> admit(
        const wire::submit& request, const pending_pointer& pending, core::time_point deadline);
    [[nodiscard]] std::optional<core::error> admission_error() const;
    [[nodiscard]] bool slots_exhausted(const core::adapter_version& adapter, core::time_point now) const;
    void cancel_queued(std::uint64_t id);
    boost::asio::awaitable<run_outcome> run_engine(const wire::submit& request, core::time_point deadline,
        wire::responder& answer, const std::shared_ptr<cancellation>& cancel_state);
    boost::asio::awaitable<run_outcome> run_service(
        const wire::submit& request, core::time_point deadline, wire::responder& answer);
    boost::asio::awaitable<core::result<std::unique_ptr<upstream::engine_stream>>> resume(const wire::submit& request,
        std::size_t received_tokens, const std::string& stream_boot_id, core::time_point deadline,
        std::uint64_t& crash_id);
    void handle_crash(std::uint64_t crash_id);
    void record_finished(std::uint64_t id, const pending_pointer& pending, bool completed, core::duration elapsed);

    void dispatch_queued();
    void select_loads(std::vector<core::adapter_version>& selected);
    boost::asio::awaitable<void> load_adapter(core::adapter_version adapter);
    boost::asio::awaitable<void> load_with_permit(core::adapter_version adapter, granted_permit permit);
    boost::asio::awaitable<bool> reserve_slot(core::adapter_version adapter, granted_permit permit);
    [[nodiscard]] std::optional<load_demand> find_load_demand(const core::adapter_version& adapter) const;

    boost::asio::awaitable<void> run_timers();
    boost::asio::awaitable<void> poll_report();
    void update_ownership();
    void fail_queued(const core::error& failure);
    [[nodiscard]] wire::upstream_report make_report();
    void publish_report();
    [[nodiscard]] std::size_t batch_headroom() const;
    static void resolve(std::vector<resolution>& resolutions);
    void remove_queued(std::vector<resolution>& resolutions, std::uint64_t id, core::error failure);

    upstream_owner_context context;
    upstream::description description;
    upstream_owner_options options;
    report_callback on_report;
    upstream::engine_client engine;
    upstream::service_client service;

    mutable std::mutex mutex{};
    policy::adapter_slots slots;
    policy::admission_queue queue;
    std::unordered_map<std::uint64_t, pending_pointer> queued{};
    std::unordered_map<std::uint64_t, pending_pointer> running{};
    std::set<core::adapter_version> pending_loads{};
    std::uint64_t last_id{};
    std::uint64_t last_sequence{};
    std::uint64_t fencing_token{};
    std::size_t batch_limit{};
    double batch_fill{};
    core::duration service_time{std::chrono::milliseconds{200}};
    std::string boot_id{};
    std::uint64_t last_crash_id{};
    unsigned failed_reports{};
    bool healthy{true};
    bool leaving{false};
    bool retired{false};
    bool polling{false};
    std::optional<core::time_point> next_poll{};
    std::optional<core::time_point> next_report{};
    wire::upstream_report last_broadcast{};
    core::time_point last_broadcast_at{};
    upstream_owner_counters counts{};
    std::atomic<bool> stopped{false};
};

} // namespace lagoonsaddle::gateway

#endif
