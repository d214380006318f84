#include <algorithm>

#include <lagoonsaddle/edge/retry_budget.hpp>

namespace lagoonsaddle::edge {

void retry_budget::remove_expired(usage& entry, core::time_point now) const {
    const auto window_begin = now - this->settings.window;
    const auto remove_old = [window_begin](std::deque<core::time_point>& times) {
        while(!times.empty() && times.front() <= window_begin) {
            times.pop_front();
        }
    };
    remove_old(entry.requests);
    remove_old(entry.retries);
}

void retry_budget::record_request(std::string_view service, core::time_point now) {
    auto found = this->services.find(service);
    if(found == this->services.end()) {
        found = this->services.emplace(std::string{service}, usage{}).first;
    }
    found->second.requests.push_back(now);
    this->remove_expired(found->second, now);
}

bool retry_budget::try_consume(std::string_view service, std::size_t nodes, core::time_point now) {
    auto found = this->services.find(service);
    if(found == this->services.end()) {
        found = this->services.emplace(std::string{service}, usage{}).first;
    }
    auto& entry = found->second;
    this->remove_expired(entry, now);
    const auto fixed_share = this->settings.slack / static_cast<double>(std::max<std::size_t>(nodes, 1u));
    const auto allowed = this->settings.safety_factor *
                         (this->settings.ratio * static_cast<double>(entry.requests.size()) + fixed_share);
    if(static_cast<double>(entry.retries.size() + 1u) > allowed) {
        return false;
    }
    entry.retries.push_back(now);
    return true;
}

} // namespace lagoonsaddle::edge
