#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_REVIEW_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_REVIEW_HPP

#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/edge/configuration_finding.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Reviews a configuration before it is sent to the store.
 *
 * Nodes accept more than an operator can mean (`check_configuration`): the review also reports what a node serves
 * otherwise than the configuration seems to state. Findings name API keys by a short digest.
 */
class configuration_review {
public:
    /**
     * @brief Reviews a configuration by itself.
     * @param value The configuration. It must outlive the review.
     */
    explicit configuration_review(const configuration& value);

    /*! @brief Adds the differences from the configuration in force, and an error unless the version rises. */
    void compare(const configuration& in_force);

    /*! @brief Returns what has been found, in the order of the configuration. */
    [[nodiscard]] const std::vector<configuration_finding>& findings() const noexcept {
        return this->found;
    }

private:
    void check_routes();
    void check_route(const route& entry);
    void check_match(const route& entry);
    void check_times(const route& entry);
    void check_targets(const route& entry);
    void check_services();
    void check_tenants();
    void check_keys(const tenant& entry);
    void check_quota(const tenant& entry);
    /*! @brief Checks that no key is held by two tenants. */
    void check_holders();
    void add(finding_severity severity, std::string subject, std::string message);

    const configuration& reviewed;
    std::vector<configuration_finding> found{};
};

/*! @brief Returns a name for an API key that does not reveal it. */
[[nodiscard]] std::string key_label(std::string_view key);

} // namespace lagoonsaddle::edge

#endif
