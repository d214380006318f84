// Probes members, and decides from the answers which of them are suspect or dead.
#include <algorithm>
#include <iterator>
#include <utility>

#include <lagoonsaddle/fleet/internal_membership.hpp>
#include <lagoonsaddle/fleet/membership.hpp>
#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace lagoonsaddle::fleet {

using internal::member_record;
using internal::message_kind;
using internal::state_precedence;

namespace {

constexpr std::size_t max_suspect_probes_per_period = 3u;

} // namespace

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

} // namespace lagoonsaddle::fleet
