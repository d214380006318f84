#ifndef LAGOONSADDLE_CORE_ERROR_HPP
#define LAGOONSADDLE_CORE_ERROR_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <lagoonsaddle/core/verdict.hpp>

namespace lagoonsaddle::core {

/*! @brief Cause of a failure. The names appear in error bodies and metrics. */
enum class reason {
    invalid_argument,
    not_found,
    unauthorized,
    conflict,
    payload_too_large,
    rate_limited,
    overloaded,
    deadline_exceeded,
    cancelled,
    unavailable,
    connection_refused,
    connection_lost,
    timeout,
    protocol_error,
    adapter_not_resident,
    adapter_load_failed,
    stale_fencing_token,
    lease_expired,
    quarantined,
    key_reused,
    in_progress,
    outcome_unknown,
    draining,
    refused_by_rule,
    internal
};

/*! @brief Number of values of `reason`. */
inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::internal) + 1u;

/*! @brief Failure of an operation, with the verdict on the request that it was part of. */
struct error {
    reason cause{reason::internal};
    core::verdict verdict{core::verdict::not_run};
    std::string message{};
    /*! @brief When the caller should come back; nothing when a retry cannot help. */
    std::optional<std::chrono::milliseconds> retry_after{};
};

/*! @brief Value of an operation or its error. */
template<typename Type>
using result = tl::expected<Type, error>;

/**
 * @brief Returns the name of a reason as it appears in JSON, such as `deadline_exceeded`.
 * @param value A reason.
 * @return The name.
 */
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/**
 * @brief Parses the name of a reason.
 * @param text Name as returned by `to_string`.
 * @return The reason, or nothing when the name is unknown.
 */
[[nodiscard]] std::optional<reason> parse_reason(std::string_view text) noexcept;

/**
 * @brief Makes the error alternative of a `result`.
 * @param cause Cause of the failure.
 * @param verdict Whether the request may have run.
 * @param message Sentence for the reader of a log or an error body.
 * @return The error, convertible to any `result`.
 */
[[nodiscard]] tl::unexpected<error> fail(reason cause, verdict verdict, std::string message);

/**
 * @brief Makes the error alternative of a `result` for something that certainly did not run.
 * @param cause Cause of the failure.
 * @param message Sentence for the reader of a log or an error body.
 * @return The error, convertible to any `result`.
 */
[[nodiscard]] tl::unexpected<error> fail(reason cause, std::string message);

} // namespace lagoonsaddle::core

#endif
