#include <algorithm>

#include <lagoonsaddle/edge/path_monitor.hpp>

namespace lagoonsaddle::edge {

void path_monitor::begin_exchange(std::uint64_t id, core::time_point now) {
    this->waiting[id] = now;
}

void path_monitor::record_received(std::uint64_t id, const std::string& upstream, core::time_point now) {
    if(const auto found = this->waiting.find(id); found != this->waiting.end()) {
        found->second = now;
    }
    this->heard[upstream] = now;
    this->last_received = now;
}

void path_monitor::end_exchange(std::uint64_t id) {
    this->waiting.erase(id);
}

std::vector<std::uint64_t> path_monitor::silent_exchanges(core::time_point now) const {
    std::vector<std::uint64_t> silent{};
    for(const auto& [id, since] : this->waiting) {
        if(now - since >= this->settings.silence_max) {
            silent.push_back(id);
        }
    }
    return silent;
}

bool path_monitor::is_silent(core::time_point now) const {
    const bool none_received =
        this->last_received == core::time_point::min() || now - this->last_received >= this->settings.silence_max;
    return none_received && !this->silent_exchanges(now).empty();
}

bool path_monitor::is_sample_due(core::time_point now) const {
    if(this->partitioned()) {
        return now - this->last_sample->started >= this->settings.probe_interval;
    }
    const bool sampled = this->last_sample && now - this->last_sample->started < this->settings.silence_sample_interval;
    return !sampled && this->is_silent(now);
}

bool path_monitor::is_sample_valid(core::time_point now) const {
    return this->last_sample && this->last_sample->reached &&
           now - this->last_sample->started < this->settings.sample_validity;
}

std::vector<std::string> path_monitor::choose_sample(std::span<const std::string> upstreams, std::string_view suspect) {
    std::vector<std::string> chosen{};
    std::ranges::remove_copy(upstreams, std::back_inserter(chosen), suspect);
    if(chosen.empty()) {
        chosen.assign(upstreams.begin(), upstreams.end());
    }
    std::erase_if(this->heard,
        [upstreams](const auto& entry) { return std::ranges::find(upstreams, entry.first) == upstreams.end(); });
    if(this->partitioned() && !chosen.empty()) {
        std::ranges::rotate(chosen, chosen.begin() + static_cast<std::ptrdiff_t>(this->next_probe % chosen.size()));
        this->next_probe += this->settings.sample_size;
    } else {
        const auto last_heard = [this](const std::string& id) {
            const auto found = this->heard.find(id);
            return found == this->heard.end() ? core::time_point::min() : found->second;
        };
        std::ranges::stable_sort(chosen, std::ranges::greater{}, last_heard);
    }
    chosen.resize(std::min(chosen.size(), this->settings.sample_size));
    return chosen;
}

bool path_monitor::apply(const path_sample& sample, core::time_point now) {
    this->last_sample = sample;
    if(sample.tried == 0u) {
        return false;
    }
    const bool lost = !sample.reached;
    if(lost == this->partitioned()) {
        return false;
    }
    this->lost_since = lost ? std::optional{sample.started} : std::nullopt;
    if(!lost) {
        this->last_received = now;
    }
    return true;
}

std::optional<core::duration> path_monitor::reuse_limit(core::time_point now) const {
    return this->lost_since ? std::optional{now - *this->lost_since} : std::nullopt;
}

} // namespace lagoonsaddle::edge
