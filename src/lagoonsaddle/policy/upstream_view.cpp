#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

#include <lagoonsaddle/policy/upstream_view.hpp>

namespace lagoonsaddle::policy {

upstream_view::upstream_view(std::string name, std::string zone, upstream_view_options options)
    : upstream_name{std::move(name)}, availability_zone{std::move(zone)}, options{options} {}

const std::string& upstream_view::name() const noexcept {
    return this->upstream_name;
}

const std::string& upstream_view::zone() const noexcept {
    return this->availability_zone;
}

bool upstream_view::apply_report(upstream_report report) {
    if(this->report_received && report.sequence <= this->last_report.sequence) {
        return false;
    }
    this->last_report = std::move(report);
    this->report_received = true;
    this->resident_hashes.resize(this->last_report.resident.size());
    std::transform(this->last_report.resident.begin(), this->last_report.resident.end(), this->resident_hashes.begin(),
        std::hash<core::adapter_version>{});
    this->finished_since_report = 0u;
    const auto unreported = std::find_if(this->in_progress.begin(), this->in_progress.end(),
        [this](const auto& entry) { return entry.second.sent_at > this->last_report.observed_at; });
    this->first_unreported = unreported == this->in_progress.end() ? this->next_ticket : unreported->first;
    std::erase_if(
        this->assumed_loads, [this](const auto& entry) { return entry.second <= this->last_report.observed_at; });
    return true;
}

void upstream_view::reset() {
    this->report_received = false;
    this->last_report = {};
    this->resident_hashes.clear();
    this->first_unreported = this->in_progress.empty() ? this->next_ticket : this->in_progress.begin()->first;
    this->finished_since_report = 0u;
    this->assumed_loads.clear();
    this->last_cache_event.reset();
    this->prefix_hints.clear();
    this->prefix_hints_by_age.clear();
}

void upstream_view::drop_expired(core::time_point now) {
    while(!this->in_progress.empty() &&
          this->in_progress.begin()->second.sent_at + this->options.sent_request_expiry <= now) {
        this->in_progress.erase(this->in_progress.begin());
    }
    std::erase_if(this->assumed_loads,
        [this, now](const auto& entry) { return entry.second + this->options.assumed_load_expiry <= now; });
}

std::uint64_t upstream_view::request_sent(const core::adapter_version& adapter, core::time_point now) {
    this->drop_expired(now);
    if(!adapter.adapter.empty() && !this->is_resident(adapter)) {
        this->assumed_loads.try_emplace(adapter, now);
    }
    const auto ticket = this->next_ticket++;
    this->in_progress.emplace_hint(this->in_progress.end(), ticket, sent_request{.adapter = adapter, .sent_at = now});
    return ticket;
}

void upstream_view::request_finished(std::uint64_t ticket) {
    if(this->in_progress.erase(ticket) > 0u && ticket < this->first_unreported) {
        ++this->finished_since_report;
    }
}

void upstream_view::apply_cache_event(
    std::uint64_t sequence, std::string_view prefix_digest, bool cached, core::time_point now) {
    if(this->last_cache_event && sequence <= *this->last_cache_event) {
        return;
    }
    if(this->last_cache_event && sequence != *this->last_cache_event + 1u) {
        this->prefix_hints.clear();
        this->prefix_hints_by_age.clear();
    }
    this->last_cache_event = sequence;

    std::string digest{prefix_digest};
    if(!cached) {
        this->prefix_hints.erase(digest);
        return;
    }
    this->prefix_hints[digest] = now;
    this->prefix_hints_by_age.emplace_back(std::move(digest), now);
    // The list by age also holds outdated entries and needs its own limit.
    while(this->prefix_hints.size() > this->options.hints_max ||
          this->prefix_hints_by_age.size() > 2u * this->options.hints_max) {
        const auto& [oldest_digest, hint_time] = this->prefix_hints_by_age.front();
        if(const auto found = this->prefix_hints.find(oldest_digest);
            found != this->prefix_hints.end() && found->second == hint_time) {
            this->prefix_hints.erase(found);
        }
        this->prefix_hints_by_age.pop_front();
    }
}

double upstream_view::prefix_cache_confidence(std::string_view prefix_digest, core::time_point now) const {
    if(this->prefix_hints.empty() || prefix_digest.empty()) {
        return 0.;
    }
    const auto found = this->prefix_hints.find(std::string{prefix_digest});
    if(found == this->prefix_hints.end()) {
        return 0.;
    }
    const auto age = std::chrono::duration<double>{std::max(core::duration{}, now - found->second)};
    return std::exp2(-age / std::chrono::duration<double>{this->options.hint_half_life});
}

void upstream_view::set_leaving(bool value) noexcept {
    this->leaving = value;
}

void upstream_view::set_unhealthy(bool value) noexcept {
    this->unhealthy = value;
}

bool upstream_view::is_leaving() const noexcept {
    return this->leaving;
}

bool upstream_view::is_unhealthy() const noexcept {
    return this->unhealthy;
}

bool upstream_view::has_report() const noexcept {
    return this->report_received;
}

const upstream_report& upstream_view::report() const noexcept {
    return this->last_report;
}

std::size_t upstream_view::outstanding_requests(core::time_point now) const {
    const auto reported = this->last_report.queued + this->last_report.running;
    std::size_t unreported{};
    for(auto entry = this->in_progress.rbegin();
        entry != this->in_progress.rend() && entry->first >= this->first_unreported &&
        entry->second.sent_at + this->options.sent_request_expiry > now;
        ++entry) {
        ++unreported;
    }
    return reported - std::min(reported, this->finished_since_report) + unreported;
}

std::size_t upstream_view::assumed_load_count() const noexcept {
    return this->assumed_loads.size();
}

bool upstream_view::is_resident(const core::adapter_version& adapter) const {
    return this->is_resident(adapter, std::hash<core::adapter_version>{}(adapter));
}

bool upstream_view::is_resident(const core::adapter_version& adapter, std::size_t hash) const {
    for(std::size_t index{}; index < this->resident_hashes.size(); ++index) {
        if(this->resident_hashes[index] == hash && this->last_report.resident[index] == adapter) {
            return true;
        }
    }
    return false;
}

std::optional<std::size_t> upstream_view::load_queue_position(
    const core::adapter_version& adapter, core::time_point now) const {
    std::size_t next_position{};
    for(const auto& load : this->last_report.loading) {
        if(load.adapter == adapter) {
            return load.position;
        }
        next_position = std::max(next_position, load.position + 1u);
    }
    if(this->assumed_loads.empty()) {
        return std::nullopt;
    }
    const auto assumed = this->assumed_loads.find(adapter);
    if(assumed != this->assumed_loads.end() && assumed->second + this->options.assumed_load_expiry > now) {
        return next_position;
    }
    return std::nullopt;
}

} // namespace lagoonsaddle::policy
