#ifndef LAGOONSADDLE_EDGE_OUTAGE_GATE_HPP
#define LAGOONSADDLE_EDGE_OUTAGE_GATE_HPP

#include <chrono>
#include <map>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/edge/protocol.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `outage_gate`. */
struct outage_gate_options {
    /*! @brief Delay before the first repetition of a call that failed; it doubles up to the longest. */
    std::chrono::milliseconds delay_min{60};
    std::chrono::milliseconds delay_max{400};
    /*! @brief Longest time that a watcher waits for the one that repeats its call. */
    std::chrono::milliseconds wait_max{1'500};
};

/**
 * @brief Lets one watcher of a node ask whether the store is back, while the others wait for its answer.
 *
 * Answers an outage of the store in a large fleet: every call is priced, also one that is refused, and each node has a
 * watcher for each kind of record. Not thread-safe.
 */
class outage_gate {
public:
    explicit outage_gate(boost::asio::io_context& io, outage_gate_options options = {});

    /**
     * @brief Notes that a call of a watcher failed, and waits until it may be repeated.
     * @param kind Kind of the watcher's records.
     */
    [[nodiscard]] boost::asio::awaitable<void> wait_after_failure(record_kind kind);

    /*! @brief Notes that the store answered; the watchers that wait go on at once. */
    void answered();

    /*! @brief Returns the delay before the next repetition. */
    [[nodiscard]] std::chrono::milliseconds next_delay() const noexcept;

private:
    boost::asio::io_context& context;
    outage_gate_options settings;
    /*! @brief Timers of the watchers, one for each kind of record. */
    std::map<record_kind, boost::asio::steady_timer> waiting{};
    /*! @brief Whose watcher repeats its call; empty while the store answers. */
    std::optional<record_kind> prober{};
    unsigned failures{};
};

} // namespace lagoonsaddle::edge

#endif
