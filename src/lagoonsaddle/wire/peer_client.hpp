#ifndef LAGOONSADDLE_WIRE_PEER_CLIENT_HPP
#define LAGOONSADDLE_WIRE_PEER_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/wire/frame.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::wire {

/*! @brief Options of a connection to a peer node. */
struct peer_client_options {
    core::endpoint target{};
    hello self{};
    std::chrono::milliseconds connect_timeout{1'000};
};

/*! @brief Frames that answer one message. At most one coroutine reads it. Destroying it cancels the exchange. */
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    virtual ~exchange() = default;

    /**
     * @brief Waits for the next frame. Frames arrive in sequence; repeated ones are dropped.
     * @param timeout Longest time to wait.
     * @return The frame, or `timeout`, `connection_lost` or `protocol_error` (a frame is missing), all `may_have_run`.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<frame>> next(std::chrono::milliseconds timeout) = 0;

    /*! @brief Tells the peer that nobody waits for the answer any more. */
    virtual void cancel() = 0;
};

/*! @brief Frame that may come before the single answer to a call, also several times, and the time to wait after it. */
struct interim_frame {
    message_type type{};
    std::chrono::milliseconds timeout{};
};

/*! @brief Counters of a connection to a peer. */
struct peer_counters {
    std::uint64_t connects{};
    std::uint64_t unknown_exchange{};
    std::uint64_t repeated_frames{};
    std::uint64_t skipped_frames{};
};

/**
 * @brief Multiplexed connection to one peer node, made on demand and again after a loss. Thread-safe.
 *
 * A peer of an earlier release closes the connection at a message that it does not know. Messages beyond
 * `baseline_message_type` are therefore sent only after the greeting of the peer has shown that it knows them.
 */
class peer_client {
public:
    peer_client(boost::asio::io_context& context, peer_client_options options);
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    ~peer_client();

    /**
     * @brief Sends a message whose answer is a sequence of frames. Waits for the connection and the greeting of the
     * peer for `connect_timeout` at most.
     * @param type Type of the message.
     * @param body Packed message.
     * @return The exchange, or an error that is `not_run`.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::shared_ptr<exchange>>> open(
        message_type type, std::string body);

    /**
     * @brief Sends a message whose answer is a single frame.
     * @param type Type of the message.
     * @param body Packed message.
     * @param timeout Time until the first frame, with that for the connection and the greeting of the peer.
     * @param interim Frame that says that the answer takes longer, if the peer may send one.
     * @return The answer, or an error with a verdict; `unavailable` when the peer does not know the message. One that
     * ends before the message was sent is `not_run`.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<frame>> call(message_type type, std::string body,
        std::chrono::milliseconds timeout, std::optional<interim_frame> interim = std::nullopt);

    /**
     * @brief Sends a message without an answer; it is lost when no connection can be made, or the peer does not know
     * it.
     * @param type Type of the message.
     * @param body Packed message.
     */
    [[nodiscard]] boost::asio::awaitable<void> notify(message_type type, std::string body);

    [[nodiscard]] peer_counters counters() const;

    /*! @brief Closes the connection; open exchanges end with `connection_lost`. */
    void close();

private:
    class state;
    class open_exchange;
    class time_limit;

    [[nodiscard]] boost::asio::awaitable<core::result<std::shared_ptr<exchange>>> open_within(
        message_type type, std::string body, time_limit limit);

    std::shared_ptr<state> shared;
};

} // namespace lagoonsaddle::wire

#endif
