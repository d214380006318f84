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
#include <lagoonsaddle/gateway/load_service.hpp>
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
    /*! @brief Requests in flight on a plain service, and on an engine before its first report. */
    std::size_t concurrency_default{16u};
    /*! @brief Expected time of a load, for the admission test. */
    std::chrono::milliseconds load_estimate{350};
    std::chrono::milliseconds report_interval{250};
    std::chrono::milliseconds report_timeout{1'000};
    /*! @brief Time between two reports to other nodes when only the load has changed. Entry nodes that use the upstream
     * learn its load from each answer. */
    std::chrono::milliseconds load_report_interval{2'000};
    /*! @brief Time after which an unchanged report is sent again, for nodes that missed it. */
    std::chrono::milliseconds repeated_report_interval{10'000};
    /*! @brief Time that a load waits for its permit before it asks again with current numbers. */
    std::chrono::milliseconds permit_timeout{5'000};
    std::chrono::milliseconds order_timeout{10'000};
    std::chrono::milliseconds order_validity{1'000};
    /*! @brief Attempts to continue a broken stream. */
    unsigned resume_attempts{3u};
};

/*! @brief Counters of the owner of an upstream since it was made. */
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

/*! @brief Collaborators of the owner of an upstream; all must outlive it. */
struct upstream_owner_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    http::client& requester;
    const order_authority& authority;
    load_permits& permits;
    cluster::quarantine_service& quarantine;
    request_observer& observer;
};

/**
 * @brief Owner of one upstream: its queue, its adapter slots and the requests in flight. Thread-safe; one shard.
 *
 * It alone sends requests and orders to the upstream. Requests wait in the admission queue until their adapter is
 * resident and the batch has room.
 */
class upstream_owner : public std::enable_shared_from_this<upstream_owner> {
public:
    /*! @brief Receives a report, and whether it is to be sent to the other nodes. */
    using report_callback = std::function<void(const wire::upstream_report&, bool)>;

    /**
     * @brief Makes an owner. `start` begins to follow the upstream.
     * @param collaborators Collaborators.
     * @param description The upstream.
     * @param options Options.
     * @param reporter Receives the reports for entry nodes.
     */
    upstream_owner(upstream_owner_context collaborators, upstream::description description,
        const upstream_owner_options& options, report_callback reporter);

    /*! @brief Starts the timers and the reports. */
    void start();

    /**
     * @brief Serves one request and sends its answer. Ends when the answer is complete.
     * @param request The request.
     * @param answer Takes the answer.
     */
    [[nodiscard]] boost::asio::awaitable<void> serve(wire::submit request, std::shared_ptr<wire::responder> answer);

    /**
     * @brief Says whether the upstream is leaving. A leaving upstream gets no new work; what is in flight goes on.
     * @param value True when it is leaving.
     */
    void set_leaving(bool value);

    /*! @brief Gives the queued requests back as `not_run` and accepts no more. What is in flight goes on. */
    void retire();

    /*! @brief Returns whether nothing is queued or in flight. */
    [[nodiscard]] bool idle() const;

    /*! @brief Stops the timers. */
    void stop();

    [[nodiscard]] upstream_owner_counters counters() const;

    /*! @brief Returns the state for a dump. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    /*! @brief Result of waiting in the queue: dispatched, or the error that ends the request. */
    using dispatch = core::result<void>;

    struct ticket {
        core::adapter_version adapter{};
        std::string digest{};
        /*! @brief The adapter was not resident on arrival, so that the wait is a load stall. */
        bool waits_for_load{false};
        std::shared_ptr<wire::async_queue<dispatch>> result{std::make_shared<wire::async_queue<dispatch>>()};
    };

    using ticket_pointer = std::shared_ptr<ticket>;
    using resolution = std::pair<ticket_pointer, dispatch>;

    struct cancellation;
    struct run_outcome;

    [[nodiscard]] core::result<std::uint64_t> admit(
        const wire::submit& request, const ticket_pointer& entry, core::time_point deadline);
    [[nodiscard]] std::optional<core::error> refusal() const;
    [[nodiscard]] bool slots_promised(const core::adapter_version& adapter, core::time_point now) const;
    void cancel_queued(std::uint64_t id);
    boost::asio::awaitable<run_outcome> run_engine(const wire::submit& request, core::time_point deadline,
        wire::responder& answer, const std::shared_ptr<cancellation>& control);
    boost::asio::awaitable<run_outcome> run_service(
        const wire::submit& request, core::time_point deadline, wire::responder& answer);
    boost::asio::awaitable<core::result<std::unique_ptr<upstream::engine_stream>>> resume(const wire::submit& request,
        std::size_t tokens, const std::string& boot_id, core::time_point deadline, std::uint64_t& crash);
    void crashed(std::uint64_t crash);
    void finish(std::uint64_t id, const ticket_pointer& entry, bool completed, core::duration service_time);

    void pump();
    void start_loads(std::vector<core::adapter_version>& wanted);
    boost::asio::awaitable<void> load(core::adapter_version adapter);
    boost::asio::awaitable<void> load_with_permit(core::adapter_version adapter, load_grant grant);
    boost::asio::awaitable<bool> make_room(core::adapter_version adapter, load_grant grant);
    [[nodiscard]] std::optional<load_need> need_of(const core::adapter_version& adapter) const;

    boost::asio::awaitable<void> run_timers();
    boost::asio::awaitable<void> poll_report();
    void follow_ownership();
    void drop_queue(const core::error& failure);
    [[nodiscard]] wire::upstream_report make_report();
    void send_report();
    [[nodiscard]] std::size_t room() const;
    static void resolve(std::vector<resolution>& resolutions);
    void collect(std::vector<resolution>& resolutions, std::uint64_t id, core::error failure);

    upstream_owner_context shared;
    upstream::description description;
    upstream_owner_options options;
    report_callback reporter;
    upstream::engine_client engine;
    upstream::service_client service;

    mutable std::mutex mutex{};
    policy::adapter_slots slots;
    policy::admission_queue queue;
    std::unordered_map<std::uint64_t, ticket_pointer> queued{};
    std::unordered_map<std::uint64_t, ticket_pointer> running{};
    std::set<core::adapter_version> seeking{};
    std::uint64_t last_id{};
    std::uint64_t last_sequence{};
    std::uint64_t fencing_token{};
    std::size_t batch_limit{};
    double batch_fill{};
    core::duration service_time{std::chrono::milliseconds{200}};
    std::string boot_id{};
    std::uint64_t last_crash{};
    unsigned failed_reports{};
    bool healthy{true};
    bool leaving{false};
    bool retired{false};
    bool polling{false};
    std::optional<core::time_point> next_poll{};
    std::optional<core::time_point> next_report{};
    wire::upstream_report last_broadcast{};
    core::time_point last_broadcast_at{};
    upstream_owner_counters counted{};
    std::atomic<bool> stopped{false};
};

} // namespace lagoonsaddle::gateway

#endif
