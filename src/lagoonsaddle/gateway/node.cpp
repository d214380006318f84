#include <algorithm>
#include <random>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/gateway/node.hpp>
#include <lagoonsaddle/platform/http_vm_list.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds maintenance_interval{50};
constexpr milliseconds stop_poll{20};
// Time for the balancer to see that the node is not ready before connections are refused.
constexpr milliseconds drain_notice{1'000};
// Requests in flight on one engine when it fails are retried together; the budget at the start covers several engines.
constexpr double retry_budget_max{400.};

[[nodiscard]] asio::awaitable<void> pause(milliseconds time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

[[nodiscard]] std::uint64_t random_boot_id() {
    std::random_device source{};
    return (std::uint64_t{source()} << 32u) | source();
}

[[nodiscard]] std::vector<upstream::description> fixed_upstreams(const settings::node_settings& values) {
    std::vector<upstream::description> fixed{};
    fixed.reserve(values.upstreams.size() + 1u);
    for(const auto& entry : values.upstreams) {
        fixed.push_back(upstream::description{.name = entry.name,
            .kind = entry.kind == settings::upstream_kind::engine ? upstream::kind::engine : upstream::kind::service,
            .endpoint = entry.endpoint,
            .availability_zone = entry.availability_zone,
            .service = entry.service,
            .base_model = entry.base_model,
            .checks_fencing_token = entry.checks_fencing_token});
    }
    fixed.push_back(upstream::description{.name = values.platform.weight_store,
        .kind = upstream::kind::weight_store,
        .availability_zone = std::string{global_zone}});
    return fixed;
}

[[nodiscard]] fleet::membership_settings membership_options(const settings::membership_settings& values) {
    fleet::membership_settings options{};
    options.probe_interval = values.probe_interval;
    options.probe_timeout = values.probe_timeout;
    options.suspicion_timeout = values.suspicion;
    options.sync_interval = values.anti_entropy_interval;
    return options;
}

[[nodiscard]] fleet::ownership_settings ownership_options(const settings::ownership_settings& values) {
    fleet::ownership_settings options{};
    options.lease_duration = values.lease_duration;
    options.lease_refresh_interval = values.lease_refresh;
    options.order_validity = values.order_validity;
    return options;
}

[[nodiscard]] policy::load_scheduler_options load_options(const settings::policy_settings& values) {
    policy::load_scheduler_options options{};
    options.concurrent_permits = values.load_permits;
    options.grants_per_second = std::max<std::size_t>(static_cast<std::size_t>(values.loads_per_second), 1u);
    options.default_load_time = values.load_estimate;
    return options;
}

[[nodiscard]] policy::router_options router_options(const settings::policy_settings& values) {
    policy::router_options options{};
    options.stall_weight = values.stall_weight;
    options.batch_weight = values.batch_weight;
    options.load_time = values.load_estimate;
    return options;
}

[[nodiscard]] caller_handler_options caller_options(const settings::node_settings& values, std::uint64_t boot_id) {
    caller_handler_options options{.node = values.node.name,
        .boot_id = boot_id,
        .availability_zone = values.node.availability_zone,
        .limits = {.default_deadline = values.caller_api.default_deadline,
            .max_deadline = values.caller_api.max_deadline,
            .max_output_tokens = values.caller_api.max_output_tokens}};
    options.retries.budget_per_success = values.policy.retry_budget_ratio;
    options.retries.budget_max = retry_budget_max;
    return options;
}

[[nodiscard]] http::server_options caller_server_options(const settings::caller_api_settings& values) {
    return http::server_options{.listen = values.listen,
        .body_limit_bytes = values.body_limit_bytes,
        .header_limit_bytes = values.header_limit_bytes,
        .request_timeout = values.request_timeout};
}

[[nodiscard]] upstream_owner_options owner_options(const settings::node_settings& values) {
    upstream_owner_options options{};
    options.slots.minimum_residency = values.policy.minimum_residency;
    options.slots.default_load_time = values.policy.load_estimate;
    options.queue.capacity = values.policy.queue_limit;
    options.load_estimate = values.policy.load_estimate;
    options.order_validity = values.ownership.order_validity;
    return options;
}

[[nodiscard]] journal::claim_journal_options journal_options(const settings::journal_settings& values) {
    journal::claim_journal_options options{};
    options.shards = values.shards;
    options.shard.retention = values.retention;
    options.shard.object_limit_bytes = values.object_limit_bytes;
    return options;
}

[[nodiscard]] policy::crash_quarantine_options quarantine_options(const settings::policy_settings& values) {
    policy::crash_quarantine_options options{};
    options.quarantine_duration = values.quarantine_duration;
    return options;
}

} // namespace

/*! @brief Handles the messages of the other nodes. */
class node::peer_messages final : public wire::peer_handler {
public:
    explicit peer_messages(node& source) : owner{source} {}

    asio::awaitable<void> handle(
        std::string peer, wire::frame message, std::shared_ptr<wire::responder> answer) override {
        switch(message.type) {
        case wire::message_type::submit:
            co_await this->submit(message.body, std::move(answer));
            break;
        case wire::message_type::config_get:
            this->config(message.body, *answer);
            break;
        case wire::message_type::ownership_get:
            this->ownership(message.body, *answer);
            break;
        case wire::message_type::load_request:
            co_await this->owner.loads->handle_permit_request(
                std::move(peer), std::move(message.body), std::move(answer));
            break;
        case wire::message_type::load_done:
            this->owner.loads->handle_permit_release(message.body);
            break;
        case wire::message_type::upstream_report:
            if(const auto report = wire::unpack<wire::upstream_report>(message.body); report.has_value()) {
                this->owner.routing.apply_report(*report);
            }
            break;
        case wire::message_type::quarantine_update:
            this->owner.quarantine.merge(message.body);
            break;
        case wire::message_type::explain_get:
            this->explain(message.body, *answer);
            break;
        default:
            break;
        }
    }

private:
    asio::awaitable<void> submit(const std::string& body, std::shared_ptr<wire::responder> answer) {
        auto request = wire::unpack<wire::submit>(body);
        if(!request) {
            const wire::answer_end refused{
                .verdict = core::verdict::not_run, .failure = wire::to_wire(request.error())};
            answer->send(wire::message_type::answer_end, wire::pack(refused));
            co_return;
        }
        const auto target = this->owner.registry.find(request->upstream);
        if(!target) {
            const core::error failure{.cause = core::reason::lease_expired,
                .message = "this node does not own upstream " + request->upstream};
            const wire::answer_end refused{.verdict = core::verdict::not_run, .failure = wire::to_wire(failure)};
            answer->send(wire::message_type::answer_end, wire::pack(refused));
            co_return;
        }
        co_await target->serve(std::move(*request), std::move(answer));
    }

    void config(const std::string& body, wire::responder& answer) {
        const auto request = wire::unpack<wire::config_get>(body);
        wire::config_reply reply{};
        if(request) {
            reply.name = request->name;
            if(auto found = this->owner.configurations->find(request->name); found.has_value()) {
                reply.version = found->version;
                if(!request->version_only) {
                    reply.body = std::move(found->body);
                }
            }
        }
        answer.send(wire::message_type::config_reply, wire::pack(reply));
    }

    void ownership(const std::string& body, wire::responder& answer) {
        const auto request = wire::unpack<wire::ownership_get>(body);
        wire::ownership_reply reply{};
        if(request) {
            auto snapshot = this->owner.owners->snapshot(request->zone);
            reply.version = snapshot.version;
            reply.body = std::move(snapshot.body);
        }
        answer.send(wire::message_type::ownership_reply, wire::pack(reply));
    }

    void explain(const std::string& body, wire::responder& answer) {
        const auto request = wire::unpack<wire::explain_get>(body);
        wire::explain_reply reply{};
        if(request && this->owner.explains != nullptr) {
            reply.record = this->owner.explains->find_record(request->request_id);
        }
        answer.send(wire::message_type::explain_reply, wire::pack(reply));
    }

    node& owner;
};

/*! @brief Tells the journal which nodes are gone: declared dead, left, or started again under another boot id. */
class node::claimants final : public journal::claimant_liveness {
public:
    explicit claimants(const cluster::membership_service& source) : membership{source} {}

    [[nodiscard]] bool is_gone(std::string_view claimant) const override {
        const auto slash = claimant.rfind('/');
        if(slash == std::string_view::npos) {
            return false;
        }
        const auto known = this->membership.members();
        for(const auto& member : *known) {
            if(member.info.name == claimant.substr(0u, slash)) {
                return !member.is_live() || std::to_string(member.info.boot_id) != claimant.substr(slash + 1u);
            }
        }
        return false;
    }

private:
    const cluster::membership_service& membership;
};

node::node(
    asio::io_context& io, const core::clock& clock, settings::node_settings configured, request_observer& observer)
    : context{io},
      time{clock},
      events{observer},
      values{std::move(configured)},
      boot_id{random_boot_id()},
      requester{http::client_options{}},
      objects{this->requester, clock,
          platform::http_object_store_options{
              .server = this->values.platform.object_store, .call_timeout = this->values.platform.timeout}},
      members{std::make_shared<cluster::membership_service>(io, clock, membership_options(this->values.membership))},
      connections{io, *this->members,
          wire::hello{.node = this->values.node.name, .availability_zone = this->values.node.availability_zone}},
      directory{fixed_upstreams(this->values)},
      owners{std::make_shared<ownership_service>(io, clock, ownership_options(this->values.ownership), this->objects,
          *this->members, this->directory, this->connections)},
      configurations{std::make_shared<config_service>(
          io, clock, this->objects, *this->members, this->connections, this->values.node.availability_zone)},
      loads{std::make_shared<load_permit_service>(io, clock, load_options(this->values.policy),
          this->values.platform.weight_store, *this->members, *this->owners, this->connections)},
      quarantine{quarantine_options(this->values.policy), *this->members, this->connections},
      rule_sets{clock},
      routing{router_options(this->values.policy), clock, this->values.node.availability_zone},
      registry{io, this->connections},
      claimant_states{std::make_unique<claimants>(*this->members)},
      claims{
          io.get_executor(), this->objects, clock, journal_options(this->values.journal), this->claimant_states.get()},
      callers{caller_handler_context{.clock = clock,
                  .owners = this->registry,
                  .ownership = *this->owners,
                  .routes = this->routing,
                  .rules = this->rule_sets,
                  .adapters = this->adapter_catalogue,
                  .quarantine = this->quarantine,
                  .journal = &this->claims,
                  .membership = *this->members,
                  .observer = observer},
          caller_options(this->values, this->boot_id)},
      caller_server{io, this->callers, caller_server_options(this->values.caller_api)},
      messages{std::make_unique<peer_messages>(*this)} {
    if(this->values.platform.vm_list.port != 0u) {
        this->vms = std::make_unique<platform::http_vm_list>(
            this->requester, platform::http_vm_list_options{.server = this->values.platform.vm_list,
                                 .call_timeout = this->values.platform.timeout});
    }
}

node::~node() = default;

core::result<node_ports> node::start() {
    const auto datagrams = this->members->bind(this->values.membership.listen);
    if(!datagrams) {
        return tl::make_unexpected(datagrams.error());
    }
    this->peer_listener = std::make_unique<wire::peer_server>(this->context, *this->messages, this->values.peer.listen,
        wire::hello{.node = this->values.node.name, .availability_zone = this->values.node.availability_zone});
    if(const auto started = this->peer_listener->start(); !started) {
        return tl::make_unexpected(started.error());
    }
    if(const auto started = this->caller_server.start(); !started) {
        return tl::make_unexpected(started.error());
    }

    this->configurations->on_applied([this](const platform::config_document& document) {
        if(document.name == "rules") {
            this->rule_sets.apply(document);
        } else {
            this->adapter_catalogue.apply(document);
        }
    });
    this->members->on_item([this](const fleet::gossip_item& value) {
        this->configurations->receive(value);
        this->quarantine.merge(value);
    });
    this->members->on_member_change([this](const fleet::member_change& change) {
        LOG(INFO) << "event=member_changed node=" << change.member.info.name
                  << " state=" << fleet::to_string(change.member.state);
        this->events.acted(
            "member_changed", change.member.info.name, std::string{fleet::to_string(change.member.state)});
        if(!change.member.is_live() || change.restarted) {
            this->connections.disconnect(change.member.info.name);
            this->loads->remove_node(change.member.info.name);
            this->configurations->node_lost(change.member.info.name);
        }
    });
    this->directory.on_change([this] { this->routing.update(*this->directory.all()); });
    this->routing.update(*this->directory.all());

    this->members->start(fleet::member_info{.name = this->values.node.name,
                             .availability_zone = this->values.node.availability_zone,
                             .udp = *datagrams,
                             .tcp = {.address = this->values.peer.listen.address, .port = this->peer_listener->port()},
                             .boot_id = this->boot_id},
        this->values.seeds);
    this->owners->start();
    this->configurations->start();
    this->loads->start();
    const auto spawn = [this](asio::awaitable<void> (node::*task)()) {
        asio::co_spawn(
            asio::make_strand(this->context), [this, task]() -> asio::awaitable<void> { co_await (this->*task)(); },
            asio::detached);
    };
    spawn(&node::run_maintenance);
    if(this->vms) {
        spawn(&node::run_vm_list);
    }
    return node_ports{
        .caller_api = this->caller_server.port(), .peer = this->peer_listener->port(), .membership = datagrams->port};
}

asio::awaitable<bool> node::stop() {
    const auto end = this->time.now() + this->values.stop_timeout;
    LOG(INFO) << "event=stop_started node=" << this->values.node.name;
    this->callers.set_draining();
    this->members->announce_leaving();
    this->owners->release_all();
    co_await pause(drain_notice);
    this->caller_server.stop_accepting();
    while(this->time.now() < end && (this->in_flight() || !this->owners->released())) {
        co_await pause(stop_poll);
    }
    const bool complete = !this->in_flight();
    this->stopping = true;
    this->claims.stop();
    this->owners->stop();
    this->configurations->stop();
    this->loads->stop();
    this->members->stop();
    co_await pause(stop_poll);
    this->caller_server.close();
    this->peer_listener->close();
    LOG(INFO) << "event=stop_finished complete=" << complete;
    co_return complete;
}

bool node::in_flight() const {
    if(this->caller_server.active_requests() > 0u) {
        return true;
    }
    for(const auto& [name, owner] : this->registry.all()) {
        if(!owner->is_idle()) {
            return true;
        }
    }
    const std::lock_guard lock{this->retiring_mutex};
    return std::any_of(
        this->retiring.begin(), this->retiring.end(), [](const auto& owner) { return !owner->is_idle(); });
}

asio::awaitable<void> node::run_maintenance() {
    while(!this->stopping.load()) {
        this->reconcile_owners();
        this->callers.set_ready(this->members->joined() && this->configurations->ready());
        co_await pause(maintenance_interval);
    }
}

// Makes an owner for each upstream that this node owns, and retires those of upstreams that it does not own any more.
void node::reconcile_owners() {
    const auto owned = this->owners->owned_upstreams();
    const std::set<std::string> wanted{owned.begin(), owned.end()};
    const auto known = this->directory.all();
    for(const auto& name : wanted) {
        const auto description = known->find(name);
        if(description == known->end() || description->second.kind == upstream::kind::weight_store) {
            continue;
        }
        auto owner = this->registry.find(name);
        if(!owner) {
            LOG(INFO) << "event=upstream_taken upstream=" << name;
            this->events.acted("upstream_taken", name, "this node is its owner now");
            owner = std::make_shared<upstream_owner>(upstream_owner_context{.io = this->context,
                                                         .clock = this->time,
                                                         .http_client = this->requester,
                                                         .authority = *this->owners,
                                                         .permits = *this->loads,
                                                         .quarantine = this->quarantine,
                                                         .observer = this->events},
                description->second, owner_options(this->values),
                [this](const wire::upstream_report& report, bool broadcast) { this->take_report(report, broadcast); });
            owner->start();
            this->registry.add(name, owner);
        }
        owner->set_leaving(description->second.leaving || this->rule_sets.drained(name));
    }
    for(const auto& [name, owner] : this->registry.all()) {
        if(!wanted.contains(name)) {
            LOG(INFO) << "event=upstream_given_up upstream=" << name;
            this->events.acted("upstream_given_up", name, "another node is its owner now");
            this->registry.remove(name);
            owner->retire();
            const std::lock_guard lock{this->retiring_mutex};
            this->retiring.push_back(owner);
        }
    }
    const std::lock_guard lock{this->retiring_mutex};
    std::erase_if(this->retiring, [](const auto& owner) {
        if(owner->is_idle()) {
            owner->stop();
            return true;
        }
        return false;
    });
}

asio::awaitable<void> node::run_vm_list() {
    while(!this->stopping.load()) {
        const auto snapshot = co_await this->vms->read();
        if(snapshot) {
            this->apply_vm_list(*snapshot);
        }
        co_await pause(this->values.platform.vm_list_refresh);
    }
}

void node::apply_vm_list(const platform::vm_snapshot& snapshot) {
    std::vector<upstream::description> listed{};
    std::vector<core::endpoint> entries{};
    for(const auto& vm : snapshot.vms) {
        if(vm.kind == platform::vm_kind::entry) {
            if(vm.state == platform::vm_state::live) {
                entries.push_back(vm.endpoint);
            }
            continue;
        }
        const auto label = [&vm](const char* name) {
            const auto found = vm.labels.find(name);
            return found == vm.labels.end() ? std::string{} : found->second;
        };
        listed.push_back(upstream::description{.name = vm.name,
            .kind = vm.kind == platform::vm_kind::engine ? upstream::kind::engine : upstream::kind::service,
            .endpoint = vm.endpoint,
            .availability_zone = vm.availability_zone,
            .service = label("service"),
            .base_model = label("base_model"),
            .checks_fencing_token = label("checks_fencing_token") == "true",
            .leaving = vm.state == platform::vm_state::leaving});
    }
    this->members->add_seeds(entries);
    this->directory.replace_vm_list_upstreams(std::move(listed));
}

void node::take_report(const wire::upstream_report& report, bool broadcast) {
    this->routing.apply_report(report);
    if(broadcast) {
        this->connections.broadcast(wire::message_type::upstream_report, wire::pack(report));
    }
}

nlohmann::json node::dump() const {
    nlohmann::json state = nlohmann::json::object();
    state["node"] = this->values.node.name;
    state["availability_zone"] = this->values.node.availability_zone;
    state["boot_id"] = this->boot_id;
    state["version"] = LAGOONSADDLE_VERSION;
    state["ready"] = this->ready();
    state["stopping"] = this->stopping.load();
    state["active_requests"] = this->caller_server.active_requests();
    state["object_api_down"] = this->owners->object_api_down();
    state["rules_version"] = this->rule_sets.version();
    state["members"] = nlohmann::json::array();
    const auto known_members = this->members->members();
    for(const auto& member : *known_members) {
        nlohmann::json entry = nlohmann::json::object();
        entry["node"] = member.info.name;
        entry["availability_zone"] = member.info.availability_zone;
        entry["state"] = fleet::to_string(member.state);
        entry["peer"] = core::to_string(member.info.tcp);
        entry["incarnation"] = member.incarnation;
        state["members"].push_back(std::move(entry));
    }
    state["ownership"] = nlohmann::json::object();
    const auto upstreams = this->directory.all();
    for(const auto& [name, description] : *upstreams) {
        nlohmann::json entry = nlohmann::json::object();
        entry["availability_zone"] = description.availability_zone;
        entry["endpoint"] = core::to_string(description.endpoint);
        entry["leaving"] = description.leaving;
        if(const auto owner = this->owners->owner(name); owner.has_value()) {
            entry["owner"] = owner->owner.name;
            entry["fencing_token"] = owner->fencing_token;
        }
        state["ownership"][name] = std::move(entry);
    }
    state["owned"] = nlohmann::json::array();
    for(const auto& [name, owner] : this->registry.all()) {
        state["owned"].push_back(owner->state_json());
    }
    state["config"] = nlohmann::json::object();
    for(const auto& version : this->configurations->applied()) {
        state["config"][version.name] = version.version;
    }
    state["catalogue"] = this->adapter_catalogue.sizes();
    state["loads_waiting"] = this->loads->ranked_loads().size();
    state["quarantine"] = nlohmann::json::array();
    for(const auto& record : this->quarantine.records()) {
        nlohmann::json entry = nlohmann::json::object();
        entry["digest"] = record.digest;
        entry["crashes"] = record.crashes.size();
        entry["until_unix_ms"] = record.suspect_until.count();
        state["quarantine"].push_back(std::move(entry));
    }
    const auto counts = this->claims.counters();
    state["journal"] = {{"claims", counts.claims}, {"claimed", counts.claimed}, {"repeated", counts.repeated},
        {"refused", counts.refused}, {"reads", counts.reads}, {"writes", counts.writes},
        {"conflicts", counts.conflicts}, {"backlog", counts.backlog}, {"object_bytes", counts.object_bytes}};
    const auto calls = this->objects.counts();
    state["object_api"] = {{"reads", calls.reads}, {"writes", calls.writes}, {"watches", calls.watches},
        {"lists", calls.lists}, {"failures", calls.failures}};
    const auto datagrams = this->members->counters();
    state["membership"] = {{"datagrams_sent", datagrams.datagrams_sent}, {"bytes_sent", datagrams.bytes_sent},
        {"datagrams_received", datagrams.datagrams_received}, {"malformed", datagrams.malformed},
        {"suspicions", datagrams.suspicions}, {"deaths", datagrams.deaths}};
    return state;
}

} // namespace lagoonsaddle::gateway
