// Applies the records of the store, and what other nodes have learned from it.
#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include <lagoonsaddle/edge/configuration_check.hpp>
#include <lagoonsaddle/edge/internal_entry_node.hpp>
#include <lagoonsaddle/edge/reader_selection.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

using internal::configuration_item_kind;
using internal::leaving_item_kind;
using internal::removed_item_kind;
using std::chrono::milliseconds;

namespace {

/*! @brief Time for which the membership gossip keeps the notice that an upstream is leaving or was removed. */
constexpr std::chrono::minutes ending_item_lifetime{2};
/*! @brief Entries of upstreams in the store cannot expire during a shorter outage. */
constexpr milliseconds expiring_outage_min{1'000};
/*! @brief Largest time since an announcement that is taken from a peer. */
constexpr std::uint64_t version_age_max_ms{3'600'000u};
/*! @brief Source of records that this node has read itself, in log lines. */
constexpr std::string_view store_source{"store"};

} // namespace

freshness entry_node::impl::watch_freshness() const {
    const auto now = this->context.clock.now();
    auto members = *this->membership->members();
    // Nodes that the store does not answer cannot tell the others what is new.
    std::erase_if(members, [this, now](const fleet::member& other) {
        return other.info.name != this->settings.name && this->unanswered.contains(other.info.name, now);
    });
    const bool exact = is_exact_reader(this->settings.name, this->settings.availability_zone, members);
    return exact ? freshness::exact : freshness::stale;
}

void entry_node::impl::broadcast_updates() {
    if(this->outbox.empty()) {
        return;
    }
    const bool is_chosen_reader = this->watch_freshness() == freshness::exact;
    if(auto updates = this->outbox.take(is_chosen_reader, this->context.clock.now())) {
        updates->version_ages = this->placement->version_ages(updates->versions);
        this->log.write(log_line{"updates_told"}
                            .add("configuration", static_cast<std::int64_t>(updates->configuration_version))
                            .add("leaving", static_cast<std::int64_t>(updates->leaving.size()))
                            .add("removed", static_cast<std::int64_t>(updates->removed.size()))
                            .add("versions", static_cast<std::int64_t>(updates->versions.size()))
                            .add("chosen_reader", is_chosen_reader ? 1 : 0));
        this->peers.broadcast(wire::message_type::store_news, wire::pack(*updates));
    }
}

void entry_node::impl::apply_updates(const wire::store_news& updates, std::string_view peer) {
    this->outbox.remove_told(updates);
    for(const auto& entry : updates.leaving) {
        this->apply_leaving(entry.upstream, entry.started_ms);
    }
    for(const auto& entry : updates.removed) {
        this->apply_removed(entry.upstream, entry.started_ms);
    }
    this->apply_versions(updates.versions, updates.version_ages);
    this->configuration_updates->announce(updates.configuration_version, peer);
}

bool entry_node::impl::apply_versions(std::span<const wire::version_copy> versions, const wire::version_ages_ms& ages) {
    const auto now = this->context.clock.now();
    bool learned{false};
    for(std::size_t index{}; index < versions.size(); ++index) {
        const auto& copy = versions[index];
        std::optional announced_at{now};
        if(index < ages.size()) {
            const auto& age = ages[index];
            announced_at = age ? std::optional{now - milliseconds{std::min(*age, version_age_max_ms)}} : std::nullopt;
        }
        const version_record record{.model = copy.model, .adapter = copy.adapter, .version = copy.version};
        learned = this->placement->on_version_learned(record, announced_at) || learned;
    }
    return learned;
}

void entry_node::impl::apply_version(const record_change& change, std::optional<core::time_point> announced_at) {
    const auto* record = std::get_if<version_record>(&change.value);
    if(record != nullptr && this->placement->on_version_learned(*record, announced_at)) {
        this->outbox.add_version(*record);
    }
}

void entry_node::impl::apply_announced_leaving() {
    for(const auto& item : this->membership->items(leaving_item_kind)) {
        this->apply_leaving(item.key, item.version);
    }
}

void entry_node::impl::apply_leaving(std::string_view id, std::uint64_t started_ms) {
    if(this->upstreams.mark_leaving(id, started_ms)) {
        this->log.write(log_line{"upstream_leaving"}.add("upstream", id).add("source", "peer"));
    }
}

void entry_node::impl::apply_removed(std::string_view id, std::uint64_t started_ms) {
    if(this->upstreams.mark_removed(id, started_ms, this->context.clock.now())) {
        this->log.write(log_line{"upstream_removed"}.add("upstream", id).add("source", "peer"));
    }
}

bool entry_node::impl::is_announced_removed(const upstream_entry& entry) const {
    const auto items = this->membership->items(removed_item_kind);
    return std::ranges::any_of(items,
        [&entry](const fleet::gossip_item& item) { return item.key == entry.id && item.version == entry.started_ms; });
}

void entry_node::impl::publish_incarnation(std::string_view kind, const std::string& id, std::uint64_t started_ms) {
    this->membership->publish(fleet::gossip_item{
        .kind = std::string{kind}, .key = id, .version = started_ms, .lifetime = ending_item_lifetime});
}

void entry_node::impl::announce_ending(const std::string& id, std::string_view source) {
    const auto* known = this->upstreams.find(id);
    this->log.write(
        log_line{known != nullptr ? "upstream_leaving" : "upstream_gone"}.add("upstream", id).add("source", source));
    if(known != nullptr) {
        this->outbox.add_leaving(id, known->entry.started_ms);
        this->publish_incarnation(leaving_item_kind, id, known->entry.started_ms);
    } else if(const auto started_ms = this->upstreams.removed_unmarked(id)) {
        this->outbox.add_removed(id, *started_ms);
        this->publish_incarnation(removed_item_kind, id, *started_ms);
    }
}

void entry_node::impl::log_added_upstream(const upstream_entry& entry, std::string_view source) {
    this->log.write(log_line{"upstream_added"}
                        .add("upstream", entry.id)
                        .add("service", entry.service)
                        .add("zone", entry.availability_zone)
                        .add("software_version", entry.software_version)
                        .add("address", core::to_string(entry.address))
                        .add("source", source));
}

void entry_node::impl::apply_upstream(const record_change& change) {
    const auto now = this->context.clock.now();
    const auto* entry = std::get_if<upstream_entry>(&change.value);
    const bool known = this->upstreams.find(change.name) != nullptr;
    if(entry != nullptr && !known) {
        this->log_added_upstream(*entry, store_source);
    }
    const bool is_leaving =
        entry != nullptr ? this->upstreams.update(*entry, now) : this->upstreams.remove(change.name, now);
    if(is_leaving) {
        this->announce_ending(change.name, store_source);
    }
    if(entry != nullptr && !known) {
        this->limits.apply_announced();
        this->apply_announced_leaving();
    }
}

void entry_node::impl::log_refused_configuration(
    std::uint64_t version, std::string_view source, std::string_view message) {
    this->log.write(log_line{"configuration_refused"}
                        .add("version", static_cast<std::int64_t>(version))
                        .add("source", source)
                        .add("message", message));
}

void entry_node::impl::apply_configuration(configuration value, std::string_view source) {
    if(const auto valid = check_configuration(value); !valid) {
        this->log_refused_configuration(value.version, source, valid.error().message);
        return;
    }
    const auto announced = this->configuration_updates->announced();
    if(!this->routes.apply(std::move(value))) {
        return;
    }
    this->confirmations->on_configuration_changed();
    const auto& current = *this->routes.current();
    this->log.write(log_line{"configuration"}
                        .add("version", static_cast<std::int64_t>(current.version))
                        .add("source", source)
                        .add("epoch", static_cast<std::int64_t>(this->store.epoch()))
                        .add("routes", static_cast<std::int64_t>(current.routes.size())));
    if(source == store_source && current.version > announced) {
        this->outbox.add_configuration(current.version);
    }
    this->membership->publish(
        fleet::gossip_item{.kind = std::string{configuration_item_kind}, .key = "newest", .version = current.version});
    this->placement->on_upstreams_changed();
    this->broadcast_updates();
    if(source != store_source) {
        this->records->notify_peers();
    }
}

void entry_node::impl::confirm_listed(const record_page& page, core::time_point begun) {
    auto listed = this->watched_version;
    listed.begin_list(page.is_complete());
    for(const auto& change : page.records) {
        listed.apply(change, this->routes.current().get());
    }
    if(const auto version = listed.shown()) {
        this->confirmations->record_read(begun, *version);
    }
}

void entry_node::impl::on_exact_read(record_kind kind, core::time_point begun) {
    const auto version = this->watched_version.shown();
    if(kind == record_kind::configuration && version) {
        this->confirmations->record_read(begun, *version);
    }
}

bool entry_node::impl::reads_exactly() const {
    return this->watch_freshness() == freshness::exact;
}

boost::asio::awaitable<void> entry_node::impl::read_configuration() {
    auto* watcher = this->find_watcher(record_kind::configuration);
    if(watcher == nullptr || !watcher->last_success() || watcher->is_failing()) {
        co_return;
    }
    const auto begun = this->context.clock.now();
    const auto page = co_await watcher->read_ahead();
    // The watch passes on what has changed.
    if(page && page->records.empty()) {
        this->on_exact_read(record_kind::configuration, begun);
    }
}

void entry_node::impl::apply_lease(const record_change& change, std::uint64_t epoch) {
    if(const auto* lease = std::get_if<lease_record>(&change.value)) {
        const stored_lease record{.lease = *lease, .revision = change.revision, .epoch = epoch};
        this->placement->on_lease_changed(change.name, &record);
    } else {
        this->placement->on_lease_changed(change.name, nullptr);
    }
}

void entry_node::impl::on_list(record_kind kind, const record_page& page) {
    const bool is_first = this->listed_kinds.insert(kind).second;
    if(is_first && this->watch_freshness() == freshness::stale) {
        // What others have read long ago is not new.
        this->outbox.clear();
    }
    if(kind == record_kind::upstreams) {
        std::vector<upstream_entry> entries{};
        for(const auto& change : page.records) {
            if(const auto* entry = std::get_if<upstream_entry>(&change.value)) {
                entries.push_back(*entry);
            }
        }
        const auto now = this->context.clock.now();
        const auto changed =
            page.is_complete() ? this->upstreams.replace(entries, now) : this->upstreams.merge(entries, now);
        for(const auto& id : changed) {
            this->announce_ending(id, store_source);
        }
        this->limits.apply_announced();
        this->apply_announced_leaving();
        this->upstreams_known = true;
        this->placement->on_upstreams_changed();
        this->broadcast_updates();
        this->records->notify_read_changes();
        return;
    }
    if(kind == record_kind::versions) {
        // A list shows which versions there are, not since when.
        for(const auto& change : page.records) {
            this->apply_version(change, std::nullopt);
        }
        this->broadcast_updates();
        this->records->notify_read_changes();
        return;
    }
    if(kind == record_kind::configuration) {
        this->watched_version.begin_list(page.is_complete());
    }
    this->on_changes(kind, page);
    if(kind == record_kind::leases && page.is_complete()) {
        this->placement->on_leases_listed(page.epoch);
    }
}

void entry_node::impl::on_changes(record_kind kind, const record_page& page) {
    for(const auto& change : page.records) {
        switch(kind) {
        case record_kind::configuration:
            if(const auto* value = std::get_if<configuration>(&change.value)) {
                this->apply_configuration(*value, store_source);
            } else {
                this->log_refused_configuration(
                    0u, store_source, "the record '" + change.name + "' holds no configuration");
            }
            this->watched_version.apply(change, this->routes.current().get());
            break;
        case record_kind::upstreams:
            this->apply_upstream(change);
            break;
        case record_kind::versions:
            this->apply_version(change, this->context.clock.now());
            break;
        case record_kind::leases:
            this->apply_lease(change, page.epoch);
            break;
        case record_kind::streams:
            // Read by `stream_archive_service`, at the start only.
            break;
        }
    }
    if(kind == record_kind::upstreams) {
        this->placement->on_upstreams_changed();
    }
    this->broadcast_updates();
    this->records->notify_read_changes();
}

void entry_node::impl::on_store_recovered(record_kind kind, core::duration outage) {
    if(kind == record_kind::upstreams && outage >= expiring_outage_min) {
        this->store_returned = this->context.clock.now();
        this->upstreams.on_store_recovered(this->context.clock.now());
    }
}

void entry_node::impl::on_watch_silent(record_kind kind) {
    for(const auto& watcher : this->watchers) {
        if(watcher->kind() != kind) {
            watcher->begin_anew();
        }
    }
}

void entry_node::impl::on_store_restored(record_kind kind) {
    if(kind == record_kind::upstreams) {
        // Upstreams whose entries the copy lacks write them again, as after an outage.
        this->upstreams.on_store_recovered(this->context.clock.now());
    }
}

void entry_node::impl::on_upstream_leaving(const std::string& upstream) {
    this->announce_ending(upstream, "response");
    this->broadcast_updates();
}

} // namespace lagoonsaddle::edge
