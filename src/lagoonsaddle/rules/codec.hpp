#ifndef LAGOONSADDLE_RULES_CODEC_HPP
#define LAGOONSADDLE_RULES_CODEC_HPP

#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <lagoonsaddle/rules/diagnostic.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/**
 * @brief Decodes and validates a rule set.
 * @param document JSON as in docs/rules.md.
 * @return The rule set, or all errors that were found.
 */
[[nodiscard]] tl::expected<rule_set, std::vector<diagnostic>> decode(const nlohmann::json& document);

/**
 * @brief Encodes a rule set. Keys with default values are omitted.
 * @param set A rule set.
 * @return JSON that `decode` turns into an equal rule set.
 */
[[nodiscard]] nlohmann::json encode(const rule_set& set);

/**
 * @brief Encodes an outcome.
 * @param value An outcome.
 * @return JSON in the format of the `then` part of a rule.
 */
[[nodiscard]] nlohmann::json encode(const outcome& value);

/**
 * @brief Encodes errors or warnings.
 * @param diagnostics Errors or warnings.
 * @return An array of objects with `rule`, `path` and `message`.
 */
[[nodiscard]] nlohmann::json encode(const std::vector<diagnostic>& diagnostics);

} // namespace lagoonsaddle::rules

#endif
