#include <algorithm>
#include <string>

#include <lagoonsaddle/edge/crash_verifier.hpp>

namespace lagoonsaddle::edge {

std::vector<std::uint64_t> crash_ids_of_running(const upstream_table& upstreams) {
    std::vector<std::uint64_t> ids{};
    if(!upstreams.is_current()) {
        return ids;
    }
    ids.reserve(upstreams.all().size());
    for(const auto& [id, upstream] : upstreams.all()) {
        ids.push_back(policy::crash_quarantine::crash_id(id, std::to_string(upstream.entry.started_ms)));
    }
    std::ranges::sort(ids);
    return ids;
}

bool crash_verifier::confirms_quarantine(
    const policy::quarantine_record& record, const upstream_table& upstreams, std::chrono::milliseconds now) const {
    const auto last_crash = record.suspect_until - this->settings.suspect_duration;
    if(now - last_crash < this->settings.entry_ttl) {
        return true;
    }
    const auto running = crash_ids_of_running(upstreams);
    const auto confirmed = std::ranges::count_if(
        record.crashes, [&running](std::uint64_t crash) { return !std::ranges::binary_search(running, crash); });
    return static_cast<std::size_t>(confirmed) >= this->settings.crashes_until_quarantine;
}

} // namespace lagoonsaddle::edge
