#ifndef LAGOONSADDLE_EDGE_CONCURRENCY_LIMIT_HPP
#define LAGOONSADDLE_EDGE_CONCURRENCY_LIMIT_HPP

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `concurrency_limit`. */
struct concurrency_limit_options {
    /*! @brief Time between two sends of a node, in which a refusal of the first one becomes known. */
    core::duration send_interval{std::chrono::milliseconds{20}};
    /*! @brief Share of the tolerated refusals after which all nodes pause. */
    double refusal_share{0.6};
    /*! @brief Time in which all nodes together try once whether the upstream has more room. */
    core::duration growth_interval{std::chrono::milliseconds{1'000}};
    /*! @brief Time after a send in which a refusal of it would have arrived. */
    core::duration refusal_delay{std::chrono::milliseconds{100}};
    /*! @brief Time after a refusal in which the end of the upstream is taken for its consequence. */
    core::duration refusal_memory{std::chrono::seconds{2}};
    /*! @brief Shortest pause after a refusal, in which it becomes known to all nodes. */
    core::duration settle_time{std::chrono::milliseconds{50}};
    /*! @brief Longest time by which the pauses after one refusal end apart. */
    core::duration settle_spread{std::chrono::milliseconds{100}};
    /*! @brief Longest time by which the pauses after many refusals end apart. */
    core::duration pause_spread{std::chrono::milliseconds{200}};
};

/*! @brief A refusal of a request for want of room. */
struct room_refusal {
    /*! @brief Whether the request only asked whether there is more room. */
    bool growth{};
    /*! @brief Requests of this node that are in progress on the upstream. */
    unsigned in_flight{};
    /*! @brief Number of live nodes. */
    std::size_t nodes{};
    /*! @brief Between 0 and 1, to spread what all nodes do next. */
    double jitter{};
};

/**
 * @brief Limits the requests that one node has in progress on an upstream that falls over when it has to refuse many.
 *
 * Such an upstream states how many refusals per second it tolerates from all nodes together. When it refuses one for
 * want of room, it is full with what all nodes have in progress there: each node then keeps to its own number of these,
 * so that a request is sent when another one ends. A node exceeds its number by one from time to time, to find out
 * whether there is more room. All nodes pause shortly after each refusal, so that none replaces a request before it
 * knows of the refusal, and for longer when there were many within a second. Before the first refusal sends are only
 * spaced. Does not limit upstreams that state nothing. Not thread-safe.
 */
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options = {}) : settings{options} {}

    /**
     * @brief Applies what a response states.
     * @param refusals_per_second Refusals that the upstream tolerates, or nothing when the response states none.
     * @param sent_at When the request was sent: a response to an earlier one may not show a newer statement.
     * @param now Current time.
     * @return True when the statement has changed.
     */
    bool observe(std::optional<unsigned> refusals_per_second, core::time_point sent_at, core::time_point now);

    /*! @brief Forgets the refusals; an upstream that starts again is assumed to have as much room as before, and to
     * tolerate as few refusals. */
    void record_restart();

    /**
     * @brief Records a refusal of a request of this node; `growth` is set by this function.
     * @param refusal The refusal.
     * @param now Current time.
     * @return The refusal to tell the other nodes of, or nothing when the upstream tolerates any number.
     */
    std::optional<room_refusal> record_refusal(room_refusal refusal, core::time_point now);

    /*! @brief Records a refusal of a request of another node. */
    void record_peer_refusal(const room_refusal& refusal, core::time_point now);

    /*! @brief Records that a request was sent while `in_flight` others were in progress. */
    void record_send(unsigned in_flight, core::time_point now);

    /**
     * @brief Returns the time until this node may send a request.
     * @param in_flight Requests of this node that are in progress there.
     * @param now Current time.
     * @return The time, 0 when it may send now, or nothing when one of them has to end first.
     */
    [[nodiscard]] std::optional<core::duration> wait_time(unsigned in_flight, core::time_point now) const;

    /*! @brief Returns how many refusals per second the upstream tolerates; nothing when it states none. */
    [[nodiscard]] std::optional<unsigned> refusals_per_second() const noexcept {
        return this->refusals_tolerated;
    }

    /*! @brief Returns whether the upstream has refused so many requests recently that it may have fallen over. */
    [[nodiscard]] bool may_have_fallen_over(core::time_point now) const noexcept;

private:
    void apply_refusal(const room_refusal& refusal, core::time_point now);
    void pause_until(core::time_point time) noexcept;
    /*! @brief Returns how many refusals within a second make the nodes pause. */
    [[nodiscard]] std::size_t refusals_until_pause() const noexcept;

    concurrency_limit_options settings;
    /*! @brief Refusals per second that the upstream tolerates; nothing when it states none. */
    std::optional<unsigned> refusals_tolerated{};
    core::time_point stated_at{};
    /*! @brief Requests that may be in progress; nothing before the first refusal. */
    std::optional<unsigned> limit{};
    /*! @brief Refusals of requests of all nodes within the last second. */
    std::deque<core::time_point> refusals{};
    core::time_point paused_until{core::time_point::min()};
    core::time_point next_growth{core::time_point::min()};
    core::duration growth_time{};
    /*! @brief When a request was sent beyond the limit; nothing when its outcome is known. */
    std::optional<core::time_point> growth_sent_at{};
    std::optional<core::time_point> last_send{};
};

} // namespace lagoonsaddle::edge

#endif
