#include <chrono>
#include <utility>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/percent_encoding.hpp>

namespace lagoonsaddle::http {

namespace {

[[nodiscard]] unsigned status_of(core::reason cause) noexcept {
    switch(cause) {
    case core::reason::invalid_argument:
        return 400u;
    case core::reason::unauthorized:
        return 401u;
    case core::reason::refused_by_rule:
        return 403u;
    case core::reason::not_found:
        return 404u;
    case core::reason::conflict:
    case core::reason::in_progress:
    case core::reason::outcome_unknown:
    case core::reason::adapter_not_resident:
    case core::reason::stale_fencing_token:
        return 409u;
    case core::reason::payload_too_large:
        return 413u;
    case core::reason::key_reused:
    case core::reason::quarantined:
        return 422u;
    case core::reason::rate_limited:
        return 429u;
    case core::reason::internal:
        return 500u;
    case core::reason::connection_lost:
    case core::reason::protocol_error:
        return 502u;
    case core::reason::deadline_exceeded:
    case core::reason::timeout:
        return 504u;
    case core::reason::overloaded:
    case core::reason::cancelled:
    case core::reason::unavailable:
    case core::reason::connection_refused:
    case core::reason::adapter_load_failed:
    case core::reason::lease_expired:
    case core::reason::draining:
        return 503u;
    }
    return 500u;
}

/*! @brief Returns whether brackets are nested at most `json_depth_max` deep. Skips strings. */
[[nodiscard]] bool is_shallow(std::string_view text) noexcept {
    std::size_t depth{};
    bool in_string{false};
    for(std::size_t index{}; index < text.size(); ++index) {
        const auto character = text[index];
        if(in_string) {
            in_string = character != '"';
            index += character == '\\' ? 1u : 0u;
        } else if(character == '"') {
            in_string = true;
        } else if(character == '[' || character == '{') {
            if(++depth > json_depth_max) {
                return false;
            }
        } else if((character == ']' || character == '}') && depth > 0u) {
            --depth;
        }
    }
    return true;
}

template<typename Callback>
void for_each_part(std::string_view text, char separator, Callback callback) {
    while(!text.empty()) {
        const auto end = text.find(separator);
        const auto part = text.substr(0u, end);
        if(!part.empty()) {
            callback(part);
        }
        text = (end == std::string_view::npos) ? std::string_view{} : text.substr(end + 1u);
    }
}

} // namespace

response json_response(unsigned status, const nlohmann::json& body) {
    response message{.status = status};
    message.headers.set("content-type", "application/json");
    message.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return message;
}

nlohmann::json error_body(const core::error& failure, std::string_view request_id) {
    nlohmann::json detail = nlohmann::json::object();
    detail["reason"] = core::to_string(failure.cause);
    detail["message"] = failure.message;
    detail["verdict"] = core::to_string(failure.verdict);
    detail["retryable"] = failure.retry_after.has_value();
    if(failure.retry_after) {
        detail["retry_after_ms"] = failure.retry_after->count();
    }
    if(!request_id.empty()) {
        detail["request_id"] = request_id;
    }
    nlohmann::json body = nlohmann::json::object();
    body["error"] = std::move(detail);
    return body;
}

response error_response(const core::error& failure, std::string_view request_id) {
    auto message = json_response(status_of(failure.cause), error_body(failure, request_id));
    message.headers.set("x-verdict", core::to_string(failure.verdict));
    if(!request_id.empty()) {
        message.headers.set("x-request-id", request_id);
    }
    if(failure.retry_after) {
        // The header counts whole seconds; the body has the milliseconds.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retry_after).count();
        message.headers.set("retry-after", std::to_string(seconds));
    }
    return message;
}

std::optional<nlohmann::json> parse_json(std::string_view body) {
    if(!is_shallow(body)) {
        return std::nullopt;
    }
    auto value = nlohmann::json::parse(body, nullptr, false);
    if(value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

target_parts split_target(std::string_view target) {
    target_parts parts{};
    const auto question = target.find('?');
    for_each_part(target.substr(0u, question), '/',
        [&parts](std::string_view part) { parts.segments.push_back(percent_decode(part)); });
    if(question != std::string_view::npos) {
        for_each_part(target.substr(question + 1u), '&', [&parts](std::string_view part) {
            const auto equals = part.find('=');
            const auto value = (equals == std::string_view::npos) ? std::string_view{} : part.substr(equals + 1u);
            parts.query.set(percent_decode(part.substr(0u, equals)), percent_decode(value));
        });
    }
    return parts;
}

} // namespace lagoonsaddle::http
