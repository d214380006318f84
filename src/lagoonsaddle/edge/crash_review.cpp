#include <algorithm>
#include <string>

#include <lagoonsaddle/edge/crash_review.hpp>

namespace lagoonsaddle::edge {

bool crash_review::holds(
    const policy::quarantine_record& record, const upstream_table& upstreams, std::chrono::milliseconds now) const {
    const auto last_crash = record.suspect_until - this->settings.suspect_duration;
    if(now - last_crash < this->settings.lapse) {
        return true;
    }
    std::size_t confirmed{record.crashes.size()};
    for(const auto& [id, known] : upstreams.all()) {
        const auto incarnation = policy::crash_quarantine::crash_id(id, std::to_string(known.entry.started_ms));
        const bool blamed = std::ranges::find(record.crashes, incarnation) != record.crashes.end();
        confirmed -= blamed ? 1u : 0u;
    }
    return confirmed >= this->settings.crashes_until_quarantine;
}

} // namespace lagoonsaddle::edge
