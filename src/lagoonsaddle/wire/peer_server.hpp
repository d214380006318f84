#ifndef LAGOONSADDLE_WIRE_PEER_SERVER_HPP
#define LAGOONSADDLE_WIRE_PEER_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/wire/frame.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::wire {

/*! @brief Sends the frames that answer one message. Thread-safe. */
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /**
     * @brief Sends the next frame of the answer.
     * @param type Type of the message.
     * @param body Packed message.
     * @return False when the connection is closed.
     */
    virtual bool send(message_type type, std::string body) = 0;

    /**
     * @brief Registers a callback for a cancelled exchange or a lost connection. Called at once if that has happened.
     * @param callback Called at most once, from any thread.
     */
    virtual void on_cancel(std::function<void()> callback) = 0;
};

/*! @brief Handles the messages of peers. Called from several threads at once. */
class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    /**
     * @brief Handles one message on a strand of its own. The exchange ends when the returned operation completes.
     * @param peer Name of the node that sent it.
     * @param message The message.
     * @param answer Takes the answer.
     */
    virtual boost::asio::awaitable<void> handle(std::string peer, frame message, std::shared_ptr<responder> answer) = 0;
};

/*! @brief Accepts the connections of peers. Thread-safe. */
class peer_server {
public:
    /**
     * @brief Makes a server that does not listen yet.
     * @param context Runs the connections; must outlive them.
     * @param target Handles the messages; must outlive the server and its connections.
     * @param listen Address to listen on; port 0 picks a free port.
     * @param self Greeting to peers.
     */
    peer_server(boost::asio::io_context& context, peer_handler& target, core::endpoint listen, hello self);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

    /**
     * @brief Starts to listen.
     * @return Nothing, or `unavailable` when the address cannot be bound.
     */
    [[nodiscard]] core::result<void> start();

    /*! @brief Returns the port that the server listens on, valid after `start`. */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief Closes the listener and all connections. */
    void close();

private:
    class state;
    class connection;
    class connection_responder;
    std::shared_ptr<state> shared;
};

} // namespace lagoonsaddle::wire

#endif
