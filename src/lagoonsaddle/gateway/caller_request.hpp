#ifndef LAGOONSADDLE_GATEWAY_CALLER_REQUEST_HPP
#define LAGOONSADDLE_GATEWAY_CALLER_REQUEST_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/message.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Validated request of a caller. */
struct caller_request {
    /*! @brief Value of the `x-request-id` header, or a generated identifier. Callers may reuse a value. */
    std::string request_id{};
    std::string caller{};
    wire::call_kind kind{wire::call_kind::completion};
    std::string base_model{};
    std::string adapter{};
    /*! @brief Adapter version, named by the request or resolved from its channel. */
    std::string version{};
    std::string channel{};
    std::string service{};
    std::string path{};
    std::string method{};
    std::string content_type{};
    std::string body{};
    std::string idempotency_key{};
    int priority{5};
    std::chrono::milliseconds time_limit{};
    bool streamed{false};
    bool non_idempotent{false};
};

/*! @brief Limits that `parse_caller_request` enforces. */
struct caller_request_limits {
    std::chrono::milliseconds default_deadline{30'000};
    std::chrono::milliseconds max_deadline{120'000};
    /*! @brief Upper bound of `max_tokens` and `max_completion_tokens`. */
    std::uint64_t max_output_tokens{16'384u};
};

/**
 * @brief Returns the identifier of a request. Works on requests that `parse_caller_request` rejects.
 * @param message HTTP request.
 * @param fallback Identifier to use when the `x-request-id` header is absent or invalid.
 * @return Value of the header, or the fallback.
 */
[[nodiscard]] std::string read_request_id(const http::request& message, std::string fallback);

/**
 * @brief Parses and validates a request of a caller.
 * @param message HTTP request; its body is moved out.
 * @param limits Limits of deadline and output tokens.
 * @return The request, `invalid_argument` with a message that names the header or field, or `not_found` for an unknown
 * path.
 */
[[nodiscard]] core::result<caller_request> parse_caller_request(
    http::request& message, const caller_request_limits& limits);

} // namespace lagoonsaddle::gateway

#endif
