#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <lagoonsaddle/core/model_name.hpp>
#include <lagoonsaddle/gateway/caller_request.hpp>
#include <lagoonsaddle/gateway/generation_fields.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::gateway {

namespace {

constexpr std::size_t max_header_value_bytes{200u};
constexpr int max_priority{9};
constexpr std::string_view service_prefix{"/v1/services/"};

[[nodiscard]] bool is_printable(std::string_view text) noexcept {
    return std::all_of(text.begin(), text.end(), [](const char c) { return c > ' ' && c < '\x7f'; });
}

[[nodiscard]] core::result<std::string> parse_text_header(const http::fields& headers, std::string_view name) {
    const auto value = headers.find(name).value_or(std::string_view{});
    if(value.size() > max_header_value_bytes || !is_printable(value)) {
        return core::fail(core::reason::invalid_argument, "header " + std::string{name} + " must have at most " +
                                                              std::to_string(max_header_value_bytes) +
                                                              " printable characters without spaces");
    }
    return std::string{value};
}

[[nodiscard]] core::result<std::optional<std::int64_t>> parse_integer_header(
    const http::fields& headers, std::string_view name, std::int64_t minimum, std::int64_t maximum) {
    const auto value = headers.find(name);
    if(!value) {
        return std::nullopt;
    }
    std::int64_t number{};
    const auto* end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if(parsed.ec != std::errc{} || parsed.ptr != end || number < minimum || number > maximum) {
        return core::fail(core::reason::invalid_argument, "header " + std::string{name} + " must be a number from " +
                                                              std::to_string(minimum) + " to " +
                                                              std::to_string(maximum));
    }
    return number;
}

[[nodiscard]] core::result<bool> parse_boolean_header(const http::fields& headers, std::string_view name) {
    const auto value = headers.find(name);
    if(!value || *value == "false") {
        return false;
    }
    if(*value == "true") {
        return true;
    }
    return core::fail(core::reason::invalid_argument, "header " + std::string{name} + " must be true or false");
}

[[nodiscard]] core::result<void> parse_headers(
    const http::fields& headers, const caller_request_limits& limits, caller_request& target) {
    auto caller = parse_text_header(headers, "x-caller-id");
    auto key = parse_text_header(headers, "idempotency-key");
    const auto priority = parse_integer_header(headers, "x-priority", 0, max_priority);
    const auto deadline = parse_integer_header(headers, "x-deadline-ms", 1, limits.max_deadline.count());
    const auto non_idempotent = parse_boolean_header(headers, "x-non-idempotent");
    const auto error_of = [](const auto& result) -> const core::error* {
        return result ? nullptr : &result.error();
    };
    for(const auto* failure :
        {error_of(caller), error_of(key), error_of(priority), error_of(deadline), error_of(non_idempotent)}) {
        if(failure != nullptr) {
            return tl::make_unexpected(*failure);
        }
    }
    target.caller = caller->empty() ? "anonymous" : std::move(*caller);
    target.idempotency_key = std::move(*key);
    target.priority = static_cast<int>(priority->value_or(target.priority));
    target.time_limit = deadline->has_value() ? std::chrono::milliseconds{**deadline} : limits.default_deadline;
    target.non_idempotent = *non_idempotent;
    target.content_type = headers.find("content-type").value_or("application/json");
    if(target.non_idempotent && target.idempotency_key.empty()) {
        return core::fail(core::reason::invalid_argument,
            "a request with x-non-idempotent: true needs an idempotency-key header, so that it runs at most once");
    }
    return {};
}

[[nodiscard]] core::result<void> parse_model_call(const caller_request_limits& limits, caller_request& target) {
    const auto body = http::parse_json(target.body);
    if(!body || !body->is_object()) {
        return core::fail(core::reason::invalid_argument, "the body must be a JSON object");
    }
    const auto model = body->find("model");
    if(model == body->end() || !model->is_string()) {
        return core::fail(core::reason::invalid_argument, "the body needs a string field \"model\"");
    }
    const auto parsed = core::model_name::parse(model->get_ref<const std::string&>());
    if(!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    const bool chat = target.kind == wire::call_kind::chat_completion;
    const auto* required = chat ? "messages" : "prompt";
    if(!body->contains(required)) {
        return core::fail(core::reason::invalid_argument, std::string{"the body needs the field \""} + required + '"');
    }
    const auto stream = body->find("stream");
    if(stream != body->end() && !stream->is_boolean()) {
        return core::fail(core::reason::invalid_argument, "field \"stream\" must be true or false");
    }
    if(const auto checked = check_generation_fields(*body, limits.max_output_tokens); !checked) {
        return tl::make_unexpected(checked.error());
    }
    target.streamed = stream != body->end() && stream->get<bool>();
    target.base_model = parsed->base_model();
    target.adapter = parsed->adapter();
    target.version = parsed->version().value_or("");
    target.channel = parsed->channel().value_or("");
    return {};
}

[[nodiscard]] core::result<void> parse_service_call(const std::string& path_and_query, caller_request& target) {
    const auto service_and_path = std::string_view{path_and_query}.substr(service_prefix.size());
    const auto slash = service_and_path.find('/');
    target.service = service_and_path.substr(0u, slash);
    if(slash != std::string_view::npos) {
        target.path = service_and_path.substr(slash + 1u);
    }
    if(target.service.empty() || target.service.find('?') != std::string::npos) {
        return core::fail(core::reason::invalid_argument, "the path must be /v1/services/{service}/{path}");
    }
    return {};
}

} // namespace

std::string read_request_id(const http::request& message, std::string fallback) {
    auto request_id = parse_text_header(message.headers, "x-request-id");
    return request_id && !request_id->empty() ? std::move(*request_id) : std::move(fallback);
}

core::result<caller_request> parse_caller_request(http::request& message, const caller_request_limits& limits) {
    caller_request request{.method = message.method};
    const bool is_service = message.target.starts_with(service_prefix);
    if(message.target == "/v1/completions") {
        request.kind = wire::call_kind::completion;
    } else if(message.target == "/v1/chat/completions") {
        request.kind = wire::call_kind::chat_completion;
    } else if(is_service) {
        request.kind = wire::call_kind::service;
    } else {
        return core::fail(core::reason::not_found,
            "unknown path; use /v1/completions, /v1/chat/completions or /v1/services/{service}/{path}");
    }
    if(!is_service && message.method != "POST") {
        return core::fail(core::reason::invalid_argument, "the method must be POST");
    }
    if(const auto result = parse_headers(message.headers, limits, request); !result) {
        return tl::make_unexpected(result.error());
    }
    request.body = std::move(message.body);
    const auto result = is_service ? parse_service_call(message.target, request) : parse_model_call(limits, request);
    if(!result) {
        return tl::make_unexpected(result.error());
    }
    return request;
}

} // namespace lagoonsaddle::gateway
