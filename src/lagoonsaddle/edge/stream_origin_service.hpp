#ifndef LAGOONSADDLE_EDGE_STREAM_ORIGIN_SERVICE_HPP
#define LAGOONSADDLE_EDGE_STREAM_ORIGIN_SERVICE_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/route_table.hpp>
#include <lagoonsaddle/edge/stream_archive.hpp>
#include <lagoonsaddle/edge/stream_archive_service.hpp>
#include <lagoonsaddle/edge/stream_origin_table.hpp>
#include <lagoonsaddle/edge/unseen_versions.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of `stream_origin_service`, all of which must outlive it. */
struct stream_origin_context {
    boost::asio::io_context& io;
    const core::clock& clock;
    log_sink& log;
    const route_table& routes;
    const upstream_table& upstreams;
    cluster::membership_service& membership;
    cluster::peer_directory& peers;
    stream_archive& archive;
    unseen_versions& unseen;
};

/**
 * @brief Tells where a stream began that its caller resumes, on whichever node.
 *
 * The node that passes on the first event keeps the origin and sends it to a few nodes that follow from the id of the
 * request (`select_replicas`); the node at which the stream is resumed asks the same ones. What outlives all nodes is
 * in the store (`stream_archive`). When no node knows the stream, it can only have begun at the one software version
 * that its service has had for as long as a stream can last; if there were several, no node has seen that long, or the
 * store does not confirm that no other version has joined until now, the origin is unknown. Must only be used from the
 * thread that runs the `io_context`.
 */
class stream_origin_service {
public:
    stream_origin_service(stream_origin_context context, std::string node_name);

    /**
     * @brief Records where a stream begins, on this node and on its replicas.
     * @param request Id of the request that brings the first event.
     * @param origin Where it begins.
     * @param lifetime Time for which the stream may be resumed.
     */
    void record(const std::string& request, const stream_origin& origin, std::chrono::milliseconds lifetime);

    /**
     * @brief Finds out where a stream began.
     * @param request Id of the request that brought the first event; empty when the caller names none.
     * @param service Service that the route of the request leads to.
     * @return The origin, whose version is always known, or nothing.
     */
    [[nodiscard]] boost::asio::awaitable<std::optional<stream_origin>> resolve(
        std::string request, std::string service);

    /*! @brief Takes over the streams that nodes had recorded in the store before this process started. */
    void adopt(const std::vector<resumable_stream>& streams);

    /*! @brief Waits with each question until the records of the store have been read, for a short time. */
    void wait_for(std::shared_ptr<const stream_archive_service> records) {
        this->archived_records = std::move(records);
    }

    /*! @brief Applies what another node has recorded. */
    void merge(std::string_view packed);

    /*! @brief Returns the answer to the question of another node. */
    [[nodiscard]] wire::stream_origin_reply make_reply(const wire::stream_origin_get& question) const;

    /*! @brief Removes expired records. */
    void expire();

    /*! @brief Returns the number of streams whose origin this node knows. */
    [[nodiscard]] std::size_t record_count() const noexcept {
        return this->origins.size();
    }

private:
    /*! @brief What one or more nodes know of a stream and of the software versions of its service. */
    struct findings {
        std::optional<stream_origin> origin{};
        std::set<std::string, std::less<>> versions{};
        bool versions_complete{};
    };

    [[nodiscard]] findings look_up(std::string_view request, std::string_view service) const;
    /*! @brief Adds what the replicas know, until one of them knows the stream. */
    [[nodiscard]] boost::asio::awaitable<void> ask_replicas(wire::stream_origin_get question, findings& found);
    /*! @brief Returns the only version at which a stream that no node knows can have begun, or nothing. */
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> find_only_version(
        const std::string& service, findings& found);
    /*! @brief Returns the names of the nodes that keep the origin of a stream, without this one. */
    [[nodiscard]] std::vector<std::string> replicas_of(std::string_view request) const;
    void log_result(std::string_view request, const stream_origin* origin, std::string_view source);

    stream_origin_context context;
    std::string node_name;
    stream_origin_table origins{};
    std::shared_ptr<const stream_archive_service> archived_records{};
};

} // namespace lagoonsaddle::edge

#endif
