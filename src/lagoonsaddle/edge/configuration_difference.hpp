#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_DIFFERENCE_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_DIFFERENCE_HPP

#include <vector>

#include <lagoonsaddle/edge/configuration_finding.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Lists the routes, services and tenants that differ between two configurations, field by field.
 *
 * Entries are compared by name; of entries with the same name, the first ones. API keys are shown by a digest.
 *
 * @param before Earlier configuration.
 * @param after Later configuration.
 * @return One finding for each entry that was added or removed and for each field that has changed; the version is not
 * compared.
 */
[[nodiscard]] std::vector<configuration_finding> find_differences(
    const configuration& before, const configuration& after);

} // namespace lagoonsaddle::edge

#endif
