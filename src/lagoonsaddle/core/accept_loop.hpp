#ifndef LAGOONSADDLE_CORE_ACCEPT_LOOP_HPP
#define LAGOONSADDLE_CORE_ACCEPT_LOOP_HPP

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::core {

/**
 * @brief Whether a listener can accept connections. It logs when it cannot, typically because the process has no
 * descriptors left. One thread at a time may change it; reads are thread-safe.
 */
class accept_status {
public:
    /*! @brief Shortest time between two log lines: descriptors are freed and used up many times a second under load. */
    static constexpr std::chrono::seconds log_interval{10};

    /**
     * @brief Makes the status of a listener that can accept.
     * @param listener Name of the listener, for the log.
     */
    explicit accept_status(std::string listener) : name{std::move(listener)} {}

    /**
     * @brief Records that no connection could be accepted.
     * @param now The current time.
     * @param message What failed.
     */
    void record_failure(time_point now, std::string_view message);

    /*! @brief Records that a connection was accepted. */
    void record_success() noexcept;

    /*! @brief Returns whether the last attempt failed. */
    [[nodiscard]] bool is_failing() const noexcept {
        return this->failing.load(std::memory_order_relaxed);
    }

private:
    std::string name;
    std::atomic<bool> failing{false};
    std::optional<time_point> logged_at{};
};

/**
 * @brief Accepts the next connection. After a failure it waits and tries again, since accepting again at once would
 * spin while no descriptor is free.
 * @param acceptor The acceptor; the coroutine must run on its executor.
 * @param executor Executor of the connection.
 * @param status Takes the result of each attempt.
 * @return The connection, or nothing when the acceptor was closed.
 */
[[nodiscard]] boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> accept_next(
    boost::asio::ip::tcp::acceptor& acceptor, boost::asio::any_io_executor executor, accept_status& status);

} // namespace lagoonsaddle::core

#endif
