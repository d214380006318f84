#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/fleet/ownership.hpp>

namespace lagoonsaddle::fleet {

namespace {

// A change that another writer reverts within this time counts as contention between two views of the zone.
constexpr core::duration contention_window = std::chrono::seconds{30};
constexpr core::duration min_contention_backoff = std::chrono::seconds{1};

[[nodiscard]] bool contains(const std::vector<node_id>& nodes, const node_id& node) {
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

} // namespace

std::vector<node_id> ownership_candidates(std::span<const member> members, std::string_view zone) {
    std::vector<node_id> local{};
    std::vector<node_id> all{};
    for(const auto& value : members) {
        if(value.state != member_state::alive && value.state != member_state::suspect) {
            continue;
        }
        all.push_back({value.info.name, value.info.boot_id});
        if(value.info.availability_zone == zone) {
            local.push_back(all.back());
        }
    }
    return local.empty() ? all : local;
}

std::vector<node_id> live_node_ids(std::span<const member> members) {
    std::vector<node_id> live_nodes{};
    for(const auto& value : members) {
        if(value.is_live()) {
            live_nodes.push_back({value.info.name, value.info.boot_id});
        }
    }
    return live_nodes;
}

ownership::ownership(ownership_settings settings, node_id self, std::string zone)
    : options{settings}, local_node{std::move(self)}, object_key{"ownership/" + std::move(zone)} {}

const std::string& ownership::object_name() const noexcept {
    return this->object_key;
}

std::optional<ownership::object_content> ownership::parse(std::string_view body) {
    try {
        const auto json = nlohmann::json::parse(body);
        object_content result{};
        result.token_floor = json.at("token_floor").get<std::uint64_t>();
        result.writer = json.at("writer").get<std::string>();
        for(const auto& [name, value] : json.at("upstreams").items()) {
            assignment entry{};
            entry.owner.name = value.at("owner").get<std::string>();
            entry.owner.boot_id = value.at("boot").get<std::uint64_t>();
            entry.fencing_token = value.at("token").get<std::uint64_t>();
            entry.released = value.at("released").get<bool>();
            result.entries.emplace(name, std::move(entry));
        }
        return result;
    } catch(const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string ownership::serialize(const object_content& value) {
    auto upstreams = nlohmann::json::object();
    for(const auto& [name, entry] : value.entries) {
        upstreams[name] = {{"owner", entry.owner.name}, {"boot", entry.owner.boot_id}, {"token", entry.fencing_token},
            {"released", entry.released}};
    }
    const nlohmann::json json = {
        {"writer", value.writer}, {"token_floor", value.token_floor}, {"upstreams", std::move(upstreams)}};
    return json.dump();
}

const ownership::owned_entry* ownership::find_owned(std::string_view upstream) const {
    const auto found = this->owned_entries.find(upstream);
    return found == this->owned_entries.end() ? nullptr : &found->second;
}

bool ownership::lease_is_valid(const owned_entry& owned, core::time_point at) const noexcept {
    return owned.lease_start && at < *owned.lease_start + this->options.lease_duration;
}

bool ownership::takeover_wait_is_over(std::string_view upstream, const owned_entry& owned, core::time_point at) const {
    const auto entry = this->known_content.entries.find(upstream);
    return (entry != this->known_content.entries.end() && entry->second.released) ||
           at >= owned.owner_since + this->options.lease_duration + this->options.order_validity;
}

bool ownership::upstream_checks_token(std::string_view upstream) const {
    const auto found = this->fencing_checks.find(upstream);
    return found != this->fencing_checks.end() && found->second;
}

std::vector<std::string> ownership::candidate_names() const {
    std::vector<std::string> names{};
    for(const auto& node : this->view.candidates) {
        if(!this->releasing || node != this->local_node) {
            names.push_back(node.name);
        }
    }
    return names;
}

std::vector<ownership_action> ownership::tick(core::time_point now) {
    return this->advance(now);
}

std::vector<ownership_action> ownership::on_read(core::time_point now, const read_result& result) {
    if(this->outstanding_operation != operation_kind::read || result.operation != this->last_operation) {
        ++this->counts.stale_results;
        return this->advance(now);
    }
    this->outstanding_operation = operation_kind::none;

    auto status = result.status;
    std::optional<object_content> new_content{};
    if(status == read_status::changed) {
        new_content = parse(result.body);
    }
    // An invalid object, or a known object that is missing, grants no lease and must not be overwritten.
    if((status == read_status::changed && !new_content) ||
        (status == read_status::missing && this->known_version != 0u)) {
        ++this->counts.malformed;
        status = read_status::failed;
    }
    // A start in the future would extend the lease beyond what the read has shown.
    if(result.started > now) {
        status = read_status::failed;
    }
    if(status == read_status::failed) {
        this->handle_read_failure(now);
        return this->advance(now);
    }

    this->last_response = now;
    if(status == read_status::changed && result.version > this->known_version) {
        this->apply_object(now, result.version, result.body, *std::move(new_content));
    }
    // A version below the known one is a stale copy and does not renew the leases.
    const auto read_version = status == read_status::missing ? 0u : result.version;
    this->object_is_current = read_version == this->known_version;
    if(this->object_is_current) {
        for(auto& [name, owned] : this->owned_entries) {
            owned.lease_start = std::max(owned.lease_start.value_or(result.started), result.started);
        }
    }
    const auto observer_only = this->owned_entries.empty() && !contains(this->view.candidates, this->local_node);
    this->next_read = this->operation_started +
                      (observer_only ? this->options.observer_refresh_interval : this->options.lease_refresh_interval);
    return this->advance(now);
}

std::vector<ownership_action> ownership::on_write(core::time_point now, const write_result& result) {
    if(this->outstanding_operation != operation_kind::write || result.operation != this->last_operation) {
        ++this->counts.stale_results;
        return this->advance(now);
    }
    this->outstanding_operation = operation_kind::none;

    if(result.status == write_status::ok && result.version > this->known_version) {
        this->last_response = now;
        const auto owned_count_before = this->owned_entries.size();
        auto body = std::exchange(this->outstanding_body, {});
        this->apply_object(now, result.version, std::move(body), std::exchange(this->outstanding_content, {}));
        // The lease of an upstream that this write assigned to this process starts with a read.
        if(this->owned_entries.size() > owned_count_before) {
            this->next_read = now;
        }
    } else if(result.status == write_status::failed) {
        for(const auto& name : this->new_pending_handovers) {
            if(const auto owned = this->owned_entries.find(name); owned != this->owned_entries.end()) {
                owned->second.pending_handover_version.reset();
            }
        }
        this->handle_read_failure(now);
    } else {
        // The outcome of a conflict is read back as well: a client that retries a write whose response was lost reports
        // a conflict with its own first attempt.
        if(result.status == write_status::conflict) {
            ++this->counts.conflicts;
            this->last_response = now;
        } else {
            ++this->counts.unknown_writes;
            this->record_failure(now);
        }
        this->schedule_read_back(now);
    }
    this->handed_over_upstreams.clear();
    return this->advance(now);
}

std::vector<ownership_action> ownership::on_view(core::time_point now, zone_view next) {
    if(!this->first_view_at) {
        this->first_view_at = now;
    }
    if(next.candidates != this->view.candidates) {
        this->candidates_changed_at = now;
    }
    this->view = std::move(next);

    std::map<std::string, bool, std::less<>> checks{};
    for(const auto& upstream : this->view.upstreams) {
        checks.emplace(upstream.name, upstream.checks_fencing_token);
    }
    this->fencing_checks = std::move(checks);
    this->due_changes_stale = true;
    return this->advance(now);
}

bool ownership::on_snapshot(core::time_point now, const ownership_snapshot& snapshot) {
    if(snapshot.version <= this->known_version) {
        return false;
    }
    auto new_content = parse(snapshot.body);
    if(!new_content) {
        ++this->counts.malformed;
        return false;
    }
    this->apply_object(now, snapshot.version, snapshot.body, *std::move(new_content));
    this->object_is_current = false;
    return true;
}

std::vector<ownership_action> ownership::release_all(core::time_point now) {
    this->releasing = true;
    for(auto& [name, owned] : this->owned_entries) {
        owned.orders_stopped = owned.orders_stopped.value_or(now);
    }
    return this->advance(now);
}

bool ownership::released() const {
    return this->releasing && this->owned_entries.empty() && this->outstanding_operation != operation_kind::write;
}

std::vector<ownership_action> ownership::refresh(core::time_point now) {
    const auto due = std::max(now, this->operation_started + this->options.min_refresh_interval);
    if(this->next_read) {
        this->next_read = std::min(*this->next_read, due);
    }
    return this->advance(now);
}

std::optional<assignment> ownership::owner(std::string_view upstream) const {
    const auto found = this->known_content.entries.find(upstream);
    if(found == this->known_content.entries.end() || found->second.owner.name.empty()) {
        return std::nullopt;
    }
    return found->second;
}

bool ownership::owns(std::string_view upstream, core::time_point at) const {
    const auto* owned = this->find_owned(upstream);
    return owned != nullptr && !owned->orders_stopped && this->lease_is_valid(*owned, at);
}

std::optional<std::uint64_t> ownership::fencing_token(std::string_view upstream) const {
    const auto* owned = this->find_owned(upstream);
    return owned == nullptr ? std::nullopt : std::optional{owned->fencing_token};
}

bool ownership::may_evict(std::string_view upstream, core::time_point at) const {
    const auto* owned = this->find_owned(upstream);
    if(owned == nullptr || owned->orders_stopped) {
        return false;
    }
    // A fencing token rejects the orders of the previous owner, but not its requests: without the takeover wait, an
    // adapter could be evicted while a request that the previous owner has just sent needs it.
    return (this->upstream_checks_token(upstream) || this->lease_is_valid(*owned, at)) &&
           this->takeover_wait_is_over(upstream, *owned, at);
}

bool ownership::may_load(std::string_view upstream, core::time_point at) const {
    const auto* owned = this->find_owned(upstream);
    if(owned == nullptr || owned->orders_stopped) {
        return false;
    }
    return this->upstream_checks_token(upstream) || this->lease_is_valid(*owned, at);
}

bool ownership::may_route(std::string_view upstream, core::time_point at) const {
    const auto* owned = this->find_owned(upstream);
    if(owned == nullptr) {
        return false;
    }
    // The successor may evict as soon as the handover has taken effect, or, after a takeover, as soon as the lease has
    // ended. During an outage of the object API this is not known; routing continues, because an upstream that no node
    // routes to would be worse.
    const auto handed_over = owned->pending_handover_version && *owned->pending_handover_version >= this->known_version;
    return (this->lease_is_valid(*owned, at) && !handed_over) || this->object_api_down(at);
}

std::optional<core::time_point> ownership::owner_since(std::string_view upstream) const {
    const auto* owned = this->find_owned(upstream);
    return owned == nullptr ? std::nullopt : std::optional{owned->owner_since};
}

std::vector<std::string> ownership::owned_upstreams() const {
    std::vector<std::string> names{};
    names.reserve(this->owned_entries.size());
    for(const auto& [name, owned] : this->owned_entries) {
        names.push_back(name);
    }
    return names;
}

std::map<std::string, assignment> ownership::assignments() const {
    return {this->known_content.entries.begin(), this->known_content.entries.end()};
}

std::optional<core::time_point> ownership::lease_end() const noexcept {
    std::optional<core::time_point> end{};
    for(const auto& [name, owned] : this->owned_entries) {
        if(owned.lease_start) {
            end = std::max(end.value_or(*owned.lease_start), *owned.lease_start);
        }
    }
    return end ? std::optional{*end + this->options.lease_duration} : std::nullopt;
}

bool ownership::object_api_down(core::time_point at) const noexcept {
    const auto since = this->last_response ? this->last_response : this->first_advance_at;
    if(!since || at < *since + this->options.lease_duration) {
        return false;
    }
    // A process that was paused has received no response either. Only a recent failure of an operation that started
    // well after the last response indicates an outage.
    const auto margin = this->options.lease_refresh_interval * 3 / 2;
    return this->last_failure && this->last_failure_started >= *since + margin && at <= *this->last_failure + margin;
}

ownership_snapshot ownership::snapshot() const {
    return {this->known_version, this->known_body};
}

std::uint64_t ownership::version() const noexcept {
    return this->known_version;
}

const ownership_counters& ownership::counters() const noexcept {
    return this->counts;
}

std::vector<ownership_action> ownership::advance(core::time_point now) {
    this->first_advance_at = this->first_advance_at.value_or(now);
    if(this->outstanding_operation != operation_kind::none) {
        if(now < this->operation_started + this->options.operation_timeout) {
            return {};
        }
        if(std::exchange(this->outstanding_operation, operation_kind::none) == operation_kind::read) {
            this->handle_read_failure(now);
        } else {
            ++this->counts.unknown_writes;
            this->record_failure(now);
            this->schedule_read_back(now);
            this->handed_over_upstreams.clear();
        }
    }
    if(!this->next_read || now >= *this->next_read) {
        return {this->start_read(now)};
    }
    if(auto write = this->start_write(now)) {
        return {*std::move(write)};
    }
    return {};
}

ownership_action ownership::start_read(core::time_point now) {
    ++this->counts.reads;
    this->outstanding_operation = operation_kind::read;
    this->operation_started = now;
    return read_object{++this->last_operation, this->known_version};
}

std::optional<ownership_action> ownership::start_write(core::time_point now) {
    if(!this->object_is_current || !this->first_view_at ||
        now < *this->first_view_at + this->options.initial_write_delay) {
        return std::nullopt;
    }
    this->start_rebalancing(now);
    const auto assignment_due = this->assignment_is_due(now);
    const auto handover_due = std::any_of(this->owned_entries.begin(), this->owned_entries.end(),
        [this, now](const auto& pair) { return this->handover_is_due(pair.second, now); });
    if(!assignment_due && !handover_due) {
        return std::nullopt;
    }
    object_content next = this->known_content;
    if(assignment_due) {
        this->assign_unowned_upstreams(next);
    }
    this->assign_successors(now, next);
    next.writer = this->local_node.name + "/" + std::to_string(this->local_node.boot_id) + "/" +
                  std::to_string(this->last_operation + 1u);

    ++this->counts.writes;
    this->outstanding_operation = operation_kind::write;
    this->operation_started = now;
    this->outstanding_content = std::move(next);
    this->outstanding_body = serialize(this->outstanding_content);
    this->new_pending_handovers.clear();
    for(const auto& name : this->handed_over_upstreams) {
        // An earlier write with the same expected version may still take effect, even if this one certainly does not.
        if(auto& owned = this->owned_entries.find(name)->second; !owned.pending_handover_version) {
            owned.pending_handover_version = this->known_version;
            this->new_pending_handovers.push_back(name);
        }
    }
    return write_object{++this->last_operation, this->known_version, this->outstanding_body};
}

void ownership::apply_object(
    core::time_point now, std::uint64_t new_version, std::string body, object_content new_content) {
    const auto own_write =
        new_content.writer.starts_with(this->local_node.name + "/" + std::to_string(this->local_node.boot_id) + "/");
    if(!own_write) {
        this->detect_contention(now, new_content);
    } else {
        this->written_assignments.clear();
        for(const auto& [name, entry] : new_content.entries) {
            const auto before = this->known_content.entries.find(name);
            if(before == this->known_content.entries.end() || before->second != entry) {
                this->written_assignments.emplace(name, entry);
            }
        }
        this->assignments_written_at = now;
    }

    decltype(this->owned_entries) next{};
    for(const auto& [name, entry] : new_content.entries) {
        if(entry.owner != this->local_node) {
            continue;
        }
        const auto before = this->owned_entries.find(name);
        if(before != this->owned_entries.end() && before->second.fencing_token == entry.fencing_token) {
            auto owned = before->second;
            // The pending handover has not taken effect and no longer can.
            if(owned.pending_handover_version && new_version > *owned.pending_handover_version) {
                owned.pending_handover_version.reset();
                if(!this->releasing) {
                    owned.orders_stopped.reset();
                }
            }
            next.emplace(name, owned);
        } else {
            owned_entry owned{entry.fencing_token, now, {}, {}, {}};
            if(this->releasing) {
                owned.orders_stopped = now;
            }
            next.emplace(name, owned);
        }
    }
    this->owned_entries = std::move(next);
    this->known_version = new_version;
    this->known_body = std::move(body);
    this->known_content = std::move(new_content);
    this->change_due_since.reset();
    this->due_changes_stale = true;
    this->object_is_current = true;
}

void ownership::detect_contention(core::time_point now, const object_content& new_content) {
    if(now - this->assignments_written_at >= contention_window) {
        this->contention_backoff = {};
        this->written_assignments.clear();
        return;
    }
    const auto reverted = std::any_of(
        this->written_assignments.begin(), this->written_assignments.end(), [&new_content](const auto& pair) {
            const auto new_entry = new_content.entries.find(pair.first);
            return new_entry != new_content.entries.end() && new_entry->second.owner != pair.second.owner &&
                   !new_entry->second.released;
        });
    if(reverted) {
        this->contention_backoff = std::min(
            this->options.max_contention_backoff, std::max(min_contention_backoff, this->contention_backoff * 2));
        this->contention_backoff_end = now + this->contention_backoff;
        this->written_assignments.clear();
    }
}

// Failures long after the timeout are ignored, because they are caused by a pause of this process.
void ownership::record_failure(core::time_point now) noexcept {
    if(now <= this->operation_started + this->options.operation_timeout + this->options.lease_refresh_interval / 2) {
        this->last_failure = now;
        this->last_failure_started = this->operation_started;
    }
}

void ownership::handle_read_failure(core::time_point now) noexcept {
    this->record_failure(now);
    ++this->counts.reads_failed;
    this->object_is_current = false;
    // Cancels handovers that were not written yet; otherwise their upstreams would get no loads during an outage.
    for(auto& [name, owned] : this->owned_entries) {
        if(!this->releasing && !owned.pending_handover_version) {
            owned.orders_stopped.reset();
        }
    }
    // Half of the refresh interval allows several attempts within one lease and limits the load during an outage.
    this->next_read = now + this->options.lease_refresh_interval / 2;
}

void ownership::schedule_read_back(core::time_point now) noexcept {
    this->object_is_current = false;
    this->next_read = now;
}

void ownership::start_rebalancing(core::time_point now) {
    if(this->releasing || now < this->candidates_changed_at + this->options.rebalance_delay ||
        (this->last_rebalance && now < *this->last_rebalance + this->options.rebalance_interval)) {
        return;
    }
    const auto names = this->candidate_names();
    if(names.empty()) {
        return;
    }
    std::size_t chosen{};
    for(auto& [name, owned] : this->owned_entries) {
        if(chosen == this->options.rebalance_batch) {
            break;
        }
        if(owned.orders_stopped || !this->lease_is_valid(owned, now) ||
            !this->takeover_wait_is_over(name, owned, now)) {
            continue;
        }
        if(names[core::rendezvous_rank(name, names).front()] != this->local_node.name) {
            owned.orders_stopped = now;
            ++chosen;
        }
    }
    this->last_rebalance = now;
}

void ownership::find_due_changes(core::time_point now) {
    std::set<node_id> live{this->view.candidates.begin(), this->view.candidates.end()};
    live.insert(this->view.live_nodes.begin(), this->view.live_nodes.end());
    this->unowned_upstreams.clear();
    for(const auto& upstream : this->view.upstreams) {
        const auto found = this->known_content.entries.find(upstream.name);
        if(found == this->known_content.entries.end() || !live.contains(found->second.owner)) {
            this->unowned_upstreams.push_back(upstream.name);
        }
    }
    std::erase_if(this->absent_entries, [this](const auto& pair) {
        return this->fencing_checks.contains(pair.first) || !this->known_content.entries.contains(pair.first);
    });
    for(const auto& [name, entry] : this->known_content.entries) {
        if(!this->fencing_checks.contains(name)) {
            this->absent_entries.emplace(name, now);
        }
    }
    this->due_changes_stale = false;
}

bool ownership::assignment_is_due(core::time_point now) {
    if(this->due_changes_stale) {
        this->find_due_changes(now);
    }
    this->removable_entries.clear();
    for(const auto& [name, since] : this->absent_entries) {
        if(now >= since + this->options.removal_delay) {
            this->removable_entries.push_back(name);
        }
    }
    if(this->unowned_upstreams.empty() && this->removable_entries.empty()) {
        this->change_due_since.reset();
        return false;
    }
    const auto names = this->candidate_names();
    const auto self = std::find(names.begin(), names.end(), this->local_node.name);
    if(self == names.end()) {
        return false;
    }
    this->change_due_since = this->change_due_since.value_or(now);
    const auto ranking = core::rendezvous_rank(this->object_key, names);
    const auto rank = std::find(ranking.begin(), ranking.end(), static_cast<std::size_t>(self - names.begin()));
    const auto due = *this->change_due_since + (rank - ranking.begin()) * this->options.writer_rank_delay;
    return now >= due && (!this->contention_backoff_end || now >= *this->contention_backoff_end);
}

void ownership::assign_unowned_upstreams(object_content& next) {
    const auto names = this->candidate_names();
    for(const auto& name : this->removable_entries) {
        next.token_floor = std::max(next.token_floor, next.entries.at(name).fencing_token);
        next.entries.erase(name);
    }
    for(const auto& name : this->unowned_upstreams) {
        const auto& successor = names[core::rendezvous_rank(name, names).front()];
        const auto node = std::find_if(this->view.candidates.begin(), this->view.candidates.end(),
            [&successor](const node_id& candidate) { return candidate.name == successor; });
        auto [found, is_new] = next.entries.try_emplace(name);
        auto& entry = found->second;
        // New entries start above the tokens of all removed entries, so that an upstream that returns never sees a
        // token twice.
        entry.fencing_token = (is_new ? next.token_floor : entry.fencing_token) + 1u;
        entry.released = entry.released && entry.owner.name.empty();
        entry.owner = *node;
        ++this->counts.takeovers;
    }
}

bool ownership::handover_is_due(const owned_entry& owned, core::time_point now) const noexcept {
    return owned.orders_stopped && now >= *owned.orders_stopped + this->options.order_validity;
}

void ownership::assign_successors(core::time_point now, object_content& next) {
    const auto names = this->candidate_names();
    this->handed_over_upstreams.clear();
    for(const auto& [name, owned] : this->owned_entries) {
        if(!this->handover_is_due(owned, now)) {
            continue;
        }
        const auto found = next.entries.find(name);
        if(found == next.entries.end()) {
            continue;
        }
        auto& entry = found->second;
        node_id successor{};
        if(!names.empty()) {
            const auto& preferred = names[core::rendezvous_rank(name, names).front()];
            successor = *std::find_if(this->view.candidates.begin(), this->view.candidates.end(),
                [&preferred](const node_id& candidate) { return candidate.name == preferred; });
        }
        // Until its own takeover wait is over, orders of the owner before this process may still be valid.
        const auto previous_orders_expired = this->takeover_wait_is_over(name, owned, now);
        entry = {std::move(successor), entry.fencing_token + 1u, previous_orders_expired};
        this->handed_over_upstreams.push_back(name);
        ++this->counts.handovers;
    }
}

} // namespace lagoonsaddle::fleet
