#ifndef LAGOONSADDLE_EDGE_STORE_BACKOFF_HPP
#define LAGOONSADDLE_EDGE_STORE_BACKOFF_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <lagoonsaddle/edge/protocol.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `store_backoff`. */
struct store_backoff_options {
    /*! @brief Longest delay before the first retry of a failed call; doubles with each failure up to `delay_max`. */
    std::chrono::milliseconds delay_min{60};
    std::chrono::milliseconds delay_max{400};
    /*! @brief Longest time that the other watchers wait for the result of the probing watcher. */
    std::chrono::milliseconds probe_wait_max{1'500};
    /*! @brief Seed of the jitter. */
    std::uint32_t seed{std::random_device{}()};
};

/**
 * @brief Exponential backoff shared by all watchers of a node while the store is unavailable.
 *
 * One watcher probes the store by retrying its call; the others wait for its result. Every call to the store is billed,
 * even a refused one, so that retries of all watchers of all nodes would be expensive during an outage. Not
 * thread-safe.
 */
class store_backoff {
public:
    explicit store_backoff(boost::asio::io_context& io, store_backoff_options options = {});

    /**
     * @brief Records that a watcher's call failed and waits until the watcher may retry it.
     * @param kind Kind of record that the watcher reads.
     */
    [[nodiscard]] boost::asio::awaitable<void> wait_after_failure(record_kind kind);

    /*! @brief Records that the store answered, and wakes all waiting watchers. */
    void record_success();

    /*! @brief Returns whether the watcher of a kind probes the store at present. */
    [[nodiscard]] bool is_probing(record_kind kind) const noexcept {
        return this->probing_kind == kind;
    }

    /*! @brief Returns the longest delay before the next retry of the probing watcher. */
    [[nodiscard]] std::chrono::milliseconds next_delay_max() const noexcept;

    /*! @brief Draws the delay before the next retry, between half and all of the longest one: nodes that lost the store
     * together must not all call it again at the same time. */
    [[nodiscard]] std::chrono::milliseconds draw_delay();

private:
    boost::asio::io_context& context;
    store_backoff_options settings;
    std::minstd_rand random;
    /*! @brief Timers of the watchers, one for each kind of record. */
    std::map<record_kind, boost::asio::steady_timer> timers{};
    /*! @brief Kind of record whose watcher probes the store; empty while the store answers. */
    std::optional<record_kind> probing_kind{};
    unsigned consecutive_failures{};
};

} // namespace lagoonsaddle::edge

#endif
