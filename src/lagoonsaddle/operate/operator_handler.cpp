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

constexpr std::size_t default_event_limit = 100u;
constexpr std::size_t max_event_limit = 2'000u;
constexpr std::size_t max_author_bytes = 64u;

[[nodiscard]] http::response text_response(std::string_view type, std::string body) {
    http::response response{.status = 200u, .headers = {}, .body = std::move(body)};
    response.headers.set("content-type", type);
    return response;
}

[[nodiscard]] http::response page_response() {
    auto response = text_response("text/html; charset=utf-8", std::string{page()});
    response.headers.set("content-security-policy",
        "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'; "
        "frame-ancestors 'none'; base-uri 'none'; form-action 'none'");
    response.headers.set("referrer-policy", "no-referrer");
    return response;
}

[[nodiscard]] http::response make_error_response(core::reason cause, std::string message) {
    return http::error_response(core::error{.cause = cause, .message = std::move(message)});
}

[[nodiscard]] http::response method_not_allowed(std::string_view accepted) {
    auto response =
        make_error_response(core::reason::invalid_argument, "method not accepted; accepted: " + std::string{accepted});
    response.status = 405u;
    response.headers.set("allow", accepted);
    return response;
}

[[nodiscard]] http::response unauthorized_response() {
    auto response =
        make_error_response(core::reason::unauthorized, "the header authorization must hold the bearer token");
    response.headers.set("www-authenticate", "Bearer realm=\"lagoonsaddle\"");
    return response;
}

template<typename Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text) noexcept {
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return (parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size()) ? std::optional{value} : std::nullopt;
}

/*! @brief Members that the bodies of all rule changes have. */
struct change_metadata {
    std::uint64_t expected_version{};
    std::string author{};
};

[[nodiscard]] core::result<change_metadata> parse_change_metadata(const json& body) {
    const auto version = body.find("expected_version");
    if(version == body.end() || !version->is_number_unsigned()) {
        return core::fail(core::reason::invalid_argument,
            "expected_version is missing or wrong; accepted: the version that the change is based on");
    }
    const auto author = body.value("author", json(""));
    if(!author.is_string() || author.get_ref<const std::string&>().size() > max_author_bytes) {
        return core::fail(core::reason::invalid_argument, "author is wrong; accepted: a string of at most 64 bytes");
    }
    return change_metadata{.expected_version = version->get<std::uint64_t>(), .author = author.get<std::string>()};
}

/*! @brief Parses the rule set of a body and ignores its other members. */
[[nodiscard]] tl::expected<rules::rule_set, std::vector<rules::diagnostic>> parse_rules(const json& body) {
    json document = json::object();
    if(const auto list = body.find("rules"); list != body.end()) {
        document["rules"] = *list;
    }
    return rules::decode(document);
}

[[nodiscard]] http::response invalid_rules_response(const std::vector<rules::diagnostic>& errors) {
    auto body = http::error_body(core::error{.cause = core::reason::invalid_argument,
        .message = "the rule set has " + std::to_string(errors.size()) +
                   " error(s); the first: " + errors.front().path + ": " + errors.front().message});
    body["errors"] = rules::encode(errors);
    return http::json_response(400u, body);
}

} // namespace

operator_handler::operator_handler(operator_backend& backend, token_authenticator authenticator)
    : backend{backend}, authenticator{std::move(authenticator)} {}

boost::asio::awaitable<void> operator_handler::handle(http::request request, http::response_writer& writer) {
    auto response = co_await this->respond(std::move(request));
    response.headers.set("cache-control", "no-store");
    response.headers.set("x-content-type-options", "nosniff");
    static_cast<void>(co_await writer.send(std::move(response)));
}

boost::asio::awaitable<http::response> operator_handler::respond(http::request request) {
    const auto parts = http::split_target(request.target);
    const std::string first_segment = parts.segments.empty() ? std::string{} : parts.segments.front();
    const bool is_get = request.method == "GET";
    if(parts.segments.size() <= 1u &&
        (first_segment.empty() || first_segment == "healthz" || first_segment == "readyz")) {
        if(!is_get) {
            co_return method_not_allowed("GET");
        }
        co_return first_segment.empty() ? page_response() : this->respond_health_check(first_segment);
    }
    if(!this->authenticator.accepts(request.headers.find("authorization"))) {
        co_return unauthorized_response();
    }
    if(first_segment == "rules" && parts.segments.size() <= 2u) {
        auto action = (parts.segments.size() == 2u) ? parts.segments[1] : std::string{};
        co_return co_await this->respond_rules(std::move(request.method), std::move(action), std::move(request.body));
    }
    if(!is_get) {
        co_return method_not_allowed("GET");
    }
    if(first_segment == "explain" && parts.segments.size() == 2u) {
        auto request_id = parts.segments[1];
        const auto records = co_await this->backend.explain(std::move(request_id));
        if(!records) {
            co_return http::error_response(records.error());
        }
        json body = json::object();
        body["records"] = *records;
        co_return http::json_response(200u, body);
    }
    co_return this->respond_state(parts);
}

http::response operator_handler::respond_health_check(const std::string& name) const {
    json body = json::object();
    bool available = this->backend.healthy();
    if(name == "healthz") {
        body["healthy"] = available;
    } else {
        const auto reasons = this->backend.not_ready_reasons();
        available = available && reasons.empty();
        body["ready"] = available;
        body["reasons"] = reasons;
    }
    return http::json_response(available ? 200u : 503u, body);
}

http::response operator_handler::respond_state(const http::target_parts& parts) const {
    const auto path_is = [&parts](std::initializer_list<std::string_view> path) {
        return std::equal(path.begin(), path.end(), parts.segments.begin(), parts.segments.end());
    };
    json body = json::object();
    if(path_is({"status"})) {
        body = this->backend.status();
    } else if(path_is({"nodes"})) {
        body["nodes"] = this->backend.nodes();
    } else if(path_is({"upstreams"})) {
        body["upstreams"] = this->backend.upstreams();
    } else if(path_is({"adapters"})) {
        body["adapters"] = this->backend.adapters();
    } else if(path_is({"debug", "state"})) {
        body = this->backend.dump();
    } else if(path_is({"metrics"})) {
        return text_response("text/plain; version=0.0.4; charset=utf-8", this->backend.metrics());
    } else if(path_is({"events"})) {
        const auto after = parse_number<std::uint64_t>(parts.query.find("after").value_or("0"));
        const auto limit = parse_number<std::size_t>(
            parts.query.find("limit").value_or(std::string_view{std::to_string(default_event_limit)}));
        if(!after || !limit || *limit > max_event_limit) {
            return make_error_response(core::reason::invalid_argument,
                "accepted: after with the number of an event, limit from 0 to " + std::to_string(max_event_limit));
        }
        body["events"] = this->backend.events(*after, *limit);
    } else {
        return make_error_response(core::reason::not_found,
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
        co_return http::json_response(200u, this->encode_rules_state(this->backend.current_rules()));
    }
    if(!action.empty() && action != "undo" && action != "preview") {
        co_return make_error_response(
            core::reason::not_found, "no such path; accepted: /rules, /rules/preview, /rules/undo");
    }
    if(!save && !undo && !(action == "preview" && method == "POST")) {
        co_return method_not_allowed(action.empty() ? "GET, PUT" : "POST");
    }
    const auto parsed = http::parse_json(body);
    if(!parsed || !parsed->is_object()) {
        co_return make_error_response(core::reason::invalid_argument, "the body is not a JSON object");
    }
    if(action == "preview") {
        co_return this->preview(*parsed);
    }
    auto metadata = parse_change_metadata(*parsed);
    if(!metadata) {
        co_return http::error_response(metadata.error());
    }
    if(undo) {
        const auto outcome = co_await this->backend.undo_rules(metadata->expected_version, std::move(metadata->author));
        co_return this->save_response(outcome);
    }
    auto set = parse_rules(*parsed);
    if(!set) {
        co_return invalid_rules_response(set.error());
    }
    rules_change change{};
    change.set = *std::move(set);
    change.expected_version = metadata->expected_version;
    change.author = std::move(metadata->author);
    const auto outcome = co_await this->backend.save_rules(std::move(change));
    co_return this->save_response(outcome);
}

http::response operator_handler::preview(const nlohmann::json& body) const {
    auto set = parse_rules(body);
    if(!set) {
        json result = json::object();
        result["valid"] = false;
        result["errors"] = rules::encode(set.error());
        result["warnings"] = json::array();
        result["preview"] = nullptr;
        return http::json_response(200u, result);
    }
    const rules::evaluator current{this->backend.current_rules().set};
    const rules::evaluator changed{*std::move(set)};
    json result = json::object();
    result["valid"] = true;
    result["errors"] = json::array();
    result["warnings"] = rules::encode(rules::find_warnings(changed.source_rules()));
    result["preview"] = rules::encode(rules::preview(current, changed, this->backend.recent_requests()));
    return http::json_response(200u, result);
}

nlohmann::json operator_handler::encode_rules_state(const rules_state& state) const {
    json hits = json::array();
    for(const auto& rule : state.set.rules) {
        const auto rule_hits = this->backend.hits(rule.name);
        json latest = json::array();
        for(const auto& match : rule_hits.latest_matches) {
            latest.push_back({{"request_id", match.request_id}, {"caller", match.caller}, {"target", match.target},
                {"time_ms", match.time.count()}});
        }
        json entry = json::object();
        entry["rule"] = rule.name;
        entry["count"] = rule_hits.count;
        entry["latest"] = std::move(latest);
        hits.push_back(std::move(entry));
    }
    json body = json::object();
    body["version"] = state.version;
    body["document"] = rules::encode(state.set);
    body["hits"] = std::move(hits);
    body["warnings"] = this->find_warnings_cached(state);
    body["changed_by"] = state.changed_by;
    body["changed_at_ms"] = state.changed_at.count();
    body["nodes_in_force"] = state.nodes_in_force;
    body["nodes"] = state.nodes;
    return body;
}

nlohmann::json operator_handler::find_warnings_cached(const rules_state& state) const {
    {
        const std::lock_guard lock{this->warnings_mutex};
        if(this->cached_warnings_version == state.version) {
            return this->cached_warnings;
        }
    }
    auto found = rules::encode(rules::find_warnings(state.set));
    const std::lock_guard lock{this->warnings_mutex};
    this->cached_warnings_version = state.version;
    this->cached_warnings = found;
    return found;
}

http::response operator_handler::save_response(const core::result<rules_state>& outcome) const {
    if(outcome) {
        return http::json_response(200u, this->encode_rules_state(*outcome));
    }
    if(outcome.error().cause != core::reason::conflict) {
        return http::error_response(outcome.error());
    }
    auto body = http::error_body(outcome.error());
    body["current"] = this->encode_rules_state(this->backend.current_rules());
    return http::json_response(409u, body);
}

} // namespace lagoonsaddle::operate
