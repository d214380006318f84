#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using internal::retry_overload;
using internal::send_margin;
using internal::to_ms;
using std::chrono::milliseconds;

/*! @brief Sends of one request that may be made after proof that it has not run. */
constexpr unsigned sends_max{4u};
/*! @brief Choices of an upstream for one request, counting those whose adapter could not be loaded. */
constexpr unsigned choices_max{6u};
/*! @brief Choices that are given up at once when all places of the upstream are in use. */
constexpr unsigned choices_without_wait{2u};
/*! @brief Time beyond the deadline in which the upstream's own answer at the deadline may arrive. */
constexpr milliseconds deadline_margin{60};
/*! @brief Time that a request waits for the load of its adapter at most; the rest of the deadline is for the run. */
constexpr milliseconds load_wait_max{1'800};
/*! @brief Time within which an older version of an adapter may still serve after a newer one was announced. */
constexpr milliseconds old_version_grace{2'500};
/*! @brief Deadline of a caller that states none, where the route has no timeout either. */
constexpr milliseconds default_timeout{30'000};
/*! @brief Longest idle time of a connection that a request which may not be repeated reuses. */
constexpr milliseconds reuse_once{8'000};
constexpr milliseconds reuse_idempotent{10'000};
/*! @brief Share of the remaining time after which an idempotent request without an answer is sent elsewhere. */
constexpr double patience_share{0.45};
/*! @brief Priority 0 of a route in the upstreams' scale, where 5 is usual. */
constexpr unsigned urgency_base{3u};
constexpr unsigned urgency_max{9u};

/*! @brief Ends the reservation of a request when its attempt is over. */
class reservation_guard {
public:
    reservation_guard(dispatch_service& service, const dispatched& request) : dispatch{service}, placed{request} {}

    reservation_guard(const reservation_guard&) = delete;
    reservation_guard& operator=(const reservation_guard&) = delete;

    ~reservation_guard() {
        this->dispatch.ended(this->placed);
    }

private:
    dispatch_service& dispatch;
    const dispatched& placed;
};

} // namespace

forwarder::forwarder(forwarder_context uses) : context{uses} {}

forwarder::~forwarder() = default;

void forwarder::begin_stop(core::time_point refuse_from, core::time_point exit) noexcept {
    this->stopping = stop_times{.refuse_from = refuse_from, .exit = exit};
}

bool forwarder::is_quarantined(const exchange_state& state) const {
    if(this->context.quarantine.classify(state.digest) != policy::quarantine_status::quarantined) {
        return false;
    }
    const auto record = this->context.quarantine.find_record(state.digest);
    return record && this->context.review.confirms_quarantine(*record, this->context.upstreams, core::unix_time());
}

std::size_t forwarder::live_nodes() const {
    const auto members = this->context.membership.members();
    const auto count = std::ranges::count_if(*members, &fleet::member::is_live);
    return std::max<std::size_t>(static_cast<std::size_t>(count), 1u);
}

std::uint64_t forwarder::oldest_version(const exchange_state& state) const {
    const auto newest = this->context.placement.newest_version(state.terms.model, state.terms.adapter);
    const bool in_grace = newest.version > 0u && this->context.time.now() - newest.at < old_version_grace;
    return in_grace ? 0u : newest.version;
}

asio::awaitable<void> forwarder::handle(http::request message, http::response_writer& writer) {
    exchange_state state{std::move(message), writer, this->context.time.now()};
    const auto disconnected = std::make_shared<exchange_state*>(&state);
    writer.on_disconnect([disconnected] {
        if(auto* exchange = *disconnected) {
            exchange->caller_gone = true;
            if(exchange->control) {
                exchange->control->cancel();
            }
        }
    });
    co_await this->serve(state);
    *disconnected = nullptr;
    this->log_end(state);
}

asio::awaitable<void> forwarder::serve(exchange_state& state) {
    auto terms = this->context.format.read_request(state.message);
    state.config = this->context.routes.current();
    if(!terms) {
        co_await this->refuse(state, 400u, std::move(terms.error()));
        co_return;
    }
    state.terms = std::move(*terms);
    if(!state.config) {
        core::error failure{.cause = core::reason::unavailable,
            .message = "the node has no configuration yet",
            .retry_after = retry_overload};
        co_await this->refuse(state, 503u, std::move(failure));
        co_return;
    }
    state.target = this->context.routes.find(state.message.headers.find("host").value_or(""), state.message.target);
    if(state.target == nullptr) {
        core::error failure{.cause = core::reason::not_found, .message = "no route matches the host and path"};
        co_await this->refuse(state, 404u, std::move(failure));
        co_return;
    }
    auto limit = state.target->timeout.count() > 0 ? state.target->timeout : default_timeout;
    if(state.terms.deadline) {
        limit = std::min(limit, *state.terms.deadline);
    }
    state.deadline = state.begin + limit;
    if(this->stopping && state.begin >= this->stopping->refuse_from && state.deadline > this->stopping->exit) {
        core::error failure{
            .cause = core::reason::draining, .message = "the node is about to stop", .retry_after = milliseconds{0}};
        co_await this->refuse(state, 503u, std::move(failure));
        co_return;
    }
    state.service = route_table::pick_service(*state.target, state.terms.id);
    state.digest = core::digest(
        state.message.method + '|' + std::string{state.message.headers.find("host").value_or("")} + '|' +
        state.message.target + '|' + state.terms.model + '/' + state.terms.adapter + '|' + state.message.body);
    if(this->is_quarantined(state)) {
        core::error failure{
            .cause = core::reason::quarantined, .message = "the request crashed the upstreams that ran it"};
        co_await this->refuse(state, 503u, std::move(failure));
        co_return;
    }
    this->context.budget.record_request(state.service, state.begin);
    if(!state.terms.model.empty()) {
        this->context.selector.record_request(
            state.terms.model, state.terms.adapter, state.terms.shared_prefix, state.begin);
    }
    auto next = step::again;
    while(next == step::again) {
        next = co_await this->attempt(state);
    }
    if(next == step::stop) {
        co_await this->give_up(state);
    }
}

asio::awaitable<forwarder::step> forwarder::attempt(exchange_state& state) {
    const auto now = this->context.time.now();
    if(state.caller_gone) {
        state.outcome = "caller_gone";
        co_return step::finished;
    }
    if(now + send_margin >= state.deadline) {
        state.last = core::error{
            .cause = core::reason::deadline_exceeded, .verdict = state.verdict, .message = "the deadline has passed"};
        co_return step::stop;
    }
    if(++state.choices > choices_max) {
        co_return step::stop;
    }
    selection_request wanted{.service = state.service,
        .model = state.terms.model,
        .adapter = state.terms.adapter,
        .prompt_tokens = state.terms.prompt_tokens,
        .shared_prefix = state.terms.shared_prefix,
        .shared_tokens = state.terms.shared_tokens,
        .version_min = this->oldest_version(state),
        .excluded = &state.excluded,
        .nodes = this->live_nodes()};
    wanted.zone_can_load = [this](std::string_view zone) {
        return this->context.placement.zone_can_load(zone);
    };
    wanted.zone_delay_ms = [this, now](std::string_view zone) {
        return this->context.dispatch.zone_delay_ms(zone, now);
    };
    const auto choice = this->context.selector.choose(this->context.upstreams, wanted, now);
    if(!choice) {
        co_return step::stop;
    }
    const auto placed = co_await this->place(state, *choice);
    if(!placed) {
        co_return step::again;
    }
    const reservation_guard guard{this->context.dispatch, *placed};
    // The first send is free; later ones draw on the budget of the fleet.
    if(state.sends > 0u &&
        !this->context.budget.try_consume(state.service, this->live_nodes(), this->context.time.now())) {
        state.path += ";no_budget";
        co_return step::stop;
    }
    co_return co_await this->send(state, *placed);
}

asio::awaitable<std::optional<dispatched>> forwarder::place(exchange_state& state, const selection& choice) {
    if(state.terms.model.empty()) {
        co_return dispatched{.upstream = choice.upstream};
    }
    const auto left = to_ms(state.deadline - this->context.time.now());
    const auto wait = std::min(load_wait_max, left * 6 / 10);
    // A named value: g++ 12 destroys aggregate temporaries of a co_await expression twice.
    wire::place_request wanted{.service = state.service,
        .model = state.terms.model,
        .adapter = state.terms.adapter,
        .version_min = this->oldest_version(state),
        .prompt_tokens = state.terms.prompt_tokens,
        .shared_prefix = state.terms.shared_prefix,
        .shared_tokens = state.terms.shared_tokens,
        .excluded = {state.excluded.begin(), state.excluded.end()},
        .timeout_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(wait.count(), 1)),
        .lifetime_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 1)),
        .may_wait = state.choices > choices_without_wait};
    const auto begin = this->context.time.now();
    auto placed = co_await this->context.dispatch.place(std::move(wanted), choice);
    const auto took = this->context.time.now() - begin;
    this->log_placed(state, choice, placed, took);
    if(!placed) {
        state.path += ";load@" + placed.error().upstream + ':';
        state.path += core::to_string(placed.error().failure.cause);
        state.excluded.insert(placed.error().upstream);
        state.last = std::move(placed.error().failure);
        state.last.verdict = state.verdict;
        co_return std::nullopt;
    }
    co_return std::move(*placed);
}

asio::awaitable<forwarder::step> forwarder::send(exchange_state& state, const dispatched& placed) {
    const auto& upstream = placed.upstream;
    auto* known = this->context.upstreams.find(upstream);
    if(state.caller_gone) {
        state.outcome = "caller_gone";
        co_return step::finished;
    }
    if(known == nullptr || known->entry.leaving) {
        co_return step::again;
    }
    const auto now = this->context.time.now();
    const auto left = to_ms(state.deadline - now);
    forwarding_metadata added{.deadline = left, .expected_upstream = upstream};
    added.urgency = std::min(urgency_base + state.target->priority, urgency_max);
    added.resume_after = state.events.last_id() ? state.events.last_id() : state.terms.last_event_id;
    auto outgoing = this->context.format.make_upstream_request(state.message, added);

    ++state.sends;
    this->log_sent(state, upstream, left);
    state.control = std::make_shared<http::exchange_control>();
    http::exchange_options options{};
    options.timeout = left + deadline_margin;
    options.reuse_within = state.repeatable() ? reuse_idempotent : reuse_once;
    options.resend_safe = false;
    options.keep_host = true;
    options.control = state.control;
    options.accepts = [this, id = state.terms.id](unsigned status, const http::fields& headers) {
        const auto terms = this->context.format.read_answer(status, headers);
        return terms.request_id == id || (terms.request_id.empty() && terms.not_run);
    };

    // A request that may be sent elsewhere does not wait for a silent upstream until its deadline.
    asio::steady_timer patience{co_await asio::this_coro::executor};
    if(state.repeatable() && state.runs + 1u < state.target->attempts_max) {
        const auto share = milliseconds{static_cast<std::int64_t>(static_cast<double>(left.count()) * patience_share)};
        patience.expires_after(std::max(share, std::min(state.target->latency_objective, left)));
        patience.async_wait([control = state.control](const boost::system::error_code& failure) {
            if(!failure) {
                control->cancel();
            }
        });
    }

    ++known->in_flight;
    known->pending_tokens += placed.cold_tokens;
    const auto address = known->entry.address;
    auto opened = co_await this->context.client.open(address, std::move(outgoing), std::move(options));
    patience.cancel();
    this->context.dispatch.started(placed);
    if(known = this->context.upstreams.find(upstream); known != nullptr) {
        known->pending_tokens -= std::min(known->pending_tokens, placed.cold_tokens);
    }
    auto next = step::stop;
    if(opened) {
        next = co_await this->receive(state, upstream, **opened);
    } else {
        next = this->failed(state, upstream, opened.error());
    }
    if(known = this->context.upstreams.find(upstream); known != nullptr && known->in_flight > 0u) {
        --known->in_flight;
    }
    state.control.reset();
    co_return next;
}

forwarder::step forwarder::failed(exchange_state& state, const std::string& upstream, const core::error& failure) {
    const auto now = this->context.time.now();
    auto* known = this->context.upstreams.find(upstream);
    state.path += ';' + upstream + ':' + std::string{core::to_string(failure.cause)};
    this->log_attempt(state, upstream, core::to_string(failure.cause), failure.verdict, failure.message);
    if(state.caller_gone) {
        state.outcome = "caller_gone";
        state.last = core::error{.cause = core::reason::cancelled, .message = "the caller closed its connection"};
        if(failure.verdict != core::verdict::not_run) {
            state.verdict = core::verdict::may_have_run;
        }
        return step::finished;
    }
    state.last = failure;
    if(failure.verdict == core::verdict::not_run) {
        // No connection, so that nothing arrived: another upstream costs no retry.
        --state.sends;
        state.last.verdict = state.verdict;
        state.excluded.insert(upstream);
        if(known != nullptr) {
            known->health.record_unreachable(now);
        }
        return step::again;
    }
    ++state.runs;
    state.verdict = core::verdict::may_have_run;
    if(known != nullptr) {
        known->health.record(true, now);
        if(failure.cause == core::reason::connection_lost) {
            const auto crash = policy::crash_quarantine::crash_id(upstream, std::to_string(known->entry.started_ms));
            const std::array digests{state.digest};
            this->context.quarantine.record_crash(crash, digests);
        }
    }
    state.excluded.insert(upstream);
    const bool again = state.repeatable() && state.runs < state.target->attempts_max && !this->is_quarantined(state);
    return again && now + send_margin < state.deadline ? step::again : step::stop;
}

forwarder::step forwarder::not_run(
    exchange_state& state, const std::string& upstream, const response_metadata& terms, unsigned status) {
    const auto now = this->context.time.now();
    auto* known = this->context.upstreams.find(upstream);
    state.path += ';' + upstream + ":not_run_" + std::to_string(status);
    this->log_attempt(state, upstream, "refused", core::verdict::not_run, "status " + std::to_string(status));
    state.last = core::error{.cause = core::reason::overloaded,
        .verdict = state.verdict,
        .message = "the upstream refused the request with status " + std::to_string(status),
        .retry_after = retry_overload};
    if(terms.misdirected && !state.terms.adapter.empty()) {
        state.last.cause = core::reason::adapter_not_resident;
        this->context.upstreams.observe_adapter(upstream, state.terms.model, state.terms.adapter, false, 0u, now);
    } else {
        state.excluded.insert(upstream);
        if(known != nullptr) {
            known->refused_at = now;
        }
    }
    return state.sends < sends_max ? step::again : step::stop;
}

} // namespace lagoonsaddle::edge
