#ifndef LAGOONSADDLE_EDGE_ENTRY_SETTINGS_HPP
#define LAGOONSADDLE_EDGE_ENTRY_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::edge {

/*! @brief Settings of an entry node. */
struct entry_settings {
    std::string name{};
    std::string availability_zone{};
    /*! @brief Address for callers. */
    core::endpoint callers{};
    /*! @brief Address of the readiness question. */
    core::endpoint readiness{};
    /*! @brief Port for datagrams and connections between nodes. */
    std::uint16_t peer_port{};
    /*! @brief Port of the metrics; the one after `peer_port` unless it is set. */
    std::uint16_t metrics_port{};
    /*! @brief IP addresses of nodes to join through. */
    std::vector<std::string> seeds{};
    /*! @brief Address of the platform's store. */
    core::endpoint store{};
    /*! @brief Whether upstreams refuse orders with an old fencing token. */
    bool upstreams_check_tokens{true};
    std::chrono::milliseconds lease_time{3'000};
    double retry_ratio{0.2};
    double retry_slack{};
    std::chrono::milliseconds retry_window{10'000};
    /*! @brief Time from the signal to stop until the process is ended. */
    std::chrono::milliseconds stop_timeout{8'000};
};

/**
 * @brief Reads settings from JSON with comments.
 * @param text Text of the file.
 * @return The settings, or `invalid_argument` that names the key and what is wrong with it.
 */
[[nodiscard]] core::result<entry_settings> parse_entry_settings(std::string_view text);

/**
 * @brief Reads a settings file.
 * @param file Path of the file.
 * @return The settings, or `invalid_argument`.
 */
[[nodiscard]] core::result<entry_settings> read_entry_settings(const std::string& file);

} // namespace lagoonsaddle::edge

#endif
