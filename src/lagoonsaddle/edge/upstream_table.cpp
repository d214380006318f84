#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Entries that expired during an outage of the store are written again within 2 s after it. */
constexpr std::chrono::milliseconds expired_entry_grace{2'300};
/*! @brief The store removes the entry of an upstream after three missed heartbeats, which takes less time. */
constexpr std::chrono::milliseconds unconfirmed_duration{5'000};
/*! @brief Time within which all nodes that read the store have read a removal: longer than a watch that fails. */
constexpr std::chrono::milliseconds removal_spread_max{5'000};
/*! @brief Longer than the interval between a copy of the store and its restore. */
constexpr std::chrono::minutes removed_retention{2};
/*! @brief Time within which the entry of an upstream that has started again is written and read. */
constexpr std::chrono::milliseconds late_entry_max{5'000};
/*! @brief Time for which an observation takes precedence over the entry, which is rewritten at each heartbeat. */
constexpr std::chrono::milliseconds observation_lifetime{2'500};

} // namespace

std::string adapter_key(std::string_view model, std::string_view adapter) {
    std::string key{model};
    key += '/';
    key += adapter;
    return key;
}

adapter_name split_adapter_key(std::string_view key) {
    const auto slash = key.find('/');
    return {.model = std::string{key.substr(0u, slash)}, .adapter = std::string{key.substr(slash + 1u)}};
}

std::optional<std::uint64_t> upstream_state::adapter_version(
    std::string_view model, std::string_view adapter, core::time_point now) const {
    const auto observed = this->observations.find(adapter_key(model, adapter));
    if(observed != this->observations.end() && now - observed->second.at < observation_lifetime) {
        return observed->second.resident ? std::optional{observed->second.version} : std::nullopt;
    }
    const auto model_entry = this->entry.models.find(std::string{model});
    if(model_entry == this->entry.models.end()) {
        return std::nullopt;
    }
    const auto found = model_entry->second.adapters.find(std::string{adapter});
    if(found == model_entry->second.adapters.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool upstream_state::holds_model(std::string_view model) const {
    return this->entry.models.contains(std::string{model});
}

std::vector<std::string> upstream_table::merge(std::span<const upstream_entry> entries, core::time_point now) {
    std::vector<std::string> changed{};
    for(const auto& entry : entries) {
        const bool listed_again = !this->upstreams.contains(entry.id) && this->find_removed(entry) != nullptr;
        if(this->update(entry, now)) {
            changed.push_back(entry.id);
        }
        if(listed_again) {
            this->upstreams.at(entry.id).unconfirmed_until = now + unconfirmed_duration;
        }
    }
    return changed;
}

std::vector<std::string> upstream_table::replace(std::span<const upstream_entry> entries, core::time_point now) {
    auto changed = this->merge(entries, now);
    std::set<std::string_view> present{};
    for(const auto& entry : entries) {
        present.insert(entry.id);
    }
    std::vector<std::string> missing{};
    for(const auto& [id, known] : this->upstreams) {
        if(!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for(auto& id : missing) {
        if(this->remove(id, now)) {
            changed.push_back(std::move(id));
        }
    }
    return changed;
}

bool upstream_table::update(const upstream_entry& entry, core::time_point now) {
    const bool is_new = !this->upstreams.contains(entry.id);
    const auto* removed = is_new ? this->find_removed(entry) : nullptr;
    auto& known = this->upstreams[entry.id];
    const bool other_version = !is_new && known.entry.software_version != entry.software_version;
    if(other_version) {
        this->record_former_version(known.entry, now);
    }
    const bool restarted =
        other_version || known.entry.started_ms != entry.started_ms || known.entry.address != entry.address;
    const bool was_leaving = !restarted && known.entry.leaving;
    if(restarted) {
        known.observations.clear();
        known.health = {};
        known.speed = {};
        known.throttle = {};
        known.concurrency.record_restart();
        known.restart_suspected_at.reset();
    }
    std::erase_if(
        known.observations, [now](const auto& observed) { return now - observed.second.at >= observation_lifetime; });
    known.entry = entry;
    known.entry.leaving = entry.leaving || was_leaving || (removed != nullptr && removed->leaving);
    known.missing_until.reset();
    known.unconfirmed_until.reset();
    known.removal_told_at.reset();
    return known.entry.leaving && !was_leaving;
}

bool upstream_table::remove(std::string_view id, core::time_point now) {
    const auto found = this->upstreams.find(id);
    if(found == this->upstreams.end()) {
        return false;
    }
    if(now < this->grace_until && !found->second.entry.leaving) {
        found->second.missing_until = this->grace_until;
        return false;
    }
    this->erase(found, now);
    return true;
}

upstream_table::upstream_map::iterator upstream_table::erase(upstream_map::iterator position, core::time_point now) {
    const auto& entry = position->second.entry;
    this->record_former_version(entry, now);
    this->removed_upstreams[position->first] =
        removed_upstream{.started_ms = entry.started_ms, .leaving = entry.leaving, .removed_at = now};
    return this->upstreams.erase(position);
}

void upstream_table::record_former_version(const upstream_entry& entry, core::time_point now) {
    const auto found = std::ranges::find_if(this->former_versions, [&entry](const former_version& known) {
        return known.service == entry.service && known.software_version == entry.software_version;
    });
    if(found != this->former_versions.end()) {
        found->until = now;
        return;
    }
    this->former_versions.push_back(
        {.service = entry.service, .software_version = entry.software_version, .until = now});
}

void upstream_table::set_current(bool value, core::time_point now) noexcept {
    this->current = value;
    if(!value) {
        this->current_since.reset();
    } else if(!this->current_since) {
        this->current_since = now;
    }
}

std::set<std::string, std::less<>> upstream_table::software_versions(
    std::string_view service, core::time_point since) const {
    std::set<std::string, std::less<>> versions{};
    for(const auto& [id, known] : this->upstreams) {
        if(known.entry.service == service) {
            versions.insert(known.entry.software_version);
        }
    }
    for(const auto& former : this->former_versions) {
        if(former.service == service && former.until >= since) {
            versions.insert(former.software_version);
        }
    }
    return versions;
}

const upstream_table::removed_upstream* upstream_table::find_removed(const upstream_entry& entry) const {
    const auto found = this->removed_upstreams.find(entry.id);
    const bool same = found != this->removed_upstreams.end() && found->second.started_ms == entry.started_ms;
    return same ? &found->second : nullptr;
}

std::optional<std::uint64_t> upstream_table::removed_unmarked(std::string_view id) const {
    const auto found = this->removed_upstreams.find(id);
    const bool unmarked = found != this->removed_upstreams.end() && !found->second.leaving;
    return unmarked ? std::optional{found->second.started_ms} : std::nullopt;
}

bool upstream_table::mark_leaving(std::string_view id, std::uint64_t started_ms) {
    auto* known = this->find(id);
    if(known == nullptr || known->entry.started_ms != started_ms || known->entry.leaving) {
        return false;
    }
    known->entry.leaving = true;
    return true;
}

bool upstream_table::mark_removed(std::string_view id, std::uint64_t started_ms, core::time_point now) {
    auto* known = this->find(id);
    if(known == nullptr || known->entry.started_ms != started_ms || known->is_ending()) {
        return false;
    }
    known->removal_told_at = now;
    return true;
}

bool upstream_table::confirm_listed(std::string_view id, core::time_point now) {
    auto* known = this->find(id);
    if(known == nullptr || !known->removal_told_at || now - *known->removal_told_at < removal_spread_max) {
        return false;
    }
    known->removal_told_at.reset();
    return true;
}

void upstream_table::suspect_restart(std::string_view id, core::time_point now) {
    if(auto* known = this->find(id)) {
        known->restart_suspected_at = now;
    }
}

std::optional<std::string> upstream_table::certain_version(const upstream_state& upstream, core::time_point now) const {
    const auto& suspected_at = upstream.restart_suspected_at;
    // While the store is away, no entry shows a restart.
    const bool is_certain = !suspected_at || (this->current && now - *suspected_at >= late_entry_max);
    return is_certain ? std::optional{upstream.entry.software_version} : std::nullopt;
}

void upstream_table::on_store_recovered(core::time_point now) noexcept {
    this->grace_until = now + expired_entry_grace;
}

std::vector<std::string> upstream_table::remove_expired(core::time_point now) {
    std::vector<std::string> removed{};
    for(auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        if(entry->second.missing_until && *entry->second.missing_until <= now) {
            removed.push_back(entry->first);
            entry = this->erase(entry, now);
            continue;
        }
        if(entry->second.unconfirmed_until && *entry->second.unconfirmed_until <= now) {
            entry->second.unconfirmed_until.reset();
        }
        ++entry;
    }
    std::erase_if(this->removed_upstreams,
        [now](const auto& entry) { return now - entry.second.removed_at >= removed_retention; });
    std::erase_if(
        this->former_versions, [now](const former_version& entry) { return now - entry.until >= removed_retention; });
    return removed;
}

upstream_state* upstream_table::find(std::string_view id) {
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

const upstream_state* upstream_table::find(std::string_view id) const {
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

std::vector<const upstream_state*> upstream_table::accepting_requests(std::string_view service) const {
    std::vector<const upstream_state*> found{};
    for(const auto& [id, known] : this->upstreams) {
        if(known.entry.service == service && !known.is_ending() && !known.unconfirmed_until) {
            found.push_back(&known);
        }
    }
    return found;
}

void upstream_table::observe_adapter(std::string_view id, std::string_view model, std::string_view adapter,
    bool resident, std::uint64_t version, core::time_point now) {
    if(auto* known = this->find(id)) {
        known->observations[adapter_key(model, adapter)] = {.resident = resident, .version = version, .at = now};
    }
}

void upstream_table::observe_model_missing(std::string_view id, std::string_view model) {
    if(auto* known = this->find(id)) {
        known->entry.models.erase(std::string{model});
    }
}

} // namespace lagoonsaddle::edge
