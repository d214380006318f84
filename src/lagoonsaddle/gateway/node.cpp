#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/node.hpp>
#include <lagoonsaddle/platform/http_vm_list.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/*! @brief Interval at which idle connections that nothing will use are closed. */
constexpr std::chrono::milliseconds stale_connection_interval{1'000};
constexpr milliseconds maintenance_interval{50};
constexpr milliseconds stop_poll_interval{20};
// Time for load balancers to observe that the node is not ready, before it refuses connections.
constexpr milliseconds drain_notice_period{1'000};
// All requests in flight on an engine are retried at once when it fails; the initial budget covers several engines.
constexpr double max_retry_budget{400.};

[[nodiscard]] asio::awaitable<void> sleep_for(milliseconds delay) {
    asio::steady_timer timer{co_await asio::this_coro::executor, delay};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

[[nodiscard]] std::uint64_t random_boot_id() {
    std::random_device source{};
    return (std::uint64_t{source()} << 32u) | source();
}

[[nodiscard]] std::vector<upstream::description> configured_upstreams(const settings::node_settings& settings) {
    std::vector<upstream::description> configured{};
    configured.reserve(settings.upstreams.size() + 1u);
    for(const auto& entry : settings.upstreams) {
        configured.push_back(upstream::description{.name = entry.name,
            .kind = entry.kind == settings::upstream_kind::engine ? upstream::kind::engine : upstream::kind::service,
            .endpoint = entry.endpoint,
            .availability_zone = entry.availability_zone,
            .service = entry.service,
            .base_model = entry.base_model,
            .checks_fencing_token = entry.checks_fencing_token});
    }
    configured.push_back(upstream::description{.name = settings.platform.weight_store,
        .kind = upstream::kind::weight_store,
        .availability_zone = std::string{global_zone}});
    return configured;
}

[[nodiscard]] fleet::membership_settings membership_options(const settings::membership_settings& settings) {
    fleet::membership_settings options{};
    options.probe_interval = settings.probe_interval;
    options.probe_timeout = settings.probe_timeout;
    options.suspicion_timeout = settings.suspicion;
    options.sync_interval = settings.anti_entropy_interval;
    return options;
}

[[nodiscard]] fleet::ownership_settings ownership_options(const settings::ownership_settings& settings) {
    fleet::ownership_settings options{};
    options.lease_duration = settings.lease_duration;
    options.lease_refresh_interval = settings.lease_refresh;
    options.order_validity = settings.order_validity;
    return options;
}

[[nodiscard]] policy::load_scheduler_options load_options(const settings::policy_settings& settings) {
    policy::load_scheduler_options options{};
    options.concurrent_permits = settings.load_permits;
    options.grants_per_second = std::max<std::size_t>(static_cast<std::size_t>(settings.loads_per_second), 1u);
    options.default_load_time = settings.load_estimate;
    return options;
}

[[nodiscard]] policy::router_options router_options(const settings::policy_settings& settings) {
    policy::router_options options{};
    options.stall_weight = settings.stall_weight;
    options.batch_weight = settings.batch_weight;
    options.load_time = settings.load_estimate;
    return options;
}

[[nodiscard]] caller_handler_options caller_options(const settings::node_settings& settings, std::uint64_t boot_id) {
    caller_handler_options options{.node = settings.node.name,
        .boot_id = boot_id,
        .availability_zone = settings.node.availability_zone,
        .limits = {.default_deadline = settings.caller_api.default_deadline,
            .max_deadline = settings.caller_api.max_deadline,
            .max_output_tokens = settings.caller_api.max_output_tokens}};
    options.retries.budget_per_success = settings.policy.retry_budget_ratio;
    options.retries.budget_max = max_retry_budget;
    return options;
}

[[nodiscard]] http::server_options caller_server_options(const settings::caller_api_settings& settings) {
    return http::server_options{.listen = settings.listen,
        .body_limit_bytes = settings.body_limit_bytes,
        .header_limit_bytes = settings.header_limit_bytes,
        .request_timeout = settings.request_timeout,
        .body_memory = std::make_shared<core::byte_budget>(settings.body_memory_bytes)};
}

[[nodiscard]] journal::claim_journal_options journal_options(const settings::journal_settings& settings) {
    journal::claim_journal_options options{};
    options.shards = settings.shards;
    options.shard.retention = settings.retention;
    options.shard.object_limit_bytes = settings.object_limit_bytes;
    return options;
}

[[nodiscard]] policy::crash_quarantine_options quarantine_options(const settings::policy_settings& settings) {
    policy::crash_quarantine_options options{};
    options.quarantine_duration = settings.quarantine_duration;
    return options;
}

} // namespace

/*! @brief Handles messages from other nodes. */
class node::peer_message_handler final : public wire::peer_handler {
public:
    explicit peer_message_handler(node& parent) : parent_node{parent} {}

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
            co_await this->parent_node.load_scheduling->handle_permit_request(
                std::move(peer), std::move(message.body), std::move(answer));
            break;
        case wire::message_type::load_done:
            this->parent_node.load_scheduling->handle_permit_release(message.body);
            break;
        case wire::message_type::upstream_report:
            if(const auto report = wire::unpack<wire::upstream_report>(message.body); report.has_value()) {
                this->parent_node.routing.apply_report(*report);
            }
            break;
        case wire::message_type::quarantine_update:
            this->parent_node.quarantine.merge(message.body);
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
        const auto target = this->parent_node.local_owners.find(request->upstream);
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
            if(auto found = this->parent_node.config_objects->find(request->name); found.has_value()) {
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
            auto snapshot = this->parent_node.owner_assignments->snapshot(request->zone);
            reply.version = snapshot.version;
            reply.body = std::move(snapshot.body);
        }
        answer.send(wire::message_type::ownership_reply, wire::pack(reply));
    }

    void explain(const std::string& body, wire::responder& answer) {
        const auto request = wire::unpack<wire::explain_get>(body);
        wire::explain_reply reply{};
        if(request && this->parent_node.explain_records != nullptr) {
            reply.record = this->parent_node.explain_records->find_record(request->request_id);
        }
        answer.send(wire::message_type::explain_reply, wire::pack(reply));
    }

    node& parent_node;
};

/*! @brief Reports a claimant as gone when its node is dead, has left or has restarted with another boot id. */
class node::membership_liveness final : public journal::claimant_liveness {
public:
    explicit membership_liveness(const cluster::membership_service& membership) : membership{membership} {}

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
    asio::io_context& context, const core::clock& clock, settings::node_settings settings, request_observer& observer)
    : context{context},
      clock{clock},
      observer{observer},
      configured_settings{std::move(settings)},
      boot_id{random_boot_id()},
      http_client{http::client_options{}},
      objects{this->http_client, clock,
          platform::http_object_store_options{.server = this->configured_settings.platform.object_store,
              .call_timeout = this->configured_settings.platform.timeout}},
      members{std::make_shared<cluster::membership_service>(
          context, clock, membership_options(this->configured_settings.membership))},
      peer_connections{context, *this->members,
          wire::hello{.node = this->configured_settings.node.name,
              .availability_zone = this->configured_settings.node.availability_zone}},
      known_upstreams{configured_upstreams(this->configured_settings)},
      owner_assignments{
          std::make_shared<ownership_service>(context, clock, ownership_options(this->configured_settings.ownership),
              this->objects, *this->members, this->known_upstreams, this->peer_connections)},
      config_objects{std::make_shared<config_service>(context, clock, this->objects, *this->members,
          this->peer_connections, this->configured_settings.node.availability_zone)},
      load_scheduling{std::make_shared<load_permit_service>(context, clock,
          load_options(this->configured_settings.policy), this->configured_settings.platform.weight_store,
          *this->members, *this->owner_assignments, this->peer_connections)},
      quarantine{quarantine_options(this->configured_settings.policy), *this->members, this->peer_connections},
      active_rules{clock},
      routing{
          router_options(this->configured_settings.policy), clock, this->configured_settings.node.availability_zone},
      local_owners{context, this->peer_connections},
      claimant_liveness{std::make_unique<membership_liveness>(*this->members)},
      idempotency_journal{context.get_executor(), this->objects, clock,
          journal_options(this->configured_settings.journal), this->claimant_liveness.get()},
      request_handler{caller_handler_context{.clock = clock,
                          .owners = this->local_owners,
                          .ownership = *this->owner_assignments,
                          .routes = this->routing,
                          .rules = this->active_rules,
                          .catalogue = this->known_adapters,
                          .quarantine = this->quarantine,
                          .journal = &this->idempotency_journal,
                          .membership = *this->members,
                          .observer = observer},
          caller_options(this->configured_settings, this->boot_id)},
      caller_server{context, this->request_handler, caller_server_options(this->configured_settings.caller_api)},
      message_handler{std::make_unique<peer_message_handler>(*this)} {
    if(this->configured_settings.platform.vm_list.port != 0u) {
        this->vm_list_client = std::make_unique<platform::http_vm_list>(
            this->http_client, platform::http_vm_list_options{.server = this->configured_settings.platform.vm_list,
                                   .call_timeout = this->configured_settings.platform.timeout});
    }
}

node::~node() = default;

core::result<node_ports> node::start() {
    const auto datagrams = this->members->bind(this->configured_settings.membership.listen);
    if(!datagrams) {
        return tl::make_unexpected(datagrams.error());
    }
    this->peer_listener = std::make_unique<wire::peer_server>(this->context, *this->message_handler,
        this->configured_settings.peer.listen,
        wire::hello{.node = this->configured_settings.node.name,
            .availability_zone = this->configured_settings.node.availability_zone});
    if(const auto started = this->peer_listener->start(); !started) {
        return tl::make_unexpected(started.error());
    }
    if(const auto started = this->caller_server.start(); !started) {
        return tl::make_unexpected(started.error());
    }

    this->config_objects->on_applied([this](const platform::config_document& document) {
        if(document.name == "rules") {
            this->active_rules.apply(document);
        } else {
            this->known_adapters.apply(document);
        }
    });
    this->members->on_item([this](const fleet::gossip_item& item) {
        this->config_objects->merge(item);
        this->quarantine.merge(item);
    });
    this->members->on_member_change([this](const fleet::member_change& change) {
        LOG(INFO) << "event=member_changed node=" << change.member.info.name
                  << " state=" << fleet::to_string(change.member.state);
        this->observer.on_event(
            "member_changed", change.member.info.name, std::string{fleet::to_string(change.member.state)});
        if(!change.member.is_live() || change.restarted) {
            this->peer_connections.end_connection(change);
            this->load_scheduling->remove_node(change.member.info.name);
            this->config_objects->forget_node(change.member.info.name);
        }
    });
    this->known_upstreams.on_change([this] { this->routing.update(*this->known_upstreams.all()); });
    this->routing.update(*this->known_upstreams.all());

    this->members->start(
        fleet::member_info{.name = this->configured_settings.node.name,
            .availability_zone = this->configured_settings.node.availability_zone,
            .udp = *datagrams,
            .tcp = {.address = this->configured_settings.peer.listen.address, .port = this->peer_listener->port()},
            .boot_id = this->boot_id},
        this->configured_settings.seeds);
    this->owner_assignments->start();
    this->config_objects->start();
    this->load_scheduling->start();
    const auto spawn = [this](asio::awaitable<void> (node::*task)()) {
        asio::co_spawn(
            asio::make_strand(this->context), [this, task]() -> asio::awaitable<void> { co_await (this->*task)(); },
            core::task_end{"node_loop"});
    };
    spawn(&node::run_maintenance);
    if(this->vm_list_client) {
        spawn(&node::run_vm_list_refresh);
    }
    return node_ports{
        .caller_api = this->caller_server.port(), .peer = this->peer_listener->port(), .membership = datagrams->port};
}

asio::awaitable<bool> node::stop() {
    const auto deadline = this->clock.now() + this->configured_settings.stop_timeout;
    LOG(INFO) << "event=stop_started node=" << this->configured_settings.node.name;
    this->request_handler.set_draining();
    this->members->announce_leaving();
    this->owner_assignments->release_all();
    co_await sleep_for(drain_notice_period);
    this->caller_server.stop_accepting();
    while(this->clock.now() < deadline && (this->has_requests_in_flight() || !this->owner_assignments->released())) {
        co_await sleep_for(stop_poll_interval);
    }
    // From here to the exit, no request may be read any more: it would be sent to an upstream and then be cut off.
    this->caller_server.close_idle_connections();
    co_await sleep_for(stop_poll_interval);
    while(this->clock.now() < deadline && this->has_requests_in_flight()) {
        co_await sleep_for(stop_poll_interval);
    }
    const bool complete = !this->has_requests_in_flight();
    this->stopping = true;
    this->idempotency_journal.stop();
    this->owner_assignments->stop();
    this->config_objects->stop();
    this->load_scheduling->stop();
    this->members->stop();
    co_await sleep_for(stop_poll_interval);
    this->caller_server.close();
    this->peer_listener->close();
    LOG(INFO) << "event=stop_finished complete=" << complete;
    co_return complete;
}

bool node::has_requests_in_flight() const {
    if(this->caller_server.active_requests() > 0u) {
        return true;
    }
    for(const auto& [name, owner] : this->local_owners.all()) {
        if(!owner->is_idle()) {
            return true;
        }
    }
    const std::lock_guard lock{this->retiring_owners_mutex};
    return std::any_of(this->retiring_owners.begin(), this->retiring_owners.end(),
        [](const auto& owner) { return !owner->is_idle(); });
}

asio::awaitable<void> node::run_maintenance() {
    core::time_point next_connection_check{};
    while(!this->stopping.load()) {
        this->reconcile_owners();
        if(this->clock.now() >= next_connection_check) {
            this->http_client.close_stale_connections();
            next_connection_check = this->clock.now() + stale_connection_interval;
        }
        this->request_handler.set_ready(
            this->members->joined() && this->config_objects->ready() && this->caller_server.is_accepting());
        co_await sleep_for(maintenance_interval);
    }
}

asio::awaitable<void> node::run_vm_list_refresh() {
    while(!this->stopping.load()) {
        const auto snapshot = co_await this->vm_list_client->read();
        if(snapshot) {
            this->apply_vm_list(*snapshot);
        }
        co_await sleep_for(this->configured_settings.platform.vm_list_refresh);
    }
}

nlohmann::json node::dump() const {
    nlohmann::json state = nlohmann::json::object();
    state["node"] = this->configured_settings.node.name;
    state["availability_zone"] = this->configured_settings.node.availability_zone;
    state["boot_id"] = this->boot_id;
    state["version"] = LAGOONSADDLE_VERSION;
    state["ready"] = this->ready();
    state["stopping"] = this->stopping.load();
    state["active_requests"] = this->caller_server.active_requests();
    state["object_api_down"] = this->owner_assignments->object_api_down();
    state["rules_version"] = this->active_rules.active_version();
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
    const auto upstreams = this->known_upstreams.all();
    for(const auto& [name, description] : *upstreams) {
        nlohmann::json entry = nlohmann::json::object();
        entry["availability_zone"] = description.availability_zone;
        entry["endpoint"] = core::to_string(description.endpoint);
        entry["leaving"] = description.leaving;
        if(const auto owner = this->owner_assignments->owner(name); owner.has_value()) {
            entry["owner"] = owner->owner.name;
            entry["fencing_token"] = owner->fencing_token;
        }
        state["ownership"][name] = std::move(entry);
    }
    state["owned"] = nlohmann::json::array();
    for(const auto& [name, owner] : this->local_owners.all()) {
        state["owned"].push_back(owner->state_json());
    }
    state["config"] = nlohmann::json::object();
    for(const auto& version : this->config_objects->applied_versions()) {
        state["config"][version.name] = version.version;
    }
    state["catalogue"] = this->known_adapters.adapter_counts();
    state["loads_waiting"] = this->load_scheduling->ranked_loads().size();
    state["quarantine"] = nlohmann::json::array();
    for(const auto& record : this->quarantine.records()) {
        nlohmann::json entry = nlohmann::json::object();
        entry["digest"] = record.digest;
        entry["crashes"] = record.crashes.size();
        entry["until_unix_ms"] = record.suspect_until.count();
        state["quarantine"].push_back(std::move(entry));
    }
    const auto counts = this->idempotency_journal.counters();
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
