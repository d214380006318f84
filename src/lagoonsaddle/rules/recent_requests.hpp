#ifndef LAGOONSADDLE_RULES_RECENT_REQUESTS_HPP
#define LAGOONSADDLE_RULES_RECENT_REQUESTS_HPP

#include <array>
#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::rules {

/*! @brief Keeps the latest requests for previews. Thread-safe: sharded by request id, one mutex per shard. */
class recent_requests {
public:
    /**
     * @brief Constructs an empty store.
     * @param capacity Number of requests to keep, rounded up to a multiple of the number of shards.
     */
    explicit recent_requests(std::size_t capacity = 2'048u);

    /**
     * @brief Adds a request; if its shard is full, the oldest request of the shard is removed.
     * @param attributes The request.
     */
    void record(request_attributes attributes);

    /**
     * @brief Returns a copy of the stored requests.
     * @return The requests in order of time.
     */
    [[nodiscard]] std::vector<request_attributes> snapshot() const;

private:
    struct shard_state {
        mutable std::mutex mutex{};
        std::deque<request_attributes> requests{};
    };

    static constexpr std::size_t shard_count = 8u;

    std::size_t shard_capacity;
    std::array<shard_state, shard_count> shards{};
};

} // namespace lagoonsaddle::rules

#endif
