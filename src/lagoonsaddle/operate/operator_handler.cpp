#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include <lagoonsaddle/operate/operator_handler.hpp>
#include <lagoonsaddle/operate/page.hpp>
#include <lagoonsaddle/rules/codec.hpp>
#include <lagoonsaddle/rules/evaluator.hpp>
#include <lagoonsaddle/rules/preview.hpp>
#include <lagoonsaddle/rules/validation.hpp>

namespace lagoonsaddle::operate {

namespace {

using nlohmann::json;

constexpr std::size_t events_default = 100u;
constexpr std::size_t events_max = 2'000u;
constexpr std::size_t author_length_max = 64u;

[[nodiscard]] http::response text_response(std::string_view type, std::string body) {
    http::response message{.status = 200u, .headers = {}, .body = std::move(body)};
    message.headers.set("content-type", type);
    return message;
}

[[nodiscard]] http::response page_response() {
    auto message = text_response("text/html; charset=utf-8", std::string{page()});
    message.headers.set("content-security-policy",
        "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'; "
        "frame-ancestors 'none'; base-uri 'none'; form-action 'none'");
    message.headers.set("referrer-policy", "no-referrer");
    return message;
}

[[nodiscard]] http::response failure(core::reason cause, std::string message) {
    return http::error_response(core::error{.cause = cause, .message = std::move(message)});
}

[[nodiscard]] http::response wrong_method(std::string_view accepted) {
    auto message = failure(core::reason::invalid_argument, "method not accepted; accepted: " + std::string{accepted});
    message.status = 405u;
    message.headers.set("allow", accepted);
    return message;
}

[[nodiscard]] http::response unauthorized() {
    auto message = failure(core::reason::unauthorized, "the header authorization must hold the bearer token");
    message.headers.set("www-authenticate", "Bearer realm=\"lagoonsaddle\"");
    return message;
}

template<typename Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text) noexcept {
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return (parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size()) ? std::optional{value} : std::nullopt;
}

/*! @brief Part of a body that all changes of the rules have. */
struct change_head {
    std::uint64_t expected_version{};
    std::string author{};
};

[[nodiscard]] core::result<change_head> read_head(const json& body) {
    const auto version = body.find("expected_version");
    if(version == body.end() || !version->is_number_unsigned()) {
        return core::fail(core::reason::invalid_argument,
            "expected_version is missing or wrong; accepted: the version that the change is based on");
    }
    const auto author = body.value("author", json(""));
    if(!author.is_string() || author.get_ref<const std::string&>().size() > author_length_max) {
        return core::fail(core::reason::invalid_argument, "author is wrong; accepted: a string of at most 64 bytes");
    }
    return change_head{.expected_version = version->get<std::uint64_t>(), .author = author.get<std::string>()};
}

/*! @brief Reads the rule set of a body; other members are left to the caller. */
[[nodiscard]] tl::expected<rules::rule_set, std::vector<rules::diagnostic>> read_rules(const json& body) {
    json document = json::object();
    if(const auto list = body.find("rules"); list != body.end()) {
        document["rules"] = *list;
    }
    return rules::decode(document);
}

[[nodiscard]] http::response invalid_rules(const std::vector<rules::diagnostic>& errors) {
    auto body = http::error_body(core::error{.cause = core::reason::invalid_argument,
        .message = "the rule set has " + std::to_string(errors.size()) +
                   " error(s); the first: " + errors.front().path + ": " + errors.front().message});
    body["errors"] = rules::encode(errors);
    return http::json_response(400u, body);
}

} // namespace

operator_handler::operator_handler(operator_backend& backend, token_check check)
    : backend{backend}, check{std::move(check)} {}

boost::asio::awaitable<void> operator_handler::handle(http::request message, http::response_writer& writer) {
    auto answer = co_await this->respond(std::move(message));
    answer.headers.set("cache-control", "no-store");
    answer.headers.set("x-content-type-options", "nosniff");
    static_cast<void>(co_await writer.send(std::move(answer)));
}

boost::asio::awaitable<http::response> operator_handler::respond(http::request message) {
    const auto parts = http::split_target(message.target);
    const std::string first = parts.segments.empty() ? std::string{} : parts.segments.front();
    const bool get = message.method == "GET";
    if(parts.segments.size() <= 1u && (first.empty() || first == "healthz" || first == "readyz")) {
        if(!get) {
            co_return wrong_method("GET");
        }
        co_return first.empty() ? page_response() : this->respond_probe(first);
    }
    if(!this->check.accepts(message.headers.find("authorization"))) {
        co_return unauthorized();
    }
    if(first == "rules" && parts.segments.size() <= 2u) {
        auto action = (parts.segments.size() == 2u) ? parts.segments[1] : std::string{};
        co_return co_await this->respond_rules(std::move(message.method), std::move(action), std::move(message.body));
    }
    if(!get) {
        co_return wrong_method("GET");
    }
    if(first == "explain" && parts.segments.size() == 2u) {
        auto request_id = parts.segments[1];
        const auto records = co_await this->backend.explain(std::move(request_id));
        if(!records) {
            co_return http::error_response(records.error());
        }
        json body = json::object();
        body["records"] = *records;
        co_return http::json_response(200u, body);
    }
    co_return this->respond_view(parts);
}

http::response operator_handler::respond_probe(const std::string& name) const {
    json body = json::object();
    bool good = this->backend.healthy();
    if(name == "healthz") {
        body["healthy"] = good;
    } else {
        const auto reasons = this->backend.not_ready_reasons();
        good = good && reasons.empty();
        body["ready"] = good;
        body["reasons"] = reasons;
    }
    return http::json_response(good ? 200u : 503u, body);
}

http::response operator_handler::respond_view(const http::target_parts& parts) const {
    const auto is = [&parts](std::initializer_list<std::string_view> path) {
        return std::equal(path.begin(), path.end(), parts.segments.begin(), parts.segments.end());
    };
    json body = json::object();
    if(is({"status"})) {
        body = this->backend.status();
    } else if(is({"nodes"})) {
        body["nodes"] = this->backend.nodes();
    } else if(is({"upstreams"})) {
        body["upstreams"] = this->backend.upstreams();
    } else if(is({"adapters"})) {
        body["adapters"] = this->backend.adapters();
    } else if(is({"debug", "state"})) {
        body = this->backend.dump();
    } else if(is({"metrics"})) {
        return text_response("text/plain; version=0.0.4; charset=utf-8", this->backend.metrics());
    } else if(is({"events"})) {
        const auto after = parse_number<std::uint64_t>(parts.query.find("after").value_or("0"));
        const auto limit = parse_number<std::size_t>(
            parts.query.find("limit").value_or(std::string_view{std::to_string(events_default)}));
        if(!after || !limit || *limit > events_max) {
            return failure(core::reason::invalid_argument,
                "accepted: after with the number of an event, limit from 0 to " + std::to_string(events_max));
        }
        body["events"] = this->backend.events(*after, *limit);
    } else {
        return failure(core::reason::not_found,
            "no such path; accepted: /status, /nodes, /upstreams, /adapters, /rules, /rules/preview, /rules/undo, "
            "/explain/REQUEST_ID, /events, /debug/state, /metrics, /healthz, /readyz");
    }
    return http::json_response(200u, body);
}

boost::asio::awaitable<http::response> operator_handler::respond_rules(
    std::string method, std::string action, std::string body) {
    const bool save = action.empty() && method == "PUT";
    const bool undo = action == "undo" && method == "POST";
    if(action.empty() && method == "GET") {
        co_return http::json_response(200u, this->describe(this->backend.current_rules()));
    }
    if(!action.empty() && action != "undo" && action != "preview") {
        co_return failure(core::reason::not_found, "no such path; accepted: /rules, /rules/preview, /rules/undo");
    }
    if(!save && !undo && !(action == "preview" && method == "POST")) {
        co_return wrong_method(action.empty() ? "GET, PUT" : "POST");
    }
    const auto parsed = http::parse_json(body);
    if(!parsed || !parsed->is_object()) {
        co_return failure(core::reason::invalid_argument, "the body is not a JSON object");
    }
    if(action == "preview") {
        co_return this->preview(*parsed);
    }
    auto head = read_head(*parsed);
    if(!head) {
        co_return http::error_response(head.error());
    }
    if(undo) {
        const auto outcome = co_await this->backend.undo_rules(head->expected_version, std::move(head->author));
        co_return this->saved(outcome);
    }
    auto set = read_rules(*parsed);
    if(!set) {
        co_return invalid_rules(set.error());
    }
    rules_change change{};
    change.set = *std::move(set);
    change.expected_version = head->expected_version;
    change.author = std::move(head->author);
    const auto outcome = co_await this->backend.save_rules(std::move(change));
    co_return this->saved(outcome);
}

http::response operator_handler::preview(const nlohmann::json& body) const {
    auto set = read_rules(body);
    if(!set) {
        json answer = json::object();
        answer["valid"] = false;
        answer["errors"] = rules::encode(set.error());
        answer["warnings"] = json::array();
        answer["preview"] = nullptr;
        return http::json_response(200u, answer);
    }
    const rules::evaluator current{this->backend.current_rules().set};
    const rules::evaluator changed{*std::move(set)};
    json answer = json::object();
    answer["valid"] = true;
    answer["errors"] = json::array();
    answer["warnings"] = rules::encode(rules::find_warnings(changed.source_rules()));
    answer["preview"] = rules::encode(rules::preview(current, changed, this->backend.recent_requests()));
    return http::json_response(200u, answer);
}

nlohmann::json operator_handler::describe(const rules_state& state) const {
    json hits = json::array();
    for(const auto& one : state.set.rules) {
        const auto known = this->backend.hits(one.name);
        json latest = json::array();
        for(const auto& match : known.latest_matches) {
            latest.push_back({{"request_id", match.request_id}, {"caller", match.caller}, {"target", match.target},
                {"time_ms", match.time.count()}});
        }
        json entry = json::object();
        entry["rule"] = one.name;
        entry["count"] = known.count;
        entry["latest"] = std::move(latest);
        hits.push_back(std::move(entry));
    }
    json body = json::object();
    body["version"] = state.version;
    body["document"] = rules::encode(state.set);
    body["hits"] = std::move(hits);
    body["warnings"] = this->warnings_of(state);
    body["changed_by"] = state.changed_by;
    body["changed_at_ms"] = state.changed_at.count();
    body["nodes_in_force"] = state.nodes_in_force;
    body["nodes"] = state.nodes;
    return body;
}

nlohmann::json operator_handler::warnings_of(const rules_state& state) const {
    {
        const std::lock_guard lock{this->mutex};
        if(this->checked_version == state.version) {
            return this->checked_warnings;
        }
    }
    auto found = rules::encode(rules::find_warnings(state.set));
    const std::lock_guard lock{this->mutex};
    this->checked_version = state.version;
    this->checked_warnings = found;
    return found;
}

http::response operator_handler::saved(const core::result<rules_state>& outcome) const {
    if(outcome) {
        return http::json_response(200u, this->describe(*outcome));
    }
    if(outcome.error().cause != core::reason::conflict) {
        return http::error_response(outcome.error());
    }
    auto body = http::error_body(outcome.error());
    body["current"] = this->describe(this->backend.current_rules());
    return http::json_response(409u, body);
}

} // namespace lagoonsaddle::operate
