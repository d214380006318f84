// Keeps the leases of the availability zones: who may order the loads of their upstreams.
#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>
#include <lagoonsaddle/edge/sleep.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Delay after a write that did not release a lease. */
constexpr std::chrono::milliseconds failed_release_delay{500};
/*! @brief Time after the start of the node in which the membership may lack nodes that are alive. */
constexpr std::chrono::seconds membership_settle_time{3};
/*! @brief Time for which the membership may find the holder of a lease by itself, as at the start of a fleet, before it
 * is contacted at the address in the record; the rest of the time to settle is for its answer. */
constexpr std::chrono::milliseconds holder_contact_delay{1'500};
/*! @brief Kind of the membership items that state the newest fencing token of each availability zone, so that a holder
 * which cannot read the store hears that it was replaced. */
constexpr std::string_view holder_item_kind{"lease_token"};
/*! @brief Longer than a holder can be partitioned from its fleet without losing its members. */
constexpr std::chrono::minutes holder_item_lifetime{2};
/*! @brief Age of the last read of a lease from which these items are consulted; longer than the read interval. */
constexpr std::chrono::milliseconds holder_item_delay{1'200};

} // namespace

lease_tracker& placement_service::lease_of(const std::string& zone) {
    const auto found = this->leases.find(zone);
    if(found != this->leases.end()) {
        found->second.observe_epoch(this->context.store.epoch(), this->context.clock.now());
        return found->second;
    }
    lease_options options{};
    options.node_name = this->settings.node_name;
    options.boot_id = this->settings.boot_id;
    options.node_address = this->settings.peer_endpoint.address;
    options.upstreams_check_tokens = this->settings.upstreams_check_tokens;
    options.unreachable_takeover_wait = this->settings.lease_time;
    if(!this->settings.upstreams_check_tokens) {
        // Without token checks, only time separates the orders of two holders.
        options.unreachable_takeover_wait = this->settings.lease_time + options.lease_duration;
        options.ended_takeover_wait = this->settings.lease_time;
    }
    auto& lease = this->leases.emplace(zone, lease_tracker{std::move(options)}).first->second;
    if(this->leases_listed_in) {
        lease.observe_unlisted(*this->leases_listed_in, this->context.clock.now());
    }
    return lease;
}

holder_status placement_service::holder_status_of(const lease_tracker& lease) const {
    if(!lease.current()) {
        return holder_status::ended;
    }
    const auto& holder = lease.current()->lease.holder;
    const auto members = this->context.membership.members();
    const auto found =
        std::ranges::find_if(*members, [&holder](const fleet::member& other) { return other.info.name == holder; });
    if(found == members->end()) {
        // A holder that is new to this node has a way to it in its record, and time to be found.
        const auto known_since = std::max(this->started_at, lease.holder_since());
        const bool settled = this->context.clock.now() - known_since >= membership_settle_time;
        return settled ? holder_status::unreachable : holder_status::unknown;
    }
    const bool same_boot = found->info.boot_id == lease.current()->lease.holder_boot_id;
    const bool stopping = found->state == fleet::member_state::leaving || found->state == fleet::member_state::left;
    if(!same_boot || stopping) {
        return holder_status::ended;
    }
    if(this->context.partitions.contains(found->info, this->context.clock.now())) {
        // It releases the lease when it can; until then it may be thought to give orders.
        return holder_status::unreachable;
    }
    return found->is_live() ? holder_status::live : holder_status::unreachable;
}

bool placement_service::is_candidate(const fleet::member& node) const {
    return node.is_live() && node.state != fleet::member_state::leaving &&
           !this->context.partitions.contains(node.info, this->context.clock.now()) &&
           !this->context.unanswered.contains(node.info.name, this->context.clock.now());
}

std::optional<std::size_t> placement_service::candidate_rank(const std::string& zone) const {
    const auto members = this->context.membership.members();
    std::vector<std::string> local{};
    std::vector<std::string> all{};
    bool zone_unanswered{false};
    for(const auto& other : *members) {
        const bool unanswered = this->context.unanswered.contains(other.info.name, this->context.clock.now());
        zone_unanswered = zone_unanswered || (unanswered && other.info.availability_zone == zone);
        if(!this->is_candidate(other)) {
            continue;
        }
        all.push_back(other.info.name);
        if(other.info.availability_zone == zone) {
            local.push_back(other.info.name);
        }
    }
    // A node that has just started may not know the nodes of the zone yet, which place requests with fewer bytes
    // between zones and less delay.
    const bool settled = this->context.clock.now() - this->started_at >= membership_settle_time;
    const auto& candidates = local.empty() && (settled || zone_unanswered) ? all : local;
    const auto order = core::rendezvous_rank(zone, candidates);
    for(std::size_t position{}; position < order.size(); ++position) {
        if(candidates[order[position]] == this->settings.node_name) {
            return position;
        }
    }
    return std::nullopt;
}

asio::awaitable<void> placement_service::maintain_lease(std::string zone) {
    while(!this->releasing) {
        auto& lease = this->lease_of(zone);
        if(lease.is_holder() && this->is_partitioned()) {
            co_await this->release_lease(zone);
            co_await sleep_for(lease.is_holder() ? failed_release_delay : lease_check_interval);
        } else {
            co_await this->renew_lease(zone);
        }
        co_await sleep_for(lease_check_interval);
    }
}

asio::awaitable<void> placement_service::renew_lease(const std::string& zone) {
    auto& lease = this->lease_of(zone);
    this->contact_unknown_holder(lease);
    const auto now = this->context.clock.now();
    const auto action = lease.next_action(this->holder_status_of(lease), this->candidate_rank(zone), now);
    if(action == lease_action::acquire) {
        co_await this->acquire_lease(zone, now);
    }
    if(action != lease_action::read) {
        co_return;
    }
    const auto record = co_await this->context.store.read_lease(zone);
    lease.observe_epoch(this->context.store.epoch(), this->context.clock.now());
    if(record) {
        lease.read_succeeded(*record, now, this->context.clock.now());
    } else if(record.error().cause == core::reason::not_found) {
        lease.observe_absent(this->context.clock.now());
    } else {
        lease.read_failed(now);
    }
}

asio::awaitable<void> placement_service::acquire_lease(const std::string& zone, core::time_point started) {
    auto& lease = this->lease_of(zone);
    const auto acquisition = lease.make_acquisition(zone);
    const auto previous = lease.current() ? lease.current()->lease.holder : std::string{};
    const auto written = co_await this->context.store.write_lease(acquisition.lease, acquisition.revision);
    lease.observe_epoch(this->context.store.epoch(), this->context.clock.now());
    if(written) {
        lease.acquired(*written, started, this->context.clock.now());
        this->context.log.write(log_line{"lease_acquired"}
                                    .add("zone", zone)
                                    .add("previous", previous)
                                    .add("token", static_cast<std::int64_t>(written->lease.fencing_token))
                                    .add("epoch", static_cast<std::int64_t>(written->epoch)));
        this->admission_of(zone)->reset_window();
        this->on_upstreams_changed();
    } else if(!this->releasing) {
        this->context.log.write(log_line{"lease_not_acquired"}
                                    .add("zone", zone)
                                    .add("holder", previous)
                                    .add("reason", core::to_string(written.error().cause))
                                    .add("message", written.error().message));
        // The outcome of a write without an answer is unknown, so that the record is read back.
        const auto record = co_await this->context.store.read_lease(zone);
        if(record) {
            lease.observe(*record, this->context.clock.now());
        }
    }
    if(const auto held = lease.tenure()) {
        this->context.membership.publish({.kind = std::string{holder_item_kind},
            .key = zone,
            .version = held->fencing_token,
            .lifetime = holder_item_lifetime});
    }
}

asio::awaitable<void> placement_service::release_lease(const std::string& zone) {
    auto& lease = this->lease_of(zone);
    auto released = *lease.current();
    released.lease.holder.clear();
    released.lease.holder_boot_id = 0u;
    const auto written = co_await this->context.store.write_lease(released.lease, released.revision);
    if(written) {
        lease.observe(*written, this->context.clock.now());
    }
    this->context.log.write(log_line{"lease_released"}
                                .add("zone", zone)
                                .add("outcome", written ? "written" : core::to_string(written.error().cause)));
}

bool placement_service::has_successor() const {
    const auto members = this->context.membership.members();
    return std::ranges::any_of(*members, [this](const fleet::member& other) {
        return other.info.name != this->settings.node_name && this->is_candidate(other);
    });
}

asio::awaitable<void> placement_service::release_leases() {
    this->releasing = true;
    std::vector<std::string> held{};
    for(const auto& [zone, lease] : this->leases) {
        if(lease.is_holder()) {
            held.push_back(zone);
        }
    }
    for(const auto& zone : held) {
        co_await this->release_lease(zone);
    }
    for(auto& [id, worker] : this->load_workers) {
        worker->wake_timer.cancel();
    }
}

bool placement_service::is_partitioned() const {
    return this->context.partitions.contains(
        {.name = this->settings.node_name, .boot_id = this->settings.boot_id}, this->context.clock.now());
}

void placement_service::contact_unknown_holder(const lease_tracker& lease) {
    const auto now = this->context.clock.now();
    if(!lease.current() || lease.is_holder() || now - lease.holder_since() < holder_contact_delay) {
        return;
    }
    const auto& record = lease.current()->lease;
    const auto members = this->context.membership.members();
    const bool is_known = std::ranges::any_of(
        *members, [&record](const fleet::member& other) { return other.info.name == record.holder; });
    if(is_known || record.holder_address.empty() ||
        std::exchange(this->contacted_holders[record.availability_zone], record.holder_boot_id) ==
            record.holder_boot_id) {
        return;
    }
    const std::array contact{
        core::endpoint{.address = record.holder_address, .port = this->settings.peer_endpoint.port}};
    this->context.membership.add_seeds(contact);
    this->context.log.write(log_line{"holder_contacted"}
                                .add("zone", record.availability_zone)
                                .add("holder", record.holder)
                                .add("address", record.holder_address));
}

void placement_service::on_lease_changed(const std::string& zone, const stored_lease* record) {
    auto& lease = this->lease_of(zone);
    const bool held = lease.is_holder();
    if(record != nullptr) {
        lease.observe(*record, this->context.clock.now());
    } else {
        lease.observe_absent(this->context.clock.now());
    }
    if(held && !lease.is_holder()) {
        this->context.log.write(log_line{"lease_lost"}
                                    .add("zone", zone)
                                    .add("holder", record != nullptr ? record->lease.holder : std::string{}));
    }
}

bool placement_service::on_lease_copied(const stored_lease& record) {
    const auto& zone = record.lease.availability_zone;
    const auto& current = this->lease_of(zone).current();
    const bool is_newer = !current || current->epoch < record.epoch ||
                          (current->epoch == record.epoch && current->revision < record.revision);
    if(is_newer) {
        this->on_lease_changed(zone, &record);
    }
    return is_newer;
}

std::optional<lease_tenure> placement_service::tenure(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    if(found == this->leases.end() || this->releasing) {
        return std::nullopt;
    }
    auto held = found->second.tenure();
    // A recent read of the record tells more than the peers.
    if(held && this->context.clock.now() - holder_item_delay > held->confirmed_at) {
        const auto tokens = this->context.membership.items(holder_item_kind);
        const bool was_replaced = std::ranges::any_of(tokens,
            [&](const fleet::gossip_item& item) { return item.key == zone && item.version > held->fencing_token; });
        if(was_replaced) {
            held.reset();
        }
    }
    return held;
}

std::vector<stored_lease> placement_service::known_leases() const {
    std::vector<stored_lease> known{};
    for(const auto& [zone, lease] : this->leases) {
        if(lease.current()) {
            known.push_back(*lease.current());
        }
    }
    return known;
}

void placement_service::on_leases_listed(std::uint64_t epoch) {
    this->leases_listed_in = epoch;
    for(auto& [zone, lease] : this->leases) {
        lease.observe_unlisted(epoch, this->context.clock.now());
    }
}

} // namespace lagoonsaddle::edge
