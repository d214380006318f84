#ifndef LAGOONSADDLE_WIRE_ASYNC_QUEUE_HPP
#define LAGOONSADDLE_WIRE_ASYNC_QUEUE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace lagoonsaddle::wire {

/**
 * @brief Queue between threads whose reader is a coroutine.
 *
 * `push` may be called from any thread. At most one coroutine may wait in `pop` at a time.
 *
 * @tparam Type Type of the items.
 */
template<typename Type>
class async_queue : public std::enable_shared_from_this<async_queue<Type>> {
public:
    /**
     * @brief Appends an item and wakes the reader.
     * @param item The item.
     * @return Number of items that wait.
     */
    std::size_t push(Type item) {
        std::function<void()> waiting{};
        std::size_t count{};
        {
            const std::lock_guard lock{this->mutex};
            this->items.push_back(std::move(item));
            count = this->items.size();
            waiting = std::exchange(this->waiter, nullptr);
        }
        if(waiting) {
            waiting();
        }
        return count;
    }

    /**
     * @brief Takes the oldest item, and waits for one if there is none.
     * @param timeout Longest time to wait.
     * @return The item, or nothing when the time has passed.
     */
    [[nodiscard]] boost::asio::awaitable<std::optional<Type>> pop(std::chrono::milliseconds timeout) {
        const auto self = this->shared_from_this();
        if(auto item = this->try_pop(); item.has_value()) {
            co_return item;
        }
        boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, timeout};
        const auto current = this->next_ticket();
        timer.async_wait([self, current](const auto& failure) {
            if(!failure) {
                self->expire(current);
            }
        });
        co_await this->wait();
        timer.cancel();
        co_return this->try_pop();
    }

    /**
     * @brief Takes the oldest item without waiting.
     * @return The item, or nothing.
     */
    [[nodiscard]] std::optional<Type> try_pop() {
        const std::lock_guard lock{this->mutex};
        if(this->items.empty()) {
            return std::nullopt;
        }
        std::optional<Type> item{std::move(this->items.front())};
        this->items.pop_front();
        return item;
    }

private:
    [[nodiscard]] std::uint64_t next_ticket() {
        const std::lock_guard lock{this->mutex};
        return ++this->ticket;
    }

    void expire(std::uint64_t expired) {
        std::function<void()> waiting{};
        {
            const std::lock_guard lock{this->mutex};
            if(expired == this->ticket) {
                waiting = std::exchange(this->waiter, nullptr);
            }
        }
        if(waiting) {
            waiting();
        }
    }

    [[nodiscard]] boost::asio::awaitable<void> wait() {
        co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
            [this](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                std::function<void()> resume{[shared] {
                    auto executor = boost::asio::get_associated_executor(*shared);
                    boost::asio::post(executor, [shared] { std::move (*shared)(); });
                }};
                const std::lock_guard lock{this->mutex};
                if(this->items.empty()) {
                    this->waiter = std::move(resume);
                } else {
                    resume();
                }
            },
            boost::asio::use_awaitable);
    }

    std::mutex mutex{};
    std::deque<Type> items{};
    std::function<void()> waiter{};
    std::uint64_t ticket{};
};

} // namespace lagoonsaddle::wire

#endif
