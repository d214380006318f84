#ifndef LAGOONSADDLE_STANDINS_HISTORY_HPP
#define LAGOONSADDLE_STANDINS_HISTORY_HPP

#include <cstddef>
#include <deque>
#include <utility>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::standins {

/**
 * @brief Timestamped values of a state that is reported with a lag. Not thread-safe.
 * @tparam Type Type of the values.
 */
template<typename Type>
class history {
public:
    /*! @brief A value and the time from which it is valid. */
    struct entry {
        core::time_point since{};
        Type value{};
    };

    /**
     * @brief Constructs an empty history.
     * @param retention Longest lag for which values are kept.
     */
    explicit history(core::duration retention) : retention_period{retention} {}

    /**
     * @brief Adds a value.
     * @param now Time from which it is valid, not earlier than that of the previous value.
     * @param value The value.
     */
    void record(core::time_point now, Type value) {
        this->entries.push_back(entry{.since = now, .value = std::move(value)});
        // The newest entry older than the retention is kept: it is the value at the start of the retained
        // period.
        while(this->entries.size() > 1u && this->entries[1].since + this->retention_period <= now) {
            this->entries.pop_front();
        }
    }

    /**
     * @brief Looks up the value at a past time.
     * @param time A time.
     * @return The entry valid at that time, the oldest entry for earlier times, or null when there is none.
     */
    [[nodiscard]] const entry* entry_at(core::time_point time) const {
        if(this->entries.empty()) {
            return nullptr;
        }
        auto index = this->entries.size() - 1u;
        while(index > 0u && this->entries[index].since > time) {
            --index;
        }
        return &this->entries[index];
    }

    void clear() noexcept {
        this->entries.clear();
    }

private:
    core::duration retention_period;
    std::deque<entry> entries{};
};

} // namespace lagoonsaddle::standins

#endif
