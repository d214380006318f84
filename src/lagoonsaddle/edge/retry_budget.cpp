#include <algorithm>

#include <lagoonsaddle/edge/retry_budget.hpp>

namespace lagoonsaddle::edge {

void retry_budget::expire(usage& entry, core::time_point now) const {
    const auto begin = now - this->settings.window;
    const auto drop_old = [begin](std::deque<core::time_point>& times) {
        while(!times.empty() && times.front() <= begin) {
            times.pop_front();
        }
    };
    drop_old(entry.requests);
    drop_old(entry.retries);
}

void retry_budget::record_request(std::string_view service, core::time_point now) {
    auto found = this->services.find(service);
    if(found == this->services.end()) {
        found = this->services.emplace(std::string{service}, usage{}).first;
    }
    found->second.requests.push_back(now);
    this->expire(found->second, now);
}

bool retry_budget::take(std::string_view service, std::size_t nodes, core::time_point now) {
    auto found = this->services.find(service);
    if(found == this->services.end()) {
        found = this->services.emplace(std::string{service}, usage{}).first;
    }
    auto& entry = found->second;
    this->expire(entry, now);
    const auto share = this->settings.slack / static_cast<double>(std::max<std::size_t>(nodes, 1u));
    const auto allowed =
        this->settings.safety * (this->settings.ratio * static_cast<double>(entry.requests.size()) + share);
    if(static_cast<double>(entry.retries.size() + 1u) > allowed) {
        return false;
    }
    entry.retries.push_back(now);
    return true;
}

} // namespace lagoonsaddle::edge
