// Sends messages, updates and syncs within the send budget.
#include <algorithm>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/fleet/internal_membership.hpp>
#include <lagoonsaddle/fleet/membership.hpp>
#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace lagoonsaddle::fleet {

using internal::bucket_count;
using internal::bucket_of;
using internal::early_sync_record_count;
using internal::message;
using internal::message_kind;
using internal::state_precedence;

namespace {

// Space for the msgpack array headers of records and items in a datagram.
constexpr std::size_t array_header_bytes = 8u;
// Fraction of `byte_burst` that is reserved for probes and acknowledgements.
constexpr double reserved_budget_fraction = 0.25;
// While the send budget is below this fraction of `byte_burst`, a datagram carries at most `min_piggyback_bytes` of
// updates.
constexpr double piggyback_threshold_fraction = 0.5;
// The updates of one datagram use at most the send budget above that threshold divided by this.
constexpr double piggyback_budget_divisor = 16.0;
// Space for one update; at seven datagrams per second this stays within `byte_rate`.
constexpr std::size_t min_piggyback_bytes = 160u;
constexpr std::size_t min_members_for_digest = 16u;
// The pages of one sync use at most the unreserved send budget divided by this, so that a seed can serve many joining
// nodes at once.
constexpr double page_budget_divisor = 4.0;
constexpr int max_join_backoff = 8;
// When all nodes start at once, the first syncs reach peers that know no other members yet.
constexpr std::size_t startup_sync_count = 3u;

} // namespace

void membership::refill_budget(core::time_point now) noexcept {
    if(now > this->last_refill) {
        const auto seconds = std::chrono::duration<double>(now - this->last_refill).count();
        this->send_budget = std::min(static_cast<double>(this->options.byte_burst),
            this->send_budget + seconds * static_cast<double>(this->options.byte_rate));
        this->last_refill = now;
    }
    this->last_event = std::max(this->last_event, now);
}

bool membership::send(core::time_point now, const core::endpoint& to, const message& header,
    std::vector<std::string> records, datagrams& out) {
    const auto base_size = internal::encode(header, records, {}).size() + array_header_bytes;
    const auto is_sync = header.kind == message_kind::sync || header.kind == message_kind::sync_reply;
    if(static_cast<double>(base_size) > this->send_budget - (is_sync ? this->reserved_budget() : 0.0)) {
        ++this->counts.over_budget;
        return false;
    }
    // Piggybacking is limited first when the send budget runs low: syncs carry many changes at a lower cost, and a
    // member that cannot acknowledge probes in time is declared dead.
    const auto piggyback_threshold = static_cast<double>(this->options.byte_burst) * piggyback_threshold_fraction;
    const auto spare_budget = std::max(0.0, this->send_budget - piggyback_threshold) / piggyback_budget_divisor;
    const auto limit = std::min(this->options.datagram_limit,
        base_size + std::max(min_piggyback_bytes, static_cast<std::size_t>(spare_budget)));

    // The updates that were sent least often go first. Pages carry no updates, because they are filled with records.
    std::vector<std::string> items{};
    if(header.kind != message_kind::page) {
        std::stable_sort(this->pending_updates.begin(), this->pending_updates.end(),
            [](const pending_update& left, const pending_update& right) {
                return left.transmissions < right.transmissions;
            });
        auto size = base_size;
        for(auto& next : this->pending_updates) {
            std::string bytes{};
            if(next.is_item) {
                auto value = this->stored_items.find(next.key);
                if(value != this->stored_items.end()) {
                    auto copy = value->second.value;
                    if(value->second.expires_at) {
                        copy.lifetime = std::max(core::duration{}, *value->second.expires_at - now);
                    }
                    bytes = internal::encode(copy);
                }
            } else if(const auto* value = this->find(next.key)) {
                bytes = internal::encode(*value, state_precedence(value->state) == 0);
            }
            if(size + bytes.size() > limit) {
                break;
            }
            size += bytes.size();
            ++next.transmissions;
            if(!bytes.empty()) {
                (next.is_item ? items : records).push_back(std::move(bytes));
            }
        }
        const auto max_transmissions = this->options.retransmit_factor * this->log_member_count();
        std::erase_if(this->pending_updates,
            [max_transmissions](const pending_update& value) { return value.transmissions >= max_transmissions; });
    }

    auto bytes = internal::encode(header, records, items);
    this->send_budget -= static_cast<double>(bytes.size());
    ++this->counts.datagrams_sent;
    this->counts.bytes_sent += bytes.size();
    out.push_back({to, std::move(bytes)});
    return true;
}

void membership::send_pages(core::time_point now, const core::endpoint& to, const message& request, datagrams& out) {
    const auto own_digest = this->digest();
    const auto peer_digest = request.digest.empty() ? std::vector<std::uint64_t>(bucket_count) : request.digest;
    std::vector<std::pair<bool, std::string>> parts{};
    for(const auto& [name, value] : this->remote_members) {
        const auto bucket = bucket_of(name);
        if(own_digest[bucket] != peer_digest[bucket]) {
            parts.emplace_back(false, internal::encode(value.value, value.value.is_live()));
        }
    }
    for(const auto& [key, value] : this->stored_items) {
        const auto bucket = bucket_of(key);
        if(own_digest[bucket] != peer_digest[bucket] && (!value.expires_at || *value.expires_at > now)) {
            auto copy = value.value;
            if(value.expires_at) {
                copy.lifetime = *value.expires_at - now;
            }
            parts.emplace_back(true, internal::encode(copy));
        }
    }
    // Pages start at a random record, so that several syncs together transfer what does not fit into one.
    if(!parts.empty()) {
        std::rotate(
            parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(this->random_below(parts.size())), parts.end());
    }

    auto header = this->make_message(message_kind::page, request.sequence, true);
    const auto base_size = internal::encode(header, {}, {}).size() + 2u * array_header_bytes;

    struct page_parts {
        std::vector<std::string> records{};
        std::vector<std::string> items{};
        std::size_t size{};
    };

    std::vector<page_parts> pages(1u);
    for(auto& [is_item, bytes] : parts) {
        if(base_size + pages.back().size + bytes.size() > this->options.datagram_limit) {
            pages.emplace_back();
        }
        pages.back().size += bytes.size();
        (is_item ? pages.back().items : pages.back().records).push_back(std::move(bytes));
    }
    const auto spare_budget = std::max(0.0, this->send_budget - this->reserved_budget()) / page_budget_divisor;
    const auto affordable_pages = std::min(
        this->options.max_sync_pages, 1u + static_cast<std::size_t>(spare_budget) / this->options.datagram_limit);
    header.page_count = std::min(pages.size(), affordable_pages);
    header.is_complete = pages.size() <= affordable_pages;
    for(header.page_index = 0u; header.page_index < header.page_count; ++header.page_index) {
        auto bytes = internal::encode(header, pages[header.page_index].records, pages[header.page_index].items);
        if(this->send_budget - static_cast<double>(bytes.size()) < this->reserved_budget()) {
            ++this->counts.over_budget;
            break;
        }
        this->send_budget -= static_cast<double>(bytes.size());
        ++this->counts.datagrams_sent;
        this->counts.bytes_sent += bytes.size();
        out.push_back({to, std::move(bytes)});
    }
}

void membership::send_ping(
    core::time_point now, const core::endpoint& to, const std::string& target, std::uint64_t sequence, datagrams& out) {
    auto header = this->make_message(message_kind::ping, sequence, true);
    header.target = target;
    std::vector<std::string> records{};
    if(const auto known = this->remote_members.find(target);
        known != this->remote_members.end() && state_precedence(known->second.value.state) > 0) {
        records.push_back(internal::encode(known->second.value, false));
    }
    this->send(now, to, header, std::move(records), out);
}

void membership::send_sync(core::time_point now, const core::endpoint& to, datagrams& out) {
    const auto sequence = ++this->last_sequence;
    this->sync_pages_received.emplace(sequence, std::set<std::uint64_t>{});
    auto header = this->make_message(message_kind::sync, sequence, true);
    // A node that knows few members omits the digest, which is the largest part of a sync request.
    if(this->has_joined || this->live_remote_count >= min_members_for_digest || !this->stored_items.empty()) {
        header.digest = this->digest();
    }
    this->send(now, to, header, {}, out);
}

void membership::start_sync(core::time_point now, datagrams& out) {
    const auto many_records_received = std::exchange(this->records_since_sync, 0u) >= early_sync_record_count;
    if(this->has_joined && !many_records_received && this->startup_syncs >= startup_sync_count) {
        this->next_sync = now + this->options.sync_interval;
        if(this->join_backoff > 1) {
            // A random phase keeps nodes that start together from syncing at the same time.
            this->next_sync -= this->options.sync_interval * static_cast<int>(this->random_below(16u)) / 16;
        }
        this->join_backoff = 1;
    } else {
        // Syncs that find many records are repeated with a growing interval, because the send budget of the peers is
        // limited.
        this->next_sync = now + this->options.join_interval * this->join_backoff;
        this->join_backoff = std::min(this->join_backoff + 1, max_join_backoff);
        ++this->startup_syncs;
    }
    this->sync_pages_received.clear();
    std::vector<core::endpoint> targets{};
    for(const auto* peer : this->live_peers()) {
        targets.push_back(peer->info.udp);
    }
    if(!this->has_joined) {
        targets.insert(targets.end(), this->seeds.begin(), this->seeds.end());
    }
    if(!targets.empty()) {
        ++this->counts.syncs;
        this->send_sync(now, targets[this->random_below(targets.size())], out);
    }
}

std::vector<std::uint64_t> membership::digest() const {
    std::vector<std::uint64_t> buckets(bucket_count);
    const auto add = [&buckets](const member& value) {
        buckets[bucket_of(value.info.name)] ^=
            core::hash(value.info.name, value.incarnation ^ (value.info.boot_id << 20u));
    };
    add(this->local_member);
    for(const auto& [name, value] : this->remote_members) {
        // Dead members are left out, because tombstones expire at different times. Suspects count as live.
        if(value.value.is_live()) {
            add(value.value);
        }
    }
    for(const auto& [key, value] : this->stored_items) {
        buckets[bucket_of(key)] ^= core::hash(key, value.value.version) + core::hash(value.value.value, 1u);
    }
    return buckets;
}

double membership::reserved_budget() const noexcept {
    return static_cast<double>(this->options.byte_burst) * reserved_budget_fraction;
}

} // namespace lagoonsaddle::fleet
