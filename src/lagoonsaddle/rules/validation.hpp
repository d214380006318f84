#ifndef LAGOONSADDLE_RULES_VALIDATION_HPP
#define LAGOONSADDLE_RULES_VALIDATION_HPP

#include <vector>

#include <lagoonsaddle/rules/diagnostic.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/**
 * @brief Finds rules that can never match and contradictory rules. Warnings do not make a rule set invalid.
 *
 * A rule is reported as unreachable if a single earlier rule matches all its requests. Rules that are unreachable only
 * because of several earlier rules together are not detected.
 *
 * @param set A rule set.
 * @return Warnings in order of rule index.
 */
[[nodiscard]] std::vector<diagnostic> find_warnings(const rule_set& set);

} // namespace lagoonsaddle::rules

#endif
