#include <algorithm>
#include <chrono>

#include <lagoonsaddle/standins/weight_store_model.hpp>

namespace lagoonsaddle::standins {

namespace {

constexpr std::chrono::seconds rate_window{1};
// Reported remaining time of a load while the speed is zero; the load is then checked again.
constexpr std::chrono::seconds stopped_poll_interval{1};

} // namespace

core::result<std::uint64_t> weight_store_model::start(const std::string& name, core::time_point now) {
    while(!this->recent_starts.empty() && this->recent_starts.front() + rate_window <= now) {
        this->recent_starts.pop_front();
    }
    if(this->recent_starts.size() >= this->settings.loads_per_second) {
        ++this->rejected_count;
        auto refusal = core::fail(core::reason::rate_limited, "too many loads were started in the last second");
        if(!this->recent_starts.empty()) {
            refusal.value().retry_after =
                std::chrono::ceil<std::chrono::milliseconds>(this->recent_starts.front() + rate_window - now);
        }
        return refusal;
    }
    this->recent_starts.push_back(now);
    ++this->totals[name];
    this->remaining_work.emplace(++this->last_load_id, static_cast<double>(this->settings.load_duration.count()));
    this->peak_concurrent_loads = std::max(this->peak_concurrent_loads, this->remaining_work.size());
    return this->last_load_id;
}

void weight_store_model::advance(core::time_point now, double rate_factor) {
    auto time = static_cast<double>((now - this->last_advance).count()) * rate_factor;
    this->last_advance = now;
    // Loads share the bandwidth equally until the smallest one completes; the rest then share it.
    while(!this->remaining_work.empty() && time > 0.) {
        const auto smallest = std::min_element(this->remaining_work.begin(), this->remaining_work.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        const auto share = std::min(smallest->second, time / static_cast<double>(this->remaining_work.size()));
        time -= share * static_cast<double>(this->remaining_work.size());
        for(auto& [load, left] : this->remaining_work) {
            left -= share;
        }
        if(std::erase_if(this->remaining_work, [](const auto& item) { return item.second < 1.; }) == 0u) {
            break;
        }
    }
}

std::optional<core::duration> weight_store_model::remaining(std::uint64_t load, double rate_factor) const {
    const auto found = this->remaining_work.find(load);
    if(found == this->remaining_work.end()) {
        return std::nullopt;
    }
    if(rate_factor <= 0.) {
        return stopped_poll_interval;
    }
    const auto needed = found->second * static_cast<double>(this->remaining_work.size()) / rate_factor;
    return core::duration{static_cast<core::duration::rep>(needed) + 1};
}

void weight_store_model::cancel(std::uint64_t load) {
    this->remaining_work.erase(load);
}

std::size_t weight_store_model::active() const noexcept {
    return this->remaining_work.size();
}

const std::map<std::string, std::uint64_t>& weight_store_model::loads() const noexcept {
    return this->totals;
}

std::size_t weight_store_model::concurrent_max() const noexcept {
    return this->peak_concurrent_loads;
}

std::uint64_t weight_store_model::rejected() const noexcept {
    return this->rejected_count;
}

} // namespace lagoonsaddle::standins
