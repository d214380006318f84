#include <array>
#include <cstddef>
#include <utility>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::core {

namespace {

constexpr std::array<std::string_view, reason_count> reason_names{"invalid_argument", "not_found", "unauthorized",
    "conflict", "payload_too_large", "rate_limited", "overloaded", "deadline_exceeded", "cancelled", "unavailable",
    "connection_refused", "connection_lost", "timeout", "protocol_error", "adapter_not_resident", "adapter_load_failed",
    "stale_fencing_token", "lease_expired", "quarantined", "key_reused", "in_progress", "outcome_unknown", "draining",
    "refused_by_rule", "internal"};

} // namespace

std::string_view to_string(reason value) noexcept {
    return reason_names[static_cast<std::size_t>(value)];
}

std::optional<reason> parse_reason(std::string_view text) noexcept {
    for(std::size_t index{}; index < reason_count; ++index) {
        if(reason_names[index] == text) {
            return static_cast<reason>(index);
        }
    }
    return std::nullopt;
}

tl::unexpected<error> fail(reason cause, verdict verdict, std::string message) {
    return tl::make_unexpected(error{.cause = cause, .verdict = verdict, .message = std::move(message)});
}

tl::unexpected<error> fail(reason cause, std::string message) {
    return fail(cause, verdict::not_run, std::move(message));
}

} // namespace lagoonsaddle::core
