#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/fleet/membership.hpp>
#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace lagoonsaddle::fleet {

namespace {

using internal::member_record;
using internal::message;
using internal::message_kind;

// With 950 members, a bucket holds about 15 records, which is two pages; the digest itself takes half a datagram.
constexpr std::size_t bucket_count = 64u;
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
// After receiving this many records and items, the next sync starts early.
constexpr std::size_t early_sync_record_count = 8u;
constexpr std::size_t max_suspect_probes_per_period = 3u;
constexpr std::size_t min_members_for_digest = 16u;
// The pages of one sync use at most the unreserved send budget divided by this, so that a seed can serve many joining
// nodes at once.
constexpr double page_budget_divisor = 4.0;
constexpr int max_join_backoff = 8;
// When all nodes start at once, the first syncs reach peers that know no other members yet.
constexpr std::size_t startup_sync_count = 3u;
// A node that exits notifies this many peers directly, because it cannot gossip its state afterwards.
constexpr std::size_t announce_left_fanout = 8u;
constexpr core::duration expiry_interval = std::chrono::seconds{1};
constexpr core::duration relayed_probe_lifetime = std::chrono::seconds{2};

[[nodiscard]] int state_precedence(member_state state) noexcept {
    switch(state) {
    case member_state::alive:
    case member_state::leaving:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::dead:
        return 2;
    case member_state::left:
        return 3;
    }
    return 0;
}

[[nodiscard]] std::size_t bucket_of(std::string_view key) noexcept {
    return core::hash(key) % bucket_count;
}

} // namespace

membership::membership(membership_settings settings, member_info self, std::vector<core::endpoint> seed_endpoints,
    std::uint64_t random_seed)
    : options{settings},
      local_member{std::move(self), member_state::alive, 1u},
      random{random_seed},
      send_budget{static_cast<double>(settings.byte_burst)} {
    this->add_seeds(seed_endpoints);
    this->has_joined = this->seeds.empty();
}

void membership::add_seeds(std::span<const core::endpoint> endpoints) {
    for(const auto& value : endpoints) {
        if(value != this->local_member.info.udp &&
            std::find(this->seeds.begin(), this->seeds.end(), value) == this->seeds.end()) {
            this->seeds.push_back(value);
        }
    }
}

std::vector<datagram> membership::tick(core::time_point now) {
    datagrams out{};
    if(this->has_left) {
        return out;
    }
    this->refill_budget(now);
    if(!this->last_tick) {
        // A random phase keeps nodes that start together from sending at the same time.
        this->next_probe = now + this->options.probe_interval * this->random_below(16u) / 16;
        this->next_sync = now;
        this->queue_own_record();
        this->next_reconnect = now + this->options.reconnect_interval;
        this->next_expiry = now + expiry_interval;
    } else if(now - *this->last_tick > this->options.probe_interval) {
        this->handle_pause(now);
    }
    this->last_tick = now;

    if(this->active_probe && !this->active_probe->indirect_requested &&
        now >= this->active_probe->sent_at + this->options.probe_timeout) {
        this->request_indirect_probes(now, out);
    }
    if(now >= this->next_probe) {
        this->start_probe_period(now, out);
    }
    this->expire_suspicions(now);
    if(now >= this->next_sync) {
        this->start_sync(now, out);
    }
    if(now >= this->next_reconnect) {
        this->reconnect_unreachable(now, out);
    }
    if(now >= this->next_expiry) {
        this->remove_expired(now);
    }
    return out;
}

std::vector<datagram> membership::receive(core::time_point now, const core::endpoint& from, std::string_view bytes) {
    datagrams out{};
    ++this->counts.datagrams_received;
    const auto decoded = bytes.size() <= this->options.datagram_limit ? internal::decode(bytes) : std::nullopt;
    if(!decoded || (!decoded->digest.empty() && decoded->digest.size() != bucket_count)) {
        ++this->counts.malformed;
        return out;
    }
    const auto& received = *decoded;
    const auto& sender = received.sender.member;
    if(this->has_left ||
        (sender.info.name == this->local_member.info.name && sender.info.boot_id == this->local_member.info.boot_id)) {
        return out;
    }
    this->refill_budget(now);
    this->last_event = now;

    // The sender must receive records that supersede its own state, or it could not refute them.
    std::vector<std::string> about_sender{};
    if(const auto known = this->remote_members.find(sender.info.name); known != this->remote_members.end()) {
        const auto& known_sender = known->second.value;
        if(known_sender.incarnation > sender.incarnation ||
            (known_sender.incarnation == sender.incarnation &&
                (state_precedence(known_sender.state) > state_precedence(sender.state) ||
                    known_sender.info.boot_id != sender.info.boot_id))) {
            about_sender.push_back(internal::encode(known_sender, false));
        }
    }
    this->apply_record(now, received.sender);
    // The pages that a joining node receives are known to the other members already; gossiping all of them again would
    // use up the send budget.
    this->suppress_gossip = received.kind == message_kind::page && !this->has_joined;
    for(const auto& peer_record : received.records) {
        this->apply_record(now, peer_record);
    }
    for(const auto& peer_item : received.items) {
        this->apply_item(now, peer_item, true);
    }
    this->suppress_gossip = false;

    switch(received.kind) {
    case message_kind::ping:
        // When an address is reused by another node, that node must not acknowledge probes of the previous one.
        if(received.target.empty() || received.target == this->local_member.info.name) {
            this->send(now, from, this->make_message(message_kind::ack, received.sequence, received.target.empty()),
                std::move(about_sender), out);
        }
        break;
    case message_kind::ping_request:
        if(const auto target = this->remote_members.find(received.target); target != this->remote_members.end()) {
            const auto sequence = ++this->last_sequence;
            this->relayed_probes.emplace(
                sequence, relayed_probe{from, received.sequence, now + relayed_probe_lifetime});
            this->send_ping(now, target->second.value.info.udp, received.target, sequence, out);
        }
        break;
    case message_kind::ack:
        if(this->active_probe && received.sequence == this->active_probe->sequence) {
            this->active_probe.reset();
        } else if(const auto relayed = this->relayed_probes.find(received.sequence);
                  relayed != this->relayed_probes.end()) {
            this->send(now, relayed->second.requester,
                this->make_message(message_kind::ack, relayed->second.sequence, false), {}, out);
            this->relayed_probes.erase(relayed);
        } else {
            ++this->counts.unmatched_acks;
        }
        break;
    case message_kind::sync:
    case message_kind::sync_reply:
        this->send_pages(now, from, received, out);
        // A sync without a digest comes from a joining node, whose own record was applied above.
        if(received.kind == message_kind::sync && !received.digest.empty()) {
            auto header = this->make_message(message_kind::sync_reply, received.sequence, true);
            header.digest = this->digest();
            if(header.digest != received.digest) {
                this->send(now, from, header, std::move(about_sender), out);
            }
        }
        break;
    case message_kind::page:
        if(const auto sync = this->sync_pages_received.find(received.sequence);
            sync != this->sync_pages_received.end() && received.page_index < received.page_count) {
            sync->second.insert(received.page_index);
            this->has_joined = this->has_joined || (received.is_complete && sync->second.size() == received.page_count);
        }
        // Pages of a sync that the peer has started count as well.
        this->records_since_sync += received.records.size() + received.items.size();
        if(this->records_since_sync >= early_sync_record_count) {
            this->next_sync = std::min(this->next_sync, now + this->options.join_interval * this->join_backoff);
        }
        break;
    }
    return out;
}

std::vector<datagram> membership::announce_leaving(core::time_point now) {
    datagrams out{};
    if(this->has_left || this->local_member.state == member_state::leaving) {
        return out;
    }
    this->refill_budget(now);
    this->local_member.state = member_state::leaving;
    ++this->local_member.incarnation;
    this->queue_own_record();
    auto targets = this->live_peers();
    std::shuffle(targets.begin(), targets.end(), this->random);
    targets.resize(std::min(targets.size(), this->options.indirect_probes));
    for(const auto* peer : targets) {
        this->send_ping(now, peer->info.udp, peer->info.name, ++this->last_sequence, out);
    }
    return out;
}

std::vector<datagram> membership::announce_left(core::time_point now) {
    datagrams out{};
    if(this->has_left) {
        return out;
    }
    this->refill_budget(now);
    this->local_member.state = member_state::left;
    ++this->local_member.incarnation;
    this->queue_own_record();
    auto targets = this->live_peers();
    std::shuffle(targets.begin(), targets.end(), this->random);
    targets.resize(std::min(targets.size(), announce_left_fanout));
    for(const auto* peer : targets) {
        this->send_ping(now, peer->info.udp, peer->info.name, ++this->last_sequence, out);
    }
    this->has_left = true;
    return out;
}

bool membership::publish(core::time_point now, gossip_item value) {
    return internal::has_valid_lengths(value) && this->apply_item(now, std::move(value), false);
}

std::vector<gossip_item> membership::take_items() {
    return std::exchange(this->received_items, {});
}

std::vector<member_change> membership::take_changes() {
    return std::exchange(this->changes, {});
}

core::time_point membership::next_tick() const noexcept {
    if(!this->last_tick) {
        return {};
    }
    auto next = std::min({this->next_probe, this->next_sync, this->next_reconnect, this->next_expiry});
    if(this->active_probe && !this->active_probe->indirect_requested) {
        next = std::min(next, this->active_probe->sent_at + this->options.probe_timeout);
    }
    for(const auto& name : this->suspects) {
        next = std::min(next, this->remote_members.find(name)->second.suspicion_deadline);
    }
    return next;
}

bool membership::joined() const noexcept {
    return this->has_joined;
}

const member& membership::self() const noexcept {
    return this->local_member;
}

std::vector<member> membership::members() const {
    std::vector<member> result{};
    result.reserve(this->remote_members.size() + 1u);
    auto self_pending = true;
    for(const auto& [name, value] : this->remote_members) {
        if(self_pending && this->local_member.info.name < name) {
            result.push_back(this->local_member);
            self_pending = false;
        }
        result.push_back(value.value);
    }
    if(self_pending) {
        result.push_back(this->local_member);
    }
    return result;
}

std::vector<member> membership::live_members() const {
    auto result = this->members();
    std::erase_if(result, [](const member& value) { return !value.is_live(); });
    return result;
}

const member* membership::find(std::string_view name) const {
    if(name == this->local_member.info.name) {
        return &this->local_member;
    }
    const auto found = this->remote_members.find(name);
    return found == this->remote_members.end() ? nullptr : &found->second.value;
}

std::optional<gossip_item> membership::find_item(std::string_view kind, std::string_view key) const {
    const auto found = this->stored_items.find(item_key(kind, key));
    if(found == this->stored_items.end() ||
        (found->second.expires_at && *found->second.expires_at <= this->last_event)) {
        return std::nullopt;
    }
    auto value = found->second.value;
    if(found->second.expires_at) {
        value.lifetime = *found->second.expires_at - this->last_event;
    }
    return value;
}

std::vector<gossip_item> membership::items(std::string_view kind) const {
    std::vector<gossip_item> result{};
    const auto prefix = item_key(kind, {});
    for(auto next = this->stored_items.lower_bound(prefix);
        next != this->stored_items.end() && next->first.starts_with(prefix); ++next) {
        if(auto value = this->find_item(kind, next->second.value.key)) {
            result.push_back(*std::move(value));
        }
    }
    return result;
}

const membership_counters& membership::counters() const noexcept {
    return this->counts;
}

std::string membership::item_key(std::string_view kind, std::string_view key) {
    std::string result{kind};
    result += '\0';
    result += key;
    return result;
}

message membership::make_message(message_kind kind, std::uint64_t sequence, bool full) const {
    message header{};
    header.kind = kind;
    header.sequence = sequence;
    header.sender = {this->local_member, full};
    return header;
}

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

void membership::apply_record(core::time_point now, const member_record& value) {
    if(value.member.info.name == this->local_member.info.name) {
        this->apply_own_record(value);
        return;
    }
    const auto found = this->remote_members.find(value.member.info.name);
    if(found == this->remote_members.end()) {
        if(value.is_full && value.member.is_live()) {
            auto& added = this->remote_members[value.member.info.name];
            added.value.state = member_state::left;
            this->update_member(now, added, value);
            this->changes.back().previous_state.reset();
            this->changes.back().restarted = false;
        }
        return;
    }
    const auto& known = found->second.value;
    const auto is_newer = value.member.incarnation > known.incarnation ||
                          (value.member.incarnation == known.incarnation &&
                              state_precedence(value.member.state) > state_precedence(known.state));
    // A compact record with another boot id lacks the new endpoints; the full one follows with the next sync.
    const auto is_usable = value.is_full || value.member.info.boot_id == known.info.boot_id;
    if(is_newer && is_usable) {
        this->update_member(now, found->second, value);
    }
}

void membership::apply_own_record(const member_record& value) {
    const auto same_boot = value.member.info.boot_id == this->local_member.info.boot_id;
    const auto is_suspected = state_precedence(value.member.state) > 0;
    if(this->has_left || value.member.incarnation < this->local_member.incarnation || (same_boot && !is_suspected)) {
        return;
    }
    ++this->counts.refutations;
    this->local_member.incarnation = value.member.incarnation + 1u;
    this->queue_own_record();
}

bool membership::apply_item(core::time_point now, gossip_item value, bool from_peer) {
    auto key = item_key(value.kind, value.key);
    const auto found = this->stored_items.find(key);
    if(found != this->stored_items.end()) {
        const auto& known = found->second.value;
        if(value.version < known.version || (value.version == known.version && value.value <= known.value)) {
            return false;
        }
    }
    if(value.lifetime && *value.lifetime <= core::duration{}) {
        return false;
    }
    stored_item next{value, {}};
    if(value.lifetime) {
        next.expires_at = now + *value.lifetime;
    }
    if(from_peer) {
        this->received_items.push_back(std::move(value));
    }
    this->stored_items.insert_or_assign(key, std::move(next));
    this->queue_update(true, std::move(key));
    return true;
}

void membership::update_member(core::time_point now, member_entry& target, const member_record& value) {
    const auto previous = target.value.state;
    const auto was_live = target.value.is_live();
    const auto restarted = value.member.info.boot_id != target.value.info.boot_id;
    if(value.is_full) {
        target.value.info = value.member.info;
    }
    target.value.state = value.member.state;
    target.value.incarnation = value.member.incarnation;
    target.updated_at = now;
    const auto is_live = target.value.is_live();
    if(is_live && !was_live) {
        ++this->live_remote_count;
    } else if(was_live && !is_live) {
        --this->live_remote_count;
    }

    const auto& name = target.value.info.name;
    if(target.value.state == member_state::suspect) {
        ++this->counts.suspicions;
        this->suspects.insert(name);
        // Only the node that raised the suspicion probes the suspect again. Other nodes wait longer, so that a
        // refutation can reach them.
        target.is_own_suspicion = false;
        target.suspicion_deadline = now + this->options.suspicion_timeout * (1u + this->log_member_count());
    } else {
        this->suspects.erase(name);
    }
    if(target.value.state == member_state::dead) {
        ++this->counts.deaths;
    }
    if(target.value.state != previous || restarted) {
        this->changes.push_back({target.value, previous, restarted});
    }
    this->queue_update(false, name);
}

void membership::queue_update(bool is_item, std::string key) {
    if(this->suppress_gossip && key != this->local_member.info.name) {
        return;
    }
    const auto found = std::find_if(this->pending_updates.begin(), this->pending_updates.end(),
        [is_item, &key](const pending_update& value) { return value.is_item == is_item && value.key == key; });
    if(found != this->pending_updates.end()) {
        found->transmissions = 0u;
    } else {
        this->pending_updates.push_back({is_item, std::move(key), 0u});
    }
}

void membership::queue_own_record() {
    this->queue_update(false, this->local_member.info.name);
}

void membership::start_probe_period(core::time_point now, datagrams& out) {
    if(this->active_probe) {
        ++this->counts.probes_failed;
        const auto target = this->remote_members.find(this->active_probe->target);
        if(target != this->remote_members.end() && state_precedence(target->second.value.state) == 0) {
            member_record suspicion{target->second.value, false};
            suspicion.member.state = member_state::suspect;
            this->update_member(now, target->second, suspicion);
            target->second.is_own_suspicion = true;
            target->second.suspicion_deadline = now + this->options.suspicion_timeout;
        }
        this->active_probe.reset();
    }
    this->next_probe = now + this->options.probe_interval;
    if(const auto target = this->choose_probe_target()) {
        this->active_probe = probe{*target, ++this->last_sequence, now, false};
        this->send_ping(
            now, this->remote_members.find(*target)->second.value.info.udp, *target, this->active_probe->sequence, out);
    }
    // The node that raised a suspicion keeps probing the suspect, so that one lost datagram does not lead to its death.
    std::size_t pings_sent{};
    for(const auto& name : this->suspects) {
        const auto& suspect = this->remote_members.find(name)->second;
        if(suspect.is_own_suspicion && pings_sent < max_suspect_probes_per_period) {
            ++pings_sent;
            this->send_ping(now, suspect.value.info.udp, name, ++this->last_sequence, out);
        }
    }
}

void membership::request_indirect_probes(core::time_point now, datagrams& out) {
    this->active_probe->indirect_requested = true;
    auto probers = this->live_peers();
    std::erase_if(probers, [this](const member* value) {
        return value->info.name == this->active_probe->target || value->state == member_state::suspect;
    });
    std::shuffle(probers.begin(), probers.end(), this->random);
    probers.resize(std::min(probers.size(), this->options.indirect_probes));
    for(const auto* prober : probers) {
        auto header = this->make_message(message_kind::ping_request, this->active_probe->sequence, false);
        header.target = this->active_probe->target;
        this->send(now, prober->info.udp, header, {}, out);
    }
}

void membership::expire_suspicions(core::time_point now) {
    const auto names = this->suspects;
    for(const auto& name : names) {
        auto& suspect = this->remote_members.find(name)->second;
        if(now >= suspect.suspicion_deadline) {
            member_record death{suspect.value, false};
            death.member.state = member_state::dead;
            this->update_member(now, suspect, death);
        }
    }
}

void membership::reconnect_unreachable(core::time_point now, datagrams& out) {
    this->next_reconnect = now + this->options.reconnect_interval;
    std::vector<const member*> dead{};
    std::set<core::endpoint> live{};
    for(const auto& [name, value] : this->remote_members) {
        if(value.value.state == member_state::dead) {
            dead.push_back(&value.value);
        } else if(value.value.is_live()) {
            live.insert(value.value.info.udp);
        }
    }
    if(!dead.empty()) {
        const auto* target = dead[this->random_below(dead.size())];
        this->send_ping(now, target->info.udp, target->info.name, ++this->last_sequence, out);
    }
    std::vector<core::endpoint> unreachable_seeds{};
    std::copy_if(this->seeds.begin(), this->seeds.end(), std::back_inserter(unreachable_seeds),
        [&live](const core::endpoint& value) { return !live.contains(value); });
    if(!unreachable_seeds.empty()) {
        this->send_ping(
            now, unreachable_seeds[this->random_below(unreachable_seeds.size())], {}, ++this->last_sequence, out);
    }
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

void membership::remove_expired(core::time_point now) {
    this->next_expiry = now + expiry_interval;
    std::erase_if(this->remote_members, [this, now](const auto& pair) {
        return !pair.second.value.is_live() && now >= pair.second.updated_at + this->options.tombstone_lifetime;
    });
    std::erase_if(this->stored_items,
        [now](const auto& pair) { return pair.second.expires_at && now >= *pair.second.expires_at; });
    std::erase_if(this->relayed_probes, [now](const auto& pair) { return now >= pair.second.expires_at; });
}

void membership::handle_pause(core::time_point now) {
    // Acknowledgements that arrived during a pause are still in the socket buffer, so the elapsed time says nothing
    // about the open probe and the pending suspicions.
    ++this->counts.pauses;
    const auto pause = now - *this->last_tick;
    this->active_probe.reset();
    this->next_probe = now;
    for(const auto& name : this->suspects) {
        this->remote_members.find(name)->second.suspicion_deadline += pause;
    }
}

std::optional<std::string> membership::choose_probe_target() {
    const auto own_zone = this->probes_started++ % this->options.zone_probe_period < this->options.local_zone_probes;
    for(const auto remote : {own_zone ? 0u : 1u, own_zone ? 1u : 0u}) {
        auto& round = this->probe_rounds[remote];
        for(auto attempt = 0; attempt < 2; ++attempt) {
            while(!round.empty()) {
                auto name = std::move(round.back());
                round.pop_back();
                const auto found = this->remote_members.find(name);
                if(found != this->remote_members.end() && found->second.value.is_live()) {
                    return name;
                }
            }
            if(attempt == 0) {
                for(const auto* peer : this->live_peers()) {
                    if((peer->info.availability_zone != this->local_member.info.availability_zone) == (remote == 1u)) {
                        round.push_back(peer->info.name);
                    }
                }
                std::shuffle(round.begin(), round.end(), this->random);
            }
        }
    }
    return std::nullopt;
}

std::vector<const member*> membership::live_peers() const {
    std::vector<const member*> result{};
    result.reserve(this->live_remote_count);
    for(const auto& [name, value] : this->remote_members) {
        if(value.value.is_live()) {
            result.push_back(&value.value);
        }
    }
    return result;
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

std::size_t membership::log_member_count() const noexcept {
    return std::max<std::size_t>(
        1u, static_cast<std::size_t>(std::ceil(std::log10(static_cast<double>(this->live_remote_count + 1u)))));
}

double membership::reserved_budget() const noexcept {
    return static_cast<double>(this->options.byte_burst) * reserved_budget_fraction;
}

std::size_t membership::random_below(std::size_t bound) {
    return static_cast<std::size_t>(this->random() % bound);
}

} // namespace lagoonsaddle::fleet
