#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using internal::retry_after_overload;
using internal::send_margin;
using internal::to_ms;
using std::chrono::milliseconds;

/*! @brief Number of sends after which a request that an upstream refused is not sent again. */
constexpr unsigned sends_max{4u};
/*! @brief The same for upstreams that fall over after many refusals. */
constexpr unsigned sends_max_if_refusals_limited{2u};
/*! @brief Placements of one request, including those whose adapter could not be loaded. */
constexpr unsigned placements_max{6u};
/*! @brief Timeout when neither the caller nor the route sets one. */
constexpr milliseconds default_timeout{30'000};
/*! @brief Share of the remaining time after which a repeatable request without a response is sent elsewhere. */
constexpr double attempt_timeout_share{0.45};
/*! @brief Bounds of the Retry-After time when the upstreams of a service are at their limits: other nodes may have a
 * share that is free sooner. */
constexpr milliseconds limit_retry_after_min{100};
constexpr milliseconds limit_retry_after_max{1'000};

/*! @brief Releases the reservation of a request at the end of an attempt. */
class reservation_guard {
public:
    reservation_guard(dispatch_service& service, const placed_request& request) : dispatch{service}, placed{request} {}

    reservation_guard(const reservation_guard&) = delete;
    reservation_guard& operator=(const reservation_guard&) = delete;

    ~reservation_guard() {
        this->dispatch.record_end(this->placed);
    }

private:
    dispatch_service& dispatch;
    const placed_request& placed;
};

/*! @brief Counts a request as in flight on an upstream, also when its exchange ends with an exception. */
class in_flight_count {
public:
    in_flight_count(upstream_table& table, std::string id) : upstreams{table}, upstream{std::move(id)} {
        if(auto* known = this->upstreams.find(this->upstream); known != nullptr) {
            ++known->in_flight;
        }
    }

    in_flight_count(const in_flight_count&) = delete;
    in_flight_count& operator=(const in_flight_count&) = delete;

    ~in_flight_count() {
        if(auto* known = this->upstreams.find(this->upstream); known != nullptr && known->in_flight > 0u) {
            --known->in_flight;
        }
    }

private:
    upstream_table& upstreams;
    std::string upstream;
};

/*! @brief Counts the prompt tokens of a request that an upstream still has to read, also when its exchange ends with an
 * exception. */
class pending_token_count {
public:
    pending_token_count(upstream_table& table, std::string id, std::uint64_t tokens)
        : upstreams{table}, upstream{std::move(id)}, count{tokens} {
        if(auto* known = this->upstreams.find(this->upstream); known != nullptr) {
            known->pending_tokens += this->count;
        }
    }

    pending_token_count(const pending_token_count&) = delete;
    pending_token_count& operator=(const pending_token_count&) = delete;

    ~pending_token_count() {
        this->end();
    }

    /*! @brief Ends the count because the upstream has begun to answer. */
    void end() noexcept {
        const auto counted = std::exchange(this->count, 0u);
        if(auto* known = this->upstreams.find(this->upstream); known != nullptr) {
            known->pending_tokens -= std::min(known->pending_tokens, counted);
        }
    }

private:
    upstream_table& upstreams;
    std::string upstream;
    std::uint64_t count;
};

/*! @brief Lists an exchange until its handler ends, also with an exception. */
template<typename Exchange>
class listed_exchange {
public:
    listed_exchange(std::set<Exchange*>& list, Exchange& listed) : exchanges{list}, exchange{&listed} {
        this->exchanges.insert(this->exchange);
    }

    listed_exchange(const listed_exchange&) = delete;
    listed_exchange& operator=(const listed_exchange&) = delete;

    ~listed_exchange() {
        this->exchanges.erase(this->exchange);
    }

private:
    std::set<Exchange*>& exchanges;
    Exchange* exchange;
};

} // namespace

forwarder::forwarder(forwarder_context uses) : context{uses} {}

forwarder::~forwarder() = default;

std::size_t forwarder::live_node_count() const {
    const auto members = this->context.membership.members();
    const auto count = std::ranges::count_if(*members, &fleet::member::is_live);
    return std::max<std::size_t>(static_cast<std::size_t>(count), 1u);
}

asio::awaitable<void> forwarder::handle(http::request message, http::response_writer& writer) {
    exchange_state state{std::move(message), writer, this->context.clock.now()};
    const listed_exchange listed{this->exchanges, state};
    const auto state_pointer = std::make_shared<exchange_state*>(&state);
    writer.on_disconnect([state_pointer] {
        if(auto* exchange = *state_pointer) {
            exchange->caller_disconnected = true;
            if(exchange->control) {
                exchange->control->cancel();
            }
        }
    });
    co_await this->serve(state);
    *state_pointer = nullptr;
    this->credit_quota(state);
    this->log_completion(state);
}

http::response forwarder::make_rejection(const http::request& message, unsigned status, const core::error& failure) {
    const auto metadata = this->context.format.parse_request(message);
    const auto id = metadata ? metadata->id : std::string{};
    this->context.log.write(log_line{"request_rejected"}
                                .add("id", id)
                                .add("status", static_cast<std::int64_t>(status))
                                .add("message", failure.message));
    return this->context.format.make_refusal(status, failure, id);
}

asio::awaitable<void> forwarder::serve(exchange_state& state) {
    auto metadata = this->context.format.parse_request(state.request);
    state.config = this->context.routes.current();
    if(!metadata) {
        co_await this->refuse(state, 400u, std::move(metadata.error()));
        co_return;
    }
    state.metadata = std::move(*metadata);
    if(auto failure = this->match_route(state)) {
        const auto status = failure->cause == core::reason::not_found ? 404u : 503u;
        co_await this->refuse(state, status, std::move(*failure));
        co_return;
    }
    if(auto failure = this->identify_tenant(state)) {
        const auto status = failure->cause == core::reason::unauthorized ? 401u : 503u;
        co_await this->refuse(state, status, std::move(*failure));
        co_return;
    }
    auto limit = state.matched_route->timeout.count() > 0 ? state.matched_route->timeout : default_timeout;
    if(state.metadata.deadline) {
        limit = std::min(limit, *state.metadata.deadline);
    }
    state.deadline = state.received_at + limit;
    if(this->is_past_send_limit(state)) {
        co_await this->refuse(state, 503u, this->past_send_limit_error(state));
        co_return;
    }
    if(state.sender != nullptr && state.sender->quota.is_limited()) {
        if(auto failure = co_await this->charge_quota(state)) {
            const auto status = failure->cause == core::reason::rate_limited ? 429u : 503u;
            co_await this->refuse(state, status, std::move(*failure));
            co_return;
        }
    }
    const auto& first_request =
        state.metadata.resumed_request.empty() ? state.metadata.id : state.metadata.resumed_request;
    state.service = route_table::pick_service(*state.matched_route, first_request);
    state.digest = core::digest(
        state.request.method + '|' + std::string{state.request.headers.find("host").value_or("")} + '|' +
        state.request.target + '|' + state.metadata.model + '/' + state.metadata.adapter + '|' + state.request.body);
    if(auto failure = this->admit_content(state)) {
        co_await this->refuse(state, 503u, std::move(*failure));
        co_return;
    }
    if(is_resumed(state)) {
        if(auto failure = co_await this->bind_to_origin(state)) {
            co_await this->refuse(state, 503u, std::move(*failure));
            co_return;
        }
    }
    this->context.budget.record_request(state.service, state.received_at);
    if(!state.metadata.model.empty()) {
        this->context.selector.record_request(
            state.metadata.model, state.metadata.adapter, state.metadata.shared_prefix, state.received_at);
    }
    auto next = attempt_result::retry;
    while(next == attempt_result::retry) {
        next = co_await this->attempt(state);
    }
    if(next == attempt_result::fail) {
        co_await this->send_final_failure(state);
    }
}

asio::awaitable<forwarder::attempt_result> forwarder::attempt(exchange_state& state) {
    const auto now = this->context.clock.now();
    if(state.caller_disconnected) {
        state.outcome = "caller_gone";
        co_return attempt_result::finished;
    }
    if(now + send_margin >= state.deadline) {
        state.last_failure = core::error{
            .cause = core::reason::deadline_exceeded, .verdict = state.verdict, .message = "the deadline has passed"};
        co_return attempt_result::fail;
    }
    if(this->is_past_send_limit(state)) {
        state.last_failure = this->past_send_limit_error(state);
        co_return attempt_result::fail;
    }
    if(++state.placements > placements_max) {
        co_return attempt_result::fail;
    }
    if(state.head_sent && !state.stream_version) {
        state.last_failure = unknown_version_error(state);
        co_return attempt_result::fail;
    }
    auto excluded = state.excluded;
    const auto limit_wait = this->context.limits.exclude_waiting(state.service, excluded);
    selection_request criteria{.service = state.service,
        .model = state.metadata.model,
        .adapter = state.metadata.adapter,
        .prompt_tokens = state.metadata.prompt_tokens,
        .shared_prefix = state.metadata.shared_prefix,
        .shared_tokens = state.metadata.shared_tokens,
        .version_min = this->oldest_allowed_version(state),
        .software_version = state.stream_version,
        .excluded = &excluded,
        .nodes = this->live_node_count()};
    criteria.zone_can_load = [this](std::string_view zone) {
        return this->context.placement.zone_can_load(zone);
    };
    criteria.zone_delay_ms = [this, now](std::string_view zone) {
        return this->context.dispatch.zone_delay_ms(zone, now);
    };
    criteria.zone_slowness = [this, now](std::string_view zone) {
        return this->context.dispatch.zone_slowness(zone, now);
    };
    criteria.draw = core::hash(state.metadata.id, state.placements);
    criteria.load_wait_ms = [this, now](const upstream_entry& upstream) {
        return this->context.dispatch.zone_load_wait_ms(upstream.availability_zone, now);
    };
    const auto choice = this->context.selector.choose(this->context.upstreams, criteria, now);
    if(!choice) {
        if(limit_wait) {
            state.last_failure = core::error{.cause = core::reason::rate_limited,
                .verdict = state.verdict,
                .message = "the upstreams take no more requests at present",
                .retry_after = std::clamp(to_ms(*limit_wait), limit_retry_after_min, limit_retry_after_max)};
        }
        co_return attempt_result::fail;
    }
    const auto placed = co_await this->place_request(state, *choice, excluded);
    if(!placed) {
        co_return state.unservable ? attempt_result::fail : attempt_result::retry;
    }
    const reservation_guard guard{this->context.dispatch, *placed};
    // The first send is not a retry; later ones are charged to the retry budget of the fleet.
    if(state.sends > 0u &&
        !this->context.budget.try_consume(state.service, this->live_node_count(), this->context.clock.now())) {
        state.attempt_trace += ";no_budget";
        co_return attempt_result::fail;
    }
    co_return co_await this->send_request(state, *placed);
}

asio::awaitable<forwarder::attempt_result> forwarder::send_request(
    exchange_state& state, const placed_request& placed) {
    const auto& upstream = placed.upstream;
    auto* known = this->context.upstreams.find(upstream);
    if(state.caller_disconnected) {
        state.outcome = "caller_gone";
        co_return attempt_result::finished;
    }
    if(known == nullptr || known->is_ending() || !this->context.limits.may_send(*known)) {
        co_return attempt_result::retry;
    }
    if(!this->has_stream_version(state, *known)) {
        co_return attempt_result::retry;
    }
    // The time of a version may have ended while the lease holder was asked.
    if(this->holds_replaced_version(state, *known)) {
        state.attempt_trace += ";replaced@" + upstream;
        co_return attempt_result::retry;
    }
    // Nodes may have learned of more crashes while the request waited for its adapter or was sent before.
    if(auto failure = state.probes_prompt_part ? std::nullopt : this->review_content(state)) {
        state.last_failure = std::move(*failure);
        co_return attempt_result::fail;
    }
    state.probes_prompt_part = false;
    const auto now = this->context.clock.now();
    this->context.limits.record_send(*known);
    state.sent_at = now;
    state.sent_version = this->context.upstreams.certain_version(*known, now);
    const auto remaining = to_ms(state.deadline - now);
    ++state.sends;
    state.control = std::make_shared<http::exchange_control>();

    // Cancels the attempt early enough that a request that may be repeated can still be sent to another upstream.
    asio::steady_timer attempt_timer{co_await asio::this_coro::executor};
    if(state.repeatable() && state.possible_runs + 1u < state.matched_route->attempts_max) {
        const auto share =
            milliseconds{static_cast<std::int64_t>(static_cast<double>(remaining.count()) * attempt_timeout_share)};
        attempt_timer.expires_after(std::max(share, std::min(state.matched_route->latency_objective, remaining)));
        attempt_timer.async_wait([control = state.control](const boost::system::error_code& failure) {
            if(!failure) {
                control->cancel();
            }
        });
    }

    const in_flight_count counted{this->context.upstreams, upstream};
    pending_token_count pending{this->context.upstreams, upstream, placed.cold_tokens};
    auto queued = this->make_queued_attempt(state, upstream);
    if(!queued->adapter.empty()) {
        // A named variable, because g++ 12 destroys temporaries of a co_await expression twice.
        const auto executor = co_await asio::this_coro::executor;
        core::start_task(executor, "outdated_attempt",
            [this, attempt = std::weak_ptr{queued}] { return this->cancel_when_outdated(attempt); });
    }
    auto exchange = co_await this->open_exchange(state, upstream);
    attempt_timer.cancel();
    queued.reset();
    if(exchange && (*exchange)->status() / 100u == 2u) {
        this->context.dispatch.record_start(placed);
    } else {
        // A refusal or a failure tells nothing about the speed of the upstream.
        this->context.dispatch.record_end(placed);
    }
    pending.end();
    auto next = attempt_result::fail;
    if(exchange) {
        next = co_await this->receive_response(state, upstream, **exchange);
    } else {
        co_await this->review_path(state, upstream, exchange.error());
        next = this->handle_failure(state, upstream, exchange.error());
    }
    state.control.reset();
    state.direct.reset();
    state.relayed.reset();
    co_return next;
}

forwarder::attempt_result forwarder::handle_failure(
    exchange_state& state, const std::string& upstream, const core::error& failure) {
    const auto now = this->context.clock.now();
    auto* known = this->context.upstreams.find(upstream);
    state.attempt_trace += ';' + upstream + ':' + std::string{core::to_string(failure.cause)};
    this->log_attempt(state, upstream, core::to_string(failure.cause), failure.verdict, failure.message);
    if(state.caller_disconnected) {
        state.outcome = "caller_gone";
        state.last_failure =
            core::error{.cause = core::reason::cancelled, .message = "the caller closed its connection"};
        if(failure.verdict != core::verdict::not_run) {
            state.verdict = core::verdict::may_have_run;
        }
        return attempt_result::finished;
    }
    state.last_failure = failure;
    // Without this, the end of a slow attempt would look like a lost connection, and so like a crash of the upstream.
    if(state.control && state.control->cancelled()) {
        state.last_failure.cause = core::reason::timeout;
    }
    if(failure.verdict == core::verdict::not_run) {
        // Nothing reached the upstream, so that sending to another one is not charged as a retry.
        --state.sends;
        state.last_failure.verdict = state.verdict;
        state.excluded.insert(upstream);
        if(failure.cause == core::reason::connection_refused && !state.path_lost) {
            this->context.upstreams.suspect_restart(upstream, now);
            if(known != nullptr) {
                known->health.record_unreachable(now);
            }
        }
        return attempt_result::retry;
    }
    ++state.possible_runs;
    state.verdict = core::verdict::may_have_run;
    // A relay ends the connection in an orderly way only when the upstream has lost it.
    const bool lost_by_upstream = state.relayed ? state.control->closed_unanswered() : !state.path_lost;
    if(known != nullptr && lost_by_upstream) {
        known->health.record(true, now);
        // An upstream crashes on a request before it answers; what ends an answer later has another cause.
        const bool fell_over = known->concurrency.may_have_fallen_over(now);
        if(state.last_failure.cause == core::reason::connection_lost && !state.head_sent && !fell_over) {
            this->record_crash(state, known->entry);
        }
    }
    state.excluded.insert(upstream);
    const bool retry =
        state.repeatable() && state.possible_runs < state.matched_route->attempts_max && !this->is_quarantined(state);
    return retry && now + send_margin < state.deadline ? attempt_result::retry : attempt_result::fail;
}

void forwarder::record_crash(const exchange_state& state, const upstream_entry& upstream) {
    const auto crash = policy::crash_quarantine::crash_id(upstream.id, std::to_string(upstream.started_ms));
    const std::array digests{state.digest};
    this->context.quarantine.record_crash(crash, digests);
    this->context.prompt_parts.record_crash(upstream, state.metadata.shared_parts);
    this->context.log.write(log_line{"crash"}
                                .add("upstream", upstream.id)
                                .add("id", state.metadata.id)
                                .add("digest", state.digest)
                                .add("source", "local"));
}

forwarder::attempt_result forwarder::handle_not_run(
    exchange_state& state, const std::string& upstream, const response_metadata& head, unsigned status) {
    const auto now = this->context.clock.now();
    auto* known = this->context.upstreams.find(upstream);
    state.refused_at.insert(state.sent_to);
    state.attempt_trace += ';' + upstream + ":not_run_" + std::to_string(status);
    this->log_attempt(state, upstream, "refused", core::verdict::not_run, "status " + std::to_string(status));
    state.last_failure = core::error{.cause = core::reason::overloaded,
        .verdict = state.verdict,
        .message = "the upstream refused the request with status " + std::to_string(status),
        .retry_after = retry_after_overload};
    if(head.misdirected && !state.metadata.adapter.empty()) {
        state.last_failure.cause = core::reason::adapter_not_resident;
        this->context.upstreams.observe_adapter(upstream, state.metadata.model, state.metadata.adapter, false, 0u, now);
    } else {
        state.excluded.insert(upstream);
        if(known != nullptr) {
            known->refused_at = now;
        }
        this->context.limits.record_refusal(upstream);
    }
    const bool refusals_limited = known != nullptr && known->concurrency.refusals_per_second().has_value();
    const auto sends_allowed = refusals_limited ? sends_max_if_refusals_limited : sends_max;
    return state.sends < sends_allowed ? attempt_result::retry : attempt_result::fail;
}

} // namespace lagoonsaddle::edge
