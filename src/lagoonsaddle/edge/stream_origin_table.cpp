#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/stream_origin_table.hpp>

namespace lagoonsaddle::edge {

void stream_origin_table::record(std::string_view request, stream_origin origin, core::time_point expires) {
    auto found = this->records.find(request);
    if(found == this->records.end()) {
        if(this->records.size() >= this->settings.records_max) {
            this->records.erase(
                std::ranges::min_element(this->records, {}, [](const auto& record) { return record.second.expires; }));
        }
        this->records.emplace(request, entry{.origin = std::move(origin), .expires = expires});
        return;
    }
    auto& known = found->second;
    if(!known.origin.software_version) {
        known.origin = std::move(origin);
    }
    known.expires = std::max(known.expires, expires);
}

const stream_origin* stream_origin_table::find(std::string_view request) const {
    const auto found = this->records.find(request);
    return found == this->records.end() ? nullptr : &found->second.origin;
}

void stream_origin_table::remove_expired(core::time_point now) {
    std::erase_if(this->records, [now](const auto& record) { return record.second.expires <= now; });
}

} // namespace lagoonsaddle::edge
