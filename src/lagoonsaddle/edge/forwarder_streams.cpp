// Goes on with streams: at the software version that began them, and only with what is a part of them.
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>
#include <lagoonsaddle/http/media_type.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time beyond the deadline of a request in which its caller may still resume the stream. */
constexpr milliseconds resume_margin{1'000};
constexpr unsigned status_ok{200u};
constexpr std::string_view event_stream_type{"text/event-stream"};

} // namespace

bool forwarder::is_resumed(const exchange_state& state) {
    const bool resumable = state.matched_route->retry == retry_mode::resumable;
    return resumable && (state.metadata.last_event_id || !state.metadata.resumed_request.empty());
}

std::optional<std::uint64_t> forwarder::last_event_id(const exchange_state& state) {
    if(state.splitter.event_count() > 0u) {
        return state.splitter.last_id();
    }
    return is_resumed(state) ? state.metadata.last_event_id : std::nullopt;
}

bool forwarder::goes_on_with_stream(const exchange_state& state) {
    return state.splitter.event_count() > 0u || last_event_id(state).has_value();
}

bool forwarder::is_event_stream(const http::response_stream& upstream_response) {
    const auto type = http::media_type(upstream_response.headers());
    return type.empty() || type == event_stream_type;
}

bool forwarder::is_continuation(const exchange_state& state, const http::response_stream& upstream_response) {
    if(upstream_response.status() != status_ok || !last_event_id(state)) {
        return false;
    }
    const bool same_type = http::media_type(upstream_response.headers()) == state.stream_media_type;
    return state.head_sent ? same_type : is_event_stream(upstream_response);
}

asio::awaitable<forwarder::attempt_result> forwarder::relay_continuation(
    exchange_state& state, const std::string& upstream, http::response_stream& upstream_response) {
    if(!is_continuation(state, upstream_response)) {
        upstream_response.close();
        co_return this->handle_broken_stream(state, upstream,
            core::error{.cause = core::reason::protocol_error,
                .verdict = core::verdict::may_have_run,
                .message = "status " + std::to_string(upstream_response.status()) + " does not go on with the stream"});
    }
    state.splitter.begin_continuation(*last_event_id(state));
    co_return co_await this->relay_stream(state, upstream, upstream_response);
}

core::error forwarder::unknown_version_error(const exchange_state& state) {
    return core::error{.cause = core::reason::unavailable,
        .verdict = state.verdict,
        .message = "the software version that began the stream is not known"};
}

asio::awaitable<std::optional<core::error>> forwarder::bind_to_origin(exchange_state& state) {
    auto request = state.metadata.resumed_request;
    auto service = state.service;
    auto resolution = this->context.origins.resolve(std::move(request), std::move(service));
    const auto resolved = co_await this->wait_until_send_limit(state, std::move(resolution));
    if(!resolved) {
        co_return this->past_send_limit_error(state);
    }
    const auto& origin = *resolved;
    if(!origin) {
        co_return unknown_version_error(state);
    }
    const bool allowed = std::ranges::any_of(state.matched_route->services,
        [&](const weighted_service& share) { return share.name == origin->service && share.weight > 0u; });
    if(!allowed) {
        co_return core::error{.cause = core::reason::unavailable,
            .verdict = state.verdict,
            .message = "the route no longer leads to the service that began the stream"};
    }
    state.service = origin->service;
    state.stream_version = origin->software_version;
    co_return std::nullopt;
}

void forwarder::record_origin(exchange_state& state, const std::string& upstream) {
    if(state.matched_route->retry != retry_mode::resumable) {
        return;
    }
    if(!state.stream_version) {
        // Signs of a restart may have come since the request was sent.
        const auto* known = this->context.upstreams.find(upstream);
        const bool unchanged = known == nullptr || this->context.upstreams.certain_version(
                                                       *known, this->context.clock.now()) == state.sent_version;
        state.stream_version = unchanged ? state.sent_version : std::nullopt;
    }
    const auto& resumed = state.metadata.resumed_request;
    const auto deadline =
        state.received_at + state.metadata.deadline.value_or(internal::to_ms(state.deadline - state.received_at));
    const auto lifetime = internal::to_ms(deadline - this->context.clock.now()) + resume_margin;
    this->context.origins.record(resumed.empty() ? state.metadata.id : resumed,
        {.service = state.service, .software_version = state.stream_version}, lifetime);
}

bool forwarder::has_stream_version(exchange_state& state, const upstream_state& placed) {
    const auto now = this->context.clock.now();
    const auto& upstreams = this->context.upstreams;
    if(!state.stream_version || upstreams.certain_version(placed, now) == state.stream_version) {
        return true;
    }
    // The lease holder is of an earlier release, which chooses among all versions, or knows another entry.
    state.attempt_trace += ";version@" + placed.entry.id;
    for(const auto* upstream : upstreams.accepting_requests(state.service)) {
        if(upstreams.certain_version(*upstream, now) != state.stream_version) {
            state.excluded.insert(upstream->entry.id);
        }
    }
    return false;
}

} // namespace lagoonsaddle::edge
