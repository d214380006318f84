#ifndef LAGOONSADDLE_OPERATE_EVENT_LOG_HPP
#define LAGOONSADDLE_OPERATE_EVENT_LOG_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace lagoonsaddle::operate {

/*! @brief An action that the node took without an operator, such as an eviction. */
struct event {
    /*! @brief Sequence number, assigned from 1 without gaps. A repetition assigns a new number to the same entry. */
    std::uint64_t sequence{};
    /*! @brief Time of the latest occurrence since the Unix epoch. */
    std::chrono::milliseconds time{0};
    /*! @brief Kind, such as `takeover`, `eviction` or `quarantine`. */
    std::string kind{};
    /*! @brief Affected object, such as the name of an upstream. */
    std::string subject{};
    /*! @brief Reason for the action. */
    std::string reason{};
    /*! @brief Number of consecutive occurrences. */
    std::uint64_t count{1u};
};

/**
 * @brief Encodes an event.
 * @param value The event.
 * @return A JSON object.
 */
[[nodiscard]] nlohmann::json encode(const event& value);

/*! @brief Bounded log of the latest events. Thread-safe. */
class event_log {
public:
    /**
     * @brief Constructs an empty log.
     * @param capacity Maximum number of events; the oldest are dropped.
     */
    explicit event_log(std::size_t capacity = 2'000u);

    /**
     * @brief Adds an event. An event equal to the latest one increments its count instead.
     * @param kind Kind of the event.
     * @param subject Affected object.
     * @param reason Reason for the action.
     * @param time Time since the Unix epoch.
     */
    void add(std::string kind, std::string subject, std::string reason, std::chrono::milliseconds time);

    /**
     * @brief Returns the events after a sequence number.
     * @param sequence Sequence number of the last event already read; 0 for none.
     * @param limit Maximum number of events.
     * @return The newest events after that number, oldest first.
     */
    [[nodiscard]] std::vector<event> events_after(std::uint64_t sequence, std::size_t limit) const;

private:
    std::size_t capacity;
    mutable std::mutex mutex{};
    std::uint64_t last_sequence{};
    std::deque<event> events{};
};

} // namespace lagoonsaddle::operate

#endif
