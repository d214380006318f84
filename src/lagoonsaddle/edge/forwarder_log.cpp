// Log lines and metrics of forwarded requests.
#include <algorithm>
#include <chrono>
#include <span>
#include <string>
#include <string_view>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

using internal::to_ms;

namespace {

constexpr double percent{100.0};

/*! @brief Returns how the end of an upstream's response is marked. */
[[nodiscard]] std::string_view framing_name(bool close_delimited) noexcept {
    return close_delimited ? "close_delimited" : "delimited";
}

/*! @brief Joins texts with commas. */
[[nodiscard]] std::string join(std::span<const std::string> values) {
    std::string result{};
    for(const auto& value : values) {
        result += (result.empty() ? "" : ",") + value;
    }
    return result;
}

} // namespace

void forwarder::log_placement(
    const exchange_state& state, const selection& choice, const placement_result& placed, core::duration duration) {
    log_line line{placed ? "placed" : "load"};
    line.add("id", state.metadata.id)
        .add("upstream", placed ? placed->upstream : placed.error().upstream)
        .add("holder", placed ? placed->holder : std::string{})
        .add("resident", choice.resident ? 1 : 0)
        .add("cost_ms", static_cast<std::int64_t>(choice.cost_ms))
        .add("version_min", static_cast<std::int64_t>(this->oldest_allowed_version(state)))
        .add("outcome", placed ? std::string_view{"ready"} : core::to_string(placed.error().failure.cause))
        .add("ms", to_ms(duration).count());
    if(!placed) {
        line.add("message", placed.error().failure.message);
    }
    this->context.log.write(line);
}

void forwarder::log_send(const exchange_state& state, const std::string& upstream) {
    const auto* known = this->context.upstreams.find(upstream);
    log_line line{"sent"};
    line.add("id", state.metadata.id)
        .add("upstream", upstream)
        .add("attempt", static_cast<std::int64_t>(state.sends))
        .add("config", static_cast<std::int64_t>(state.config ? state.config->version : 0u))
        .add("via", state.relayed ? state.relayed->peer() : std::string{})
        .add("left_ms", to_ms(state.deadline - this->context.clock.now()).count());
    if(known != nullptr) {
        const auto share = known->health.failure_ratio(this->context.clock.now());
        line.add("in_flight", static_cast<std::int64_t>(known->in_flight))
            .add("failure_percent", static_cast<std::int64_t>(share * percent))
            .add("software_version", known->entry.software_version);
    }
    if(state.splitter.last_id()) {
        line.add("resume_after", static_cast<std::int64_t>(*state.splitter.last_id()));
    }
    this->context.log.write(line);
}

void forwarder::log_attempt(const exchange_state& state, const std::string& upstream, std::string_view result,
    core::verdict verdict, std::string_view message) {
    const auto now = this->context.clock.now();
    const auto unreachable = std::ranges::count_if(
        this->context.upstreams.all(), [now](const auto& entry) { return entry.second.health.unreachable(now); });
    this->context.log.write(log_line{"attempt"}
                                .add("id", state.metadata.id)
                                .add("upstream", upstream)
                                .add("attempt", static_cast<std::int64_t>(state.sends))
                                .add("result", result)
                                .add("verdict", core::to_string(verdict))
                                .add("answered", state.head_sent ? 1 : 0)
                                .add("events", static_cast<std::int64_t>(state.splitter.event_count()))
                                .add("framing", framing_name(state.close_delimited))
                                .add("parts", join(state.metadata.shared_parts))
                                .add("unreachable", static_cast<std::int64_t>(unreachable))
                                .add("message", message));
}

void forwarder::log_completion(const exchange_state& state) {
    const auto now = this->context.clock.now();
    const auto route_name = state.matched_route != nullptr ? state.matched_route->name : std::string{};
    log_line line{"request"};
    line.add("id", state.metadata.id)
        .add("route", route_name)
        .add("config", static_cast<std::int64_t>(state.config ? state.config->version : 0u))
        .add("service", state.service)
        .add("adapter", state.metadata.adapter)
        .add("tenant", state.sender != nullptr ? state.sender->name : std::string{})
        .add("path", state.attempt_trace)
        .add("status", static_cast<std::int64_t>(state.status))
        .add("outcome", state.outcome)
        .add("verdict", core::to_string(state.verdict))
        .add("ms", to_ms(now - state.received_at).count());
    if(state.first_event_at) {
        line.add("first_ms", to_ms(*state.first_event_at - state.received_at).count())
            .add("gap_ms", to_ms(state.event_gap_max).count())
            .add("events", static_cast<std::int64_t>(state.splitter.event_count()))
            .add("framing", framing_name(state.close_delimited));
    }
    if(!state.metadata.resumed_request.empty()) {
        line.add("resumes", state.metadata.resumed_request)
            .add("resume_after", static_cast<std::int64_t>(state.metadata.last_event_id.value_or(0u)));
    }
    if(state.outcome != "served") {
        line.add("reason", core::to_string(state.last_failure.cause)).add("message", state.last_failure.message);
    }
    this->context.log.write(line);
    this->context.metrics
        .counter("lagoonsaddle_edge_requests_total", "Requests of callers by outcome.",
            {{"service", state.service}, {"outcome", state.outcome}})
        .add();
    this->context.metrics
        .summary("lagoonsaddle_edge_request_seconds", "Time from the request to the end of its answer.",
            {{"service", state.service}, {"outcome", state.outcome}})
        .record(std::chrono::duration<double>{now - state.received_at}.count());
}

} // namespace lagoonsaddle::edge
