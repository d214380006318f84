#ifndef LAGOONSADDLE_CORE_ENDPOINT_HPP
#define LAGOONSADDLE_CORE_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonsaddle::core {

/*! @brief Numeric IP address and port of a process. */
struct endpoint {
    std::string address{};
    std::uint16_t port{};

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/**
 * @brief Formats an endpoint.
 * @param value An endpoint.
 * @return `address:port`.
 */
[[nodiscard]] inline std::string to_string(const endpoint& value) {
    return value.address + ":" + std::to_string(value.port);
}

} // namespace lagoonsaddle::core

#endif
