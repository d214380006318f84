#include <algorithm>
#include <string>

#include <lagoonsaddle/edge/crash_verifier.hpp>

namespace lagoonsaddle::edge {

bool crash_verifier::confirms_quarantine(
    const policy::quarantine_record& record, const upstream_table& upstreams, std::chrono::milliseconds now) const {
    const auto last_crash = record.suspect_until - this->settings.suspect_duration;
    if(now - last_crash < this->settings.entry_ttl) {
        return true;
    }
    std::size_t confirmed{record.crashes.size()};
    for(const auto& [id, upstream] : upstreams.all()) {
        const auto crash_id = policy::crash_quarantine::crash_id(id, std::to_string(upstream.entry.started_ms));
        const bool still_running = std::ranges::find(record.crashes, crash_id) != record.crashes.end();
        confirmed -= still_running ? 1u : 0u;
    }
    return confirmed >= this->settings.crashes_until_quarantine;
}

} // namespace lagoonsaddle::edge
