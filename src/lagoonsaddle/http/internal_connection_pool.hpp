#ifndef LAGOONSADDLE_HTTP_INTERNAL_CONNECTION_POOL_HPP
#define LAGOONSADDLE_HTTP_INTERNAL_CONNECTION_POOL_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle::http {

/*! @brief Idle connections of a client by endpoint. Thread-safe. */
class connection_pool {
public:
    explicit connection_pool(client_options values) : settings{values} {}

    [[nodiscard]] const client_options& options() const noexcept {
        return this->settings;
    }

    /**
     * @brief Takes an idle connection that can be used, the one used last first.
     * @param target Endpoint of the connection.
     * @param reuse_within Longest time for which the connection may have been idle.
     * @return The connection, or nothing.
     */
    [[nodiscard]] std::optional<boost::asio::ip::tcp::socket> take(
        const core::endpoint& target, std::chrono::milliseconds reuse_within);

    /**
     * @brief Keeps a connection. Closes the oldest one when there are too many.
     * @param target Endpoint of the connection.
     * @param socket The connection.
     * @param peer_timeout Time for which the peer keeps the connection; nothing when it states none.
     */
    void give(const core::endpoint& target, boost::asio::ip::tcp::socket socket,
        std::optional<std::chrono::milliseconds> peer_timeout);

    /*! @brief Closes the idle connections that have expired or that the peer has closed. */
    void close_stale();

    [[nodiscard]] std::size_t idle_connections();

    /*! @brief Closes the idle connections to an endpoint. */
    void close_idle(const core::endpoint& target);

    void count_connection() noexcept {
        this->made.fetch_add(1u, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t connections_made() const noexcept {
        return this->made.load(std::memory_order_relaxed);
    }

private:
    using idle_clock = std::chrono::steady_clock;

    struct entry {
        boost::asio::ip::tcp::socket socket;
        idle_clock::time_point since;
        idle_clock::time_point expires;
    };

    [[nodiscard]] std::size_t idle_count() const noexcept;
    void close_oldest();

    client_options settings;
    std::atomic<std::uint64_t> made{0u};
    std::mutex mutex{};
    std::map<core::endpoint, std::deque<entry>> idle{};
};

} // namespace lagoonsaddle::http

#endif
