#include <algorithm>
#include <cmath>

#include <lagoonsaddle/edge/upstream_speed.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Time in which the weight of an observation decays to 1/e: slow phases of upstreams last some seconds. */
constexpr std::chrono::duration<double> decay_time{2.5};
/*! @brief Bounds of a ratio; durations of services without models are in milliseconds. */
constexpr double ratio_min{0.05};
constexpr double ratio_max{60'000.0};
/*! @brief Largest factor between an observation and the present mean; a larger one is reduced to it. */
constexpr double step_factor_max{2.5};
/*! @brief Weight of the present mean from which observations are limited. */
constexpr double limiting_weight_min{2.0};
/*! @brief Limit of the total weight, whatever peers state. */
constexpr double weight_max{200.0};

[[nodiscard]] double decay_factor(core::time_point since, core::time_point now) noexcept {
    return std::exp(-std::chrono::duration<double>{now - since} / decay_time);
}

/*! @brief Returns the weight of a summary of a peer, or 0 when its numbers cannot be used. */
[[nodiscard]] double usable_weight(const speed_summary& summary) noexcept {
    const bool usable = std::isfinite(summary.ratio) && summary.ratio > 0.0 && std::isfinite(summary.weight);
    return usable ? std::clamp(summary.weight, 0.0, weight_max) : 0.0;
}

} // namespace

void upstream_speed::decayed_sum::add(double level, double added_weight, core::time_point now) noexcept {
    const auto factor = decay_factor(this->updated, now);
    this->weight = this->weight * factor + added_weight;
    this->sum = this->sum * factor + added_weight * level;
    this->updated = now;
    if(this->weight > weight_max) {
        this->sum *= weight_max / this->weight;
        this->weight = weight_max;
    }
}

speed_summary upstream_speed::decayed_sum::summarize(core::time_point now) const noexcept {
    if(this->weight <= 0.0) {
        return {};
    }
    return {.ratio = std::exp(this->sum / this->weight), .weight = this->weight * decay_factor(this->updated, now)};
}

double upstream_speed::limited_level(double ratio, core::time_point now) const noexcept {
    const double level = std::log(std::clamp(ratio, ratio_min, ratio_max));
    const auto present = this->total.summarize(now);
    if(present.weight < limiting_weight_min) {
        return level;
    }
    const double mean = std::log(present.ratio);
    const double step = std::log(step_factor_max);
    return std::clamp(level, mean - step, mean + step);
}

void upstream_speed::record(double ratio, double weight, core::time_point now) noexcept {
    if(!(weight > 0.0) || !std::isfinite(ratio)) {
        return;
    }
    const double level = this->limited_level(ratio, now);
    this->total.add(level, weight, now);
    this->unshared.add(level, weight, now);
}

void upstream_speed::merge(const speed_summary& observed, core::time_point now) noexcept {
    if(const double weight = usable_weight(observed); weight > 0.0) {
        this->total.add(this->limited_level(observed.ratio, now), weight, now);
    }
}

void upstream_speed::adopt(const speed_summary& known, core::time_point now) noexcept {
    const double weight = usable_weight(known);
    if(weight <= this->total.summarize(now).weight) {
        return;
    }
    const double level = std::log(std::clamp(known.ratio, ratio_min, ratio_max));
    this->total = decayed_sum{.weight = weight, .sum = weight * level, .updated = now};
}

speed_summary upstream_speed::summarize(core::time_point now) const noexcept {
    return this->total.summarize(now);
}

speed_summary upstream_speed::take_unshared(core::time_point now) noexcept {
    const auto taken = this->unshared.summarize(now);
    this->unshared = {};
    return taken;
}

} // namespace lagoonsaddle::edge
