#include <algorithm>
#include <cmath>
#include <cstddef>
#include <set>
#include <utility>

#include <lagoonsaddle/fleet/internal_membership.hpp>
#include <lagoonsaddle/fleet/membership.hpp>
#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace lagoonsaddle::fleet {

using internal::bucket_count;
using internal::early_sync_record_count;
using internal::message;
using internal::message_kind;
using internal::state_precedence;

namespace {

// A node that exits notifies this many peers directly, because it cannot gossip its state afterwards.
constexpr std::size_t announce_left_fanout = 8u;
constexpr std::size_t seeds_max = 4'096u;
/*! @brief Seeds added at a time to which a node sends a sync at once: one that answers tells of all others. */
constexpr std::size_t new_seed_contacts = 3u;
constexpr core::duration expiry_interval = std::chrono::seconds{1};
constexpr core::duration relayed_probe_lifetime = std::chrono::seconds{2};

} // namespace

membership::membership(membership_settings settings, member_info self, std::vector<core::endpoint> seed_endpoints,
    std::uint64_t random_seed)
    : options{settings},
      local_member{std::move(self), member_state::alive, 1u},
      random{random_seed},
      send_budget{static_cast<double>(settings.byte_burst)} {
    this->add_seeds(seed_endpoints);
    // The first sync goes to one of them.
    this->uncontacted_seeds.clear();
    this->has_joined = this->seeds.empty();
}

void membership::add_seeds(std::span<const core::endpoint> endpoints) {
    for(const auto& value : endpoints) {
        if(value != this->local_member.info.udp &&
            std::find(this->seeds.begin(), this->seeds.end(), value) == this->seeds.end()) {
            this->seeds.push_back(value);
            this->uncontacted_seeds.push_back(value);
        }
    }
    // Seeds that came and went must not grow the list without end; the oldest are the most likely to be stale.
    if(this->seeds.size() > seeds_max) {
        this->seeds.erase(this->seeds.begin(), this->seeds.end() - static_cast<std::ptrdiff_t>(seeds_max));
    }
}

void membership::contact_new_seeds(core::time_point now, datagrams& out) {
    std::set<core::endpoint> live{};
    for(const auto* peer : this->live_peers()) {
        live.insert(peer->info.udp);
    }
    std::erase_if(this->uncontacted_seeds, [&live](const core::endpoint& seed) { return live.contains(seed); });
    std::shuffle(this->uncontacted_seeds.begin(), this->uncontacted_seeds.end(), this->random);
    const auto count = std::min(this->uncontacted_seeds.size(), new_seed_contacts);
    for(std::size_t index{}; index < count; ++index) {
        this->send_sync(now, this->uncontacted_seeds[index], out);
    }
    this->uncontacted_seeds.clear();
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
    if(!this->uncontacted_seeds.empty()) {
        this->contact_new_seeds(now, out);
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

void membership::remove_expired(core::time_point now) {
    this->next_expiry = now + expiry_interval;
    std::erase_if(this->remote_members, [this, now](const auto& pair) {
        return !pair.second.value.is_live() && now >= pair.second.updated_at + this->options.tombstone_lifetime;
    });
    std::erase_if(this->stored_items,
        [now](const auto& pair) { return pair.second.expires_at && now >= *pair.second.expires_at; });
    std::erase_if(this->relayed_probes, [now](const auto& pair) { return now >= pair.second.expires_at; });
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

std::size_t membership::log_member_count() const noexcept {
    return std::max<std::size_t>(
        1u, static_cast<std::size_t>(std::ceil(std::log10(static_cast<double>(this->live_remote_count + 1u)))));
}

std::size_t membership::random_below(std::size_t bound) {
    return static_cast<std::size_t>(this->random() % bound);
}

} // namespace lagoonsaddle::fleet
