#ifndef LAGOONSADDLE_WIRE_INTERNAL_LINK_HPP
#define LAGOONSADDLE_WIRE_INTERNAL_LINK_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/core/tcp_options.hpp>
#include <lagoonsaddle/wire/frame.hpp>

namespace lagoonsaddle::wire::internal {

/*! @brief One TCP connection that carries frames. The socket is bound to a strand; `send` is thread-safe. */
class link : public std::enable_shared_from_this<link> {
public:
    using frame_callback = std::function<bool(frame)>;
    using close_callback = std::function<void()>;

    explicit link(boost::asio::ip::tcp::socket connected) : socket{std::move(connected)} {
        boost::system::error_code ignored{};
        this->socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
        core::set_unacknowledged_timeout(this->socket, unacknowledged_timeout);
    }

    /**
     * @brief Starts to read.
     * @param received Called for each frame on the link's strand; returns false to close the link.
     * @param closed Called once, after the last frame.
     */
    void start(frame_callback received, close_callback closed) {
        boost::asio::co_spawn(
            this->socket.get_executor(),
            [self = this->shared_from_this(), received = std::move(received),
                closed = std::move(closed)]() -> boost::asio::awaitable<void> {
                co_await self->read_frames(received);
                self->close();
                closed();
            },
            core::task_end{"peer_link_reader"});
    }

    /**
     * @brief Queues a frame. Frames are written in order; several may share one write.
     * @param message The frame.
     * @return False when the link is closed.
     */
    bool send(const frame& message) {
        const std::lock_guard lock{this->mutex};
        if(!this->open.load() || this->outbound.size() > outbound_limit_bytes) {
            return false;
        }
        encode(message, this->outbound);
        if(!this->writing) {
            this->writing = true;
            boost::asio::co_spawn(
                this->socket.get_executor(),
                [self = this->shared_from_this()]() -> boost::asio::awaitable<void> { co_await self->write_frames(); },
                core::task_end{"peer_link_writer"});
        }
        return true;
    }

    /*! @brief Closes the link from any thread. */
    void stop() {
        this->open = false;
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->close(); });
    }

    [[nodiscard]] bool is_open() const noexcept {
        return this->open.load();
    }

private:
    /*! @brief Ends a link that has fallen silent, so that the next message is sent over a new one. */
    static constexpr std::chrono::milliseconds unacknowledged_timeout{1'000};
    static constexpr std::size_t read_size{32u * 1024u};
    /*! @brief Limit of a frame before the peer has said who it is. */
    static constexpr std::size_t greeting_limit_bytes{16u * 1024u};
    // A peer that does not read is cut off before it takes the node's memory.
    static constexpr std::size_t outbound_limit_bytes{32u * 1024u * 1024u};

    boost::asio::awaitable<void> read_frames(const frame_callback& received) {
        frame_decoder decoder{greeting_limit_bytes};
        std::array<char, read_size> buffer{};
        while(this->open.load()) {
            boost::system::error_code failure{};
            const auto count = co_await this->socket.async_read_some(
                boost::asio::buffer(buffer), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if(failure) {
                co_return;
            }
            decoder.feed({buffer.data(), count});
            while(true) {
                auto decoded = decoder.next();
                if(!decoded) {
                    co_return;
                }
                if(!decoded->has_value()) {
                    break;
                }
                if(!received(std::move(**decoded))) {
                    co_return;
                }
            }
        }
    }

    boost::asio::awaitable<void> write_frames() {
        std::string batch{};
        while(true) {
            batch.clear();
            {
                const std::lock_guard lock{this->mutex};
                if(this->outbound.empty() || !this->open.load()) {
                    this->writing = false;
                    co_return;
                }
                batch.swap(this->outbound);
            }
            boost::system::error_code failure{};
            co_await boost::asio::async_write(this->socket, boost::asio::buffer(batch),
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if(failure) {
                this->close();
            }
        }
    }

    void close() {
        this->open = false;
        boost::system::error_code ignored{};
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    std::atomic<bool> open{true};
    std::mutex mutex{};
    std::string outbound{};
    bool writing{false};
};

} // namespace lagoonsaddle::wire::internal

#endif
