#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/slot_ledger.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Adapters whose last use is remembered after they were unloaded. */
constexpr std::size_t uses_max{4'096u};

[[nodiscard]] std::pair<std::string, std::string> split_key(std::string_view key) {
    const auto slash = key.find('/');
    return {std::string{key.substr(0u, slash)}, std::string{key.substr(slash + 1u)}};
}

} // namespace

bool slot_ledger::synchronize(const upstream_report& report, core::time_point asked, core::time_point now) {
    const bool after_last_order = !this->ordered || asked - *this->ordered >= this->settings.report_lag;
    if(!after_last_order && report.orders_accepted < this->accepted) {
        return false;
    }
    this->known = true;
    this->accepted = report.orders_accepted;
    this->models.clear();
    std::map<std::string, slot, std::less<>> reported{};
    for(const auto& [model, held] : report.models) {
        this->models.insert(model);
        for(const auto& [adapter, version] : held.adapters) {
            const auto key = adapter_key(model, adapter);
            const auto previous = this->slots.find(key);
            auto entry = previous == this->slots.end() ? slot{} : previous->second;
            entry.version = version;
            if(const auto use = this->uses.find(key); use != this->uses.end()) {
                entry.used = std::max(entry.used, use->second);
            }
            if(previous == this->slots.end() && this->coming.contains(key)) {
                entry.used = now;
            }
            reported.emplace(key, entry);
        }
    }
    this->slots = std::move(reported);
    std::map<std::string, arrival, std::less<>> arriving{};
    for(const auto& key : report.loading) {
        const auto previous = this->coming.find(key);
        arriving.emplace(key,
            previous == this->coming.end() ? arrival{.version = 0u, .ordered = now, .confirm = now} : previous->second);
    }
    this->coming = std::move(arriving);
    return true;
}

bool slot_ledger::want(std::string_view model, std::string_view adapter, std::uint64_t version, core::time_point now) {
    const auto key = adapter_key(model, adapter);
    this->uses[key] = now;
    auto [found, added] = this->wants.try_emplace(
        key, wish{.model = std::string{model}, .adapter = std::string{adapter}, .version = version, .first = now});
    ++found->second.waiting;
    found->second.version = std::max(found->second.version, version);
    return added;
}

void slot_ledger::unwant(std::string_view model, std::string_view adapter) {
    const auto found = this->wants.find(adapter_key(model, adapter));
    if(found != this->wants.end() && --found->second.waiting == 0u) {
        this->wants.erase(found);
    }
}

void slot_ledger::touch(std::string_view model, std::string_view adapter, core::time_point now) {
    const auto key = adapter_key(model, adapter);
    if(const auto found = this->slots.find(key); found != this->slots.end()) {
        found->second.used = std::max(found->second.used, now);
    }
    this->uses[key] = now;
    if(this->uses.size() > uses_max) {
        std::erase_if(this->uses, [this, now](const auto& entry) {
            return !this->slots.contains(entry.first) && now - entry.second > this->settings.use_memory;
        });
    }
}

void slot_ledger::announce(std::string_view model, std::string_view adapter, std::uint64_t version) {
    auto& current = this->newest[adapter_key(model, adapter)];
    current = std::max(current, version);
}

std::optional<std::uint64_t> slot_ledger::resident(std::string_view model, std::string_view adapter) const {
    const auto key = adapter_key(model, adapter);
    const auto found = this->slots.find(key);
    if(found == this->slots.end() || found->second.unloading || this->coming.contains(key)) {
        return std::nullopt;
    }
    return found->second.version;
}

bool slot_ledger::unloading() const {
    return std::ranges::any_of(this->slots, [](const auto& entry) { return entry.second.unloading; });
}

std::optional<core::time_point> slot_ledger::next_confirmation() const {
    std::optional<core::time_point> first{};
    for(const auto& [key, entry] : this->coming) {
        first = std::min(first.value_or(entry.confirm), entry.confirm);
    }
    return first;
}

std::optional<ledger_order> slot_ledger::due_confirmation(core::time_point now) const {
    for(const auto& [key, entry] : this->coming) {
        if(entry.confirm <= now) {
            auto [model, adapter] = split_key(key);
            return ledger_order{.model = std::move(model),
                .adapter = std::move(adapter),
                .version = entry.version > 0u ? std::optional{entry.version} : std::nullopt};
        }
    }
    return std::nullopt;
}

std::size_t slot_ledger::used_slots() const noexcept {
    std::size_t used = this->slots.size();
    for(const auto& [key, entry] : this->coming) {
        used += this->slots.contains(key) ? 0u : 1u;
    }
    return used;
}

std::optional<std::string> slot_ledger::victim(core::time_point now) const {
    std::optional<std::string> oldest{};
    auto used = core::time_point::max();
    for(const auto& [key, entry] : this->slots) {
        const bool idle = now - entry.used >= this->settings.idle_min;
        if(idle && !entry.unloading && !this->wants.contains(key) && !this->coming.contains(key) && entry.used < used) {
            oldest = key;
            used = entry.used;
        }
    }
    return oldest;
}

std::size_t slot_ledger::free_places(core::time_point now) const {
    const auto idle = std::ranges::count_if(this->slots, [this, now](const auto& entry) {
        return now - entry.second.used >= this->settings.idle_min && !entry.second.unloading;
    });
    const auto wanted = std::ranges::count_if(this->wants, [this](const auto& entry) {
        return !this->slots.contains(entry.first) && !this->coming.contains(entry.first);
    });
    const auto used = this->used_slots();
    const auto free = static_cast<std::size_t>(idle) + (used < this->settings.slots ? this->settings.slots - used : 0u);
    return free > static_cast<std::size_t>(wanted) ? free - static_cast<std::size_t>(wanted) : 0u;
}

bool slot_ledger::can_place(std::string_view model, std::string_view adapter, core::time_point now) const {
    const auto key = adapter_key(model, adapter);
    return !this->known || this->unloading() || this->slots.contains(key) || this->coming.contains(key) ||
           this->used_slots() < this->settings.slots || this->victim(now).has_value();
}

std::optional<ledger_order> slot_ledger::next(core::time_point now) {
    if(!this->known) {
        return std::nullopt;
    }
    if(auto order = this->due_confirmation(now)) {
        return order;
    }
    // A resident adapter with a newer version is replaced in its place.
    if(this->coming.size() < this->settings.loads_max) {
        for(const auto& [key, entry] : this->slots) {
            const auto announced = this->newest.find(key);
            if(announced != this->newest.end() && entry.version < announced->second && !entry.unloading &&
                !this->coming.contains(key)) {
                auto [model, adapter] = split_key(key);
                return ledger_order{
                    .model = std::move(model), .adapter = std::move(adapter), .version = announced->second};
            }
        }
    }
    const wish* first{};
    for(const auto& [key, entry] : this->wants) {
        const bool pending = !this->coming.contains(key) && !this->slots.contains(key);
        if(pending && this->models.contains(entry.model) && (first == nullptr || entry.first < first->first)) {
            first = &entry;
        }
    }
    if(first == nullptr || this->coming.size() >= this->settings.loads_max) {
        return std::nullopt;
    }
    if(this->used_slots() < this->settings.slots) {
        return ledger_order{.model = first->model,
            .adapter = first->adapter,
            .version = first->version > 0u ? std::optional{first->version} : std::nullopt};
    }
    if(const auto oldest = this->unloading() ? std::nullopt : this->victim(now)) {
        auto [model, adapter] = split_key(*oldest);
        return ledger_order{.load = false, .model = std::move(model), .adapter = std::move(adapter)};
    }
    return std::nullopt;
}

void slot_ledger::record(const ledger_order& order, order_outcome outcome, core::time_point now) {
    const auto key = adapter_key(order.model, order.adapter);
    this->ordered = now;
    switch(outcome) {
    case order_outcome::accepted:
        if(const auto repeated = order.load ? this->coming.find(key) : this->coming.end();
            repeated != this->coming.end()) {
            // The upstream does not count the repetition of an order that it carries out.
            auto& entry = repeated->second;
            const auto whole = entry.ordered + this->settings.load;
            entry.confirm = now < whole ? whole : now + this->settings.confirm_interval;
            break;
        }
        ++this->accepted;
        if(order.load) {
            this->coming[key] = arrival{
                .version = order.version.value_or(0u), .ordered = now, .confirm = now + this->settings.cached_load};
        } else if(const auto found = this->slots.find(key); found != this->slots.end()) {
            found->second.unloading = true;
        }
        break;
    case order_outcome::done:
        if(order.load) {
            // The upstream does not count an order to load what it holds.
            this->coming.erase(key);
            auto& entry = this->slots[key];
            entry.version = std::max(entry.version, order.version.value_or(0u));
            entry.used = now;
        } else {
            ++this->accepted;
            this->slots.erase(key);
        }
        break;
    case order_outcome::out_of_turn:
    case order_outcome::stale_token:
    case order_outcome::misdirected:
    case order_outcome::invalid:
        this->known = false;
        break;
    }
}

} // namespace lagoonsaddle::edge
