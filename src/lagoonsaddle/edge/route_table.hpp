#ifndef LAGOONSADDLE_EDGE_ROUTE_TABLE_HPP
#define LAGOONSADDLE_EDGE_ROUTE_TABLE_HPP

#include <cstdint>
#include <memory>
#include <string_view>

#include <lagoonsaddle/edge/model.hpp>

namespace lagoonsaddle::edge {

/*! @brief The configuration in force. Never goes back to an older version. Not thread-safe. */
class route_table {
public:
    using configuration_type = std::shared_ptr<const configuration>;

    /**
     * @brief Puts a configuration in force when it is newer than the present one.
     * @param value A configuration.
     * @return True when it is in force now.
     */
    bool apply(configuration value);

    /*! @brief Returns the configuration in force; null before the first one. */
    [[nodiscard]] const configuration_type& current() const noexcept {
        return this->config;
    }

    /*! @brief Returns the version in force; 0 before the first one. */
    [[nodiscard]] std::uint64_t version() const noexcept {
        return this->config ? this->config->version : 0u;
    }

    /**
     * @brief Finds the route with the longest prefix of a path among the routes of a host.
     * @param host Host of the request; case and a port are ignored.
     * @param target Path with query.
     * @return The route, valid while `current` is held, or null.
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /*! @brief Returns a service by name, or null. */
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /**
     * @brief Picks a service of a route in proportion to the weights.
     * @param entry The route.
     * @param key Text whose hash decides, so that a request goes to the same service on each attempt.
     * @return Name of the service; empty when the route has none.
     */
    [[nodiscard]] static std::string_view pick_service(const route& entry, std::string_view key);

private:
    configuration_type config{};
};

} // namespace lagoonsaddle::edge

#endif
