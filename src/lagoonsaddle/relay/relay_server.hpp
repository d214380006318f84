#ifndef LAGOONSADDLE_RELAY_RELAY_SERVER_HPP
#define LAGOONSADDLE_RELAY_RELAY_SERVER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/relay/messages.hpp>

namespace lagoonsaddle::relay {

/*! @brief Decides which connections a relay makes. */
class relay_policy {
public:
    relay_policy() = default;
    relay_policy(const relay_policy&) = delete;
    relay_policy& operator=(const relay_policy&) = delete;
    virtual ~relay_policy() = default;

    /**
     * @brief Decides on a request to connect to an upstream.
     * @param request The request.
     * @param remote_address Address that the request came from.
     * @return The endpoint of the upstream, or why the connection is refused.
     */
    [[nodiscard]] virtual core::result<core::endpoint> admit(
        const open_request& request, std::string_view remote_address) = 0;

    /*! @brief Called when the relay listens after all, because its address has become free. */
    virtual void on_listening() = 0;

    /*! @brief Called with the outcome of a connection attempt to an upstream. */
    virtual void on_connect(const open_request& request, bool connected) = 0;

    /**
     * @brief Called when a connection to an upstream was reset before the upstream answered.
     * @param upstream Id of the upstream.
     * @return Whether the upstream has reset it, rather than a partition of this node.
     */
    [[nodiscard]] virtual boost::asio::awaitable<bool> reset_by_upstream(std::string upstream) = 0;
};

/*! @brief Options of `relay_server`. */
struct relay_server_options {
    core::endpoint listen{};
    /*! @brief Limit of the relayed connections; each holds two buffers of 16 KiB at most. */
    std::size_t connections_max{256u};
    /*! @brief Time for the request to arrive. */
    std::chrono::milliseconds request_timeout{500};
    /*! @brief Time for the connection to the upstream. */
    std::chrono::milliseconds connect_timeout{350};
    /*! @brief Limit of the lifetime that a request may state. */
    std::chrono::milliseconds lifetime_max{60'000};
    /*! @brief Time after which unacknowledged data ends a connection. */
    std::chrono::milliseconds unacknowledged_timeout{2'500};
    /*! @brief Time between two attempts to listen on an address that is in use. */
    std::chrono::milliseconds address_retry_interval{500};
};

/**
 * @brief Joins connections of peers to connections to upstreams, one exchange each, and passes their bytes on unread.
 *
 * Reads from one side only what the other side has taken, so that a slow reader slows the writer. A peer that closes
 * its connection ends that to the upstream, and one that resets it resets that. When the upstream ends its connection,
 * or resets it before it has answered, the relay ends the peer's: the peer may take that for a crash of the upstream.
 * When the upstream resets its connection later, or this process ends, the peer's is reset, so that a cut answer cannot
 * be taken for a complete one. Must only be used from the thread that runs the `io_context`.
 */
class relay_server {
public:
    /**
     * @brief Creates a relay that does not listen yet.
     * @param context Executes the connections; must outlive the relay.
     * @param policy Decides on connections; must outlive the relay.
     * @param options Options.
     */
    relay_server(boost::asio::io_context& context, relay_policy& policy, relay_server_options options);
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;
    ~relay_server();

    /**
     * @brief Starts to listen. When the address is in use, the relay listens as soon as it is free.
     * @return Nothing, or `unavailable` when the address cannot be bound yet.
     */
    [[nodiscard]] core::result<void> start();

    /*! @brief Returns the port that the relay listens on; 0 before it listens. */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief Stops accepting connections; those that are relayed go on. */
    void stop_accepting();

    /*! @brief Returns the number of connections that are relayed at present. */
    [[nodiscard]] std::size_t active_connections() const noexcept;

private:
    class state;
    class session;
    std::shared_ptr<state> shared;
};

} // namespace lagoonsaddle::relay

#endif
