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

/*! @brief A request of a caller, checked. */
struct caller_request {
    /*! @brief Identifier that the caller gave, or a generated one. Not unique. */
    std::string request_id{};
    std::string caller{};
    wire::call_kind kind{wire::call_kind::completion};
    std::string base_model{};
    std::string adapter{};
    /*! @brief Version that serves: named by the request or resolved from its channel. */
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

/*! @brief Limits of caller requests. */
struct caller_request_limits {
    std::chrono::milliseconds default_deadline{30'000};
    std::chrono::milliseconds max_deadline{120'000};
    /*! @brief Most tokens that a request may ask for. */
    std::uint64_t max_output_tokens{16'384u};
};

/**
 * @brief Returns the identifier of a request before anything else of it is checked.
 * @param message The request.
 * @param generated Identifier to use when the caller gave none or an invalid one.
 * @return The identifier.
 */
[[nodiscard]] std::string read_request_id(const http::request& message, std::string generated);

/**
 * @brief Checks a request of a caller.
 * @param message The request; its body is moved out.
 * @param limits Limits.
 * @return The request, or `invalid_argument` or `not_found` with a message that names the field.
 */
[[nodiscard]] core::result<caller_request> parse_caller_request(
    http::request& message, const caller_request_limits& limits);

} // namespace lagoonsaddle::gateway

#endif
