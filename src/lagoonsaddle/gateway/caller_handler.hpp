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
#include <lagoonsaddle/gateway/answer_writer.hpp>
#include <lagoonsaddle/gateway/caller_request.hpp>
#include <lagoonsaddle/gateway/catalogue.hpp>
#include <lagoonsaddle/gateway/owner_registry.hpp>
#include <lagoonsaddle/gateway/ownership_service.hpp>
#include <lagoonsaddle/gateway/request_record.hpp>
#include <lagoonsaddle/gateway/routing_table.hpp>
#include <lagoonsaddle/gateway/rule_service.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/journal/claim_journal.hpp>
#include <lagoonsaddle/policy/retry_policy.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Options of the caller interface. */
struct caller_handler_options {
    std::string node{};
    std::uint64_t boot_id{};
    std::string availability_zone{};
    caller_request_limits limits{};
    policy::retry_policy_options retries{};
    /*! @brief Time that a request waits for a candidate upstream with a live owner, such as during a takeover. */
    std::chrono::milliseconds owner_wait{10'000};
};

/*! @brief Collaborators of the caller interface; all must outlive it. */
struct caller_handler_context {
    const core::clock& clock;
    owner_registry& owners;
    ownership_service& ownership;
    routing_table& routes;
    rule_service& rules;
    catalogue& adapters;
    cluster::quarantine_service& quarantine;
    /*! @brief Null when no object API is configured; marked requests are refused then. */
    journal::claim_journal* journal;
    const cluster::membership_service& membership;
    request_observer& observer;
};

/*! @brief Caller interface of an entry node: checks requests, applies rules, routes, retries and answers. Thread-safe.
 */
class caller_handler final : public http::handler {
public:
    caller_handler(caller_handler_context collaborators, caller_handler_options options);

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override;

    /**
     * @brief Sets whether the node accepts requests. While it does not, `/readyz` fails and requests are refused.
     * @param value True when it does.
     */
    void set_ready(bool value) noexcept {
        this->ready = value;
    }

    /*! @brief Fails `/readyz` so that the balancer turns away, while requests are still accepted. */
    void set_draining() noexcept {
        this->draining = true;
    }

    [[nodiscard]] bool is_ready() const noexcept {
        return this->ready.load() && !this->draining.load();
    }

private:
    struct call;
    struct attempt_result;

    boost::asio::awaitable<void> serve(call& current);
    [[nodiscard]] std::optional<core::error> apply_rules(call& current);
    boost::asio::awaitable<bool> claim(call& current);
    boost::asio::awaitable<void> settle_claim(call& current, const std::optional<core::error>& failure);
    boost::asio::awaitable<std::optional<core::error>> run(call& current);
    boost::asio::awaitable<attempt_result> attempt(
        call& current, const std::string& upstream, const std::string& owner);
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> choose(call& current, routing_result& weighed);
    [[nodiscard]] bool isolate(const call& current) const;
    [[nodiscard]] wire::submit make_submit(const call& current, const std::string& upstream, bool isolated) const;

    caller_handler_context shared;
    caller_handler_options options;
    std::atomic<std::uint64_t> last_id{};
    std::atomic<bool> ready{false};
    std::atomic<bool> draining{false};
    std::mutex retry_mutex{};
    policy::retry_policy retries;
};

} // namespace lagoonsaddle::gateway

#endif
