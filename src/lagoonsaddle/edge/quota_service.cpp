#include <algorithm>
#include <cmath>
#include <limits>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/quota_service.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time for the answer of a node that grants quotas, with that for the connection. */
constexpr milliseconds call_timeout{250};
/*! @brief Longest time that a request waits: for a call that is in flight, for its own one, and for the deputy. */
constexpr milliseconds wait_max{600};
/*! @brief Time for which a node that did not answer is not called again. */
constexpr milliseconds skip_duration{500};
/*! @brief Retry time of a request that nobody could grant anything for. */
constexpr milliseconds retry_after_without_grant{500};
/*! @brief Longest time after a refusal in which the requests of a tenant are collected for the next question. */
constexpr milliseconds refusal_pause_max{50};
/*! @brief Demands of one message. */
constexpr std::size_t demands_max{256u};
/*! @brief Time without refusals after which a tenant counts as no longer limited. */
constexpr milliseconds limitation_end{2'000};
constexpr milliseconds weight_log_interval{1'000};
constexpr double percent{100.0};

[[nodiscard]] core::error limit_error(const std::string& name, milliseconds retry_after) {
    return core::error{.cause = core::reason::rate_limited,
        .message = "the tenant " + name + " has used its quota",
        .retry_after = retry_after};
}

} // namespace

quota_service::quota_service(quota_context uses, quota_bounds values, std::string name)
    : context{uses}, bounds{values}, node_name{std::move(name)}, account{values, uses.clock.now()} {}

void quota_service::refresh() {
    if(this->applied_config != this->context.routes.current()) {
        this->applied_config = this->context.routes.current();
        this->account.apply(*this->applied_config);
        for(auto& [zone, held] : this->held_zones) {
            held.ledger.apply(*this->applied_config);
        }
    }
    std::vector<std::string> known{};
    for(const auto& entry : this->context.placement.known_leases()) {
        known.push_back(entry.lease.availability_zone);
    }
    if(known != this->zones) {
        // Tenants have moved between zones, and the node that granted their quotas may not know it yet.
        this->zones_changed_at = this->zones.empty() ? core::time_point::min() : this->context.clock.now();
        this->zones = std::move(known);
    }
    this->count_nodes();
}

void quota_service::count_nodes() {
    const auto members = this->context.membership.members();
    if(members == this->counted_members) {
        return;
    }
    this->counted_members = members;
    this->nodes_live = 0u;
    for(const auto& other : *members) {
        if(other.is_live()) {
            ++this->nodes_live;
            this->known_nodes.insert(other.info.name);
        } else if(other.state == fleet::member_state::left) {
            this->known_nodes.erase(other.info.name);
        }
    }
}

const tenant* quota_service::find_limited(std::string_view name) const {
    const auto& config = this->context.routes.current();
    if(!config || !config->tenants) {
        return nullptr;
    }
    const auto found = std::ranges::find(*config->tenants, name, &tenant::name);
    return found != config->tenants->end() && found->quota.is_limited() ? &*found : nullptr;
}

std::vector<std::string> quota_service::ranked_zones(std::string_view name) const {
    std::vector<std::string> ranked{};
    for(const auto index : core::rendezvous_rank(name, this->zones)) {
        ranked.push_back(this->zones[index]);
    }
    return ranked;
}

std::optional<quota_service::grantor> quota_service::find_grantor(std::string_view name, bool as_deputy) {
    const auto ranked = this->ranked_zones(name);
    const std::size_t position{as_deputy ? 1u : 0u};
    if(position >= ranked.size()) {
        return std::nullopt;
    }
    const auto& zone = ranked[position];
    auto holder = this->context.placement.lease_holder(zone);
    if(!holder) {
        return std::nullopt;
    }
    if(auto& last = this->last_grantors[zone]; last != *holder) {
        this->context.log.write(
            log_line{"quota_authority"}.add("zone", zone).add("holder", *holder).add("previous", last));
        last = *holder;
    }
    const auto called = this->peers_called.find(*holder);
    if(called != this->peers_called.end() && this->context.clock.now() < called->second.skip_until) {
        return std::nullopt;
    }
    grantor found{.node = std::move(*holder), .zone = zone, .is_deputy = as_deputy};
    for(const auto& entry : this->context.placement.known_leases()) {
        if(entry.lease.availability_zone == zone) {
            found.fencing_token = entry.lease.fencing_token;
        }
    }
    return found;
}

asio::awaitable<core::result<quota_charge>> quota_service::admit(const tenant& owner, double units, unsigned priority) {
    this->refresh();
    const auto now = this->context.clock.now();
    auto charged = this->account.charge(owner, units, now);
    if(!charged) {
        charged = this->account.charge_without_grant(owner, units, this->nodes_sharing(), now);
        this->count_without_grant(charged);
    }
    if(charged) {
        core::result<quota_charge> outcome{std::move(*charged)};
        this->record(owner.name, units, outcome);
        co_return outcome;
    }
    const auto name = owner.name;
    const auto ticket = this->account.add_waiting(owner, units, priority);
    const auto request = std::make_shared<waiting_request>(this->context.io);
    this->waiting.emplace(ticket, request);
    this->ask(name, false);
    if(!request->outcome) {
        request->timer.expires_after(wait_max);
        co_await wait_for(request->timer);
    }
    this->waiting.erase(ticket);
    if(!request->outcome) {
        this->account.remove_waiting(name, ticket);
        request->outcome = tl::make_unexpected(limit_error(name, retry_after_without_grant));
    }
    this->record(name, units, *request->outcome);
    co_return std::move(*request->outcome);
}

void quota_service::credit(const quota_charge& unused) {
    this->account.credit(unused, this->context.clock.now());
}

void quota_service::ask(const std::string& name, bool as_deputy) {
    if(this->asked_tenants.contains(name)) {
        return;
    }
    const auto* owner = this->find_limited(name);
    if(owner == nullptr) {
        this->admit_all(name);
        return;
    }
    const auto now = this->context.clock.now();
    this->complete(this->account.admit_waiting(*owner, now));
    if(this->account.waiting_count(name) == 0u) {
        return;
    }
    if(const auto paused = this->paused_until.find(name); !as_deputy && paused != this->paused_until.end()) {
        if(now < paused->second) {
            this->asked_tenants.insert(name);
            core::start_task(
                this->context.io, "quota_pause", [self = this->shared_from_this(), name, pause = paused->second - now] {
                    return self->ask_later(name, pause);
                });
            return;
        }
        this->paused_until.erase(paused);
    }
    auto found = this->find_grantor(name, as_deputy);
    if(!found) {
        if(as_deputy) {
            static_cast<void>(this->account.take_need(*owner, now));
            this->end_question(*owner, retry_after_without_grant);
        } else {
            this->ask(name, true);
        }
        return;
    }
    question asked{.tenant = name, .grantor = std::move(*found)};
    if(asked.grantor.node == this->node_name) {
        const auto share = this->decide(this->make_demand(asked));
        this->apply_share(asked, &share, now);
        return;
    }
    this->asked_tenants.insert(name);
    const auto node = asked.grantor.node;
    auto& calls = this->peers_called[node];
    calls.questions.push_back(std::move(asked));
    if(!std::exchange(calls.in_flight, true)) {
        core::start_task(this->context.io, "quota_request",
            [self = this->shared_from_this(), node] { return self->call_peer(node); });
    }
}

asio::awaitable<void> quota_service::ask_later(std::string name, core::duration pause) {
    co_await sleep_for(pause);
    this->asked_tenants.erase(name);
    this->ask(name, false);
}

wire::quota_demand quota_service::make_demand(question& asked) {
    const auto to_count = [](double units) {
        constexpr double units_max{1e15};
        return static_cast<std::uint64_t>(std::clamp(units, 0.0, units_max));
    };
    wire::quota_demand demand{.tenant = asked.tenant,
        .zone = asked.grantor.zone,
        .fencing_token = asked.grantor.fencing_token,
        .as_deputy = asked.grantor.is_deputy};
    if(const auto* owner = this->find_limited(asked.tenant)) {
        const auto need = this->account.take_need(*owner, this->context.clock.now());
        demand.needed = to_count(need.needed);
        demand.ahead = to_count(need.ahead);
        demand.least = to_count(need.least);
    }
    asked.needed = demand.needed;
    return demand;
}

asio::awaitable<void> quota_service::call_peer(std::string node) {
    // References into the map stay valid, as nothing is removed from it.
    auto& calls = this->peers_called[node];
    while(!calls.questions.empty()) {
        std::vector<question> batch{};
        while(!calls.questions.empty() && batch.size() < demands_max) {
            batch.push_back(std::move(calls.questions.front()));
            calls.questions.pop_front();
        }
        const auto asked_at = this->context.clock.now();
        const auto reply = co_await this->send_questions(node, batch);
        this->context.metrics
            .counter("lagoonsaddle_edge_quota_calls_total", "Calls to nodes that grant quotas, by outcome.",
                {{"outcome", reply ? "answered" : std::string{core::to_string(reply.error().cause)}}})
            .add();
        if(!reply) {
            calls.skip_until = this->context.clock.now() + skip_duration;
            this->context.log.write(log_line{"quota_call"}
                                        .add("node", node)
                                        .add("outcome", core::to_string(reply.error().cause))
                                        .add("message", reply.error().message));
        }
        for(std::size_t index{}; index < batch.size(); ++index) {
            const bool answered =
                reply && index < reply->shares.size() && reply->shares[index].tenant == batch[index].tenant;
            this->asked_tenants.erase(batch[index].tenant);
            this->apply_share(batch[index], answered ? &reply->shares[index] : nullptr, asked_at);
        }
    }
    calls.in_flight = false;
}

asio::awaitable<core::result<wire::quota_grant>> quota_service::send_questions(
    std::string node, std::vector<question>& questions) {
    const auto peer = this->context.peers.find(node);
    if(!peer) {
        co_return core::fail(core::reason::unavailable, "the node is not live");
    }
    wire::quota_request request{.configuration_version = this->context.routes.version()};
    for(auto& asked : questions) {
        request.demands.push_back(this->make_demand(asked));
    }
    auto body = wire::pack(request);
    const auto reply = co_await peer->call(wire::message_type::quota_request, std::move(body), call_timeout);
    if(!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    co_return wire::unpack<wire::quota_grant>(reply->body);
}

void quota_service::apply_share(const question& asked, const wire::quota_share* share, core::time_point asked_at) {
    const auto* owner = this->find_limited(asked.tenant);
    if(owner == nullptr) {
        this->admit_all(asked.tenant);
        return;
    }
    const bool granted = share != nullptr && share->is_authority;
    const auto now = this->context.clock.now();
    if(granted) {
        this->account.add_grant(*owner, static_cast<double>(share->granted), asked_at);
        this->complete(this->account.admit_waiting(*owner, now));
    }
    if(granted && asked.needed > 0u && share->granted >= asked.needed) {
        // What is missing has expired meanwhile, or was needed by requests that have arrived since.
        this->account.ask_again(asked.tenant);
        this->ask(asked.tenant, false);
        return;
    }
    const bool is_final = asked.grantor.is_deputy || (granted && share->is_final);
    if(!is_final) {
        this->ask(asked.tenant, true);
        return;
    }
    const auto retry_ms = granted ? std::min<std::uint64_t>(share->retry_after_ms, 2'000u) : 0u;
    this->end_question(*owner, retry_ms > 0u ? milliseconds{retry_ms} : retry_after_without_grant);
    if(this->account.waiting_count(asked.tenant) > 0u) {
        this->ask(asked.tenant, false);
    }
}

std::size_t quota_service::nodes_sharing() const {
    return this->context.membership.joined() ? this->known_nodes.size() : 0u;
}

void quota_service::count_without_grant(const std::optional<quota_charge>& charged) {
    if(charged) {
        this->context.metrics
            .counter("lagoonsaddle_edge_quota_fallback_units_total", "Units of quotas admitted without a grant.")
            .add(static_cast<std::uint64_t>(charged->units));
    }
}

void quota_service::end_question(const tenant& owner, milliseconds retry_after) {
    const auto admitted = this->account.admit_without_grant(owner, this->nodes_sharing(), this->context.clock.now());
    for(const auto& entry : admitted) {
        this->count_without_grant(entry.charge);
    }
    this->complete(admitted);
    const auto refused = this->account.remove_asked(owner.name);
    if(!refused.empty()) {
        const core::duration pause{std::min(retry_after, refusal_pause_max)};
        this->paused_until[owner.name] = this->context.clock.now() + pause;
    }
    for(const auto ticket : refused) {
        this->complete(ticket, tl::make_unexpected(limit_error(owner.name, retry_after)));
    }
}

void quota_service::admit_all(const std::string& name) {
    // The configuration no longer limits the tenant.
    for(const auto ticket : this->account.remove_all(name)) {
        this->complete(ticket, quota_charge{.tenant = name});
    }
}

void quota_service::complete(const std::vector<quota_admission>& admitted) {
    for(const auto& entry : admitted) {
        this->complete(entry.ticket, entry.charge);
    }
}

void quota_service::complete(std::uint64_t ticket, core::result<quota_charge> outcome) {
    if(const auto found = this->waiting.find(ticket); found != this->waiting.end()) {
        found->second->outcome = std::move(outcome);
        found->second->timer.cancel();
    }
}

wire::quota_grant quota_service::make_grant(const wire::quota_request& request) {
    this->refresh();
    wire::quota_grant reply{};
    for(const auto& demand : request.demands) {
        if(reply.shares.size() >= demands_max) {
            break;
        }
        reply.shares.push_back(this->decide(demand));
    }
    return reply;
}

wire::quota_share quota_service::decide(const wire::quota_demand& demand) {
    wire::quota_share share{.tenant = demand.tenant};
    const auto* owner = this->find_limited(demand.tenant);
    const auto ranked = this->ranked_zones(demand.tenant);
    const std::size_t position{demand.as_deputy ? 1u : 0u};
    if(owner == nullptr || position >= ranked.size() || ranked[position] != demand.zone) {
        return share;
    }
    auto& held = this->held_zones.try_emplace(demand.zone, this->bounds).first->second;
    const auto standing = this->standing_of(demand, held);
    if(!standing) {
        return share;
    }
    const auto now = this->context.clock.now();
    this->log_weight(demand.zone, held, quota_ledger::weight(*standing, now));
    const quota_need need{.needed = static_cast<double>(demand.needed),
        .ahead = static_cast<double>(demand.ahead),
        .least = static_cast<double>(std::min(demand.least, demand.needed))};
    const auto decision = demand.as_deputy ? held.ledger.grant_as_deputy(*owner, need, *standing, now)
                                           : held.ledger.grant(*owner, need, *standing, now);
    share.is_authority = true;
    share.is_final = decision.is_final;
    share.granted = static_cast<std::uint64_t>(std::max(decision.granted, 0.0));
    share.retry_after_ms = static_cast<std::uint64_t>(decision.retry_after.count());
    if(demand.as_deputy) {
        this->context.metrics
            .counter("lagoonsaddle_edge_quota_deputy_units_total", "Units of quotas granted as a deputy.")
            .add(share.granted);
    }
    return share;
}

std::optional<quota_standing> quota_service::standing_of(const wire::quota_demand& demand, held_zone& zone) {
    const auto tenure = this->context.placement.tenure(demand.zone);
    if(!tenure) {
        return std::nullopt;
    }
    if(demand.fencing_token > zone.newest_token) {
        zone.newest_token = demand.fencing_token;
        zone.newest_token_at = this->context.clock.now();
    }
    if(zone.newest_token > tenure->fencing_token && tenure->confirmed_at <= zone.newest_token_at) {
        return std::nullopt;
    }
    quota_standing standing{.tenure = *tenure};
    standing.tenure.held_since = std::max(standing.tenure.held_since, this->zones_changed_at);
    if(!this->known_nodes.empty()) {
        standing.reachable_share =
            static_cast<double>(this->nodes_live) / static_cast<double>(this->known_nodes.size());
    }
    return standing;
}

void quota_service::log_weight(const std::string& zone, held_zone& held, double weight) {
    const auto now = this->context.clock.now();
    const auto rounded = static_cast<int>(weight * percent);
    const bool is_first = held.weight_percent < 0;
    if(rounded == held.weight_percent || (!is_first && now - held.weight_logged_at < weight_log_interval)) {
        return;
    }
    held.weight_percent = rounded;
    held.weight_logged_at = now;
    this->context.log.write(log_line{"quota_weight"}.add("zone", zone).add("percent", rounded));
}

void quota_service::record(const std::string& name, double units, const core::result<quota_charge>& outcome) {
    const auto now = this->context.clock.now();
    this->context.metrics
        .counter("lagoonsaddle_edge_quota_units_total", "Units of quotas that requests needed, by tenant and outcome.",
            {{"tenant", this->tenant_label(name)}, {"outcome", outcome ? "admitted" : "refused"}})
        .add(static_cast<std::uint64_t>(units));
    const auto found = this->limitations.find(name);
    if(!outcome) {
        if(found == this->limitations.end()) {
            this->limitations.emplace(name, limitation{.refused = 1u, .last_refusal = now});
            this->context.log.write(log_line{"quota_limited"}
                                        .add("tenant", name)
                                        .add("units", static_cast<std::int64_t>(units))
                                        .add("retry_ms", outcome.error().retry_after->count()));
        } else {
            ++found->second.refused;
            found->second.last_refusal = now;
        }
    } else if(found != this->limitations.end() && now - found->second.last_refusal >= limitation_end) {
        this->context.log.write(log_line{"quota_limit_ended"}
                                    .add("tenant", name)
                                    .add("refused", static_cast<std::int64_t>(found->second.refused)));
        this->limitations.erase(found);
    }
}

std::string quota_service::tenant_label(const std::string& name) {
    constexpr std::size_t labels_max{64u};
    if(this->labelled_tenants.contains(name) || this->labelled_tenants.size() < labels_max) {
        this->labelled_tenants.insert(name);
        return name;
    }
    return "other";
}

std::vector<quota_state> quota_service::states() const {
    std::vector<quota_state> known{};
    const auto& config = this->context.routes.current();
    if(!config || !config->tenants) {
        return known;
    }
    const auto now = this->context.clock.now();
    for(const auto& owner : *config->tenants) {
        if(!owner.quota.is_limited()) {
            continue;
        }
        quota_state state{.tenant = owner.name,
            .balance = this->account.balance(owner.name, now),
            .waiting = this->account.waiting_count(owner.name),
            .limited = this->limitations.contains(owner.name)};
        for(const auto& [zone, held] : this->held_zones) {
            if(const auto level = held.ledger.level(owner.name)) {
                state.level = level;
            }
        }
        known.push_back(std::move(state));
    }
    return known;
}

} // namespace lagoonsaddle::edge
