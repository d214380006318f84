#ifndef LAGOONSADDLE_GATEWAY_INTERNAL_UPSTREAM_OWNER_HPP
#define LAGOONSADDLE_GATEWAY_INTERNAL_UPSTREAM_OWNER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/gateway/upstream_owner.hpp>
#include <lagoonsaddle/upstream/engine_client.hpp>
#include <lagoonsaddle/wire/messages.hpp>

/*! @brief Declarations shared by the source files of `upstream_owner`. */
namespace lagoonsaddle::gateway {

namespace internal {

/*! @brief `retry_after` of requests refused because the upstream crashed or does not respond. */
inline constexpr std::chrono::milliseconds unavailable_retry_delay{200};
/*! @brief `retry_after` of requests refused for other reasons, and the wait before a load permit is requested again. */
inline constexpr std::chrono::milliseconds default_retry_delay{100};

/**
 * @brief Returns the time until a deadline, for use as a timeout.
 * @param deadline The deadline.
 * @param now Current time.
 * @return Remaining time, at least one millisecond.
 */
[[nodiscard]] inline std::chrono::milliseconds time_left(core::time_point deadline, core::time_point now) {
    return std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now), std::chrono::milliseconds{1});
}

/**
 * @brief Converts a duration to microseconds, for a message.
 * @param value A duration.
 * @return Microseconds; 0 for a negative duration.
 */
[[nodiscard]] inline std::uint64_t to_microseconds(core::duration value) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::microseconds>(value).count(), 0));
}

/**
 * @brief Makes an error.
 * @param cause Cause of the failure.
 * @param verdict Whether the request may have run.
 * @param message Error message.
 * @param retry_after Time after which the caller may retry; empty if a retry cannot help.
 * @return The error.
 */
[[nodiscard]] inline core::error make_error(core::reason cause, core::verdict verdict, std::string message,
    std::optional<std::chrono::milliseconds> retry_after = {}) {
    return core::error{.cause = cause, .verdict = verdict, .message = std::move(message), .retry_after = retry_after};
}

} // namespace internal

/*! @brief Cancellation state of a request. A cancel from any thread is posted to the strand that reads the stream. */
struct upstream_owner::cancellation {
    boost::asio::any_io_executor executor{};
    upstream::engine_stream* stream{};
    bool cancelled{false};
};

/*! @brief Result of a request that was sent to the upstream. */
struct upstream_owner::run_outcome {
    wire::answer_end end{};
    bool completed{false};
};

} // namespace lagoonsaddle::gateway

#endif
