#include <set>

#include <lagoonsaddle/gateway/routing_table.hpp>

namespace lagoonsaddle::gateway {

namespace {

[[nodiscard]] std::string group_name(std::string_view base_model, std::string_view service) {
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
    : router{options}, time{clock}, zone{std::move(node_zone)} {}

void routing_table::update(const upstream_directory::descriptions_type& upstreams) {
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, description] : upstreams) {
        if(description.kind == upstream::kind::weight_store) {
            continue;
        }
        const auto group_key = group_name(description.base_model, description.service);
        auto& shard = this->groups[group_key];
        if(!shard) {
            shard = std::make_shared<group>();
        }
        auto& placed = this->by_upstream[name];
        if(placed && placed != shard) {
            const std::lock_guard old_lock{placed->mutex};
            placed->entries.erase(name);
        }
        placed = shard;
        const std::lock_guard shard_lock{shard->mutex};
        auto [found, added] =
            shard->entries.try_emplace(name, entry{.view = policy::upstream_view{name, description.availability_zone}});
        if(description.leaving) {
            found->second.view.set_leaving(true);
        } else if(!found->second.marked_leaving) {
            found->second.view.set_leaving(false);
        }
    }
    for(auto known = this->by_upstream.begin(); known != this->by_upstream.end();) {
        if(upstreams.contains(known->first)) {
            ++known;
            continue;
        }
        {
            const std::lock_guard shard_lock{known->second->mutex};
            known->second->entries.erase(known->first);
        }
        known = this->by_upstream.erase(known);
    }
}

void routing_table::apply(const wire::upstream_report& report) {
    const auto shard = this->group_of(report.upstream);
    if(!shard) {
        return;
    }
    const std::lock_guard lock{shard->mutex};
    const auto found = shard->entries.find(report.upstream);
    if(found == shard->entries.end() || report.fencing_token < found->second.last.fencing_token) {
        return;
    }
    auto& target = found->second;
    if(report.fencing_token > target.last.fencing_token) {
        // Sequences start again with a new owner.
        target.view.reset();
    }
    policy::upstream_report translated{.sequence = report.sequence,
        .observed_at = this->time.now(),
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
        translated.loading.push_back(
            policy::pending_load{.adapter = std::move(adapter), .position = translated.loading.size()});
    }
    if(target.view.apply_report(std::move(translated))) {
        target.last = report;
        target.view.set_unhealthy(!report.healthy);
        if(report.leaving) {
            target.marked_leaving = true;
            target.view.set_leaving(true);
        }
    }
}

void routing_table::mark_leaving(std::string_view upstream) {
    if(const auto shard = this->group_of(upstream); shard) {
        const std::lock_guard lock{shard->mutex};
        if(const auto found = shard->entries.find(upstream); found != shard->entries.end()) {
            found->second.marked_leaving = true;
            found->second.view.set_leaving(true);
        }
    }
}

route routing_table::rank(const route_request& request) const {
    group_pointer shard{};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->groups.find(group_name(request.base_model, request.service));
        if(found == this->groups.end()) {
            return {};
        }
        shard = found->second;
    }
    route outcome{};
    const std::lock_guard lock{shard->mutex};
    std::vector<const policy::upstream_view*> views{};
    views.reserve(shard->entries.size());
    for(const auto& [name, known] : shard->entries) {
        views.push_back(&known.view);
    }
    const policy::routing_request wanted{.adapter = request.adapter,
        .prefix_digest = request.prefix_digest,
        .zone = this->zone,
        .isolated = request.isolated,
        .excluded = request.excluded};
    const auto ranking = this->router.rank(wanted, views, this->time.now());
    for(const auto& candidate : ranking.candidates) {
        outcome.candidates.push_back(routed_candidate{.upstream = views[candidate.index]->name(),
            .availability_zone = views[candidate.index]->zone(),
            .resident = candidate.resident,
            .cost = candidate.cost});
    }
    for(const auto& left_out : ranking.excluded) {
        outcome.excluded.emplace_back(views[left_out.index]->name(), left_out.reason);
    }
    return outcome;
}

std::uint64_t routing_table::sent(std::string_view upstream, const core::adapter_version& adapter) {
    const auto shard = this->group_of(upstream);
    if(!shard) {
        return 0u;
    }
    const std::lock_guard lock{shard->mutex};
    const auto found = shard->entries.find(upstream);
    return found == shard->entries.end() ? 0u : found->second.view.request_sent(adapter, this->time.now());
}

void routing_table::finished(std::string_view upstream, std::uint64_t ticket) {
    const auto shard = this->group_of(upstream);
    if(!shard || ticket == 0u) {
        return;
    }
    const std::lock_guard lock{shard->mutex};
    if(const auto found = shard->entries.find(upstream); found != shard->entries.end()) {
        found->second.view.request_finished(ticket);
    }
}

std::vector<wire::upstream_report> routing_table::reports() const {
    std::set<group_pointer> shards{};
    {
        const std::lock_guard lock{this->mutex};
        for(const auto& [name, shard] : this->groups) {
            shards.insert(shard);
        }
    }
    std::vector<wire::upstream_report> all{};
    for(const auto& shard : shards) {
        const std::lock_guard lock{shard->mutex};
        for(const auto& [name, known] : shard->entries) {
            auto report = known.last;
            report.upstream = name;
            report.leaving = known.view.is_leaving();
            all.push_back(std::move(report));
        }
    }
    return all;
}

routing_table::group_pointer routing_table::group_of(std::string_view upstream) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->by_upstream.find(upstream);
    return found == this->by_upstream.end() ? nullptr : found->second;
}

} // namespace lagoonsaddle::gateway
