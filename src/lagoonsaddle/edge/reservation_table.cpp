#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/reservation_table.hpp>

namespace lagoonsaddle::edge {

void reservation_table::subtract_tokens(upstream_load& total, const reservation& value) noexcept {
    if(!value.prefilled) {
        total.pending_tokens -= value.cold_tokens;
        total.sent_tokens -= value.sent_at ? value.cold_tokens : 0u;
    }
}

void reservation_table::subtract(const reservation& value) {
    const auto found = this->loads.find(value.upstream);
    if(found == this->loads.end()) {
        return;
    }
    auto& total = found->second;
    subtract_tokens(total, value);
    if(--total.in_flight == 0u) {
        this->loads.erase(found);
    }
}

void reservation_table::reserve(const key_type& key, reservation value) {
    this->release(key);
    value.sent_at.reset();
    auto& total = this->loads[value.upstream];
    ++total.in_flight;
    total.pending_tokens += value.prefilled ? 0u : value.cold_tokens;
    this->reservations.emplace(key, std::move(value));
}

void reservation_table::mark_sent(const key_type& key, core::time_point now) {
    const auto found = this->reservations.find(key);
    if(found == this->reservations.end() || found->second.prefilled || found->second.sent_at) {
        return;
    }
    auto& value = found->second;
    auto& total = this->loads[value.upstream];
    total.head_since = total.sent_tokens == 0u ? now : total.head_since;
    total.sent_tokens += value.cold_tokens;
    value.sent_at = now;
    value.measured_from = total.head_since;
    value.tokens_at_send = total.sent_tokens;
}

std::optional<reservation_table::prefill_duration> reservation_table::prefill_of(
    const key_type& key, core::time_point now) const {
    const auto found = this->reservations.find(key);
    if(found == this->reservations.end() || found->second.prefilled || !found->second.sent_at) {
        return std::nullopt;
    }
    const auto& value = found->second;
    return prefill_duration{
        .upstream = value.upstream, .tokens = value.tokens_at_send, .elapsed = now - value.measured_from};
}

void reservation_table::mark_prefilled(const key_type& key, core::time_point at) {
    const auto found = this->reservations.find(key);
    if(found == this->reservations.end() || found->second.prefilled) {
        return;
    }
    auto& total = this->loads[found->second.upstream];
    subtract_tokens(total, found->second);
    total.head_since = std::max(total.head_since, at);
    found->second.prefilled = true;
}

void reservation_table::release(const key_type& key) {
    const auto found = this->reservations.find(key);
    if(found == this->reservations.end()) {
        return;
    }
    this->subtract(found->second);
    this->reservations.erase(found);
}

void reservation_table::remove_node(std::string_view node) {
    auto entry = this->reservations.lower_bound(key_type{node, 0u});
    while(entry != this->reservations.end() && entry->first.first == node) {
        this->subtract(entry->second);
        entry = this->reservations.erase(entry);
    }
}

void reservation_table::remove_expired(core::time_point now) {
    for(auto entry = this->reservations.begin(); entry != this->reservations.end();) {
        if(entry->second.expires <= now) {
            this->subtract(entry->second);
            entry = this->reservations.erase(entry);
        } else {
            ++entry;
        }
    }
}

reservation_table::upstream_load reservation_table::load_of(std::string_view upstream) const {
    const auto found = this->loads.find(upstream);
    return found == this->loads.end() ? upstream_load{} : found->second;
}

} // namespace lagoonsaddle::edge
