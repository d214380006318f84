#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/slot_scheduler.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

bool slot_scheduler::synchronize(
    const upstream_report& report, core::time_point report_requested_at, core::time_point now) {
    const bool covers_last_order =
        !this->last_order_answered || report_requested_at - *this->last_order_answered >= this->settings.report_lag_max;
    if(!covers_last_order && report.orders_accepted < this->accepted_count) {
        return false;
    }
    this->state_known = true;
    this->accepted_count = report.orders_accepted;
    this->models.clear();
    std::map<std::string, slot, std::less<>> reported_slots{};
    for(const auto& [model, held] : report.models) {
        this->models.insert(model);
        for(const auto& [adapter, version] : held.adapters) {
            const auto key = adapter_key(model, adapter);
            const auto previous = this->slots.find(key);
            auto entry = previous == this->slots.end() ? slot{} : previous->second;
            entry.version = version;
            if(const auto use = this->last_uses.find(key); use != this->last_uses.end()) {
                entry.last_used = std::max(entry.last_used, use->second);
            }
            if(previous == this->slots.end() && this->pending_loads.contains(key)) {
                entry.last_used = now;
                entry.loaded_here = this->pending_loads.at(key).ordered_here;
            }
            reported_slots.emplace(key, entry);
        }
    }
    this->slots = std::move(reported_slots);
    std::map<std::string, pending_load, std::less<>> reported_loads{};
    for(const auto& key : report.loading) {
        const auto previous = this->pending_loads.find(key);
        reported_loads.emplace(key, previous == this->pending_loads.end()
                                        ? pending_load{.version = 0u, .ordered_at = now, .confirm_at = now}
                                        : previous->second);
    }
    this->pending_loads = std::move(reported_loads);
    return true;
}

bool slot_scheduler::add_waiter(
    std::string_view model, std::string_view adapter, std::uint64_t version, core::time_point now) {
    const auto key = adapter_key(model, adapter);
    this->keep_use(key, now);
    auto [found, added] = this->demands.try_emplace(key,
        demand{.model = std::string{model}, .adapter = std::string{adapter}, .version = version, .requested_at = now});
    ++found->second.waiters;
    found->second.version = std::max(found->second.version, version);
    return added;
}

void slot_scheduler::remove_waiter(std::string_view model, std::string_view adapter) {
    const auto found = this->demands.find(adapter_key(model, adapter));
    if(found != this->demands.end() && --found->second.waiters == 0u) {
        this->demands.erase(found);
    }
}

void slot_scheduler::record_use(std::string_view model, std::string_view adapter, core::time_point now) {
    const auto key = adapter_key(model, adapter);
    if(const auto found = this->slots.find(key); found != this->slots.end()) {
        found->second.last_used = std::max(found->second.last_used, now);
    }
    this->keep_use(key, now);
}

void slot_scheduler::keep_use(const std::string& key, core::time_point now) {
    if(!this->uses_pruned_at || now - *this->uses_pruned_at >= this->settings.use_retention) {
        std::erase_if(this->last_uses, [this, now](const auto& entry) {
            return !this->slots.contains(entry.first) && now - entry.second > this->settings.use_retention;
        });
        this->uses_pruned_at = now;
    }
    const auto known = this->last_uses.find(key);
    if(known != this->last_uses.end()) {
        known->second = now;
    } else if(this->last_uses.size() < this->settings.uses_max || this->slots.contains(key)) {
        this->last_uses.emplace(key, now);
    }
}

void slot_scheduler::set_newest_version(std::string_view model, std::string_view adapter, std::uint64_t version) {
    auto& current = this->newest_versions[adapter_key(model, adapter)];
    current = std::max(current, version);
}

std::optional<std::uint64_t> slot_scheduler::resident_version(std::string_view model, std::string_view adapter) const {
    const auto key = adapter_key(model, adapter);
    const auto found = this->slots.find(key);
    if(found == this->slots.end() || found->second.unloading || this->pending_loads.contains(key)) {
        return std::nullopt;
    }
    return found->second.version;
}

bool slot_scheduler::eviction_in_progress() const {
    return std::ranges::any_of(this->slots, [](const auto& entry) { return entry.second.unloading; });
}

std::optional<core::time_point> slot_scheduler::next_confirmation() const {
    std::optional<core::time_point> earliest{};
    for(const auto& [key, entry] : this->pending_loads) {
        earliest = std::min(earliest.value_or(entry.confirm_at), entry.confirm_at);
    }
    return earliest;
}

std::optional<slot_order> slot_scheduler::due_confirmation(core::time_point now) const {
    for(const auto& [key, entry] : this->pending_loads) {
        if(entry.confirm_at <= now) {
            auto [model, adapter] = split_adapter_key(key);
            return slot_order{.model = std::move(model),
                .adapter = std::move(adapter),
                .version = entry.version > 0u ? std::optional{entry.version} : std::nullopt};
        }
    }
    return std::nullopt;
}

std::size_t slot_scheduler::used_slots() const noexcept {
    std::size_t used = this->slots.size();
    for(const auto& [key, entry] : this->pending_loads) {
        used += this->slots.contains(key) ? 0u : 1u;
    }
    return used;
}

std::optional<std::string> slot_scheduler::eviction_candidate(core::time_point now) const {
    std::optional<std::string> oldest{};
    auto oldest_use = core::time_point::max();
    for(const auto& [key, entry] : this->slots) {
        const bool idle = now - entry.last_used >= this->settings.idle_min;
        if(idle && !entry.unloading && !this->demands.contains(key) && !this->pending_loads.contains(key) &&
            entry.last_used < oldest_use) {
            oldest = key;
            oldest_use = entry.last_used;
        }
    }
    return oldest;
}

std::size_t slot_scheduler::free_slots(core::time_point now) const {
    const auto idle = std::ranges::count_if(this->slots, [this, now](const auto& entry) {
        return now - entry.second.last_used >= this->settings.idle_min && !entry.second.unloading;
    });
    const auto wanted = std::ranges::count_if(this->demands, [this](const auto& entry) {
        return !this->slots.contains(entry.first) && !this->pending_loads.contains(entry.first);
    });
    const auto used = this->used_slots();
    const auto free = static_cast<std::size_t>(idle) + (used < this->settings.slots ? this->settings.slots - used : 0u);
    return free > static_cast<std::size_t>(wanted) ? free - static_cast<std::size_t>(wanted) : 0u;
}

bool slot_scheduler::is_refused(const std::string& key, core::time_point now) const {
    const auto found = this->refused_until.find(key);
    return found != this->refused_until.end() && now < found->second;
}

bool slot_scheduler::is_refused(std::string_view model, std::string_view adapter, core::time_point now) const {
    return this->is_refused(adapter_key(model, adapter), now);
}

bool slot_scheduler::has_adapter_slot(std::string_view model, std::string_view adapter, core::time_point now) const {
    const auto key = adapter_key(model, adapter);
    return !this->state_known || this->eviction_in_progress() || this->slots.contains(key) ||
           this->pending_loads.contains(key) || this->used_slots() < this->settings.slots ||
           this->eviction_candidate(now).has_value();
}

std::vector<std::string> slot_scheduler::loads_in_progress() const {
    std::vector<std::string> keys{};
    keys.reserve(this->pending_loads.size());
    for(const auto& [key, entry] : this->pending_loads) {
        keys.push_back(key);
    }
    return keys;
}

const slot_scheduler::demand* slot_scheduler::next_demand(core::time_point now, load_gate* gate) const {
    const demand* next{};
    std::size_t next_position{};
    for(const auto& [key, entry] : this->demands) {
        const bool missing = !this->pending_loads.contains(key) && !this->slots.contains(key);
        if(!missing || !this->models.contains(entry.model) || this->is_refused(key, now)) {
            continue;
        }
        const auto position = gate != nullptr ? gate->position(key) : 0u;
        if(next == nullptr || position < next_position ||
            (position == next_position && entry.requested_at < next->requested_at)) {
            next = &entry;
            next_position = position;
        }
    }
    return next;
}

slot_order slot_scheduler::make_load(const std::string& key, const demand& wanted) const {
    const auto announced = this->newest_versions.find(key);
    const auto newest = announced == this->newest_versions.end() ? 0u : announced->second;
    // Without a version, the upstream loads the newest one that it knows.
    const auto version = wanted.version > 0u ? std::optional{std::max(wanted.version, newest)} : std::nullopt;
    return slot_order{.model = wanted.model, .adapter = wanted.adapter, .version = version};
}

std::optional<slot_order> slot_scheduler::next_order(core::time_point now, load_gate* gate) {
    if(!this->state_known) {
        return std::nullopt;
    }
    if(auto order = this->due_confirmation(now)) {
        return order;
    }
    if(this->pending_loads.size() >= this->settings.concurrent_loads_max) {
        return std::nullopt;
    }
    // A resident adapter with a newer version is reloaded in the same slot.
    for(const auto& [key, entry] : this->slots) {
        const auto announced = this->newest_versions.find(key);
        if(announced != this->newest_versions.end() && entry.version < announced->second && !entry.unloading &&
            !this->pending_loads.contains(key) && !this->is_refused(key, now)) {
            auto [model, adapter] = split_adapter_key(key);
            return slot_order{.model = std::move(model), .adapter = std::move(adapter), .version = announced->second};
        }
    }
    const auto* wanted = this->next_demand(now, gate);
    if(wanted == nullptr) {
        return std::nullopt;
    }
    const auto key = adapter_key(wanted->model, wanted->adapter);
    if(this->used_slots() < this->settings.slots) {
        if(gate != nullptr && !gate->begin_load(key)) {
            return std::nullopt;
        }
        return this->make_load(key, *wanted);
    }
    const auto candidate = this->eviction_in_progress() ? std::nullopt : this->eviction_candidate(now);
    if(candidate && (gate == nullptr || gate->may_evict_for(key))) {
        auto [model, adapter] = split_adapter_key(*candidate);
        return slot_order{.load = false, .model = std::move(model), .adapter = std::move(adapter)};
    }
    return std::nullopt;
}

void slot_scheduler::complete_unload(const std::string& key) {
    const auto found = this->slots.find(key);
    this->state_known = this->state_known && found != this->slots.end() && found->second.loaded_here;
    ++this->accepted_count;
    if(found != this->slots.end()) {
        this->slots.erase(found);
    }
}

void slot_scheduler::distrust_state() noexcept {
    this->state_known = false;
    for(auto& [key, entry] : this->slots) {
        entry.loaded_here = false;
    }
}

void slot_scheduler::record_outcome(const slot_order& order, order_outcome outcome, core::time_point now) {
    const auto key = adapter_key(order.model, order.adapter);
    this->last_order_answered = now;
    switch(outcome) {
    case order_outcome::accepted:
        if(const auto repeated = order.load ? this->pending_loads.find(key) : this->pending_loads.end();
            repeated != this->pending_loads.end()) {
            // The upstream does not count the repetition of an order that it is already carrying out.
            auto& entry = repeated->second;
            const auto expected_end = entry.ordered_at + this->settings.load_time;
            entry.confirm_at = now < expected_end ? expected_end : now + this->settings.confirm_interval;
            break;
        }
        ++this->accepted_count;
        if(order.load) {
            this->pending_loads[key] = pending_load{.version = order.version.value_or(0u),
                .ordered_at = now,
                .confirm_at = now + this->settings.cached_load_time,
                .ordered_here = true};
        } else if(const auto found = this->slots.find(key); found != this->slots.end()) {
            found->second.unloading = true;
        }
        break;
    case order_outcome::done:
        if(order.load) {
            // The upstream does not count an order to load an adapter that it already holds.
            const auto pending = this->pending_loads.extract(key);
            auto& entry = this->slots[key];
            entry.loaded_here = entry.loaded_here || (!pending.empty() && pending.mapped().ordered_here);
            entry.version = std::max(entry.version, order.version.value_or(0u));
            entry.last_used = now;
        } else {
            this->complete_unload(key);
        }
        break;
    case order_outcome::out_of_turn:
    case order_outcome::stale_token:
        this->distrust_state();
        break;
    case order_outcome::misdirected:
        this->state_known = false;
        break;
    case order_outcome::invalid:
        this->state_known = false;
        std::erase_if(this->refused_until, [now](const auto& entry) { return entry.second <= now; });
        this->refused_until[key] = now + this->settings.refused_load_time;
        break;
    }
}

} // namespace lagoonsaddle::edge
