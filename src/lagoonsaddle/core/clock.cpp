#include <ctime>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::core {

time_point boot_clock::now() const noexcept {
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec}};
}

time_point manual_clock::now() const noexcept {
    return time_point{duration{this->elapsed.load(std::memory_order_acquire)}};
}

void manual_clock::advance(duration step) noexcept {
    this->elapsed.fetch_add(step.count(), std::memory_order_acq_rel);
}

std::chrono::milliseconds unix_time() noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace lagoonsaddle::core
