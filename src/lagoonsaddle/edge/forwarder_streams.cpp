// Keeps a stream that is resumed at the software version that began it.
#include <algorithm>
#include <optional>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time beyond the deadline of a request in which its caller may still resume the stream. */
constexpr milliseconds resume_margin{1'000};

} // namespace

bool forwarder::is_resumed(const exchange_state& state) {
    const bool resumable = state.matched_route->retry == retry_mode::resumable;
    return resumable && (state.metadata.last_event_id || !state.metadata.resumed_request.empty());
}

asio::awaitable<std::optional<core::error>> forwarder::bind_to_origin(exchange_state& state) {
    auto request = state.metadata.resumed_request;
    auto service = state.service;
    const auto origin = co_await this->context.origins.resolve(std::move(request), std::move(service));
    if(!origin) {
        co_return core::error{.cause = core::reason::unavailable,
            .verdict = state.verdict,
            .message = "the software version that began the stream is not known"};
    }
    const auto& services = state.matched_route->services;
    if(std::ranges::find(services, origin->service, &weighted_service::name) == services.end()) {
        co_return core::error{.cause = core::reason::unavailable,
            .verdict = state.verdict,
            .message = "the route no longer leads to the service that began the stream"};
    }
    state.service = origin->service;
    state.stream_version = origin->software_version;
    co_return std::nullopt;
}

void forwarder::record_origin(exchange_state& state) {
    if(state.matched_route->retry != retry_mode::resumable) {
        return;
    }
    if(!state.stream_version) {
        state.stream_version = state.sent_version;
    }
    const auto& resumed = state.metadata.resumed_request;
    const auto deadline =
        state.received_at + state.metadata.deadline.value_or(internal::to_ms(state.deadline - state.received_at));
    const auto lifetime = internal::to_ms(deadline - this->context.clock.now()) + resume_margin;
    this->context.origins.record(resumed.empty() ? state.metadata.id : resumed,
        {.service = state.service, .software_version = state.stream_version}, lifetime);
}

bool forwarder::has_stream_version(exchange_state& state, const upstream_entry& placed) {
    if(!state.stream_version || placed.software_version == *state.stream_version) {
        return true;
    }
    // The lease holder is of an earlier release, which chooses among all versions, or knows another entry.
    state.attempt_trace += ";version@" + placed.id;
    state.excluded.insert(placed.id);
    for(const auto* upstream : this->context.upstreams.accepting_requests(state.service)) {
        if(upstream->entry.software_version != *state.stream_version) {
            state.excluded.insert(upstream->entry.id);
        }
    }
    return false;
}

} // namespace lagoonsaddle::edge
