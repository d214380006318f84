#ifndef LAGOONSADDLE_CORE_VERDICT_HPP
#define LAGOONSADDLE_CORE_VERDICT_HPP

#include <optional>
#include <string_view>

namespace lagoonsaddle::core {

/*! @brief Says whether a request may have run on an upstream. */
enum class verdict {
    /*! @brief Proven: no byte was sent, the connection was refused, or the upstream said so. */
    not_run,
    /*! @brief The request was sent and its outcome is unknown. */
    may_have_run,
    /*! @brief The upstream ran the request. */
    ran
};

/**
 * @brief Returns the name of a verdict as it appears in headers and JSON.
 * @param value A verdict.
 * @return The name, such as `not_run`.
 */
[[nodiscard]] std::string_view to_string(verdict value) noexcept;

/**
 * @brief Parses the name of a verdict.
 * @param text Name as returned by `to_string`.
 * @return The verdict, or nothing when the name is unknown.
 */
[[nodiscard]] std::optional<verdict> parse_verdict(std::string_view text) noexcept;

} // namespace lagoonsaddle::core

#endif
