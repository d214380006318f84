#ifndef LAGOONSADDLE_EDGE_FORWARDER_HPP
#define LAGOONSADDLE_EDGE_FORWARDER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/quarantine_service.hpp>
#include <lagoonsaddle/core/byte_budget.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/configuration_confirmation.hpp>
#include <lagoonsaddle/edge/configuration_sync.hpp>
#include <lagoonsaddle/edge/crash_verifier.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/dispatch_service.hpp>
#include <lagoonsaddle/edge/interruptible_waits.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>
#include <lagoonsaddle/edge/prompt_part_guard.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/quota_service.hpp>
#include <lagoonsaddle/edge/retry_budget.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/stop_schedule.hpp>
#include <lagoonsaddle/edge/stream_origin_service.hpp>
#include <lagoonsaddle/edge/tenant_directory.hpp>
#include <lagoonsaddle/edge/upstream_limits.hpp>
#include <lagoonsaddle/edge/upstream_paths.hpp>
#include <lagoonsaddle/edge/upstream_selector.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>

namespace lagoonsaddle::edge {

/*! @brief Receives what the forwarder learns of upstreams from their responses. */
class upstream_observer {
public:
    upstream_observer() = default;
    upstream_observer(const upstream_observer&) = delete;
    upstream_observer& operator=(const upstream_observer&) = delete;
    virtual ~upstream_observer() = default;

    /*! @brief Called when a response states that its upstream is leaving, which was not known before. */
    virtual void on_upstream_leaving(const std::string& upstream) = 0;
};

/*! @brief Dependencies of the forwarder, all of which must outlive it. */
struct forwarder_context {
    const core::clock& clock;
    log_sink& log;
    const request_format& format;
    http::client& client;
    route_table& routes;
    const configuration_sync& configuration;
    upstream_table& upstreams;
    upstream_limits& limits;
    upstream_observer& observer;
    upstream_selector& selector;
    retry_budget& budget;
    placement_service& placement;
    dispatch_service& dispatch;
    cluster::quarantine_service& quarantine;
    const crash_verifier& verifier;
    prompt_part_guard& prompt_parts;
    stream_origin_service& origins;
    upstream_paths& paths;
    cluster::membership_service& membership;
    quota_service& quotas;
    operate::metrics_registry& metrics;
    /*! @brief Limit of the response bodies that are held because they are not streamed. */
    core::byte_budget& response_memory;
    /*! @brief Decides whether requests with a key may be served; null when they always may. */
    const configuration_confirmation* confirmation{};
};

/**
 * @brief HTTP handler that forwards the requests of callers to upstreams.
 *
 * Retries a request only when it is safe to run it more than once, or when it provably has not run, within the attempt
 * limit of the route, the deadline and the retry budget. A request that no upstream can serve is refused without delay.
 */
class forwarder final : public http::handler {
public:
    explicit forwarder(forwarder_context context);
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    ~forwarder() override;

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override;
    [[nodiscard]] http::response make_rejection(
        const http::request& message, unsigned status, const core::error& failure) override;

    /*! @brief Prepares for the stop of the process: answers each request before it exits. */
    void begin_stop(const stop_schedule& schedule);

    /*! @brief Ends the attempts of requests whose callers have received nothing yet, so that they get an answer. */
    void end_unanswered_attempts();

    /*! @brief Returns the number of requests that were refused since their key was not known to be valid still. */
    [[nodiscard]] std::uint64_t unconfirmed_refusals() const noexcept {
        return this->unconfirmed_count;
    }

private:
    struct exchange_state;
    struct queued_attempt;
    enum class attempt_result;

    /*! @brief Validates a request and runs attempts until one gives the final result. */
    [[nodiscard]] boost::asio::awaitable<void> serve(exchange_state& state);
    /*! @brief Finds the route of a request; returns why it is refused when there is none. */
    [[nodiscard]] std::optional<core::error> match_route(exchange_state& state) const;
    /*! @brief Finds the tenant of a request by its key; returns why it is refused when the key is not known. */
    [[nodiscard]] std::optional<core::error> identify_tenant(exchange_state& state);
    /*! @brief Returns why a request with a key is refused when its key may have been removed; counts the refusal. */
    [[nodiscard]] std::optional<core::error> check_confirmation();
    /*! @brief Charges a request to the quota of its tenant; returns why it is refused when that is used up. */
    [[nodiscard]] boost::asio::awaitable<std::optional<core::error>> charge_quota(exchange_state& state);
    /*! @brief Returns the units of a request that has ended without having been sent to any upstream. */
    void credit_quota(const exchange_state& state);
    /*! @brief Returns whether a request has to be answered instead of being sent, as the process stops. */
    [[nodiscard]] bool is_past_send_limit(const exchange_state& state) const;
    /*! @brief Returns the answer to a request that is past its send limit. */
    [[nodiscard]] core::error past_send_limit_error(const exchange_state& state) const;
    /*! @brief Waits for an operation, as `interruptible_waits` does, until the send limit of a request. */
    template<typename Type>
    [[nodiscard]] boost::asio::awaitable<std::optional<Type>> wait_until_send_limit(
        const exchange_state& state, boost::asio::awaitable<Type> operation, std::function<void(Type)> release = {});
    [[nodiscard]] boost::asio::awaitable<attempt_result> attempt(exchange_state& state);
    /*! @brief Chooses an upstream; for a request for a model, through the lease holder of the availability zone. */
    [[nodiscard]] boost::asio::awaitable<std::optional<placed_request>> place_request(
        exchange_state& state, const selection& choice, const std::set<std::string>& excluded);
    /*! @brief Excludes the availability zone of an upstream, once, if loads of another one are not delayed; returns
     * whether they are not. */
    [[nodiscard]] bool leave_zone_for_room(exchange_state& state, const std::string& upstream) const;
    [[nodiscard]] boost::asio::awaitable<attempt_result> send_request(
        exchange_state& state, const placed_request& placed);
    /*! @brief Sends a request to an upstream on this node's own path, or through a peer when that is cut. */
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<http::response_stream>>> open_exchange(
        exchange_state& state, std::string upstream);
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<http::response_stream>>> open_directly(
        exchange_state& state, const upstream_entry& upstream);
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<http::response_stream>>> open_through_peer(
        exchange_state& state, const upstream_entry& upstream);
    /*! @brief Returns the request as it is sent to an upstream now. */
    [[nodiscard]] http::request make_upstream_request(const exchange_state& state, const std::string& upstream) const;
    [[nodiscard]] http::exchange_options make_exchange_options(const exchange_state& state) const;
    /*! @brief Finds out whether an attempt failed because this node is partitioned from its upstreams. */
    [[nodiscard]] boost::asio::awaitable<void> review_path(
        exchange_state& state, const std::string& upstream, const core::error& failure);
    /*! @brief Returns whether a request goes on with a stream of which its caller has events. */
    [[nodiscard]] static bool is_resumed(const exchange_state& state);
    /*! @brief Returns the id of the last event that the caller has; nothing before the first one. */
    [[nodiscard]] static std::optional<std::uint64_t> last_event_id(const exchange_state& state);
    /*! @brief Returns whether the next response has to go on with a stream of which the caller has events. */
    [[nodiscard]] static bool goes_on_with_stream(const exchange_state& state);
    /*! @brief Returns whether a response is a stream of events; one without a media type is taken for one. */
    [[nodiscard]] static bool is_event_stream(const http::response_stream& upstream_response);
    /*! @brief Returns whether the head of a response is that of a stream which goes on. */
    [[nodiscard]] static bool is_continuation(
        const exchange_state& state, const http::response_stream& upstream_response);
    /*! @brief Passes on a response that has to go on with a stream; any other one breaks the stream off. */
    [[nodiscard]] boost::asio::awaitable<attempt_result> relay_continuation(
        exchange_state& state, const std::string& upstream, http::response_stream& upstream_response);
    /*! @brief Binds a request that goes on with a stream to where it began; returns why it is refused otherwise. */
    [[nodiscard]] boost::asio::awaitable<std::optional<core::error>> bind_to_origin(exchange_state& state);
    /*! @brief Records where a stream begins, before its first event is passed on. */
    void record_origin(exchange_state& state, const std::string& upstream);
    [[nodiscard]] static core::error unknown_version_error(const exchange_state& state);
    /*! @brief Returns whether an upstream that was placed may go on with the stream; excludes all others otherwise. */
    [[nodiscard]] bool has_stream_version(exchange_state& state, const upstream_state& placed);
    [[nodiscard]] boost::asio::awaitable<attempt_result> receive_response(
        exchange_state& state, const std::string& upstream, http::response_stream& upstream_response);
    [[nodiscard]] boost::asio::awaitable<attempt_result> relay_stream(
        exchange_state& state, const std::string& upstream, http::response_stream& upstream_response);
    /*! @brief Reads a whole body, as far as this response and all others together stay within their limits. */
    [[nodiscard]] boost::asio::awaitable<core::result<std::string>> read_body(
        exchange_state& state, http::response_stream& upstream_response, core::byte_reservation& reserved);
    /*! @brief Records the response time of an upstream without models; other answers tell nothing about its speed. */
    void record_response_time(const exchange_state& state, upstream_state& upstream, unsigned status) const;
    /*! @brief Records that bytes of the upstream have arrived. */
    static void record_received(exchange_state& state);
    /**
     * @brief Reads the next complete events of a stream.
     * @return The events, an empty text at the proper end of the stream, or an error when it has been broken off.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::string>> read_events(
        exchange_state& state, http::response_stream& upstream_response);
    /*! @brief Sends events to the caller, before the first ones the head; returns false when the caller is gone. */
    [[nodiscard]] boost::asio::awaitable<bool> write_events(exchange_state& state, const std::string& upstream,
        const http::response_stream& upstream_response, std::string events);
    /*! @brief Handles a stream that has been broken off; what the caller has received must not look complete. */
    [[nodiscard]] attempt_result handle_broken_stream(
        exchange_state& state, const std::string& upstream, const core::error& failure);
    /*! @brief Handles an attempt without a complete response from the upstream. */
    [[nodiscard]] attempt_result handle_failure(
        exchange_state& state, const std::string& upstream, const core::error& failure);
    /*! @brief Records that an upstream crashed while it had not begun to answer the request. */
    void record_crash(const exchange_state& state, const upstream_entry& upstream);
    /*! @brief Handles a response in which the upstream states that it did not run the request. */
    [[nodiscard]] attempt_result handle_not_run(
        exchange_state& state, const std::string& upstream, const response_metadata& head, unsigned status);
    /*! @brief Sends an error response of the node itself. */
    [[nodiscard]] boost::asio::awaitable<void> refuse(exchange_state& state, unsigned status, core::error failure);
    /*! @brief Reports the last failure to the caller when no further attempt is made. */
    [[nodiscard]] boost::asio::awaitable<void> send_final_failure(exchange_state& state);
    /*! @brief Returns the oldest version of the adapter that may serve the request; 0 for any. */
    [[nodiscard]] std::uint64_t oldest_allowed_version(const exchange_state& state) const;
    /*! @brief Returns whether an upstream holds the adapter of a request at a version that may no longer be chosen. */
    [[nodiscard]] bool holds_replaced_version(const exchange_state& state, const upstream_state& upstream) const;
    [[nodiscard]] std::shared_ptr<queued_attempt> make_queued_attempt(
        const exchange_state& state, const std::string& upstream) const;
    /*! @brief Cancels an attempt that its upstream has not begun when only a newer version of its adapter may serve. */
    [[nodiscard]] boost::asio::awaitable<void> cancel_when_outdated(std::weak_ptr<queued_attempt> queued);
    /*! @brief Returns whether an upstream would begin an attempt now at a version that may no longer serve. */
    [[nodiscard]] bool is_outdated(const queued_attempt& attempt) const;
    [[nodiscard]] bool is_quarantined(const exchange_state& state) const;
    /*! @brief Returns why a new request is refused for what it holds, or nothing. */
    [[nodiscard]] std::optional<core::error> admit_content(exchange_state& state);
    /*! @brief Returns why an admitted request is not sent (again) for what has been learned of its content since. */
    [[nodiscard]] std::optional<core::error> review_content(const exchange_state& state) const;
    /*! @brief Returns the number of live nodes in the fleet, at least 1. */
    [[nodiscard]] std::size_t live_node_count() const;
    /*! @brief Applies what an upstream states about itself in a response. */
    void observe_upstream(const exchange_state& state, const std::string& upstream, const response_metadata& head);
    void log_placement(
        const exchange_state& state, const selection& choice, const placement_result& placed, core::duration duration);
    void log_send(const exchange_state& state, const std::string& upstream);
    void log_attempt(const exchange_state& state, const std::string& upstream, std::string_view result,
        core::verdict verdict, std::string_view message);
    /*! @brief Writes the final log line of a request and updates its metrics. */
    void log_completion(const exchange_state& state);

    forwarder_context context;
    tenant_directory tenants{};
    std::uint64_t unconfirmed_count{};

    std::optional<stop_schedule> stopping{};
    std::set<exchange_state*> exchanges{};
    /*! @brief Waits of requests that no upstream is at work on. */
    interruptible_waits waits{};
};

template<typename Type>
boost::asio::awaitable<std::optional<Type>> forwarder::wait_until_send_limit(
    const exchange_state& state, boost::asio::awaitable<Type> operation, std::function<void(Type)> release) {
    interruptible_waits::condition has_to_end = [this, &state] {
        return this->is_past_send_limit(state);
    };
    co_return co_await this->waits.wait(std::move(operation), std::move(has_to_end), std::move(release));
}

} // namespace lagoonsaddle::edge

#endif
