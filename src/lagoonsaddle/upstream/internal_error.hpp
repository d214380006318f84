#ifndef LAGOONSADDLE_UPSTREAM_INTERNAL_ERROR_HPP
#define LAGOONSADDLE_UPSTREAM_INTERNAL_ERROR_HPP

#include <string>
#include <string_view>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::upstream::internal {

inline constexpr unsigned first_server_error{500u};

/**
 * @brief Converts an error response of an upstream to an error.
 *
 * The verdict is the one in the body. Without one, a status below 500 is `not_run`, because the upstream rejected the
 * request before execution, and any other status is `may_have_run`.
 *
 * @param status Status code.
 * @param body Response body, if possible JSON with an `error` object.
 * @return The error.
 */
[[nodiscard]] inline core::error parse_error_response(unsigned status, std::string_view body) {
    core::error failure{.cause = core::reason::internal,
        .verdict = status < first_server_error ? core::verdict::not_run : core::verdict::may_have_run,
        .message = "the upstream responded with status " + std::to_string(status)};
    if(status < first_server_error) {
        failure.cause = core::reason::invalid_argument;
    }
    const auto parsed = http::parse_json(body);
    if(!parsed || !parsed->is_object() || !parsed->contains("error") || !parsed->at("error").is_object()) {
        return failure;
    }
    const auto& error_object = parsed->at("error");
    const auto read_string = [&error_object](const char* key) -> std::string {
        return error_object.contains(key) && error_object.at(key).is_string() ? error_object.at(key).get<std::string>()
                                                                              : std::string{};
    };
    failure.cause = core::parse_reason(read_string("reason")).value_or(failure.cause);
    failure.verdict = core::parse_verdict(read_string("verdict")).value_or(failure.verdict);
    if(const auto message = read_string("message"); !message.empty()) {
        failure.message = message;
    }
    return failure;
}

} // namespace lagoonsaddle::upstream::internal

#endif
