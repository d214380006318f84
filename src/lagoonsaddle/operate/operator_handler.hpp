#ifndef LAGOONSADDLE_OPERATE_OPERATOR_HANDLER_HPP
#define LAGOONSADDLE_OPERATE_OPERATOR_HANDLER_HPP

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/operate/operator_backend.hpp>
#include <lagoonsaddle/operate/token_authenticator.hpp>

namespace lagoonsaddle::operate {

/**
 * @brief HTTP handler of the operator interface.
 *
 * | Request | Response |
 * | --- | --- |
 * | `GET /` | the operator page; contains no data and needs no token |
 * | `GET /healthz`, `GET /readyz` | 200 or 503; need no token |
 * | `GET /status`, `/nodes`, `/upstreams`, `/adapters`, `/debug/state` | JSON of the node |
 * | `GET /metrics` | Prometheus text |
 * | `GET /events?after=SEQUENCE&limit=N` | `{"events"}` |
 * | `GET /explain/{request_id}` | `{"records"}` |
 * | `GET /rules` | `{"version", "document", "hits", "warnings", "nodes_in_force", "nodes", ...}` |
 * | `POST /rules/preview` | body `{"rules"}`; `{"valid", "errors", "warnings", "preview"}` |
 * | `PUT /rules` | body `{"rules", "expected_version", "author"}`; 409 with `current` on a conflict |
 * | `POST /rules/undo` | body `{"expected_version", "author"}`; 409 with `current` on a conflict |
 */
class operator_handler final : public http::handler {
public:
    /**
     * @brief Constructs a handler.
     * @param backend The node; must outlive the handler.
     * @param authenticator Checks the token of operators.
     */
    operator_handler(operator_backend& backend, token_authenticator authenticator);

    boost::asio::awaitable<void> handle(http::request request, http::response_writer& writer) override;

private:
    boost::asio::awaitable<http::response> respond(http::request request);
    boost::asio::awaitable<http::response> respond_rules(std::string method, std::string action, std::string body);
    [[nodiscard]] http::response respond_state(const http::target_parts& parts) const;
    [[nodiscard]] http::response respond_health_check(const std::string& name) const;
    [[nodiscard]] http::response preview(const nlohmann::json& body) const;
    [[nodiscard]] nlohmann::json encode_rules_state(const rules_state& state) const;
    [[nodiscard]] http::response save_response(const core::result<rules_state>& outcome) const;

    /*! @brief Returns the warnings of the rules in force, computed once per version. */
    [[nodiscard]] nlohmann::json find_warnings_cached(const rules_state& state) const;

    operator_backend& backend;
    token_authenticator authenticator;
    // The page polls the rules, and computing the warnings takes about 30 ms for 1,000 rules.
    mutable std::mutex warnings_mutex{};
    mutable std::optional<std::uint64_t> cached_warnings_version{};
    mutable nlohmann::json cached_warnings{};
};

} // namespace lagoonsaddle::operate

#endif
