#ifndef LAGOONSADDLE_FLEET_CONFIG_REPLICA_HPP
#define LAGOONSADDLE_FLEET_CONFIG_REPLICA_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::fleet {

/*! @brief Name and version of a configuration object. */
struct config_version {
    std::string name{};
    std::uint64_t version{};

    friend bool operator==(const config_version&, const config_version&) = default;
};

/*! @brief Configuration object with its body. */
struct config_object {
    std::string name{};
    std::uint64_t version{};
    std::string body{};

    friend bool operator==(const config_object&, const config_object&) = default;
};

/*! @brief Settings of `config_replica`. */
struct config_replica_settings {
    /*! @brief Time after which a fetch without a result is started again. */
    core::duration fetch_retry{std::chrono::milliseconds{500}};
};

/**
 * @brief Local replica of the configuration objects on one node, with the versions applied by other nodes.
 *
 * Performs no I/O and is not thread-safe. An applied version is never replaced by a lower one.
 */
class config_replica {
public:
    explicit config_replica(config_replica_settings settings = {});

    /**
     * @brief Records that a version exists, as seen in a gossip item, a watch event or a list of the object API.
     * @param name Name of the configuration object, such as `rules`.
     * @param version Existing version.
     * @return True when it is higher than all versions known before.
     */
    bool observe_version(std::string_view name, std::uint64_t version);

    /**
     * @brief Records the versions that a seed node knows. `ready` requires all of them to be applied.
     * @param versions Versions known to the seed; empty when it knows none.
     */
    void require_versions(const std::vector<config_version>& versions);

    /**
     * @brief Applies an object unless its version is lower than or equal to the applied one.
     * @param object Object with its body.
     * @return True when the object was applied.
     */
    bool apply(config_object object);

    /**
     * @brief Returns the versions to fetch now and marks their fetches as started.
     * @param now Current time.
     * @return The highest known version of each object whose applied version is lower and that is not being fetched.
     */
    [[nodiscard]] std::vector<config_version> begin_fetches(core::time_point now);

    /**
     * @brief Records a failed fetch, so that the next `begin_fetches` returns the object again.
     * @param name Name of the configuration object.
     */
    void on_fetch_failed(std::string_view name);

    /**
     * @brief Returns the applied version of an object.
     * @param name Name of the configuration object.
     * @return The object, or null when none was applied. Valid until the next non-const call.
     */
    [[nodiscard]] const config_object* find(std::string_view name) const;

    /*! @brief Returns the applied versions by name. */
    [[nodiscard]] std::vector<config_version> applied_versions() const;

    /*! @brief Returns the highest known versions by name. */
    [[nodiscard]] std::vector<config_version> known_versions() const;

    /*! @brief Returns whether a seed has sent its versions and all of them, or higher ones, are applied. */
    [[nodiscard]] bool ready() const;

    /**
     * @brief Records the version that another node has applied. A lower version from the same process is ignored.
     * @param node Name of the node.
     * @param boot_id Boot id of the node; a different one discards all versions recorded for the node.
     * @param name Name of the configuration object.
     * @param version Version applied by the node.
     */
    void record_node_version(
        std::string_view node, std::uint64_t boot_id, std::string_view name, std::uint64_t version);

    /**
     * @brief Discards the versions recorded for a node that has left or died.
     * @param node Name of the node.
     */
    void forget_node(std::string_view node);

    /**
     * @brief Counts the nodes that have applied each version of an object.
     * @param name Name of the configuration object.
     * @return Number of nodes by version.
     */
    [[nodiscard]] std::map<std::uint64_t, std::size_t> count_nodes_by_version(std::string_view name) const;

private:
    struct object_state {
        std::uint64_t highest_known{};
        std::uint64_t required_version{};
        std::optional<config_object> applied{};
        std::optional<core::time_point> fetch_started{};
    };

    struct reported_versions {
        std::uint64_t boot_id{};
        std::map<std::string, std::uint64_t, std::less<>> versions{};
    };

    object_state& find_or_create(std::string_view name);

    config_replica_settings options;
    std::map<std::string, object_state, std::less<>> objects{};
    std::map<std::string, reported_versions, std::less<>> node_versions{};
    bool seed_versions_received{};
};

} // namespace lagoonsaddle::fleet

#endif
