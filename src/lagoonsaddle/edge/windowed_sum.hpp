#ifndef LAGOONSADDLE_EDGE_WINDOWED_SUM_HPP
#define LAGOONSADDLE_EDGE_WINDOWED_SUM_HPP

#include <deque>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Sum of what was added within a sliding window.
 *
 * Amounts that are added shortly after each other share an entry, which leaves the window with the latest of them, so
 * that the sum is never too low and the number of entries is bounded. Not thread-safe.
 */
class windowed_sum {
public:
    /*! @brief Constructs an empty sum over a window of the given length. */
    explicit windowed_sum(core::duration window_length) noexcept : length{window_length} {}

    /*! @brief Adds an amount at a time that is not before those of earlier calls. */
    void add(double amount, core::time_point now);

    /*! @brief Returns the sum of the window that ends now. */
    [[nodiscard]] double sum(core::time_point now);

private:
    struct entry {
        core::time_point first{};
        core::time_point last{};
        double amount{};
    };

    core::duration length;
    std::deque<entry> entries{};
};

} // namespace lagoonsaddle::edge

#endif
