#ifndef LAGOONSADDLE_EDGE_UPSTREAM_THROTTLE_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_THROTTLE_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Returns the number of nodes that share the limit of an upstream.
 *
 * Each sender may send one request at any time, however low the limit is, so that only as many nodes send as keeps the
 * sum close to the limit. They are the same for all nodes, and differ between upstreams.
 *
 * @param per_second Requests per second that the upstream takes from all nodes together.
 * @param upstream Id of the upstream.
 * @param node_name Name of the node.
 * @param live_nodes Names of the live nodes, including this one.
 * @return The number of senders; 0 when this node is not one of them.
 */
[[nodiscard]] std::size_t count_senders(
    double per_second, std::string_view upstream, std::string_view node_name, std::span<const std::string> live_nodes);

/**
 * @brief Paces the requests of one node to one upstream as the upstream asks for in its responses.
 *
 * A limit holds for all nodes together until the upstream answers without one. Not thread-safe.
 */
class upstream_throttle {
public:
    /**
     * @brief Applies the limit that a response of the upstream states.
     * @param per_second The limit, or nothing when the response states none.
     * @param sent_at When the request was sent: a response to an earlier request may not show a newer limit.
     * @param now Current time.
     * @return True when the limit has changed.
     */
    bool observe(std::optional<double> per_second, core::time_point sent_at, core::time_point now);

    /*! @brief Applies a limit, or its end, that another node has observed. Returns true when the limit has changed. */
    bool assign(std::optional<double> per_second, core::time_point now);

    /*! @brief Holds back the requests of this node until a time, because the upstream has asked for it. */
    void hold(core::time_point until) noexcept;

    /*! @brief Returns the limit in requests per second, or nothing. */
    [[nodiscard]] std::optional<double> limit() const noexcept {
        return this->per_second;
    }

    /**
     * @brief Returns the time until this node may send a request.
     * @param senders Number of nodes that share the limit; 0 when this node may not send.
     * @param now Current time.
     * @return The time, 0 when it may send now, or nothing when it may not send at all.
     */
    [[nodiscard]] std::optional<core::duration> wait_time(std::size_t senders, core::time_point now) const;

    /*! @brief Records that a request was sent. */
    void record_send(core::time_point now) noexcept;

private:
    std::optional<double> per_second{};
    core::time_point assigned_at{};
    core::time_point held_until{core::time_point::min()};
    std::optional<core::time_point> last_send{};
};

} // namespace lagoonsaddle::edge

#endif
