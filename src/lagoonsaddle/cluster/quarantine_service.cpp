#include <chrono>
#include <utility>

#include <lagoonsaddle/cluster/quarantine_service.hpp>
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::cluster {

quarantine_service::quarantine_service(
    policy::crash_quarantine_options options, membership_service& members, peer_directory& connections)
    : membership{members}, peers{connections}, quarantine{options} {}

void quarantine_service::record_crash(std::uint64_t crash_id, std::span<const std::string> digests) {
    std::vector<policy::quarantine_record> changed{};
    {
        const std::lock_guard lock{this->mutex};
        changed = this->quarantine.record_crash(crash_id, digests, core::unix_time());
    }
    for(const auto& record : changed) {
        this->publish(record);
    }
}

void quarantine_service::record_isolated_run(const std::string& digest) {
    std::optional<policy::quarantine_record> changed{};
    {
        const std::lock_guard lock{this->mutex};
        changed = this->quarantine.record_isolated_run(digest, core::unix_time());
    }
    if(changed) {
        this->publish(*changed);
    }
}

policy::quarantine_status quarantine_service::classify(const std::string& digest) const {
    const std::lock_guard lock{this->mutex};
    return this->quarantine.classify(digest, core::unix_time());
}

std::optional<policy::quarantine_record> quarantine_service::find_record(const std::string& digest) const {
    const std::lock_guard lock{this->mutex};
    return this->quarantine.find_record(digest, core::unix_time());
}

void quarantine_service::merge(std::string_view packed) {
    auto update = wire::unpack<wire::quarantine_update>(packed);
    if(!update) {
        return;
    }
    const policy::quarantine_record record{.digest = std::move(update->digest),
        .crashes = std::move(update->crashes),
        .cleared = std::move(update->cleared),
        .suspect_until = std::chrono::milliseconds{update->until_unix_ms}};
    const std::lock_guard lock{this->mutex};
    this->quarantine.merge(record, core::unix_time());
}

void quarantine_service::merge(const fleet::gossip_item& item) {
    if(item.kind == quarantine_item_kind) {
        this->merge(item.value);
    }
}

std::vector<policy::quarantine_record> quarantine_service::records() const {
    const std::lock_guard lock{this->mutex};
    return this->quarantine.records(core::unix_time());
}

void quarantine_service::publish(const policy::quarantine_record& record) {
    auto body = wire::pack(wire::quarantine_update{.digest = record.digest,
        .crashes = record.crashes,
        .cleared = record.cleared,
        .until_unix_ms = record.suspect_until.count()});
    this->peers.broadcast(wire::message_type::quarantine_update, body);
    // Both sets only grow, so their total size orders the states of a record and serves as the item version.
    this->membership.publish(fleet::gossip_item{.kind = std::string{quarantine_item_kind},
        .key = record.digest,
        .version = record.crashes.size() + record.cleared.size(),
        .value = std::move(body),
        .lifetime = record.suspect_until - core::unix_time()});
}

} // namespace lagoonsaddle::cluster
