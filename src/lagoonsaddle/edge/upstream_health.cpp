#include <cmath>

#include <lagoonsaddle/edge/upstream_health.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Time in which the weight of an outcome decays to 1/e. */
constexpr std::chrono::duration<double> decay_time{4.0};
/*! @brief Successes that an upstream is credited with initially. */
constexpr double prior_successes{3.0};
/*! @brief Time for which an upstream counts as unreachable after a failed connection attempt. */
constexpr std::chrono::milliseconds unreachable_duration{700};

[[nodiscard]] double decay_factor(core::time_point since, core::time_point now) noexcept {
    return std::exp(-std::chrono::duration<double>{now - since} / decay_time);
}

} // namespace

void upstream_health::decay(core::time_point now) noexcept {
    const auto factor = decay_factor(this->updated, now);
    this->outcomes *= factor;
    this->failures *= factor;
    this->updated = now;
}

void upstream_health::record(bool failed, core::time_point now) noexcept {
    this->decay(now);
    this->outcomes += 1.0;
    this->failures += failed ? 1.0 : 0.0;
    if(!failed) {
        this->unreachable_until = {};
    }
}

void upstream_health::record_unreachable(core::time_point now) noexcept {
    this->record(true, now);
    this->unreachable_until = now + unreachable_duration;
}

double upstream_health::failure_ratio(core::time_point now) const noexcept {
    const auto factor = decay_factor(this->updated, now);
    return this->failures * factor / (this->outcomes * factor + prior_successes);
}

bool upstream_health::unreachable(core::time_point now) const noexcept {
    return now < this->unreachable_until;
}

} // namespace lagoonsaddle::edge
