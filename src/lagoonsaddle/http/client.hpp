#ifndef LAGOONSADDLE_HTTP_CLIENT_HPP
#define LAGOONSADDLE_HTTP_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/message.hpp>

namespace lagoonsaddle::http {

class connection_pool;
class connector;

/*! @brief Options of a client. */
struct client_options {
    std::chrono::milliseconds connect_timeout{1'000};
    /*! @brief Time that an idle connection is kept for reuse. Below the idle timeout of usual servers. */
    std::chrono::milliseconds idle_timeout{20'000};
    std::size_t idle_connections_per_endpoint{256u};
    /*! @brief Idle connections to all endpoints; the oldest is closed for a further one. */
    std::size_t idle_connections_max{1'024u};
    std::size_t body_limit_bytes{8u * 1024u * 1024u};
    /*! @brief Time after which unacknowledged data ends a connection; zero leaves it to the system. */
    std::chrono::milliseconds unacknowledged_timeout{0};
    /*! @brief Closes the idle connections to an endpoint when an exchange with it is lost or times out: what silenced
     * that connection may have silenced them as well. */
    bool close_idle_after_loss{false};
};

/*! @brief Lets another coroutine on the same executor end an exchange, from its start on. Not thread-safe. */
class exchange_control {
public:
    /*! @brief Closes the connection of the exchange, now or as soon as it is made; resets it while the peer has not
     * taken the whole body. The exchange ends with an error. */
    void cancel() noexcept;

    [[nodiscard]] bool cancelled() const noexcept {
        return this->stopped;
    }

    /*! @brief Returns whether the peer has ended the connection in an orderly way before it answered. */
    [[nodiscard]] bool closed_unanswered() const noexcept {
        return this->ended_unanswered;
    }

private:
    friend class client;

    std::function<void()> close{};
    bool stopped{false};
    bool ended_unanswered{false};
};

/*! @brief Options of one exchange. */
struct exchange_options {
    /*! @brief Time for the whole exchange, body included. */
    std::chrono::milliseconds timeout{30'000};
    /*! @brief Largest body of the response, or nothing for the limit of the client. */
    std::optional<std::size_t> body_limit_bytes{};
    /*! @brief Longest idle time of a connection that may be reused; zero makes a new connection. */
    std::chrono::milliseconds reuse_within{std::chrono::hours{1}};
    /*! @brief Sends a safe request again when a reused connection turns out to be closed by the peer. */
    bool resend_safe{true};
    /*! @brief Keeps the `host` field of the request instead of naming the target. */
    bool keep_host{false};
    /*! @brief Tells whether a response head belongs to the request; others are skipped. Empty accepts any head. */
    std::function<bool(unsigned status, const fields& headers)> accepts{};
    /*! @brief Receives the means to cancel the exchange; may be null. */
    std::shared_ptr<exchange_control> control{};
    /*! @brief Fails with `connection_refused` instead of making a connection when no idle one can be reused. */
    bool reuse_only{false};
    /*! @brief Closes the connection after a response with a status of 400 or above. A faulty peer may send that one
     * again, which would be taken for the next response where responses name no request. */
    bool close_after_refusal{false};
    /*! @brief Makes the connection, which is then used for this exchange alone; null to connect to the target. */
    std::shared_ptr<connector> via{};
};

/*! @brief Response whose body is read piece by piece. Not thread-safe. Destroying it closes the connection. */
class response_stream {
public:
    response_stream() = default;
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    virtual ~response_stream() = default;

    [[nodiscard]] virtual unsigned status() const noexcept = 0;
    [[nodiscard]] virtual const fields& headers() const noexcept = 0;
    /*! @brief Returns whether the connection has carried other exchanges before, whose responses may arrive late. */
    [[nodiscard]] virtual bool reused() const noexcept = 0;
    /*! @brief Returns whether the body has neither a length nor chunks, so that the end of the connection ends it. */
    [[nodiscard]] virtual bool close_delimited() const noexcept = 0;

    /**
     * @brief Reads the next piece of the body.
     * @return A non-empty piece, an empty one at the proper end of the body, or `connection_lost` or `timeout`. The end
     * of a connection that was reset ends no body.
     */
    virtual boost::asio::awaitable<core::result<std::string>> read() = 0;

    /*! @brief Closes the connection, or resets it while the peer has not taken the whole body of the request; a pending
     * `read` fails. Call it on the executor of the reader. */
    virtual void close() noexcept = 0;
};

/**
 * @brief HTTP/1.1 client with a pool of idle connections per endpoint. Thread-safe.
 *
 * Errors carry a verdict: `not_run` when the connection was never made, `may_have_run` when any byte may have left.
 * A request whose target or fields would end their line in the head fails with `invalid_argument` and is not sent.
 * A response with a status outside of 100 to 599 is none: the exchange fails with `protocol_error`. Interim ones are
 * skipped.
 */
class client {
public:
    explicit client(client_options options);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /**
     * @brief Sends a request and reads the whole response.
     * @param target Where to send it.
     * @param message The request. `host` and `content-length` are set by the client.
     * @param timeout Time for the whole exchange.
     * @return The response, or an error with a verdict.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<response>> send(
        core::endpoint target, request message, std::chrono::milliseconds timeout);

    /**
     * @brief Sends a request and reads the whole response.
     * @param target Where to send it.
     * @param message The request. `host` and `content-length` are set by the client.
     * @param options Options of the exchange.
     * @return The response, or an error with a verdict.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<response>> send(
        core::endpoint target, request message, exchange_options options);

    /**
     * @brief Sends a request and returns after the response head.
     * @param target Where to send it.
     * @param message The request.
     * @param timeout Time for the whole exchange, body included.
     * @return The stream, or an error with a verdict.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<response_stream>>> open(
        core::endpoint target, request message, std::chrono::milliseconds timeout);

    /**
     * @brief Sends a request and returns after the response head.
     * @param target Where to send it.
     * @param message The request.
     * @param options Options of the exchange.
     * @return The stream, or an error with a verdict.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::unique_ptr<response_stream>>> open(
        core::endpoint target, request message, exchange_options options);

    /**
     * @brief Makes a connection and keeps it idle for a later exchange.
     * @param target Where to connect.
     * @return Nothing, or `connection_refused`.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<void>> preconnect(core::endpoint target);

    /*! @brief Closes idle connections that have expired or that the peer has closed. Call it about once a second:
     * nothing else closes those to endpoints that are no longer used. */
    void close_stale_connections();

    /*! @brief Returns the number of idle connections. */
    [[nodiscard]] std::size_t idle_connections() const;

    /*! @brief Returns the number of connections made since construction. */
    [[nodiscard]] std::uint64_t connections_made() const noexcept;

private:
    class stream;
    std::shared_ptr<connection_pool> connections;
};

} // namespace lagoonsaddle::http

#endif
