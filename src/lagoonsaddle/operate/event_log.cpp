#include <algorithm>
#include <utility>

#include <lagoonsaddle/operate/event_log.hpp>

namespace lagoonsaddle::operate {

nlohmann::json encode(const event& value) {
    return {{"sequence", value.sequence}, {"time_ms", value.time.count()}, {"kind", value.kind},
        {"subject", value.subject}, {"reason", value.reason}, {"count", value.count}};
}

event_log::event_log(std::size_t capacity) : capacity{std::max<std::size_t>(1u, capacity)} {}

void event_log::add(std::string kind, std::string subject, std::string reason, std::chrono::milliseconds time) {
    const std::lock_guard lock{this->mutex};
    ++this->last_sequence;
    if(!this->events.empty() && this->events.back().kind == kind && this->events.back().subject == subject &&
        this->events.back().reason == reason) {
        auto& latest = this->events.back();
        latest.sequence = this->last_sequence;
        latest.time = time;
        ++latest.count;
        return;
    }
    this->events.push_back({.sequence = this->last_sequence,
        .time = time,
        .kind = std::move(kind),
        .subject = std::move(subject),
        .reason = std::move(reason)});
    if(this->events.size() > this->capacity) {
        this->events.pop_front();
    }
}

std::vector<event> event_log::events_after(std::uint64_t sequence, std::size_t limit) const {
    const std::lock_guard lock{this->mutex};
    auto first = std::upper_bound(this->events.begin(), this->events.end(), sequence,
        [](std::uint64_t known_sequence, const event& logged) { return known_sequence < logged.sequence; });
    if(static_cast<std::size_t>(this->events.end() - first) > limit) {
        first = this->events.end() - static_cast<std::ptrdiff_t>(limit);
    }
    return {first, this->events.end()};
}

} // namespace lagoonsaddle::operate
