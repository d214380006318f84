#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/load_window.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Weight of the newest duration in the mean. */
constexpr int mean_weight_divisor{8};
/*! @brief Share of the window that is used during a probe. */
constexpr double probe_share{0.5};
/*! @brief Load times that a probe takes: one until fewer loads are in progress, and one to measure. */
constexpr int probe_load_times{2};
/*! @brief Share of its former size at which a decrease is reported. */
constexpr double reported_decrease{0.75};

[[nodiscard]] double ratio(core::duration first, core::duration second) noexcept {
    return static_cast<double>(first.count()) / static_cast<double>(std::max<core::duration::rep>(second.count(), 1));
}

} // namespace

load_window::load_window(load_window_options options)
    : settings{options},
      size{options.initial},
      mean_duration{options.expected_duration},
      probe_interval{options.probe_interval_min},
      peak{options.initial} {}

std::size_t load_window::limit(core::time_point now) const noexcept {
    const auto allowed = now < this->probe_until ? this->size * probe_share : this->size;
    return static_cast<std::size_t>(std::max(allowed, this->settings.min));
}

std::optional<core::duration> load_window::shortest() const noexcept {
    if(this->shortest_current && this->shortest_previous) {
        return std::min(*this->shortest_current, *this->shortest_previous);
    }
    return this->shortest_current ? this->shortest_current : this->shortest_previous;
}

void load_window::update_shortest(core::duration value, core::time_point now) noexcept {
    if(now - this->shortest_rotated >= this->settings.shortest_lifetime) {
        this->shortest_previous = std::exchange(this->shortest_current, std::nullopt);
        this->shortest_rotated = now;
    }
    this->shortest_current = std::min(this->shortest_current.value_or(value), value);
}

void load_window::start_probe_if_due(const completed_load& load, core::time_point now) noexcept {
    if(!load.window_full || !this->uncongested_at) {
        this->uncongested_at = now;
    } else if(now - *this->uncongested_at >= this->probe_interval) {
        this->uncongested_at = now;
        this->probe_interval = std::min(this->probe_interval * 2, this->settings.probe_interval_max);
        this->probe_until = now + this->mean_duration * probe_load_times;
    }
}

void load_window::update_size(const completed_load& load) noexcept {
    const auto least = this->shortest().value_or(load.duration);
    const auto observed = std::max(load.duration - this->settings.tolerance, least);
    const auto slowdown = 1.0 - ratio(least, observed);
    const auto queued = this->size * slowdown;
    if(queued > this->settings.excess) {
        this->slow_start = false;
    }
    // Applied once for each completed load, this amounts to the whole difference in one load time.
    auto change = (this->settings.excess - queued) / this->size;
    if(change > 0.0) {
        change = this->slow_start ? 1.0 : change;
        change = load.window_full ? change : 0.0;
    }
    this->size = std::clamp(this->size + change, this->settings.min, this->settings.max);
    this->peak = std::max(this->peak, this->size);
}

void load_window::record_load(const completed_load& load, core::time_point now) {
    if(load.duration <= this->settings.memory_load_max) {
        return;
    }
    this->mean_duration = this->shortest()
                              ? this->mean_duration + (load.duration - this->mean_duration) / mean_weight_divisor
                              : load.duration;
    this->update_shortest(load.duration, now);
    if(now < this->probe_until) {
        return;
    }
    this->update_size(load);
    this->start_probe_if_due(load, now);
}

std::optional<std::size_t> load_window::take_decrease() noexcept {
    if(this->size > this->peak * reported_decrease) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::exchange(this->peak, this->size));
}

} // namespace lagoonsaddle::edge
