#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_FINDING_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_FINDING_HPP

#include <string>
#include <string_view>

namespace lagoonsaddle::edge {

/*! @brief What a finding means for whoever wants to send the configuration. */
enum class finding_severity {
    /*! @brief Nodes refuse the configuration, or serve callers otherwise than it states. */
    error,
    /*! @brief A part has no effect or contradicts another one. */
    warning,
    /*! @brief A difference from the configuration in force. */
    change
};

/*! @brief Returns the name of a severity. */
[[nodiscard]] constexpr std::string_view to_string(finding_severity value) noexcept {
    switch(value) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::change:
        break;
    }
    return "change";
}

/*! @brief Result of the review of a configuration. Holds no API key. */
struct configuration_finding {
    finding_severity severity{finding_severity::error};
    /*! @brief What it is about, such as `route 'name'`. */
    std::string subject{};
    std::string message{};

    [[nodiscard]] friend bool operator==(const configuration_finding&, const configuration_finding&) = default;
};

} // namespace lagoonsaddle::edge

#endif
