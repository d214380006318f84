#ifndef LAGOONSADDLE_EDGE_ROUTE_TABLE_HPP
#define LAGOONSADDLE_EDGE_ROUTE_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/*! @brief The current configuration. It is never replaced by an older version. Not thread-safe. */
class route_table {
public:
    using configuration_type = std::shared_ptr<const configuration>;

    /**
     * @brief Replaces the current configuration if the given one has a newer version.
     * @param value A configuration.
     * @return True when the configuration was replaced.
     */
    bool apply(configuration value);

    /*! @brief Returns the current configuration; null before the first one. */
    [[nodiscard]] const configuration_type& current() const noexcept {
        return this->config;
    }

    /*! @brief Returns the version of the current configuration; 0 before the first one. */
    [[nodiscard]] std::uint64_t version() const noexcept {
        return this->config ? this->config->version : 0u;
    }

    /**
     * @brief Finds the route of a host with the longest matching path prefix.
     * @param host Host of the request; case and port are ignored.
     * @param target Request target: path with optional query.
     * @return The route, or null. Valid as long as the pointer returned by `current` is held.
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /*! @brief Returns the longest timeout of the routes whose streams may be resumed; 0 when there is none. */
    [[nodiscard]] std::chrono::milliseconds longest_resumable_timeout() const;

    /*! @brief Returns the service with the given name, or null. */
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /**
     * @brief Picks a service of a route in proportion to the weights.
     * @param entry The route.
     * @param key Key whose hash selects the service, so that all attempts of a request use the same one.
     * @return Name of the service; empty when the weights of the route add up to 0.
     */
    [[nodiscard]] static std::string_view pick_service(const route& entry, std::string_view key);

private:
    configuration_type config{};
};

} // namespace lagoonsaddle::edge

#endif
