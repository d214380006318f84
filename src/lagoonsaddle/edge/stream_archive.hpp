#ifndef LAGOONSADDLE_EDGE_STREAM_ARCHIVE_HPP
#define LAGOONSADDLE_EDGE_STREAM_ARCHIVE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/stream_origin_table.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `stream_archive`. */
struct stream_archive_options {
    /*! @brief Name of this node. */
    std::string node_name{};
    /*! @brief Number of streams in a record; those that expire last are kept. */
    std::size_t streams_max{4'096u};
    /*! @brief Longest break between two observations after which the history of versions goes on. */
    std::chrono::milliseconds observation_gap_max{2'000};
    /*! @brief Largest difference between the times of day of two nodes, or before and after a step of one. */
    std::chrono::milliseconds clock_error_max{5'000};
    /*! @brief Time between two removals of what has expired. */
    std::chrono::milliseconds prune_interval{1'000};
};

/*! @brief What a node sees of the software versions of its upstreams. */
struct version_observation {
    /*! @brief Versions of all known upstreams, by service. */
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> versions{};
    /*! @brief Time since which the store has shown all upstreams; nothing while it does not. */
    std::optional<core::time_point> seen_since{};
    /*! @brief Longest time that a stream may take. */
    std::chrono::milliseconds stream_time{};
};

/**
 * @brief Content of this node's record in the store: what is needed to resume streams after all nodes have stopped.
 *
 * It holds the software versions that services had, and the streams that this node began at a service of several
 * versions. A service of one version needs no streams: all that is needed is that there was no other one. Times are
 * Unix times, because records outlive processes. Not thread-safe.
 */
class stream_archive {
public:
    using unix_time_type = std::chrono::milliseconds;

    explicit stream_archive(stream_archive_options options);

    /*! @brief Adds a stream that this node began or goes on with. */
    void add(const std::string& request, const stream_origin& origin, unix_time_type expires);

    /**
     * @brief Takes over what nodes had recorded before this process started.
     * @param records Records of all nodes.
     * @param epoch Epoch of the store.
     * @param now Current time of day.
     * @param steady_now Current time.
     * @return The streams that may still be resumed.
     */
    std::vector<resumable_stream> load(
        std::span<const stream_record> records, std::uint64_t epoch, unix_time_type now, core::time_point steady_now);

    /*! @brief Updates the versions that services have, and since when all of them have been seen. */
    void observe(const version_observation& seen, unix_time_type now, core::time_point steady_now);

    /*! @brief Returns the versions that a service had in a time before now. */
    [[nodiscard]] std::set<std::string, std::less<>> versions(
        std::string_view service, std::chrono::milliseconds time, unix_time_type now) const;

    /*! @brief Returns whether all versions of a time before now are known. */
    [[nodiscard]] bool is_complete(std::chrono::milliseconds time, unix_time_type now) const;

    /*! @brief Returns whether the record has to be written (again) in this epoch of the store. A node that has seen no
     * upstream has nothing to record. */
    [[nodiscard]] bool is_outdated(std::uint64_t epoch) const noexcept;

    /*! @brief Returns the record to write. It counts as written until `write_failed`. */
    [[nodiscard]] stream_record make_record(std::uint64_t epoch, unix_time_type now);

    /*! @brief Records that the last record was not written. */
    void write_failed() noexcept;

private:
    struct archived_stream {
        stream_origin origin{};
        unix_time_type expires{};
    };

    [[nodiscard]] bool has_several_versions(std::string_view service) const;
    void add_version(const service_version& value);
    /*! @brief Records the end of versions that are no longer in sight. */
    void end_versions(const version_observation& seen, unix_time_type now);
    /*! @brief Removes streams that have expired, and versions that can have begun none of the others. */
    void prune(unix_time_type now);

    stream_archive_options settings;
    /*! @brief End of each version of a service, as in `service_version::until`. */
    std::map<std::pair<std::string, std::string>, unix_time_type> version_ends{};
    std::map<std::string, archived_stream, std::less<>> streams{};
    /*! @brief Time from which the versions are complete; nothing before the first observation. */
    std::optional<unix_time_type> complete_from{};
    /*! @brief Time until which the versions were observed, or loaded. */
    std::optional<core::time_point> observed_until{};
    std::chrono::milliseconds stream_time{0};
    unix_time_type pruned_at{0};
    std::optional<std::uint64_t> written_epoch{};
    bool changed{true};
};

} // namespace lagoonsaddle::edge

#endif
