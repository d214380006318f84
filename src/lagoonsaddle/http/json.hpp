#ifndef LAGOONSADDLE_HTTP_JSON_HPP
#define LAGOONSADDLE_HTTP_JSON_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/message.hpp>

namespace lagoonsaddle::http {

/**
 * @brief Makes a response with a JSON body.
 * @param status Status code.
 * @param body Value to serialise.
 * @return The response.
 */
[[nodiscard]] response json_response(unsigned status, const nlohmann::json& body);

/**
 * @brief Makes the response for a failure: status by reason, `x-verdict`, `retry-after` and a JSON error body.
 * @param failure The failure.
 * @param request_id Identifier of the request; left out of the response when empty.
 * @return The response.
 */
[[nodiscard]] response error_response(const core::error& failure, std::string_view request_id = {});

/**
 * @brief Makes the JSON error body of a failure, as `error_response` sends it.
 * @param failure The failure.
 * @param request_id Identifier of the request; left out of the body when empty.
 * @return An object with the one member `error`.
 */
[[nodiscard]] nlohmann::json error_body(const core::error& failure, std::string_view request_id = {});

/*! @brief Deepest nesting of arrays and objects that is read: values are copied and written by recursion, which would
 * exhaust the stack on deeper ones. */
inline constexpr std::size_t json_depth_max{100u};

/**
 * @brief Parses a JSON body without throwing.
 * @param body Text of the body.
 * @return The value, or nothing when the text is not valid JSON, is nested too deeply or holds a number out of range.
 */
[[nodiscard]] std::optional<nlohmann::json> parse_json(std::string_view body);

/*! @brief A request target, split into path segments and query parameters, percent-decoded. */
struct target_parts {
    std::vector<std::string> segments{};
    fields query{};
};

/**
 * @brief Splits a request target.
 * @param target Path with query.
 * @return Its parts.
 */
[[nodiscard]] target_parts split_target(std::string_view target);

} // namespace lagoonsaddle::http

#endif
