#ifndef LAGOONSADDLE_RULES_PREVIEW_HPP
#define LAGOONSADDLE_RULES_PREVIEW_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/rules/evaluator.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/*! @brief Request for which two rule sets give different decisions. */
struct preview_difference {
    std::string request_id{};
    std::string caller{};
    std::string target{};
    /*! @brief Name of the matching rule before and after the change; empty if none matches. */
    std::string rule_before{};
    std::string rule_after{};
    /*! @brief One entry per changed field, such as `action: allow -> refuse (maintenance)`. */
    std::vector<std::string> changes{};
};

/*! @brief Effect of a proposed rule set on recent requests. */
struct preview_report {
    /*! @brief Number of evaluated requests. */
    std::size_t requests{};
    /*! @brief Number of requests with a different decision. */
    std::size_t changed{};
    std::size_t newly_refused{};
    std::size_t newly_allowed{};
    /*! @brief The first differences, at most `preview_differences_max`. */
    std::vector<preview_difference> differences{};
    /*! @brief Number of requests matched by each rule of the proposed set, by rule index. */
    std::vector<std::uint64_t> hits{};
};

/*! @brief Maximum number of differences listed in a report, so that it is readable on a phone. */
inline constexpr std::size_t preview_differences_max = 50u;

/**
 * @brief Compares the decisions of two rule sets for recent requests. Rate limits are compared, but not simulated.
 * @param current Active rule set.
 * @param proposed Rule set to compare with it.
 * @param requests Recent requests.
 * @return The differences. A request that another rule matches with the same decision is not a difference.
 */
[[nodiscard]] preview_report preview(
    const evaluator& current, const evaluator& proposed, std::span<const request_attributes> requests);

/**
 * @brief Encodes a report.
 * @param report A report.
 * @return JSON.
 */
[[nodiscard]] nlohmann::json encode(const preview_report& report);

} // namespace lagoonsaddle::rules

#endif
