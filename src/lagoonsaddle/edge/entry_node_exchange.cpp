#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/internal_entry_node.hpp>
#include <lagoonsaddle/edge/record_copies.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Largest number of versions in one message, which keeps it below the limit of a frame. */
constexpr std::size_t copied_versions_max{10'000u};

} // namespace

bool entry_node::impl::reads_store() const {
    return std::ranges::all_of(
        this->watchers, [](const auto& watcher) { return watcher->last_success() && !watcher->is_failing(); });
}

wire::records_summary entry_node::impl::summarize_records() const {
    wire::records_summary summary{.configuration_version = this->routes.version(),
        .upstreams_known = this->upstreams_known,
        .versions = this->placement->versions_digest()};
    for(const auto& [id, known] : this->upstreams.all()) {
        // Nodes forget ending upstreams at different times.
        if(!known.is_ending()) {
            summary.upstreams ^= digest_of(known.entry);
        }
    }
    for(const auto& record : this->placement->known_leases()) {
        summary.leases ^= digest_of(record);
    }
    return summary;
}

wire::records_reply entry_node::impl::copy_records(const wire::records_summary& known) const {
    const auto own = this->summarize_records();
    wire::records_reply reply{
        .configuration_version = own.configuration_version, .upstreams_known = own.upstreams_known};
    if(own.upstreams_known && own.upstreams != known.upstreams) {
        auto& copies = reply.upstreams.emplace();
        for(const auto& [id, upstream] : this->upstreams.all()) {
            // A removal that a peer has told must not be undone at nodes that do not know of it.
            if(!upstream.removal_told_at) {
                copies.push_back(to_copy(upstream.entry));
            }
        }
    }
    if(own.versions != known.versions) {
        reply.versions = this->placement->copy_versions(copied_versions_max);
        reply.version_ages = this->placement->version_ages(*reply.versions);
    }
    if(own.leases != known.leases) {
        auto& copies = reply.leases.emplace();
        for(const auto& record : this->placement->known_leases()) {
            copies.push_back(to_copy(record));
        }
    }
    return reply;
}

bool entry_node::impl::merge_upstream(const upstream_entry& entry, std::string_view peer, bool peer_reads_store) {
    const auto* known = this->upstreams.find(entry.id);
    const bool is_new = known == nullptr && !this->upstreams.was_removed(entry) && !entry.leaving;
    if(is_new && !this->is_announced_removed(entry)) {
        this->log_added_upstream(entry, peer);
        this->upstreams.update(entry, this->context.clock.now());
        return true;
    }
    if(known == nullptr || entry.started_ms < known->entry.started_ms) {
        return false;
    }
    if(entry.started_ms > known->entry.started_ms) {
        this->log_added_upstream(entry, peer);
        this->upstreams.update(entry, this->context.clock.now());
        return true;
    }
    if(peer_reads_store && !entry.leaving && this->upstreams.confirm_listed(entry.id, this->context.clock.now())) {
        this->log.write(log_line{"upstream_confirmed"}.add("upstream", entry.id).add("source", peer));
        return true;
    }
    const bool is_leaving = entry.leaving && this->upstreams.mark_leaving(entry.id, entry.started_ms);
    if(is_leaving) {
        this->log.write(log_line{"upstream_leaving"}.add("upstream", entry.id).add("source", peer));
    }
    return is_leaving;
}

bool entry_node::impl::merge_records(const wire::records_reply& reply, std::string_view peer) {
    if(!reply.upstreams_known) {
        return false;
    }
    bool learned = !std::exchange(this->upstreams_known, true);
    const bool peer_reads_store =
        std::ranges::find(reply.readers, peer, &wire::store_reader::node) != reply.readers.end();
    for(const auto& copy : reply.upstreams.value_or(std::vector<wire::upstream_copy>{})) {
        learned = this->merge_upstream(from_copy(copy), peer, peer_reads_store) || learned;
    }
    if(reply.versions) {
        learned = this->apply_versions(*reply.versions, reply.version_ages) || learned;
    }
    for(const auto& copy : reply.leases.value_or(std::vector<wire::lease_copy>{})) {
        learned = this->placement->on_lease_copied(from_copy(copy)) || learned;
    }
    if(learned) {
        this->limits.apply_announced();
        this->apply_announced_leaving();
        this->placement->on_upstreams_changed();
        this->log.write(log_line{"records_learned"}
                            .add("peer", peer)
                            .add("upstreams", static_cast<std::int64_t>(this->upstreams.all().size())));
    }
    return learned;
}

void entry_node::impl::announce_configuration(std::uint64_t version, std::string_view peer) {
    this->configuration_updates->announce(version, peer);
}

} // namespace lagoonsaddle::edge
