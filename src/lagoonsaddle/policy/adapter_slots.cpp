#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include <lagoonsaddle/policy/adapter_slots.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Weight of a new sample in the moving average of the load time. */
constexpr double load_time_smoothing = 0.3;

[[nodiscard]] double seconds(core::duration value) noexcept {
    return std::chrono::duration<double>{value}.count();
}

[[nodiscard]] load_plan blocked(load_block_reason cause, std::optional<core::time_point> retry_at = {}) {
    return {.blocked_by = cause, .retry_at = retry_at};
}

} // namespace

adapter_slots::adapter_slots(adapter_slots_options options) : options{options} {}

const adapter_slots::record* adapter_slots::find(const core::adapter_version& adapter) const {
    const auto found = this->records.find(adapter);
    return found == this->records.end() ? nullptr : &found->second;
}

adapter_slots::record* adapter_slots::find(const core::adapter_version& adapter) {
    const auto found = this->records.find(adapter);
    return found == this->records.end() ? nullptr : &found->second;
}

bool adapter_slots::is_pinned(const record& entry) const noexcept {
    return entry.queued > 0u || entry.in_flight > 0u || entry.reported_in_flight > 0u || entry.assumed_in_flight ||
           entry.state == slot_state::loading;
}

double adapter_slots::decayed_request_count(const record& entry, core::time_point now) const noexcept {
    const auto age = std::max(core::duration{}, now - entry.decayed_at);
    return entry.decayed_requests * std::exp2(-seconds(age) / seconds(this->options.rate_half_life));
}

core::duration adapter_slots::load_time(const record& entry) const noexcept {
    return entry.load_time.value_or(this->options.default_load_time);
}

void adapter_slots::add_occupied(const core::adapter_version& adapter) {
    if(std::find(this->occupied.begin(), this->occupied.end(), adapter) == this->occupied.end()) {
        this->occupied.push_back(adapter);
    }
}

void adapter_slots::release_slot(const core::adapter_version& adapter, record& entry, core::time_point now) {
    entry.state = slot_state::absent;
    entry.reported_in_flight = 0u;
    entry.assumed_in_flight = false;
    entry.awaits_eviction = false;
    entry.external_load = false;
    entry.changed_at = now;
    std::erase(this->occupied, adapter);
}

void adapter_slots::mark_resident(record& entry, core::time_point now) noexcept {
    entry.state = slot_state::resident;
    entry.awaits_eviction = false;
    entry.external_load = false;
    entry.changed_at = now;
    entry.resident_since = now;
    entry.failures = 0u;
    entry.backoff_until = core::time_point::min();
}

void adapter_slots::prune_coldest(core::time_point now) {
    std::vector<std::pair<double, const core::adapter_version*>> prunable{};
    for(const auto& [adapter, entry] : this->records) {
        if(entry.state == slot_state::absent && entry.queued == 0u && entry.in_flight == 0u &&
            entry.backoff_until <= now) {
            prunable.emplace_back(this->decayed_request_count(entry, now), &adapter);
        }
    }
    // Prunes a quarter of the limit at a time, which spreads the cost of the search over many requests.
    const auto count = std::min(prunable.size(), this->options.tracked_adapters_max / 4u + 1u);
    if(count == 0u) {
        return;
    }
    std::nth_element(prunable.begin(), std::next(prunable.begin(), static_cast<std::ptrdiff_t>(count - 1u)),
        prunable.end(), [](const auto& left, const auto& right) {
            return left.first != right.first ? left.first < right.first : *left.second < *right.second;
        });
    for(std::size_t index{}; index < count; ++index) {
        this->records.erase(this->records.find(*prunable[index].second));
    }
}

void adapter_slots::request_queued(const core::adapter_version& adapter, core::time_point now) {
    if(this->records.size() > this->options.tracked_adapters_max && this->find(adapter) == nullptr) {
        this->prune_coldest(now);
    }
    auto& entry = this->records[adapter];
    entry.decayed_requests = this->decayed_request_count(entry, now) + 1.;
    entry.decayed_at = std::max(entry.decayed_at, now);
    ++entry.queued;
}

bool adapter_slots::request_dispatched(const core::adapter_version& adapter) {
    auto* entry = this->find(adapter);
    if(entry == nullptr || entry->state != slot_state::resident || entry->queued == 0u) {
        return false;
    }
    --entry->queued;
    ++entry->in_flight;
    ++this->in_flight_total;
    return true;
}

void adapter_slots::request_finished(const core::adapter_version& adapter) {
    if(auto* entry = this->find(adapter); entry != nullptr && entry->in_flight > 0u) {
        --entry->in_flight;
        --this->in_flight_total;
    }
}

void adapter_slots::request_dropped(const core::adapter_version& adapter) {
    if(auto* entry = this->find(adapter); entry != nullptr && entry->queued > 0u) {
        --entry->queued;
    }
}

load_plan adapter_slots::plan_load(const core::adapter_version& adapter, core::time_point now) const {
    if(const auto* entry = this->find(adapter); entry != nullptr) {
        if(entry->state == slot_state::resident) {
            return blocked(load_block_reason::resident);
        }
        if(entry->state == slot_state::loading) {
            return blocked(load_block_reason::loading);
        }
        if(entry->state == slot_state::evicting) {
            return blocked(load_block_reason::evicting);
        }
        if(entry->backoff_until > now) {
            return blocked(load_block_reason::backing_off, entry->backoff_until);
        }
    }
    if(this->orders_suspended) {
        return blocked(load_block_reason::orders_suspended);
    }
    if(this->free_slot_count() > 0u) {
        return load_plan{.action = load_action::use_free_slot};
    }
    if(now < this->evictions_allowed_from) {
        return blocked(load_block_reason::evictions_forbidden, this->evictions_allowed_from);
    }
    return this->plan_eviction(now);
}

load_plan adapter_slots::plan_eviction(core::time_point now) const {
    const core::adapter_version* victim{};
    const record* victim_entry{};
    auto victim_value = std::numeric_limits<double>::infinity();
    auto protected_value = std::numeric_limits<double>::infinity();
    std::optional<core::time_point> protected_until{};
    for(const auto& candidate : this->occupied) {
        const auto& entry = *this->find(candidate);
        if(entry.state != slot_state::resident || this->is_pinned(entry)) {
            continue;
        }
        const auto value = this->decayed_request_count(entry, now) * seconds(this->load_time(entry));
        const auto evictable_from = entry.resident_since + this->options.minimum_residency;
        if(now < evictable_from) {
            protected_value = std::min(protected_value, value);
            protected_until = protected_until ? std::min(*protected_until, evictable_from) : evictable_from;
        } else if(victim == nullptr || value < victim_value ||
                  (value == victim_value && entry.decayed_at < victim_entry->decayed_at)) {
            victim = &candidate;
            victim_entry = &entry;
            victim_value = value;
        }
    }
    if(victim == nullptr || protected_value < this->options.scan_resistance_ratio * victim_value) {
        return blocked(load_block_reason::no_victim, protected_until);
    }
    return load_plan{.action = load_action::evict, .victim = *victim};
}

std::size_t adapter_slots::loadable_slots(core::time_point now) const {
    if(this->orders_suspended) {
        return 0u;
    }
    const auto evictable = now < this->evictions_allowed_from
                               ? 0
                               : std::count_if(this->occupied.begin(), this->occupied.end(),
                                     [this, now](const core::adapter_version& adapter) {
                                         const auto& entry = *this->find(adapter);
                                         return entry.state == slot_state::resident && !this->is_pinned(entry) &&
                                                entry.resident_since + this->options.minimum_residency <= now;
                                     });
    return this->free_slot_count() + static_cast<std::size_t>(evictable);
}

double adapter_slots::victim_rate(core::time_point now) const {
    if(this->free_slot_count() > 0u) {
        return 0.;
    }
    const auto plan = this->plan_eviction(now);
    return plan.victim ? this->request_rate(*plan.victim, now) : 0.;
}

bool adapter_slots::load_started(const core::adapter_version& adapter, core::time_point now) {
    if(this->plan_load(adapter, now).action != load_action::use_free_slot) {
        return false;
    }
    auto& entry = this->records[adapter];
    entry.state = slot_state::loading;
    entry.changed_at = now;
    this->add_occupied(adapter);
    return true;
}

bool adapter_slots::eviction_started(
    const core::adapter_version& victim, const core::adapter_version& successor, core::time_point now) {
    const auto plan = this->plan_load(successor, now);
    if(plan.action != load_action::evict || plan.victim != victim) {
        return false;
    }
    auto& next = this->records[successor];
    next.state = slot_state::loading;
    next.awaits_eviction = true;
    next.changed_at = now;
    this->add_occupied(successor);

    auto& entry = this->records[victim];
    entry.state = slot_state::evicting;
    entry.successor = successor;
    entry.changed_at = now;
    return true;
}

std::optional<core::adapter_version> adapter_slots::eviction_finished(
    const core::adapter_version& victim, core::time_point now) {
    auto* entry = this->find(victim);
    if(entry == nullptr || entry->state != slot_state::evicting) {
        return std::nullopt;
    }
    const auto successor = std::exchange(entry->successor, {});
    this->release_slot(victim, *entry, now);

    auto& next = this->records[successor];
    next.awaits_eviction = false;
    next.changed_at = now;
    return successor;
}

void adapter_slots::eviction_failed(const core::adapter_version& victim) {
    auto* entry = this->find(victim);
    if(entry == nullptr || entry->state != slot_state::evicting) {
        return;
    }
    const auto successor = std::exchange(entry->successor, {});
    entry->state = slot_state::resident;
    if(auto* next = this->find(successor); next != nullptr) {
        this->release_slot(successor, *next, next->changed_at);
    }
}

void adapter_slots::load_finished(const core::adapter_version& adapter, core::time_point now) {
    auto* entry = this->find(adapter);
    if(entry == nullptr || entry->state != slot_state::loading || entry->awaits_eviction) {
        return;
    }
    if(!entry->external_load) {
        const auto sample = now - entry->changed_at;
        entry->load_time = entry->load_time
                               ? std::chrono::duration_cast<core::duration>(
                                     load_time_smoothing * sample + (1. - load_time_smoothing) * *entry->load_time)
                               : sample;
    }
    this->mark_resident(*entry, now);
}

core::time_point adapter_slots::load_failed(const core::adapter_version& adapter, core::time_point now) {
    auto& entry = this->records[adapter];
    if(entry.state == slot_state::loading && !entry.awaits_eviction) {
        this->release_slot(adapter, entry, now);
    }
    auto backoff = this->options.load_backoff_min;
    for(std::size_t count{}; count < entry.failures && backoff < this->options.load_backoff_max; ++count) {
        backoff *= 2;
    }
    ++entry.failures;
    entry.backoff_until = now + std::min(backoff, this->options.load_backoff_max);
    return entry.backoff_until;
}

void adapter_slots::load_abandoned(const core::adapter_version& adapter) {
    auto* entry = this->find(adapter);
    if(entry != nullptr && entry->state == slot_state::loading && !entry->awaits_eviction) {
        this->release_slot(adapter, *entry, entry->changed_at);
    }
}

bool adapter_slots::engine_restarted(std::string_view boot_id) {
    if(this->known_boot_id == boot_id) {
        return false;
    }
    this->known_boot_id = boot_id;
    for(const auto& adapter : std::vector<core::adapter_version>{this->occupied}) {
        auto& entry = *this->find(adapter);
        this->release_slot(adapter, entry, entry.changed_at);
        entry.successor = {};
    }
    return true;
}

slots_change adapter_slots::apply_report(const slots_report& report, core::time_point now) {
    slots_change change{};
    if(report.observed_at < this->last_report_at) {
        return change;
    }
    this->last_report_at = report.observed_at;
    if(this->known_boot_id.empty()) {
        this->known_boot_id = report.boot_id;
    }
    change.restarted = this->engine_restarted(report.boot_id);
    if(report.slots > 0u) {
        this->options.slots = report.slots;
    }

    const auto takeover_wait_end = this->evictions_allowed_from;
    for(const auto& reported : report.resident) {
        auto& entry = this->records[reported.adapter];
        const auto report_applies = entry.changed_at < report.observed_at || change.restarted;
        if(report_applies &&
            (entry.state == slot_state::absent || (entry.state == slot_state::loading && !entry.awaits_eviction))) {
            this->mark_resident(entry, now);
            // The time of the report, so that the next report can remove the adapter again.
            entry.changed_at = report.observed_at;
            entry.assumed_in_flight = report.observed_at < takeover_wait_end;
            this->add_occupied(reported.adapter);
            change.added.push_back(reported.adapter);
        }
        if(entry.state == slot_state::resident) {
            entry.reported_in_flight = reported.in_flight;
            if(reported.in_flight == 0u && report.observed_at > takeover_wait_end) {
                entry.assumed_in_flight = false;
            }
        }
    }
    for(const auto& adapter : report.loading) {
        auto& entry = this->records[adapter];
        if(entry.state == slot_state::absent && entry.changed_at < report.observed_at) {
            entry.state = slot_state::loading;
            entry.external_load = true;
            entry.changed_at = report.observed_at;
            this->add_occupied(adapter);
        }
    }

    for(const auto& adapter : std::vector<core::adapter_version>{this->occupied}) {
        auto& entry = *this->find(adapter);
        if(entry.changed_at >= report.observed_at ||
            !(entry.state == slot_state::resident || (entry.state == slot_state::loading && entry.external_load))) {
            continue;
        }
        const auto reported_resident = std::any_of(report.resident.begin(), report.resident.end(),
            [&adapter](const reported_adapter& reported) { return reported.adapter == adapter; });
        const auto reported_loading =
            std::find(report.loading.begin(), report.loading.end(), adapter) != report.loading.end();
        if(!reported_resident && !reported_loading) {
            this->release_slot(adapter, entry, report.observed_at);
            change.removed.push_back(adapter);
        }
    }
    return change;
}

void adapter_slots::ownership_taken(core::time_point learned_at, core::time_point evictions_allowed_from) {
    this->evictions_allowed_from = std::max(learned_at, evictions_allowed_from);
    for(const auto& adapter : this->occupied) {
        this->find(adapter)->assumed_in_flight = true;
    }
}

void adapter_slots::suspend_orders(bool suspended) noexcept {
    this->orders_suspended = suspended;
}

slot_state adapter_slots::state(const core::adapter_version& adapter) const {
    const auto* entry = this->find(adapter);
    return entry == nullptr ? slot_state::absent : entry->state;
}

bool adapter_slots::is_resident(const core::adapter_version& adapter) const {
    return this->state(adapter) == slot_state::resident;
}

bool adapter_slots::is_pinned(const core::adapter_version& adapter) const {
    const auto* entry = this->find(adapter);
    return entry != nullptr && this->is_pinned(*entry);
}

std::size_t adapter_slots::slot_count() const noexcept {
    return this->options.slots;
}

std::size_t adapter_slots::free_slot_count() const noexcept {
    std::size_t used_slots{};
    for(const auto& adapter : this->occupied) {
        const auto* entry = this->find(adapter);
        used_slots += entry->awaits_eviction ? 0u : 1u;
    }
    return used_slots < this->options.slots ? this->options.slots - used_slots : 0u;
}

std::size_t adapter_slots::in_flight_count() const noexcept {
    return this->in_flight_total;
}

std::vector<core::adapter_version> adapter_slots::resident_adapters() const {
    std::vector<core::adapter_version> result{};
    std::copy_if(this->occupied.begin(), this->occupied.end(), std::back_inserter(result),
        [this](const core::adapter_version& adapter) { return this->is_resident(adapter); });
    return result;
}

double adapter_slots::request_rate(const core::adapter_version& adapter, core::time_point now) const {
    const auto* entry = this->find(adapter);
    return entry == nullptr
               ? 0.
               : this->decayed_request_count(*entry, now) * std::log(2.) / seconds(this->options.rate_half_life);
}

std::vector<core::adapter_version> adapter_slots::hottest_adapters(std::size_t count, core::time_point now) const {
    std::vector<std::pair<double, const core::adapter_version*>> order{};
    order.reserve(this->records.size());
    for(const auto& [adapter, entry] : this->records) {
        order.emplace_back(this->decayed_request_count(entry, now), &adapter);
    }
    const auto limit = std::min(count, order.size());
    std::partial_sort(order.begin(), std::next(order.begin(), static_cast<std::ptrdiff_t>(limit)), order.end(),
        [](const auto& left, const auto& right) {
            return left.first != right.first ? left.first > right.first : *left.second < *right.second;
        });
    std::vector<core::adapter_version> result{};
    for(std::size_t index{}; index < limit && order[index].first > 0.; ++index) {
        result.push_back(*order[index].second);
    }
    return result;
}

bool adapter_slots::should_replicate(const core::adapter_version& adapter, core::duration queue_wait) const {
    const auto* entry = this->find(adapter);
    return entry != nullptr && entry->state == slot_state::resident && queue_wait > this->load_time(*entry);
}

std::vector<slot_entry> adapter_slots::entries(core::time_point now) const {
    std::vector<slot_entry> result{};
    for(const auto& [adapter, entry] : this->records) {
        if(entry.state != slot_state::absent || entry.queued > 0u || entry.in_flight > 0u) {
            result.push_back({.adapter = adapter,
                .state = entry.state,
                .queued = entry.queued,
                .in_flight = entry.in_flight,
                .pinned = this->is_pinned(entry),
                .rate = this->request_rate(adapter, now)});
        }
    }
    std::sort(result.begin(), result.end(),
        [](const slot_entry& left, const slot_entry& right) { return left.adapter < right.adapter; });
    return result;
}

} // namespace lagoonsaddle::policy
