// Passes the answer of an upstream, or the node's own refusal, to the caller.
#include <algorithm>
#include <cstddef>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using internal::retry_overload;
using internal::send_margin;
using std::chrono::milliseconds;

/*! @brief Largest body of a response that is not a stream. */
constexpr std::size_t whole_body_limit{8u * 1024u * 1024u};
/*! @brief Time to come back after a refusal for another cause than overload. */
constexpr milliseconds retry_soon{200};

} // namespace

asio::awaitable<forwarder::step> forwarder::receive(
    exchange_state& state, const std::string& upstream, http::response_stream& answer) {
    const auto terms = this->context.format.read_answer(answer.status(), answer.headers());
    if(terms.not_run) {
        // Reading the rest keeps the connection for the next request.
        static_cast<void>(co_await answer.read());
        co_return this->not_run(state, upstream, terms, answer.status());
    }
    const bool success = answer.status() / 100u == 2u;
    const bool promises_not_run = answer.status() == 408u || answer.status() == 429u || answer.status() == 503u;
    if(!terms.signed_by_upstream || terms.content_encoded || promises_not_run) {
        answer.close();
        co_return this->failed(state, upstream,
            core::error{.cause = core::reason::protocol_error,
                .verdict = core::verdict::may_have_run,
                .message = "status " + std::to_string(answer.status()) + " without the upstream's own body"});
    }
    if(state.target->streaming && success) {
        co_return co_await this->pass_stream(state, upstream, answer);
    }
    std::string body{};
    while(true) {
        auto piece = co_await answer.read();
        if(!piece) {
            co_return this->failed(state, upstream, piece.error());
        }
        if(piece->empty()) {
            break;
        }
        body += *piece;
        if(body.size() > whole_body_limit) {
            answer.close();
            co_return this->failed(state, upstream,
                core::error{.cause = core::reason::protocol_error,
                    .verdict = core::verdict::may_have_run,
                    .message = "the body of the answer is too large"});
        }
    }
    const auto now = this->context.time.now();
    if(auto* known = this->context.upstreams.find(upstream)) {
        known->health.record(answer.status() >= 500u, now);
    }
    state.path += ';' + upstream + ':' + std::to_string(answer.status());
    ++state.runs;
    state.verdict = core::verdict::ran;
    const bool again = answer.status() >= 500u && state.target->retry == retry_mode::idempotent &&
                       state.runs < state.target->attempts_max && now + send_margin < state.deadline;
    if(again && this->context.budget.try_consume(state.service, this->live_nodes(), now)) {
        state.excluded.insert(upstream);
        // This retry is paid for; the next send is not charged again.
        state.sends = 0u;
        state.last = core::error{.cause = core::reason::unavailable,
            .verdict = core::verdict::ran,
            .message = "the upstream answered with status " + std::to_string(answer.status())};
        co_return step::again;
    }
    if(state.head_sent) {
        // The stream of an earlier attempt cannot end with a failure of this one.
        state.writer.abort();
        state.outcome = "broken";
        co_return step::finished;
    }
    if(success) {
        this->context.quarantine.record_isolated_run(state.digest);
    }
    state.status = answer.status();
    state.outcome = success ? "served" : "upstream_failure";
    if(!success) {
        state.last = core::error{.cause = core::reason::unavailable,
            .message = "the upstream answered with status " + std::to_string(answer.status())};
    }
    http::response whole{.status = answer.status(),
        .headers = this->context.format.caller_fields(answer.headers()),
        .body = std::move(body)};
    if(const auto sent = co_await state.writer.send(std::move(whole)); !sent) {
        state.outcome = "caller_gone";
    }
    co_return step::finished;
}

asio::awaitable<forwarder::step> forwarder::pass_stream(
    exchange_state& state, const std::string& upstream, http::response_stream& answer) {
    state.events.discard_rest();
    while(true) {
        auto piece = co_await answer.read();
        if(!piece) {
            const bool resumable = state.target->retry == retry_mode::resumable;
            const auto next = this->failed(state, upstream, piece.error());
            if(next == step::again && (resumable || !state.head_sent)) {
                co_return step::again;
            }
            if(state.head_sent && !state.caller_gone) {
                state.writer.abort();
                state.outcome = "broken";
                co_return step::finished;
            }
            co_return next;
        }
        const bool ended = piece->empty();
        const auto events = ended ? state.events.take_rest() : state.events.feed(*piece);
        if(events.empty() && !ended) {
            continue;
        }
        if(!state.head_sent) {
            state.head_sent = true;
            state.status = answer.status();
            state.first_event = this->context.time.now();
            if(const auto sent =
                    co_await state.writer.begin(answer.status(), this->context.format.caller_fields(answer.headers()));
                !sent) {
                answer.close();
                state.outcome = "caller_gone";
                co_return step::finished;
            }
        }
        if(!events.empty()) {
            const auto arrived = this->context.time.now();
            if(state.last_event != core::time_point{}) {
                state.gap_max = std::max(state.gap_max, arrived - state.last_event);
            }
            state.last_event = arrived;
            if(const auto sent = co_await state.writer.write(events); !sent) {
                answer.close();
                state.outcome = "caller_gone";
                co_return step::finished;
            }
        }
        if(ended) {
            break;
        }
    }
    if(auto* known = this->context.upstreams.find(upstream)) {
        known->health.record(false, this->context.time.now());
    }
    state.path += ';' + upstream + ':' + std::to_string(answer.status());
    state.verdict = core::verdict::ran;
    this->context.quarantine.record_isolated_run(state.digest);
    const auto finished = co_await state.writer.finish();
    state.outcome = finished ? "served" : "caller_gone";
    co_return step::finished;
}

asio::awaitable<void> forwarder::give_up(exchange_state& state) {
    if(state.head_sent) {
        state.writer.abort();
        state.outcome = "broken";
        co_return;
    }
    auto failure = state.last;
    failure.verdict = state.verdict;
    if(state.verdict == core::verdict::not_run) {
        failure.retry_after = failure.cause == core::reason::overloaded ? retry_overload : retry_soon;
        co_await this->refuse(state, 503u, std::move(failure));
        co_return;
    }
    failure.retry_after.reset();
    const bool late = failure.cause == core::reason::timeout || failure.cause == core::reason::deadline_exceeded;
    co_await this->refuse(state, late ? 504u : 502u, std::move(failure));
}

asio::awaitable<void> forwarder::refuse(exchange_state& state, unsigned status, core::error failure) {
    state.status = status;
    state.outcome = "refused";
    state.last = failure;
    auto answer = this->context.format.make_refusal(status, failure, state.terms.id);
    static_cast<void>(co_await state.writer.send(std::move(answer)));
}

} // namespace lagoonsaddle::edge
