#ifndef LAGOONSADDLE_CORE_CLOCK_HPP
#define LAGOONSADDLE_CORE_CLOCK_HPP

#include <atomic>
#include <chrono>

namespace lagoonsaddle::core {

class clock;

/*! @brief Unit of all durations of the project. */
using duration = std::chrono::nanoseconds;

/*! @brief Instant on the runtime clock, counted from an arbitrary epoch of the VM. */
using time_point = std::chrono::time_point<clock, duration>;

/*! @brief Source of the current time. Injected everywhere, so that tests can pause and advance it. */
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /**
     * @brief Returns the current time.
     * @return An instant that is never earlier than one returned before.
     */
    [[nodiscard]] virtual time_point now() const noexcept = 0;
};

/*! @brief Monotonic clock that also counts while the VM is paused or suspended. */
class boot_clock final : public clock {
public:
    [[nodiscard]] time_point now() const noexcept override;
};

/*! @brief Clock for tests: stands still until it is advanced. Safe to share between threads. */
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const noexcept override;

    /**
     * @brief Moves the clock forward.
     * @param step Time to add; must not be negative.
     */
    void advance(duration step) noexcept;

private:
    std::atomic<duration::rep> elapsed{0};
};

/**
 * @brief Returns the wall-clock time for displays and expiry times that are shared between VMs.
 * @return Milliseconds since the Unix epoch.
 */
[[nodiscard]] std::chrono::milliseconds unix_time() noexcept;

} // namespace lagoonsaddle::core

#endif
