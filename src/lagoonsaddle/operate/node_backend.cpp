#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/operate/node_backend.hpp>
#include <lagoonsaddle/rules/codec.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::operate {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view rules_config_name{"rules"};
constexpr milliseconds explain_timeout{1'000};
// A save can return while the node still compiles the saved version, which its configuration watch received first.
constexpr milliseconds apply_timeout{1'000};
constexpr milliseconds apply_poll_interval{5};
constexpr double milliseconds_per_second{1'000.};

[[nodiscard]] double to_milliseconds(core::duration value) {
    return std::chrono::duration<double, std::milli>{value}.count();
}

[[nodiscard]] std::string format_target(const gateway::caller_request& request) {
    if(!request.service.empty()) {
        return request.service;
    }
    const auto name = request.base_model + "/" + request.adapter;
    return request.channel.empty() ? name + "@" + request.version : name + ":" + request.channel;
}

[[nodiscard]] std::string exclusion_name(policy::exclusion_reason cause) {
    switch(cause) {
    case policy::exclusion_reason::leaving:
        return "leaving";
    case policy::exclusion_reason::unhealthy:
        return "unhealthy";
    case policy::exclusion_reason::excluded:
        return "tried before";
    case policy::exclusion_reason::busy:
        return "busy";
    }
    return "unknown";
}

void add_evaluated_upstreams(explain_record& record, const gateway::attempt_record& attempt) {
    for(const auto& candidate : attempt.route.candidates) {
        const bool chosen = candidate.upstream == attempt.upstream;
        record.upstreams.push_back(evaluated_upstream{.upstream = candidate.upstream,
            .owner = chosen ? attempt.owner : std::string{},
            .cost = candidate.cost.total(),
            .parts = {{"queue_wait_ms", candidate.cost.queue_wait}, {"load_stall_ms", candidate.cost.load_stall},
                {"zone_transfer_ms", candidate.cost.zone_transfer}, {"no_slot_ms", candidate.cost.no_slot},
                {"eviction_ms", candidate.cost.eviction}, {"away_ms", candidate.cost.non_preferred},
                {"batch_gain_ms", candidate.cost.batch_gain}, {"prefix_hint_ms", candidate.cost.prefix_hint}},
            .chosen = chosen});
    }
    for(const auto& [name, cause] : attempt.route.excluded) {
        record.upstreams.push_back(evaluated_upstream{.upstream = name, .excluded = exclusion_name(cause)});
    }
}

[[nodiscard]] milliseconds from_microseconds(std::uint64_t value) {
    return std::chrono::duration_cast<milliseconds>(std::chrono::microseconds{value});
}

/*! @brief Waits until the node has applied a version of the rules, for at most `apply_timeout`. */
[[nodiscard]] asio::awaitable<void> wait_until_applied(gateway::node& node, std::uint64_t version) {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    const auto end = std::chrono::steady_clock::now() + apply_timeout;
    while(node.rules().active_version() < version && std::chrono::steady_clock::now() < end) {
        timer.expires_after(apply_poll_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace

node_recorder::node_recorder(const core::clock& clock, std::string node) : name{std::move(node)}, registry{clock} {}

void node_recorder::on_request_finished(const gateway::request_record& record) {
    this->update_request_metrics(record);
    explain_record entry{.request_id = record.request.request_id,
        .time = record.received_at,
        .node = this->name,
        .caller = record.request.caller,
        .target = format_target(record.request),
        .rule = record.rule,
        .decision =
            record.rule.empty() ? "allow: no rule matched" : "rules version " + std::to_string(record.rules_version),
        .verdict = record.verdict,
        .status = record.status,
        .message = record.failure ? record.failure->message : (record.replayed ? "first outcome repeated" : "")};
    for(const auto& attempt : record.attempts) {
        add_evaluated_upstreams(entry, attempt);
        entry.attempts.push_back(explain_attempt{.upstream = attempt.upstream,
            .owner = attempt.owner,
            .verdict = attempt.verdict,
            .reason = attempt.failure ? std::string{core::to_string(attempt.failure->cause)} : std::string{},
            .duration = from_microseconds(attempt.timings.queue_wait_us + attempt.timings.upstream_us)});
        entry.waits.push_back(
            explain_wait{.name = "queue", .duration = from_microseconds(attempt.timings.queue_wait_us)});
        if(attempt.timings.load_stall_us > 0u) {
            entry.load = explain_load{.adapter_version = record.request.adapter + "@" + record.request.version,
                .upstream = attempt.upstream,
                .duration = from_microseconds(attempt.timings.load_stall_us)};
        }
    }
    this->explain_records.put(std::move(entry));
}

void node_recorder::update_request_metrics(const gateway::request_record& record) {
    const std::string cause{record.failure ? core::to_string(record.failure->cause) : std::string_view{"ok"}};
    this->registry
        .counter("lagoonsaddle_requests_total", "Requests of callers by verdict and reason.",
            {{"verdict", std::string{core::to_string(record.verdict)}}, {"reason", cause}})
        .add();
    this->registry.summary("lagoonsaddle_request_milliseconds", "Time from the arrival of a request to its end.")
        .record(to_milliseconds(record.total_time));
    if(record.time_to_first_token) {
        this->registry.summary("lagoonsaddle_first_token_milliseconds", "Time to the first token or byte.")
            .record(to_milliseconds(*record.time_to_first_token));
    }
    if(record.attempts.size() > 1u) {
        this->registry.counter("lagoonsaddle_retries_total", "Attempts after the first one.")
            .add(record.attempts.size() - 1u);
    }
    if(record.attempts.empty() || record.failure) {
        return;
    }
    const auto& times = record.attempts.back().timings;
    this->registry.summary("lagoonsaddle_queue_wait_milliseconds", "Wait in the queue of the upstream's owner.")
        .record(static_cast<double>(times.queue_wait_us) / milliseconds_per_second);
    this->registry.summary("lagoonsaddle_load_stall_milliseconds", "Wait for the adapter's load; 0 when resident.")
        .record(static_cast<double>(times.load_stall_us) / milliseconds_per_second);
}

void node_recorder::on_event(std::string kind, std::string subject, std::string reason) {
    this->registry.counter("lagoonsaddle_events_total", "Events of the node by kind.", {{"kind", kind}}).add();
    this->event_history.add(std::move(kind), std::move(subject), std::move(reason), core::unix_time());
}

std::string node_recorder::find_record(const std::string& request_id) const {
    const auto found = this->explain_records.find(request_id);
    return found.empty() ? std::string{} : encode(found.front()).dump();
}

node_backend::node_backend(gateway::node& node, node_recorder& recorder) : node{node}, recorder{recorder} {}

nlohmann::json node_backend::status() const {
    nlohmann::json state = nlohmann::json::object();
    const auto& identity = this->node.node_settings().node;
    state["node"] = identity.name;
    state["availability_zone"] = identity.availability_zone;
    state["version"] = LAGOONSADDLE_VERSION;
    state["ready"] = this->node.ready();
    state["live_nodes"] = this->live_nodes();
    state["upstreams"] = this->node.upstreams().all()->size();
    state["owned_upstreams"] = this->node.owned_upstreams().all().size();
    state["rules_version"] = this->node.rules().active_version();
    state["object_api_down"] = this->node.ownership().object_api_down();
    return state;
}

nlohmann::json node_backend::nodes() const {
    auto list = nlohmann::json::array();
    const auto members = this->node.membership().members();
    for(const auto& member : *members) {
        nlohmann::json entry = nlohmann::json::object();
        entry["name"] = member.info.name;
        entry["availability_zone"] = member.info.availability_zone;
        entry["state"] = fleet::to_string(member.state);
        entry["address"] = core::to_string(member.info.tcp);
        list.push_back(std::move(entry));
    }
    return list;
}

nlohmann::json node_backend::upstreams() const {
    auto list = nlohmann::json::array();
    std::map<std::string, wire::upstream_report> reports{};
    for(auto& report : this->node.routes().reports()) {
        auto name = report.upstream;
        reports.emplace(std::move(name), std::move(report));
    }
    const auto known_upstreams = this->node.upstreams().all();
    for(const auto& [name, description] : *known_upstreams) {
        nlohmann::json entry = nlohmann::json::object();
        entry["name"] = name;
        entry["availability_zone"] = description.availability_zone;
        entry["service"] = description.service;
        entry["base_model"] = description.base_model;
        entry["checks_fencing_token"] = description.checks_fencing_token;
        if(const auto owner = this->node.ownership().owner(name); owner.has_value()) {
            entry["owner"] = owner->owner.name;
            entry["fencing_token"] = owner->fencing_token;
        }
        if(const auto found = reports.find(name); found != reports.end()) {
            entry["healthy"] = found->second.healthy;
            entry["leaving"] = found->second.leaving;
            entry["queued"] = found->second.queued;
            entry["running"] = found->second.running;
            entry["batch_fill"] = found->second.batch_fill;
            entry["resident"] = found->second.resident;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

nlohmann::json node_backend::adapters() const {
    std::map<std::string, std::vector<std::string>> upstreams_by_adapter{};
    for(const auto& report : this->node.routes().reports()) {
        for(const auto& adapter : report.resident) {
            upstreams_by_adapter[adapter].push_back(report.upstream);
        }
    }
    auto list = nlohmann::json::array();
    for(auto& [adapter, upstreams] : upstreams_by_adapter) {
        nlohmann::json entry = nlohmann::json::object();
        entry["adapter"] = adapter;
        entry["upstreams"] = std::move(upstreams);
        list.push_back(std::move(entry));
    }
    return list;
}

rules_state node_backend::current_rules() const {
    rules_state state{};
    state.version = this->node.rules().active_version();
    state.set = this->node.rules().active_rules()->source_rules();
    if(const auto object = this->node.config().find(rules_config_name); object.has_value()) {
        const platform::object stored{
            .name = platform::config_object_name(rules_config_name), .body = object->body, .version = object->version};
        if(const auto document = platform::decode_config(stored); document.has_value()) {
            state.changed_by = document->current.author;
            state.changed_at = document->current.changed_at;
        }
    }
    for(const auto& [version, count] : this->node.config().count_nodes_by_version(rules_config_name)) {
        if(version >= state.version) {
            state.nodes_in_force += count;
        }
    }
    state.nodes = this->live_nodes();
    if(state.version == 0u) {
        // Without a rules object, every node has the empty rule set in force.
        state.nodes_in_force = state.nodes;
    }
    return state;
}

rules::rule_hits node_backend::hits(const std::string& rule) const {
    return this->node.rules().hits().hits(rule);
}

std::vector<rules::request_attributes> node_backend::recent_requests() const {
    return this->node.rules().recent_requests().snapshot();
}

asio::awaitable<core::result<rules_state>> node_backend::save_rules(rules_change change) {
    platform::config_change config_change{.name = std::string{rules_config_name},
        .value = rules::encode(change.set).dump(),
        .expected = change.expected_version,
        .author = std::move(change.author),
        .changed_at = core::unix_time()};
    const auto saved = co_await this->node.config().save(std::move(config_change));
    if(!saved) {
        co_return tl::make_unexpected(saved.error().error);
    }
    co_await wait_until_applied(this->node, *saved);
    co_return this->current_rules();
}

asio::awaitable<core::result<rules_state>> node_backend::undo_rules(
    std::uint64_t expected_version, std::string author) {
    const auto object = this->node.config().find(rules_config_name);
    if(!object) {
        co_return core::fail(core::reason::not_found, "there are no rules to undo");
    }
    const platform::object stored{
        .name = platform::config_object_name(rules_config_name), .body = object->body, .version = object->version};
    const auto document = platform::decode_config(stored);
    if(!document || document->history.empty()) {
        co_return core::fail(core::reason::not_found, "there is no earlier version of the rules");
    }
    platform::config_change config_change{.name = std::string{rules_config_name},
        .expected = expected_version,
        .author = std::move(author),
        .changed_at = core::unix_time()};
    const auto saved = co_await this->node.config().undo(std::move(config_change), document->history.front().version);
    if(!saved) {
        co_return tl::make_unexpected(saved.error().error);
    }
    co_await wait_until_applied(this->node, *saved);
    co_return this->current_rules();
}

asio::awaitable<core::result<nlohmann::json>> node_backend::explain(std::string request_id) {
    auto list = nlohmann::json::array();
    for(const auto& record : this->recorder.records().find(request_id)) {
        list.push_back(encode(record));
    }
    if(!list.empty()) {
        co_return list;
    }
    const auto body = wire::pack(wire::explain_get{.request_id = request_id});
    for(const auto& peer : this->node.peers().live_peers()) {
        const auto answer = co_await peer->call(wire::message_type::explain_get, body, explain_timeout);
        if(!answer) {
            continue;
        }
        const auto reply = wire::unpack<wire::explain_reply>(answer->body);
        if(!reply || reply->record.empty()) {
            continue;
        }
        if(auto record = http::parse_json(reply->record); record.has_value()) {
            list.push_back(std::move(*record));
            co_return list;
        }
    }
    co_return core::fail(core::reason::not_found, "no node has a record of request " + request_id);
}

nlohmann::json node_backend::events(std::uint64_t after, std::size_t limit) const {
    auto list = nlohmann::json::array();
    for(const auto& event : this->recorder.events().events_after(after, limit)) {
        list.push_back(encode(event));
    }
    return list;
}

nlohmann::json node_backend::dump() const {
    return this->node.dump();
}

std::string node_backend::metrics() const {
    this->update_gauges();
    return this->recorder.metrics().to_prometheus_text();
}

bool node_backend::healthy() const {
    return true;
}

std::vector<std::string> node_backend::not_ready_reasons() const {
    if(this->node.ready()) {
        return {};
    }
    std::vector<std::string> reasons{};
    if(!this->node.membership().joined()) {
        reasons.emplace_back("no seed has answered yet");
    }
    if(!this->node.config().ready()) {
        reasons.emplace_back("the configuration has not been read yet");
    }
    if(reasons.empty()) {
        reasons.emplace_back("the node is stopping");
    }
    return reasons;
}

std::size_t node_backend::live_nodes() const {
    const auto members = this->node.membership().members();
    return static_cast<std::size_t>(
        std::count_if(members->begin(), members->end(), [](const fleet::member& member) { return member.is_live(); }));
}

void node_backend::update_gauges() const {
    auto& registry = this->recorder.metrics();
    registry.gauge("lagoonsaddle_live_nodes", "Live nodes as known to this node.")
        .set(static_cast<double>(this->live_nodes()));
    registry.gauge("lagoonsaddle_rules_version", "Version of the rules in force.")
        .set(static_cast<double>(this->node.rules().active_version()));
    registry.gauge("lagoonsaddle_object_api_down", "1 when the object API has not answered for a whole lease.")
        .set(this->node.ownership().object_api_down() ? 1. : 0.);
    for(const auto& [name, owner] : this->node.owned_upstreams().all()) {
        const auto counts = owner->counters();
        const metric_labels labels{{"upstream", name}};
        const auto set = [&registry, &labels](const char* metric, const char* help, std::uint64_t value) {
            registry.gauge(metric, help, labels).set(static_cast<double>(value));
        };
        set("lagoonsaddle_upstream_completed", "Requests completed since this node owns the upstream.",
            counts.completed);
        set("lagoonsaddle_upstream_failed", "Requests failed since this node owns the upstream.", counts.failed);
        set("lagoonsaddle_upstream_loads", "Adapter loads since this node owns the upstream.", counts.loads);
        set("lagoonsaddle_upstream_evictions", "Evictions since this node owns the upstream.", counts.evictions);
        set("lagoonsaddle_upstream_load_failures", "Failed loads since this node owns the upstream.",
            counts.load_failures);
        set("lagoonsaddle_upstream_crashes", "Crashes since this node owns the upstream.", counts.crashes);
    }
    for(const auto& report : this->node.routes().reports()) {
        registry
            .gauge("lagoonsaddle_batch_fill", "Mean batch fill of the engine steps.", {{"upstream", report.upstream}})
            .set(report.batch_fill);
    }
}

} // namespace lagoonsaddle::operate
