// What an entry node tells of itself: metrics and state.
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/internal_entry_node.hpp>
#include <lagoonsaddle/edge/process_metrics.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::edge {

std::string entry_node::impl::metrics_text() {
    const auto now = this->context.clock.now();
    const auto gauge = [this](std::string_view name, std::string_view help, double value) {
        this->metrics.gauge(name, help).set(value);
    };
    gauge("lagoonsaddle_edge_configuration_version", "Version of the configuration in force.",
        static_cast<double>(this->routes.version()));
    gauge("lagoonsaddle_edge_configuration_announced", "Newest version of the configuration that a peer has announced.",
        static_cast<double>(this->configuration_updates->announced()));
    if(this->confirmations->in_force()) {
        const std::chrono::duration<double> age{this->confirmation.age(now).value_or(now - this->started)};
        gauge("lagoonsaddle_edge_confirmation_age_seconds",
            "Time since the configuration was known to be the newest one, or since the start.", age.count());
    }
    gauge("lagoonsaddle_edge_store_epoch", "Epoch of the platform's store; rises when it is restored from a copy.",
        static_cast<double>(this->store.epoch()));
    gauge("lagoonsaddle_edge_upstreams", "Known upstreams.", static_cast<double>(this->upstreams.all().size()));
    gauge("lagoonsaddle_edge_active_requests", "Requests of callers in progress.",
        static_cast<double>(this->caller_server.active_requests()));
    gauge("lagoonsaddle_edge_upstream_connections_made", "Connections made to upstreams since the start.",
        static_cast<double>(this->context.client.connections_made()));
    const auto usage = read_process_usage();
    gauge("lagoonsaddle_edge_processor_seconds", "Processor time since the start.", usage.processor_seconds);
    gauge("lagoonsaddle_edge_resident_bytes", "Resident memory.", usage.resident_bytes);
    gauge("lagoonsaddle_edge_prompt_parts_recorded",
        "Prompt parts that were in flight in a crash of an upstream, including cleared ones.",
        static_cast<double>(this->prompt_parts.record_count()));
    gauge("lagoonsaddle_edge_stream_origins", "Streams that may be resumed and whose origin this node knows.",
        static_cast<double>(this->origins.record_count()));
    gauge("lagoonsaddle_edge_reservations", "Requests that this node has placed for all nodes.",
        static_cast<double>(this->dispatch->reservation_count()));
    gauge("lagoonsaddle_edge_partitioned", "1 while this node is partitioned from its upstreams.",
        this->paths->partitioned() ? 1.0 : 0.0);
    gauge("lagoonsaddle_edge_relayed_connections", "Connections to upstreams that this node relays for peers.",
        static_cast<double>(this->relay_server.active_connections()));
    gauge("lagoonsaddle_edge_leases_held", "Availability zones whose loads this node orders.",
        static_cast<double>(this->placement->leases_held()));
    this->set_load_metrics();
    for(const auto& watcher : this->watchers) {
        const auto last_success = watcher->last_success();
        const std::chrono::duration<double> age{now - last_success.value_or(this->started)};
        this->metrics
            .gauge("lagoonsaddle_edge_store_age_seconds", "Time since the store last answered, by kind of record.",
                {{"kind", std::string{to_string(watcher->kind())}}})
            .set(age.count());
    }
    gauge("lagoonsaddle_edge_request_body_bytes", "Request bodies that this node holds.",
        static_cast<double>(this->request_memory->reserved()));
    gauge("lagoonsaddle_edge_response_body_bytes",
        "Response bodies that this node holds because they are not streamed.",
        static_cast<double>(this->response_memory.reserved()));
    gauge("lagoonsaddle_edge_failed_tasks", "Tasks that an exception has ended since the start.",
        static_cast<double>(core::failed_tasks()));
    gauge("lagoonsaddle_edge_log_lines_dropped", "Log lines dropped since the start.",
        static_cast<double>(this->context.log.dropped()));
    return this->metrics.to_prometheus_text() + format_upstream_metrics(this->upstreams, now);
}

namespace {

[[nodiscard]] nlohmann::json to_json(const quota_state& state) {
    nlohmann::json value{
        {"tenant", state.tenant}, {"balance", state.balance}, {"waiting", state.waiting}, {"limited", state.limited}};
    if(state.level) {
        value["level"] = *state.level;
    }
    return value;
}

} // namespace

void entry_node::impl::log_speed_changes() {
    constexpr double percent{100.0};
    for(const auto& change : this->speeds.update(this->upstreams, this->context.clock.now())) {
        this->log.write(log_line{"upstream_speed"}
                            .add("upstream", change.upstream)
                            .add("service", change.service)
                            .add("outcome", change.unusual ? "unusual" : "usual")
                            .add("slowness_percent", static_cast<std::int64_t>(change.factor * percent)));
    }
}

void entry_node::impl::set_load_metrics() {
    for(const auto& [zone, state] : this->placement->load_states()) {
        const auto gauge = [this, &zone](std::string_view name, std::string_view help, std::size_t value) {
            this->metrics.gauge(name, help, {{"zone", zone}}).set(static_cast<double>(value));
        };
        gauge("lagoonsaddle_edge_load_window", "Loads that may be in progress in an availability zone.", state.window);
        gauge("lagoonsaddle_edge_loads_in_progress", "Loads in progress in an availability zone.",
            state.loads_in_progress);
        gauge("lagoonsaddle_edge_loads_waiting", "Adapters that wait for a load.", state.loads_waiting);
        gauge("lagoonsaddle_edge_loads_delayed", "Adapters whose load only the window delays.", state.loads_delayed);
        gauge("lagoonsaddle_edge_load_requests_waiting", "Requests that wait for a load.", state.requests_waiting);
        for(std::size_t index{}; index < load_refusal_reason_count; ++index) {
            const auto reason = to_string(static_cast<load_refusal_reason>(index));
            this->metrics
                .gauge("lagoonsaddle_edge_load_refusals",
                    "Requests refused since the start because their adapter could not be loaded in time.",
                    {{"zone", zone}, {"reason", std::string{reason}}})
                .set(static_cast<double>(state.refusals[index]));
        }
    }
}

std::string entry_node::impl::state_json() const {
    auto loads = nlohmann::json::object();
    for(const auto& [zone, state] : this->placement->load_states()) {
        loads[zone] = {{"window", state.window}, {"in_progress", state.loads_in_progress},
            {"waiting", state.loads_waiting}, {"delayed", state.loads_delayed}, {"requests", state.requests_waiting},
            {"load_ms", std::chrono::duration_cast<std::chrono::milliseconds>(state.load_duration).count()}};
    }
    auto quotas = nlohmann::json::array();
    for(const auto& entry : this->quotas->states()) {
        quotas.push_back(to_json(entry));
    }
    nlohmann::json state{{"node", this->settings.name}, {"ready", this->ready()},
        {"configuration_version", this->routes.version()},
        {"upstreams", upstream_states(this->upstreams, this->context.clock.now())},
        {"active_requests", this->caller_server.active_requests()}, {"loads", std::move(loads)},
        {"quotas", std::move(quotas)}};
    if(this->confirmations->in_force()) {
        const auto now = this->context.clock.now();
        const auto age = this->confirmation.age(now);
        const auto& latest = this->confirmation.latest();
        state["confirmation"] = {{"permits", this->confirmation.permits(now)},
            {"age_ms", age ? std::chrono::ceil<std::chrono::milliseconds>(*age).count() : -1},
            {"reader", latest ? latest->reader : std::string{}},
            {"refusals", this->request_forwarder.unconfirmed_refusals()}};
    }
    return state.dump();
}

} // namespace lagoonsaddle::edge
