#ifndef LAGOONSADDLE_EDGE_TENANT_DIRECTORY_HPP
#define LAGOONSADDLE_EDGE_TENANT_DIRECTORY_HPP

#include <string>
#include <string_view>
#include <unordered_map>

#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/*! @brief Finds the tenant of an API key in the configuration in force. Not thread-safe. */
class tenant_directory {
public:
    /**
     * @brief Finds the tenant that holds a key.
     * @param config Configuration in force; may be null.
     * @param key Key of a caller.
     * @return The tenant, or null when no tenant holds the key. Valid as long as `config`.
     */
    [[nodiscard]] const tenant* find(const route_table::configuration_type& config, std::string_view key);

private:
    void index(const route_table::configuration_type& config);

    route_table::configuration_type indexed{};
    /*! @brief Views into `indexed`. */
    std::unordered_map<std::string_view, const tenant*> holders{};
};

} // namespace lagoonsaddle::edge

#endif
