#include <utility>

#include <lagoonsaddle/edge/reservation_ledger.hpp>

namespace lagoonsaddle::edge {

void reservation_ledger::subtract(const reservation& value) {
    const auto found = this->loads.find(value.upstream);
    if(found == this->loads.end()) {
        return;
    }
    auto& total = found->second;
    total.pending_tokens -= value.started ? 0u : value.cold_tokens;
    if(--total.in_flight == 0u) {
        this->loads.erase(found);
    }
}

void reservation_ledger::reserve(const key_type& key, reservation value) {
    this->end(key);
    auto& total = this->loads[value.upstream];
    ++total.in_flight;
    total.pending_tokens += value.started ? 0u : value.cold_tokens;
    this->reservations.emplace(key, std::move(value));
}

void reservation_ledger::start(const key_type& key) {
    const auto found = this->reservations.find(key);
    if(found == this->reservations.end() || found->second.started) {
        return;
    }
    found->second.started = true;
    this->loads[found->second.upstream].pending_tokens -= found->second.cold_tokens;
}

void reservation_ledger::end(const key_type& key) {
    const auto found = this->reservations.find(key);
    if(found == this->reservations.end()) {
        return;
    }
    this->subtract(found->second);
    this->reservations.erase(found);
}

void reservation_ledger::drop_node(std::string_view node) {
    auto entry = this->reservations.lower_bound(key_type{node, 0u});
    while(entry != this->reservations.end() && entry->first.first == node) {
        this->subtract(entry->second);
        entry = this->reservations.erase(entry);
    }
}

void reservation_ledger::expire(core::time_point now) {
    for(auto entry = this->reservations.begin(); entry != this->reservations.end();) {
        if(entry->second.expires <= now) {
            this->subtract(entry->second);
            entry = this->reservations.erase(entry);
        } else {
            ++entry;
        }
    }
}

reservation_ledger::load reservation_ledger::load_of(std::string_view upstream) const {
    const auto found = this->loads.find(upstream);
    return found == this->loads.end() ? load{} : found->second;
}

} // namespace lagoonsaddle::edge
