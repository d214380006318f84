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
#include <lagoonsaddle/edge/quota_tolerance.hpp>

namespace lagoonsaddle::edge {

/*! @brief What the machine allows a process to use. */
struct process_limits {
    static constexpr std::size_t default_memory_bytes{256u * 1024u * 1024u};

    std::size_t memory_bytes{default_memory_bytes};
    /*! @brief File descriptors that the process may open. */
    std::size_t descriptors_max{4'096u};
};

/*! @brief Settings that the environment of the process states, for those that the settings file does not set. */
struct environment_settings {
    static constexpr std::chrono::milliseconds default_version_bound{5'000};

    process_limits limits{};
    std::chrono::milliseconds version_bound{default_version_bound};
    std::chrono::milliseconds revocation_bound{0};
    quota_bounds quota{};
};

/**
 * @brief Reads the environment variables LAGOONSADDLE_MEMORY_MIB, LAGOONSADDLE_DESCRIPTORS_MAX,
 * LAGOONSADDLE_VERSION_BOUND_MS, LAGOONSADDLE_REVOCATION_BOUND_MS and LAGOONSADDLE_REVOCATION_STRICT, and those of the
 * quotas: LAGOONSADDLE_QUOTA_WINDOW_S or else LAGOONSADDLE_QUOTA_WINDOW_MS, LAGOONSADDLE_QUOTA_OVERAGE and
 * LAGOONSADDLE_QUOTA_SLACK.
 * @return The values; the default for a variable that is absent or no positive integer, for the quotas no decimal
 * number in a sensible range. The revocation bound is in force only when LAGOONSADDLE_REVOCATION_STRICT is `true`.
 */
[[nodiscard]] environment_settings read_environment();

/*! @brief Settings of an entry node. */
struct entry_settings {
    std::string name{};
    std::string availability_zone{};
    /*! @brief Address of the listener for callers. */
    core::endpoint caller_address{};
    /*! @brief Address of the listener for readiness probes. */
    core::endpoint readiness_address{};
    /*! @brief UDP and TCP port for traffic between nodes. */
    std::uint16_t peer_port{};
    /*! @brief TCP port on which nodes relay connections to upstreams for their peers, the same on all nodes;
     * `peer_port` + 2 unless it is set. */
    std::uint16_t relay_port{};
    /*! @brief Port of the metrics listener; `peer_port` + 1 unless it is set. */
    std::uint16_t metrics_port{};
    /*! @brief IP addresses of nodes through which to join the fleet. */
    std::vector<std::string> seeds{};
    /*! @brief Address of the platform's store. */
    core::endpoint store_address{};
    /*! @brief Whether upstreams reject orders with a stale fencing token. */
    bool upstreams_check_tokens{true};
    std::chrono::milliseconds lease_time{3'000};
    /*! @brief Retries allowed per request in the window. */
    double retry_ratio{0.2};
    /*! @brief Retries of the whole fleet in the window that are allowed in addition to the ratio. */
    double retry_slack{};
    std::chrono::milliseconds retry_window{10'000};
    /*! @brief Time from the stop signal until the platform kills the process. */
    std::chrono::milliseconds stop_timeout{8'000};
    /*! @brief Time after a new version of an adapter has been accepted in which requests must begin to use it. */
    std::chrono::milliseconds version_bound{environment_settings::default_version_bound};
    /*! @brief Time after the configuration has removed a key in which the key may still be served; 0 for no bound. */
    std::chrono::milliseconds revocation_bound{0};
    /*! @brief What all nodes together may admit of the quotas of tenants. */
    quota_bounds quota{};
    /*! @brief Limits of the process, from its environment unless they are set. */
    process_limits limits{};
    /*! @brief Request bodies that the node holds at a time; an eighth of the memory unless it is set, as a body is held
     * up to three times while it is sent. */
    std::size_t request_body_memory_bytes{process_limits::default_memory_bytes / 8u};
    /*! @brief Response bodies that the node holds at a time because they are not streamed; an eighth of the memory
     * unless it is set. */
    std::size_t response_body_memory_bytes{process_limits::default_memory_bytes / 8u};
};

/**
 * @brief Parses settings from JSON with comments.
 * @param text Content of the settings file.
 * @param environment Values for settings that the text does not set.
 * @return The settings, or `invalid_argument` with the key and the reason.
 */
[[nodiscard]] core::result<entry_settings> parse_entry_settings(
    std::string_view text, const environment_settings& environment = {});

/**
 * @brief Reads a settings file, with the values of the environment.
 * @param path Path of the file.
 * @return The settings, or `invalid_argument`.
 */
[[nodiscard]] core::result<entry_settings> read_entry_settings(const std::string& path);

} // namespace lagoonsaddle::edge

#endif
