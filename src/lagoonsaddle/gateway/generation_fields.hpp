#ifndef LAGOONSADDLE_GATEWAY_GENERATION_FIELDS_HPP
#define LAGOONSADDLE_GATEWAY_GENERATION_FIELDS_HPP

#include <cstdint>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::gateway {

/**
 * @brief Validates the numeric fields of a completion or chat request body.
 *
 * Prevents an engine from receiving values that it cannot serve: a request for more tokens than fit occupies a batch
 * slot until its deadline.
 * @param body Request body, a JSON object. Absent and null fields are accepted.
 * @param max_output_tokens Upper bound of `max_tokens` and `max_completion_tokens`.
 * @return Nothing, or `invalid_argument` with a message that names the field and its range.
 */
[[nodiscard]] core::result<void> check_generation_fields(const nlohmann::json& body, std::uint64_t max_output_tokens);

} // namespace lagoonsaddle::gateway

#endif
