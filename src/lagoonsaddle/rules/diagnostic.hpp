#ifndef LAGOONSADDLE_RULES_DIAGNOSTIC_HPP
#define LAGOONSADDLE_RULES_DIAGNOSTIC_HPP

#include <cstddef>
#include <optional>
#include <string>

namespace lagoonsaddle::rules {

/*! @brief Error or warning about a rule set. */
struct diagnostic {
    /*! @brief Index of the rule; empty if the diagnostic concerns the whole rule set. */
    std::optional<std::size_t> rule_index{};
    /*! @brief JSON path of the key, such as `rules[3].when.priority.min`. */
    std::string path{};
    std::string message{};

    friend bool operator==(const diagnostic&, const diagnostic&) = default;
};

} // namespace lagoonsaddle::rules

#endif
