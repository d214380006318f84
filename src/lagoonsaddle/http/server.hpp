#ifndef LAGOONSADDLE_HTTP_SERVER_HPP
#define LAGOONSADDLE_HTTP_SERVER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/byte_budget.hpp>
#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/http/message.hpp>

namespace lagoonsaddle::http {

/*! @brief Sends the response to one request, whole or in chunks. Not thread-safe: use it on the handler's executor. */
class response_writer {
public:
    response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    virtual ~response_writer() = default;

    /**
     * @brief Sends a whole response. Nothing else may be sent before or after.
     * @param message The response.
     * @return Nothing, or `connection_lost`.
     */
    virtual boost::asio::awaitable<core::result<void>> send(response message) = 0;

    /**
     * @brief Starts a response whose body is sent piece by piece: in chunks, or to an HTTP/1.0 peer until the
     * connection ends.
     * @param status Status code.
     * @param headers Header fields.
     * @return Nothing, or `connection_lost`.
     */
    virtual boost::asio::awaitable<core::result<void>> begin(unsigned status, fields headers) = 0;

    /**
     * @brief Sends a piece of the body. `begin` comes first.
     * @param data Bytes of the piece; must stay valid until the operation completes.
     * @return Nothing, or `connection_lost`.
     */
    virtual boost::asio::awaitable<core::result<void>> write(std::string_view data) = 0;

    /**
     * @brief Ends a response that `begin` has started.
     * @return Nothing, or `connection_lost`.
     */
    virtual boost::asio::awaitable<core::result<void>> finish() = 0;

    /*! @brief Closes the connection without ending the response, so that the peer sees a truncated message. */
    virtual void abort() noexcept = 0;

    /*! @brief Tells whether `send` or `begin` was called. */
    [[nodiscard]] virtual bool started() const noexcept = 0;

    /**
     * @brief Registers a callback for a peer that closes the connection while its request is handled.
     * @param callback Called at most once, on the handler's executor, and not after the handler has ended.
     */
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

/*! @brief Handles the requests of a server. Called from several threads at once. */
class handler {
public:
    handler() = default;
    handler(const handler&) = delete;
    handler& operator=(const handler&) = delete;
    virtual ~handler() = default;

    /**
     * @brief Handles one request. A request that gets no response is answered with status 500.
     * @param message The request.
     * @param writer Takes the response; valid until the returned operation completes.
     */
    virtual boost::asio::awaitable<void> handle(request message, response_writer& writer) = 0;

    /**
     * @brief Makes the response to a request that the server rejects without handling it.
     * @param message The request, without its body; its head may be empty.
     * @param status Status of the response.
     * @param failure The reason; its verdict is `not_run`.
     * @return The response.
     */
    [[nodiscard]] virtual response make_rejection(const request& message, unsigned status, const core::error& failure);
};

/*! @brief Options of a server. */
struct server_options {
    /*! @brief Address to listen on; port 0 picks a free port. */
    core::endpoint listen{.address = "127.0.0.1", .port = 0u};
    std::size_t body_limit_bytes{8u * 1024u * 1024u};
    std::uint32_t header_limit_bytes{16u * 1024u};
    /*! @brief Time that a caller has to send one whole request, from its first byte. */
    std::chrono::milliseconds request_timeout{15'000};
    /*! @brief Time that an idle connection is kept. */
    std::chrono::milliseconds idle_timeout{60'000};
    std::size_t connection_limit{16'384u};
    /*! @brief Limit of the request bodies that the server holds at a time; null for none. A request whose body exceeds
     * it is rejected with 503. */
    std::shared_ptr<core::byte_budget> body_memory{};
};

/*! @brief HTTP/1.1 server. Each connection runs on a strand of its own. Thread-safe. */
class server {
public:
    /**
     * @brief Makes a server that does not listen yet.
     * @param context Runs the connections; must outlive them.
     * @param target Handles the requests; must outlive the server and its connections.
     * @param options Options.
     */
    server(boost::asio::io_context& context, handler& target, server_options options);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /**
     * @brief Starts to listen.
     * @return Nothing, or `unavailable` when the address cannot be bound.
     */
    [[nodiscard]] core::result<void> start();

    /*! @brief Returns the port that the server listens on, valid after `start`. */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief Returns whether the last connection could be accepted; false while the process has no descriptors left.
     */
    [[nodiscard]] bool is_accepting() const noexcept;

    /*! @brief Returns the number of requests that are being received or handled. */
    [[nodiscard]] std::size_t active_requests() const noexcept;

    /*! @brief From now on responses close their connections. New connections are still accepted. */
    void begin_drain() noexcept;

    /*! @brief Stops accepting connections; responses from now on close theirs. Requests in flight go on. */
    void stop_accepting();

    /*! @brief Stops accepting connections and closes those on which no request is being received or handled. */
    void close_idle_connections();

    /*! @brief Closes the listener and all connections. */
    void close();

private:
    class connection;
    template<typename Function>
    void for_each_connection(Function function);

    struct state;
    std::shared_ptr<state> shared;
};

} // namespace lagoonsaddle::http

#endif
