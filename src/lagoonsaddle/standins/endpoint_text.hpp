#ifndef LAGOONSADDLE_STANDINS_ENDPOINT_TEXT_HPP
#define LAGOONSADDLE_STANDINS_ENDPOINT_TEXT_HPP

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/endpoint.hpp>

namespace lagoonsaddle::standins {

/**
 * @brief Parses an endpoint.
 * @param text `ADDRESS:PORT`, or a URL `http://ADDRESS:PORT/...` whose path is ignored.
 * @return The endpoint, or nothing when the text has another form.
 */
[[nodiscard]] std::optional<core::endpoint> parse_endpoint(std::string_view text);

/**
 * @brief Parses a list of endpoints.
 * @param text Endpoints, separated by commas; may be empty.
 * @return The endpoints, or nothing when one of them has another form.
 */
[[nodiscard]] std::optional<std::vector<core::endpoint>> parse_endpoints(std::string_view text);

} // namespace lagoonsaddle::standins

#endif
