#ifndef LAGOONSADDLE_GATEWAY_ORDER_AUTHORITY_HPP
#define LAGOONSADDLE_GATEWAY_ORDER_AUTHORITY_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::gateway {

/**
 * @brief Defines which operations this node may perform on an upstream as its owner. Thread-safe.
 *
 * An order is a command to the upstream to load or evict an adapter. The results can change at any time; call again
 * directly before each order.
 */
class order_authority {
public:
    order_authority() = default;
    order_authority(const order_authority&) = delete;
    order_authority& operator=(const order_authority&) = delete;
    virtual ~order_authority() = default;

    /*! @brief Returns whether this node may order evictions now. */
    [[nodiscard]] virtual bool may_evict(std::string_view upstream) const = 0;
    /*! @brief Returns whether this node may order loads now. */
    [[nodiscard]] virtual bool may_load(std::string_view upstream) const = 0;
    /*! @brief Returns whether this node may send requests to the upstream now. */
    [[nodiscard]] virtual bool may_route(std::string_view upstream) const = 0;

    /*! @brief Returns the fencing token for orders, or nothing if this node is not the owner. */
    [[nodiscard]] virtual std::optional<std::uint64_t> fencing_token(std::string_view upstream) const = 0;

    /*! @brief Returns the time at which this node learned that it owns the upstream; nothing if it does not. */
    [[nodiscard]] virtual std::optional<core::time_point> owner_since(std::string_view upstream) const = 0;

    /*! @brief Returns the time after `owner_since` during which evictions are forbidden. */
    [[nodiscard]] virtual core::duration takeover_eviction_delay(std::string_view upstream) const = 0;
};

} // namespace lagoonsaddle::gateway

#endif
