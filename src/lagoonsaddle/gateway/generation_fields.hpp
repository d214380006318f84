#ifndef LAGOONSADDLE_GATEWAY_GENERATION_FIELDS_HPP
#define LAGOONSADDLE_GATEWAY_GENERATION_FIELDS_HPP

#include <cstdint>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::gateway {

/**
 * @brief Checks the numeric fields of a completion or chat body, so that an engine never receives a value that it
 * cannot carry out: a request for more tokens than fit keeps its place in a batch until the deadline.
 * @param body Body of the request, a JSON object. Fields that are absent or null are not checked.
 * @param max_output_tokens Most tokens that a request may ask for.
 * @return Nothing, or `invalid_argument` with a message that names the field and its range.
 */
[[nodiscard]] core::result<void> check_generation_fields(const nlohmann::json& body, std::uint64_t max_output_tokens);

} // namespace lagoonsaddle::gateway

#endif
