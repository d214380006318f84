#ifndef LAGOONSADDLE_EDGE_FORWARDER_HPP
#define LAGOONSADDLE_EDGE_FORWARDER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/quarantine_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/crash_verifier.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/dispatch_service.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/retry_budget.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/upstream_selector.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>

namespace lagoonsaddle::edge {

/*! @brief What the forwarder uses; everything must outlive it. */
struct forwarder_context {
    const core::clock& time;
    log_sink& log;
    const request_format& format;
    http::client& client;
    route_table& routes;
    upstream_table& upstreams;
    upstream_selector& selector;
    retry_budget& budget;
    placement_service& placement;
    dispatch_service& dispatch;
    cluster::quarantine_service& quarantine;
    const crash_verifier& review;
    cluster::membership_service& membership;
    operate::metrics_registry& metrics;
};

/**
 * @brief Forwards the requests of callers straight to an upstream.
 *
 * Sends a request again only when it may run again, or when it provably has not run, within the route's attempts, the
 * deadline and the retry budget. A request that cannot be served is refused at once.
 */
class forwarder final : public http::handler {
public:
    explicit forwarder(forwarder_context context);
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    ~forwarder() override;

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override;

    /**
     * @brief Begins a planned stop.
     * @param refuse_from From this time on, requests that may last beyond `exit` are refused.
     * @param exit Time at which the process ends at the latest.
     */
    void begin_stop(core::time_point refuse_from, core::time_point exit) noexcept;

private:
    struct exchange_state;
    enum class step;

    [[nodiscard]] boost::asio::awaitable<void> serve(exchange_state& state);
    [[nodiscard]] boost::asio::awaitable<step> attempt(exchange_state& state);
    /*! @brief Chooses the upstream of a request for a model through the availability zone's holder. */
    [[nodiscard]] boost::asio::awaitable<std::optional<dispatched>> place(
        exchange_state& state, const selection& choice);
    [[nodiscard]] boost::asio::awaitable<step> send(exchange_state& state, const dispatched& placed);
    [[nodiscard]] boost::asio::awaitable<step> receive(
        exchange_state& state, const std::string& upstream, http::response_stream& answer);
    [[nodiscard]] boost::asio::awaitable<step> pass_stream(
        exchange_state& state, const std::string& upstream, http::response_stream& answer);
    [[nodiscard]] step failed(exchange_state& state, const std::string& upstream, const core::error& failure);
    [[nodiscard]] step not_run(
        exchange_state& state, const std::string& upstream, const response_metadata& terms, unsigned status);
    [[nodiscard]] boost::asio::awaitable<void> refuse(exchange_state& state, unsigned status, core::error failure);
    [[nodiscard]] boost::asio::awaitable<void> give_up(exchange_state& state);
    [[nodiscard]] std::uint64_t oldest_version(const exchange_state& state) const;
    [[nodiscard]] bool is_quarantined(const exchange_state& state) const;
    [[nodiscard]] std::size_t live_nodes() const;
    void log_placed(const exchange_state& state, const selection& choice,
        const tl::expected<dispatched, dispatch_failure>& placed, core::duration took);
    void log_sent(const exchange_state& state, const std::string& upstream, core::duration left);
    void log_attempt(const exchange_state& state, const std::string& upstream, std::string_view result,
        core::verdict verdict, std::string_view message);
    /*! @brief Writes the last line of a request and counts it. */
    void log_end(const exchange_state& state);

    forwarder_context context;

    struct stop_times {
        core::time_point refuse_from{};
        core::time_point exit{};
    };

    std::optional<stop_times> stopping{};
};

} // namespace lagoonsaddle::edge

#endif
