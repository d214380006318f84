// Applies what other nodes have sent, and queues updates for them.
#include <algorithm>
#include <utility>

#include <lagoonsaddle/fleet/internal_membership.hpp>
#include <lagoonsaddle/fleet/membership.hpp>
#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace lagoonsaddle::fleet {

using internal::member_record;
using internal::state_precedence;

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

} // namespace lagoonsaddle::fleet
