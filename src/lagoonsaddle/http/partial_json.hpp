#ifndef LAGOONSADDLE_HTTP_PARTIAL_JSON_HPP
#define LAGOONSADDLE_HTTP_PARTIAL_JSON_HPP

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace lagoonsaddle::http {

/**
 * @brief Parses JSON text in which single values may be unreadable, such as a list with entries of several writers.
 *
 * A value that `parse_json` refuses costs only itself: an object lacks the member, an array holds null in its place.
 *
 * @param text The text.
 * @param levels Number of nested objects and arrays whose parts are read separately. What is nested more deeply is
 * readable as a whole or not at all.
 * @return The readable parts, or nothing when the outermost value is neither readable nor an object or array.
 */
[[nodiscard]] std::optional<nlohmann::json> parse_partial_json(std::string_view text, unsigned levels);

} // namespace lagoonsaddle::http

#endif
