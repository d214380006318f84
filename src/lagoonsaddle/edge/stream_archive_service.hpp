#ifndef LAGOONSADDLE_EDGE_STREAM_ARCHIVE_SERVICE_HPP
#define LAGOONSADDLE_EDGE_STREAM_ARCHIVE_SERVICE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/store_backoff.hpp>
#include <lagoonsaddle/edge/stream_archive.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of `stream_archive_service`, all of which must outlive it. */
struct stream_archive_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    record_store& store;
    store_backoff& backoff;
    const route_table& routes;
    const upstream_table& upstreams;
    const cluster::membership_service& membership;
    stream_archive& archive;
};

/*! @brief Options of `stream_archive_service`. */
struct stream_archive_service_options {
    std::string node_name{};
    /*! @brief Time between two looks at the upstreams and the archive. */
    std::chrono::milliseconds poll_interval{50};
    /*! @brief Delay of the first write after a version was seen: the upstreams of other services may come into sight in
     * this time. */
    std::chrono::milliseconds first_write_delay{1'500};
    /*! @brief Shortest time between two writes of a node: streams that begin in it are not written yet. */
    std::chrono::milliseconds write_interval_min{400};
    /*! @brief Time between two writes of all nodes together, which limits the calls of a large fleet. */
    std::chrono::milliseconds fleet_write_interval{4};
};

/**
 * @brief Reads the records of all nodes' streams at the start, and then writes this node's record when it has changed.
 *
 * What was recorded while the store did not answer is written when it answers again. Must only be used from the thread
 * that runs the `io_context`.
 */
class stream_archive_service : public std::enable_shared_from_this<stream_archive_service> {
public:
    /*! @brief Called with the streams that other processes have recorded. */
    using load_function = std::function<void(const std::vector<resumable_stream>& streams)>;

    stream_archive_service(
        stream_archive_context context, stream_archive_service_options options, load_function on_loaded);

    /*! @brief Begins to read and write. */
    void start();

    /*! @brief Waits until the records have been read, at most for the given time. */
    [[nodiscard]] boost::asio::awaitable<void> wait_until_loaded(std::chrono::milliseconds timeout) const;

private:
    [[nodiscard]] boost::asio::awaitable<void> run();
    /*! @brief Reads the records and the revision of this node's one, as soon as the store answers. */
    [[nodiscard]] boost::asio::awaitable<record_page> read_records();
    void load(const record_page& page);
    /*! @brief Returns whether the record is outdated and the first write need not wait any longer. */
    [[nodiscard]] bool is_write_due();
    [[nodiscard]] boost::asio::awaitable<void> write();
    [[nodiscard]] version_observation observe_versions() const;
    [[nodiscard]] std::size_t count_live_nodes() const;

    stream_archive_context context;
    stream_archive_service_options settings;
    load_function on_loaded;
    /*! @brief Revision of this node's record; 0 while there is none. */
    std::uint64_t revision{};
    /*! @brief Time of the first write; nothing until the archive has something to write. */
    std::optional<core::time_point> first_write_at{};
    bool loaded{false};
};

/*! @brief Returns the time between two writes of a node in a fleet with so many live nodes. */
[[nodiscard]] std::chrono::milliseconds write_interval(
    const stream_archive_service_options& options, std::size_t live_nodes);

/*! @brief Returns the longest time that a stream may take by the routes of a configuration. */
[[nodiscard]] std::chrono::milliseconds longest_stream_time(const route_table& routes);

} // namespace lagoonsaddle::edge

#endif
