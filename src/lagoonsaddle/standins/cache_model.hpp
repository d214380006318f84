#ifndef LAGOONSADDLE_STANDINS_CACHE_MODEL_HPP
#define LAGOONSADDLE_STANDINS_CACHE_MODEL_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::standins {

/*! @brief An insertion into the prefix cache, or an eviction from it. */
struct cache_event {
    std::uint64_t sequence{};
    std::string prefix_digest{};
    bool cached{};
    core::time_point time{};
};

/*! @brief Prefix cache with least-recently-used eviction and a log of its changes. Not thread-safe. */
class cache_model {
public:
    /**
     * @brief Constructs an empty cache.
     * @param limit Maximum number of cached prefixes.
     */
    explicit cache_model(std::size_t limit) : capacity{limit} {}

    /**
     * @brief Marks a prefix as most recently used, inserting it when absent; evicts the least recently used one when
     * the cache is over its limit.
     * @param prefix_digest Digest of the prefix.
     * @param now Current time.
     */
    void touch(const std::string& prefix_digest, core::time_point now);

    [[nodiscard]] bool contains(const std::string& prefix_digest) const;

    /**
     * @brief Returns the events that follow a sequence number.
     * @param sequence Last sequence number that the caller has received.
     * @param until Events after this time are omitted.
     * @return The events in order.
     */
    [[nodiscard]] std::vector<cache_event> events_after(std::uint64_t sequence, core::time_point until) const;

    /*! @brief Removes all prefixes and events, as a restart does. Sequence numbers continue. */
    void clear();

private:
    void record(const std::string& prefix_digest, bool cached, core::time_point now);

    std::size_t capacity;
    std::uint64_t last_sequence{};
    std::list<std::string> lru_order{};
    std::unordered_map<std::string, std::list<std::string>::iterator> positions{};
    std::deque<cache_event> events{};
};

} // namespace lagoonsaddle::standins

#endif
