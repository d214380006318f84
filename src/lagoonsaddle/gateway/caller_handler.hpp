#ifndef LAGOONSADDLE_GATEWAY_CALLER_HANDLER_HPP
#define LAGOONSADDLE_GATEWAY_CALLER_HANDLER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/cluster/quarantine_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/gateway/adapter_catalogue.hpp>
#include <lagoonsaddle/gateway/caller_request.hpp>
#include <lagoonsaddle/gateway/caller_response_writer.hpp>
#include <lagoonsaddle/gateway/owner_registry.hpp>
#include <lagoonsaddle/gateway/ownership_service.hpp>
#include <lagoonsaddle/gateway/request_record.hpp>
#include <lagoonsaddle/gateway/routing_table.hpp>
#include <lagoonsaddle/gateway/rule_service.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/journal/claim_journal.hpp>
#include <lagoonsaddle/policy/retry_policy.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Options of `caller_handler`. */
struct caller_handler_options {
    std::string node{};
    std::uint64_t boot_id{};
    std::string availability_zone{};
    caller_request_limits limits{};
    policy::retry_policy_options retries{};
    /*! @brief Longest wait for a candidate upstream with a live owner, such as during an ownership takeover. */
    std::chrono::milliseconds owner_wait_timeout{10'000};
};

/*! @brief Dependencies of `caller_handler`; all must outlive it. */
struct caller_handler_context {
    const core::clock& clock;
    owner_registry& owners;
    ownership_service& ownership;
    routing_table& routes;
    rule_service& rules;
    adapter_catalogue& catalogue;
    cluster::quarantine_service& quarantine;
    /*! @brief Null when no object API is configured; non-idempotent requests are refused then. */
    journal::claim_journal* journal;
    const cluster::membership_service& membership;
    request_observer& observer;
};

/*! @brief HTTP handler for caller requests: validates them, applies rules, routes and retries. Thread-safe. */
class caller_handler final : public http::handler {
public:
    caller_handler(caller_handler_context context, caller_handler_options options);

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override;

    /**
     * @brief Sets whether the node accepts requests. While it does not, `/readyz` fails and requests are refused.
     * @param accepts_requests True to accept requests.
     */
    void set_ready(bool accepts_requests) noexcept {
        this->ready = accepts_requests;
    }

    /*! @brief Makes `/readyz` fail, so that the load balancer stops sending requests; requests are still accepted. */
    void set_draining() noexcept {
        this->draining = true;
    }

    /*! @brief Returns whether `/readyz` succeeds. */
    [[nodiscard]] bool is_ready() const noexcept {
        return this->ready.load() && !this->draining.load();
    }

private:
    struct request_state;
    struct attempt_result;

    boost::asio::awaitable<void> serve(request_state& state);
    [[nodiscard]] std::optional<core::error> apply_rules(request_state& state);
    boost::asio::awaitable<bool> claim_execution(request_state& state);
    boost::asio::awaitable<void> resolve_claim(request_state& state, const std::optional<core::error>& failure);
    boost::asio::awaitable<std::optional<core::error>> run_with_retries(request_state& state);
    boost::asio::awaitable<attempt_result> run_attempt(
        request_state& state, const std::string& upstream, const std::string& owner);
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> choose_upstream(
        request_state& state, routing_result& ranking);
    [[nodiscard]] bool must_isolate(const request_state& state) const;
    [[nodiscard]] wire::submit make_submit(
        const request_state& state, const std::string& upstream, bool isolated) const;

    caller_handler_context context;
    caller_handler_options options;
    std::atomic<std::uint64_t> last_request_number{};
    std::atomic<bool> ready{false};
    std::atomic<bool> draining{false};
    std::mutex retry_mutex{};
    policy::retry_policy retry_policy;
};

} // namespace lagoonsaddle::gateway

#endif
