// Receives the responses of upstreams and sends responses to the caller.
#include <algorithm>
#include <cstddef>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>
#include <lagoonsaddle/http/media_type.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using internal::retry_after_overload;
using internal::send_margin;
using std::chrono::milliseconds;

/*! @brief Maximum size of a body that is buffered because the response is not streamed. */
constexpr std::size_t buffered_body_limit{8u * 1024u * 1024u};
/*! @brief Maximum size of one event of a stream; larger ones come from an upstream that sends bytes without end. */
constexpr std::size_t event_size_limit{256u * 1024u};
/*! @brief Retry-After time of refusals that are not caused by overload. */
constexpr milliseconds retry_after_default{200};

} // namespace

void forwarder::observe_upstream(
    const exchange_state& state, const std::string& upstream, const response_metadata& head) {
    this->context.limits.observe(upstream, head.rate_limit, state.sent_at);
    this->context.limits.observe_refusal_limit(upstream, head.refusal_limit, state.sent_at);
    auto* known = this->context.upstreams.find(upstream);
    if(known != nullptr && head.retry_after) {
        known->throttle.hold(this->context.clock.now() + *head.retry_after);
    }
    if(head.leaving && known != nullptr && this->context.upstreams.mark_leaving(upstream, known->entry.started_ms)) {
        this->context.observer.on_upstream_leaving(upstream);
    }
}

void forwarder::record_response_time(const exchange_state& state, upstream_state& upstream, unsigned status) const {
    const bool is_comparable = state.metadata.model.empty() && !state.relayed && status / 100u == 2u;
    if(is_comparable) {
        const std::chrono::duration<double, std::milli> elapsed{this->context.clock.now() - state.sent_at};
        upstream.speed.record(elapsed.count(), 1.0, this->context.clock.now());
    }
}

void forwarder::record_received(exchange_state& state) {
    if(state.direct) {
        state.direct->record_received();
    }
}

asio::awaitable<forwarder::attempt_result> forwarder::receive_response(
    exchange_state& state, const std::string& upstream, http::response_stream& upstream_response) {
    record_received(state);
    const auto head = this->context.format.parse_response_head(upstream_response.status(), upstream_response.headers());
    this->observe_upstream(state, upstream, head);
    state.close_delimited = upstream_response.close_delimited();
    if(head.not_run && head.request_id.empty() && upstream_response.reused()) {
        upstream_response.close();
        co_return this->handle_failure(state, upstream,
            core::error{.cause = core::reason::protocol_error,
                .verdict = core::verdict::may_have_run,
                .message = "a refusal on a reused connection does not name its request"});
    }
    if(head.not_run) {
        // Reading the body allows the connection to be reused.
        static_cast<void>(co_await upstream_response.read());
        co_return this->handle_not_run(state, upstream, head, upstream_response.status());
    }
    const bool success = upstream_response.status() / 100u == 2u;
    const bool implies_not_run =
        upstream_response.status() == 408u || upstream_response.status() == 429u || upstream_response.status() == 503u;
    if(!head.signed_by_upstream || head.content_encoded || implies_not_run) {
        upstream_response.close();
        co_return this->handle_failure(state, upstream,
            core::error{.cause = core::reason::protocol_error,
                .verdict = core::verdict::may_have_run,
                .message = "status " + std::to_string(upstream_response.status()) +
                           " without a valid response body of the upstream"});
    }
    if(state.matched_route->streaming && success && goes_on_with_stream(state)) {
        co_return co_await this->relay_continuation(state, upstream, upstream_response);
    }
    if(state.matched_route->streaming && success && is_event_stream(upstream_response)) {
        state.splitter.begin_response();
        co_return co_await this->relay_stream(state, upstream, upstream_response);
    }
    core::byte_reservation reserved{&this->context.response_memory};
    auto body = co_await this->read_body(state, upstream_response, reserved);
    if(!body) {
        co_await this->review_path(state, upstream, body.error());
        co_return this->handle_failure(state, upstream, body.error());
    }
    const auto now = this->context.clock.now();
    if(auto* known = this->context.upstreams.find(upstream)) {
        known->health.record(upstream_response.status() >= 500u, now);
        this->record_response_time(state, *known, upstream_response.status());
    }
    state.attempt_trace += ';' + upstream + ':' + std::to_string(upstream_response.status());
    ++state.possible_runs;
    state.verdict = core::verdict::ran;
    const bool retry = upstream_response.status() >= 500u && state.matched_route->retry == retry_mode::idempotent &&
                       state.possible_runs < state.matched_route->attempts_max && now + send_margin < state.deadline;
    if(retry && this->context.budget.try_consume(state.service, this->live_node_count(), now)) {
        state.excluded.insert(upstream);
        // The retry has been charged to the budget already; the next send is not charged again.
        state.sends = 0u;
        state.last_failure = core::error{.cause = core::reason::unavailable,
            .verdict = core::verdict::ran,
            .message = "the upstream responded with status " + std::to_string(upstream_response.status())};
        co_return attempt_result::retry;
    }
    if(state.head_sent) {
        // A part of the stream of an earlier attempt was sent already; this response cannot follow it.
        state.writer.abort();
        state.outcome = "broken";
        co_return attempt_result::finished;
    }
    if(success) {
        this->context.quarantine.record_isolated_run(state.digest);
        this->context.prompt_parts.record_answer(state.metadata.shared_parts);
    }
    state.status = upstream_response.status();
    state.outcome = success ? "served" : "upstream_failure";
    if(!success) {
        state.last_failure = core::error{.cause = core::reason::unavailable,
            .message = "the upstream responded with status " + std::to_string(upstream_response.status())};
    }
    http::response response{.status = upstream_response.status(),
        .headers = this->context.format.caller_headers(upstream_response.headers()),
        .body = std::move(*body)};
    if(const auto sent = co_await state.writer.send(std::move(response)); !sent) {
        state.outcome = "caller_gone";
    }
    co_return attempt_result::finished;
}

asio::awaitable<core::result<std::string>> forwarder::read_body(
    exchange_state& state, http::response_stream& upstream_response, core::byte_reservation& reserved) {
    std::string body{};
    while(true) {
        auto chunk = co_await upstream_response.read();
        if(!chunk) {
            co_return tl::make_unexpected(std::move(chunk.error()));
        }
        record_received(state);
        if(chunk->empty()) {
            co_return body;
        }
        body += *chunk;
        if(!reserved.add(chunk->size()) || body.size() > buffered_body_limit) {
            upstream_response.close();
            co_return core::fail(
                core::reason::protocol_error, core::verdict::may_have_run, "the body of the response is too large");
        }
    }
}

asio::awaitable<core::result<std::string>> forwarder::read_events(
    exchange_state& state, http::response_stream& upstream_response) {
    while(true) {
        if(state.splitter.is_malformed()) {
            upstream_response.close();
            co_return core::fail(core::reason::protocol_error, core::verdict::may_have_run,
                "the stream holds what is no event, or not the next one");
        }
        auto chunk = co_await upstream_response.read();
        if(!chunk) {
            co_return tl::make_unexpected(std::move(chunk.error()));
        }
        record_received(state);
        if(!chunk->empty()) {
            auto events = state.splitter.feed(*chunk);
            if(!events.empty()) {
                co_return events;
            }
            if(state.splitter.pending_size() > event_size_limit) {
                upstream_response.close();
                co_return core::fail(
                    core::reason::protocol_error, core::verdict::may_have_run, "an event of the stream is too large");
            }
            continue;
        }
        if(!state.splitter.is_complete(upstream_response.close_delimited())) {
            upstream_response.close();
            co_return core::fail(core::reason::connection_lost, core::verdict::may_have_run,
                "the stream ended before or inside an event");
        }
        co_return state.splitter.take_remainder();
    }
}

forwarder::attempt_result forwarder::handle_broken_stream(
    exchange_state& state, const std::string& upstream, const core::error& failure) {
    const bool resumable = state.matched_route->retry == retry_mode::resumable && state.splitter.is_resumable();
    const auto next = this->handle_failure(state, upstream, failure);
    if(next == attempt_result::retry && (resumable || !state.head_sent)) {
        return attempt_result::retry;
    }
    if(state.head_sent && !state.caller_disconnected) {
        state.writer.abort();
        state.outcome = "broken";
        return attempt_result::finished;
    }
    return next;
}

asio::awaitable<bool> forwarder::write_events(exchange_state& state, const std::string& upstream,
    const http::response_stream& upstream_response, std::string events) {
    const auto arrived = this->context.clock.now();
    if(!state.head_sent) {
        state.head_sent = true;
        state.status = upstream_response.status();
        state.first_event_at = arrived;
        state.stream_media_type = http::media_type(upstream_response.headers());
        this->record_origin(state, upstream);
        this->context.prompt_parts.record_answer(state.metadata.shared_parts);
        auto headers = this->context.format.caller_headers(upstream_response.headers());
        if(const auto sent = co_await state.writer.begin(state.status, std::move(headers)); !sent) {
            co_return false;
        }
    }
    if(events.empty()) {
        co_return true;
    }
    if(state.last_event_at != core::time_point{}) {
        state.event_gap_max = std::max(state.event_gap_max, arrived - state.last_event_at);
    }
    state.last_event_at = arrived;
    const auto sent = co_await state.writer.write(events);
    co_return sent.has_value();
}

asio::awaitable<forwarder::attempt_result> forwarder::relay_stream(
    exchange_state& state, const std::string& upstream, http::response_stream& upstream_response) {
    bool ended{false};
    while(!ended) {
        auto events = co_await this->read_events(state, upstream_response);
        if(!events) {
            co_await this->review_path(state, upstream, events.error());
            co_return this->handle_broken_stream(state, upstream, events.error());
        }
        ended = events->empty();
        if(!co_await this->write_events(state, upstream, upstream_response, std::move(*events))) {
            upstream_response.close();
            state.outcome = "caller_gone";
            co_return attempt_result::finished;
        }
    }
    if(auto* known = this->context.upstreams.find(upstream)) {
        known->health.record(false, this->context.clock.now());
    }
    state.attempt_trace += ';' + upstream + ':' + std::to_string(upstream_response.status());
    state.verdict = core::verdict::ran;
    this->context.quarantine.record_isolated_run(state.digest);
    const auto finished = co_await state.writer.finish();
    state.outcome = finished ? "served" : "caller_gone";
    co_return attempt_result::finished;
}

asio::awaitable<void> forwarder::send_final_failure(exchange_state& state) {
    if(state.head_sent) {
        state.writer.abort();
        state.outcome = "broken";
        co_return;
    }
    auto failure = state.last_failure;
    failure.verdict = state.verdict;
    if(state.verdict == core::verdict::not_run) {
        const auto usual = failure.cause == core::reason::overloaded ? retry_after_overload : retry_after_default;
        failure.retry_after = failure.retry_after.value_or(usual);
        co_await this->refuse(state, 503u, std::move(failure));
        co_return;
    }
    failure.retry_after.reset();
    const bool timed_out = failure.cause == core::reason::timeout || failure.cause == core::reason::deadline_exceeded;
    co_await this->refuse(state, timed_out ? 504u : 502u, std::move(failure));
}

asio::awaitable<void> forwarder::refuse(exchange_state& state, unsigned status, core::error failure) {
    state.status = status;
    state.outcome = "refused";
    state.last_failure = failure;
    auto response = this->context.format.make_refusal(status, failure, state.metadata.id);
    static_cast<void>(co_await state.writer.send(std::move(response)));
}

} // namespace lagoonsaddle::edge
