#include <set>

#include <lagoonsaddle/gateway/routing_table.hpp>

namespace lagoonsaddle::gateway {

namespace {

[[nodiscard]] std::string shard_key(std::string_view base_model, std::string_view service) {
    return service.empty() ? "model/" + std::string{base_model} : "service/" + std::string{service};
}

[[nodiscard]] std::vector<core::adapter_version> parse_adapters(const std::vector<std::string>& names) {
    std::vector<core::adapter_version> adapters{};
    adapters.reserve(names.size());
    for(const auto& name : names) {
        if(auto parsed = core::parse_adapter_version(name); parsed.has_value()) {
            adapters.push_back(std::move(*parsed));
        }
    }
    return adapters;
}

} // namespace

routing_table::routing_table(policy::router_options options, const core::clock& clock, std::string node_zone)
    : router{options}, clock{clock}, zone{std::move(node_zone)} {}

void routing_table::update(const upstream_directory::description_map& upstreams) {
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, description] : upstreams) {
        if(description.kind == upstream::kind::weight_store) {
            continue;
        }
        const auto key = shard_key(description.base_model, description.service);
        auto& shard = this->shards_by_key[key];
        if(!shard) {
            shard = std::make_shared<shard_state>();
        }
        auto& current_shard = this->shards_by_upstream[name];
        if(current_shard && current_shard != shard) {
            const std::lock_guard current_lock{current_shard->mutex};
            current_shard->entries.erase(name);
        }
        current_shard = shard;
        const std::lock_guard shard_lock{shard->mutex};
        auto [found, added] =
            shard->entries.try_emplace(name, entry{.view = policy::upstream_view{name, description.availability_zone}});
        if(description.leaving) {
            found->second.view.set_leaving(true);
        } else if(!found->second.marked_leaving) {
            found->second.view.set_leaving(false);
        }
    }
    for(auto known = this->shards_by_upstream.begin(); known != this->shards_by_upstream.end();) {
        if(upstreams.contains(known->first)) {
            ++known;
            continue;
        }
        {
            const std::lock_guard shard_lock{known->second->mutex};
            known->second->entries.erase(known->first);
        }
        known = this->shards_by_upstream.erase(known);
    }
}

void routing_table::apply_report(const wire::upstream_report& report) {
    const auto shard = this->find_shard(report.upstream);
    if(!shard) {
        return;
    }
    const std::lock_guard lock{shard->mutex};
    const auto found = shard->entries.find(report.upstream);
    if(found == shard->entries.end() || report.fencing_token < found->second.last_report.fencing_token) {
        return;
    }
    auto& state = found->second;
    if(report.fencing_token > state.last_report.fencing_token) {
        // A new owner restarts the sequence numbers.
        state.view.reset();
    }
    policy::upstream_report converted{.sequence = report.sequence,
        .observed_at = this->clock.now(),
        .queued = report.queued,
        .running = report.running,
        .batch_limit = report.batch_limit,
        .batch_fill = report.batch_fill,
        .service_time = std::chrono::microseconds{report.service_us},
        .resident = parse_adapters(report.resident),
        .free_slots = report.free_slots,
        .evictable_slots = report.evictable_slots,
        .victim_rate = report.victim_rate};
    for(auto& adapter : parse_adapters(report.loading)) {
        converted.loading.push_back(
            policy::pending_load{.adapter = std::move(adapter), .position = converted.loading.size()});
    }
    if(state.view.apply_report(std::move(converted))) {
        state.last_report = report;
        state.view.set_unhealthy(!report.healthy);
        if(report.leaving) {
            state.marked_leaving = true;
            state.view.set_leaving(true);
        }
    }
}

void routing_table::mark_leaving(std::string_view upstream) {
    if(const auto shard = this->find_shard(upstream); shard) {
        const std::lock_guard lock{shard->mutex};
        if(const auto found = shard->entries.find(upstream); found != shard->entries.end()) {
            found->second.marked_leaving = true;
            found->second.view.set_leaving(true);
        }
    }
}

routing_result routing_table::rank(const route_request& request) const {
    shard_pointer shard{};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->shards_by_key.find(shard_key(request.base_model, request.service));
        if(found == this->shards_by_key.end()) {
            return {};
        }
        shard = found->second;
    }
    routing_result result{};
    const std::lock_guard lock{shard->mutex};
    std::vector<const policy::upstream_view*> views{};
    views.reserve(shard->entries.size());
    for(const auto& [name, known] : shard->entries) {
        views.push_back(&known.view);
    }
    const policy::routing_request requirements{.adapter = request.adapter,
        .prefix_digest = request.prefix_digest,
        .zone = this->zone,
        .isolated = request.isolated,
        .excluded = request.excluded};
    const auto ranking = this->router.rank(requirements, views, this->clock.now());
    for(const auto& candidate : ranking.candidates) {
        result.candidates.push_back(route_candidate{.upstream = views[candidate.index]->name(),
            .availability_zone = views[candidate.index]->zone(),
            .resident = candidate.resident,
            .cost = candidate.cost});
    }
    for(const auto& exclusion : ranking.excluded) {
        result.excluded.emplace_back(views[exclusion.index]->name(), exclusion.reason);
    }
    return result;
}

std::uint64_t routing_table::request_sent(std::string_view upstream, const core::adapter_version& adapter) {
    const auto shard = this->find_shard(upstream);
    if(!shard) {
        return 0u;
    }
    const std::lock_guard lock{shard->mutex};
    const auto found = shard->entries.find(upstream);
    return found == shard->entries.end() ? 0u : found->second.view.request_sent(adapter, this->clock.now());
}

void routing_table::request_finished(std::string_view upstream, std::uint64_t ticket) {
    const auto shard = this->find_shard(upstream);
    if(!shard || ticket == 0u) {
        return;
    }
    const std::lock_guard lock{shard->mutex};
    if(const auto found = shard->entries.find(upstream); found != shard->entries.end()) {
        found->second.view.request_finished(ticket);
    }
}

std::vector<wire::upstream_report> routing_table::reports() const {
    std::set<shard_pointer> shards{};
    {
        const std::lock_guard lock{this->mutex};
        for(const auto& [name, shard] : this->shards_by_key) {
            shards.insert(shard);
        }
    }
    std::vector<wire::upstream_report> all{};
    for(const auto& shard : shards) {
        const std::lock_guard lock{shard->mutex};
        for(const auto& [name, known] : shard->entries) {
            auto report = known.last_report;
            report.upstream = name;
            report.leaving = known.view.is_leaving();
            all.push_back(std::move(report));
        }
    }
    return all;
}

routing_table::shard_pointer routing_table::find_shard(std::string_view upstream) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->shards_by_upstream.find(upstream);
    return found == this->shards_by_upstream.end() ? nullptr : found->second;
}

} // namespace lagoonsaddle::gateway
