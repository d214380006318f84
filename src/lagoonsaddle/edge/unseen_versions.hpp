#ifndef LAGOONSADDLE_EDGE_UNSEEN_VERSIONS_HPP
#define LAGOONSADDLE_EDGE_UNSEEN_VERSIONS_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `unseen_versions`. */
struct unseen_versions_options {
    /*! @brief Longest time for which a question waits. */
    std::chrono::milliseconds timeout{500};
    /*! @brief Shortest time between two reads, which limits the calls when many streams are resumed at once. */
    std::chrono::milliseconds read_interval{50};
};

/**
 * @brief Finds the software versions of upstreams that have joined and that this node has not seen yet.
 *
 * The list of upstreams may be seconds old. Its absence of a version proves something about a stream only when the list
 * has been compared with the store after the stream began. Each question is answered by a read that begins after it;
 * questions that arrive during a read share the next one. Must only be used from the thread that runs the `io_context`.
 */
class unseen_versions : public std::enable_shared_from_this<unseen_versions> {
public:
    /*! @brief Reads the changes of upstreams that this node has not applied, from the store's current data. */
    using read_function = std::function<boost::asio::awaitable<core::result<record_page>>()>;
    using version_set = std::set<std::string, std::less<>>;

    /**
     * @brief Creates the reader.
     * @param io Runs the reads; must outlive this object.
     * @param runtime_clock Runtime clock; must outlive this object.
     * @param read Reads the changes.
     * @param options Options.
     */
    unseen_versions(boost::asio::io_context& io, const core::clock& runtime_clock, read_function read,
        unseen_versions_options options = {});

    /**
     * @brief Reads which versions of a service have joined unseen.
     * @param service Name of the service.
     * @return The versions, or nothing when the store has not answered in time.
     */
    [[nodiscard]] boost::asio::awaitable<std::optional<version_set>> read(std::string service);

private:
    using page_type = std::shared_ptr<const core::result<record_page>>;
    using queue_type = wire::async_queue<page_type>;

    /*! @brief Reads until no question waits. */
    [[nodiscard]] boost::asio::awaitable<void> answer_questions();

    boost::asio::io_context& context;
    const core::clock& clock;
    read_function read_changes;
    unseen_versions_options settings;
    std::vector<std::shared_ptr<queue_type>> waiting{};
    bool reading{false};
};

/*! @brief Returns the software versions of the upstreams of a service that changes hold. */
[[nodiscard]] std::set<std::string, std::less<>> software_versions_in(
    const record_page& changes, std::string_view service);

} // namespace lagoonsaddle::edge

#endif
