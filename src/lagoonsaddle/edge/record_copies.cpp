#include <limits>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/record_copies.hpp>

namespace lagoonsaddle::edge {

wire::upstream_copy to_copy(const upstream_entry& entry) {
    wire::upstream_copy copy{.id = entry.id,
        .service = entry.service,
        .availability_zone = entry.availability_zone,
        .address = entry.address.address,
        .port = entry.address.port,
        .leaving = entry.leaving,
        .request_slots = entry.request_slots,
        .started_ms = entry.started_ms,
        .software_version = entry.software_version};
    for(const auto& [name, model] : entry.models) {
        copy.models.push_back(name);
    }
    return copy;
}

upstream_entry from_copy(const wire::upstream_copy& copy) {
    const bool valid_port = copy.port <= std::numeric_limits<std::uint16_t>::max();
    upstream_entry entry{.id = copy.id,
        .service = copy.service,
        .availability_zone = copy.availability_zone,
        .address = {.address = copy.address,
            .port = valid_port ? static_cast<std::uint16_t>(copy.port) : std::uint16_t{}},
        .leaving = copy.leaving,
        .request_slots = copy.request_slots,
        .started_ms = copy.started_ms,
        .software_version = copy.software_version};
    for(const auto& name : copy.models) {
        entry.models.emplace(name, resident_model{});
    }
    return entry;
}

wire::lease_copy to_copy(const stored_lease& value) {
    return {.availability_zone = value.lease.availability_zone,
        .holder = value.lease.holder,
        .holder_boot_id = value.lease.holder_boot_id,
        .fencing_token = value.lease.fencing_token,
        .revision = value.revision,
        .epoch = value.epoch};
}

stored_lease from_copy(const wire::lease_copy& copy) {
    return {.lease = {.availability_zone = copy.availability_zone,
                .holder = copy.holder,
                .holder_boot_id = copy.holder_boot_id,
                .fencing_token = copy.fencing_token},
        .revision = copy.revision,
        .epoch = copy.epoch};
}

std::uint64_t digest_of(const upstream_entry& entry) {
    const auto place = core::hash(core::to_string(entry.address), core::hash(entry.service));
    const auto incarnation = core::hash(entry.software_version, place + entry.started_ms);
    return core::hash(entry.id, incarnation);
}

std::uint64_t digest_of(const stored_lease& value) {
    return core::hash(value.lease.availability_zone, core::hash(value.lease.holder, value.revision) + value.epoch);
}

std::uint64_t digest_of(const version_record& record) {
    return core::hash(record.adapter, core::hash(record.model, record.version));
}

} // namespace lagoonsaddle::edge
