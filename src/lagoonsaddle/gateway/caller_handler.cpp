#include <algorithm>
#include <array>
#include <cstdio>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/gateway/caller_handler.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds owner_poll_interval{25};
constexpr milliseconds not_ready_retry_after{1'000};
constexpr milliseconds no_owner_retry_after{1'000};
// The owner ends the request at its deadline; this allows for the transfer of that answer to the entry node.
constexpr milliseconds owner_response_margin{1'000};
constexpr milliseconds claim_run_margin{30'000};
constexpr std::size_t max_recorded_attempts{6u};

[[nodiscard]] asio::awaitable<void> sleep_for(core::duration delay) {
    asio::steady_timer timer{co_await asio::this_coro::executor, delay};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/*! @brief Returns whether an attempt failed because it did not reach the owner, which says nothing of the upstream. */
[[nodiscard]] bool is_owner_unreachable(const core::error& failure) noexcept {
    return failure.verdict == core::verdict::not_run &&
           (failure.cause == core::reason::lease_expired || failure.cause == core::reason::connection_refused);
}

} // namespace

struct caller_handler::request_state {
    caller_request request{};
    /*! @brief Unique within the fleet. Upstreams identify requests by it to resume and cancel them. */
    std::string unique_id{};
    std::string body_digest{};
    core::time_point received_at{};
    core::time_point deadline{};
    request_record record{};
    std::optional<caller_response_writer> writer{};
    std::optional<std::string> claim_id{};
    rule_decision applied_rules{};
    std::vector<std::string> excluded_upstreams{};
    std::shared_ptr<wire::exchange> exchange{};
    std::size_t attempt_count{};
    /*! @brief Set after all candidates declined the request; from then on an owner must queue it. */
    bool require_queueing{false};
    /*! @brief Set when any attempt may have run. A later attempt that did not run does not clear it. */
    bool may_have_run{false};
    bool caller_disconnected{false};

    [[nodiscard]] core::adapter_version adapter() const {
        return core::adapter_version{.adapter = this->request.adapter, .version = this->request.version};
    }

    [[nodiscard]] std::string journal_key() const {
        return this->request.caller + "\n" + this->request.idempotency_key;
    }
};

struct caller_handler::attempt_result {
    std::optional<core::error> failure{};
    core::verdict verdict{core::verdict::not_run};
    wire::timings timings{};
    bool complete{false};
};

caller_handler::caller_handler(caller_handler_context context, caller_handler_options options)
    : context{context},
      options{std::move(options)},
      retry_policy{this->options.retries, core::hash(this->options.node)} {}

asio::awaitable<void> caller_handler::handle(http::request message, http::response_writer& writer) {
    if(message.target == "/healthz" || message.target == "/readyz") {
        const bool healthy = message.target == "/healthz" || this->is_ready();
        auto response = http::json_response(healthy ? 200u : 503u, {{"ready", this->is_ready()}});
        static_cast<void>(co_await writer.send(std::move(response)));
        co_return;
    }

    request_state state{};
    state.received_at = this->context.clock.now();
    state.record.received_at = core::unix_time();
    std::array<char, 64u> suffix{};
    std::snprintf(suffix.data(), suffix.size(), "-%llx-%llx", static_cast<unsigned long long>(this->options.boot_id),
        static_cast<unsigned long long>(++this->last_request_number));
    state.unique_id = this->options.node + suffix.data();
    const auto request_id = read_request_id(message, state.unique_id);

    auto parsed = parse_caller_request(message, this->options.limits);
    std::optional<core::error> failure{};
    if(!parsed) {
        failure = std::move(parsed.error());
    } else {
        state.request = std::move(*parsed);
    }
    state.request.request_id = request_id;
    state.writer.emplace(state.request, writer);
    writer.on_disconnect([&state] {
        state.caller_disconnected = true;
        if(state.exchange) {
            state.exchange->cancel();
        }
    });

    if(!failure && !this->ready.load()) {
        failure = core::error{.cause = core::reason::unavailable,
            .message = "the node has not read its configuration yet",
            .retry_after = not_ready_retry_after};
    }
    if(failure) {
        state.record.verdict = failure->verdict;
        state.record.failure = failure;
        co_await state.writer->fail(std::move(*failure));
    } else {
        co_await this->serve(state);
    }
    // The callback refers to `state` and must not outlive it.
    writer.on_disconnect(nullptr);
    state.record.request = std::move(state.request);
    state.record.request.body.clear();
    state.record.total_time = this->context.clock.now() - state.received_at;
    this->context.observer.on_request_finished(state.record);
}

asio::awaitable<void> caller_handler::serve(request_state& state) {
    state.deadline = state.received_at + state.request.time_limit;
    state.body_digest = core::digest(state.request.body);
    auto failure = this->apply_rules(state);
    if(!failure && state.request.non_idempotent) {
        if(co_await this->claim_execution(state)) {
            co_return;
        }
    }
    if(!failure) {
        failure = co_await this->run_with_retries(state);
        if(failure && failure->verdict == core::verdict::not_run && state.may_have_run) {
            failure->verdict = core::verdict::may_have_run;
        }
        if(state.claim_id) {
            co_await this->resolve_claim(state, failure);
        }
    }
    state.record.upstream = state.writer->head().upstream;
    state.record.served_adapter = state.writer->head().served;
    state.record.failure = failure;
    if(failure) {
        state.record.verdict = failure->verdict;
        LOG(INFO) << "event=request_failed request_id=" << state.request.request_id
                  << " caller=" << state.request.caller << " reason=" << core::to_string(failure->cause)
                  << " verdict=" << core::to_string(failure->verdict) << " error=\"" << failure->message << '"';
        co_await state.writer->fail(std::move(*failure));
        co_return;
    }
    state.record.verdict = core::verdict::ran;
    state.record.status = state.writer->status();
    const auto timings = state.record.attempts.empty() ? wire::timings{} : state.record.attempts.back().timings;
    static_cast<void>(co_await state.writer->finish(core::verdict::ran, timings));
}

// Applies the rules, resolves the channel and checks that the adapter exists. Returns an error when the request is
// refused.
std::optional<core::error> caller_handler::apply_rules(request_state& state) {
    auto& request = state.request;
    const rules::request_attributes facts{.request_id = request.request_id,
        .caller = request.caller,
        .base_model = request.base_model,
        .adapter = request.adapter,
        .version = request.version,
        .channel = request.channel,
        .service = request.service,
        .availability_zone = this->options.availability_zone,
        .priority = request.priority,
        .non_idempotent = request.non_idempotent,
        .time = core::unix_time()};
    const auto members = this->context.membership.members();
    const auto live_nodes =
        std::count_if(members->begin(), members->end(), [](const fleet::member& member) { return member.is_live(); });
    state.applied_rules =
        this->context.rules.decide(facts, 1. / static_cast<double>(std::max<std::ptrdiff_t>(live_nodes, 1)));
    state.record.rule = state.applied_rules.rule;
    state.record.rules_version = state.applied_rules.rules_version;
    if(state.applied_rules.refusal) {
        return state.applied_rules.refusal;
    }
    request.priority = state.applied_rules.priority;
    if(request.kind == wire::call_kind::service) {
        return std::nullopt;
    }
    if(!request.channel.empty()) {
        request.version = state.applied_rules.version;
    }
    if(request.version.empty()) {
        return core::error{.cause = core::reason::not_found,
            .message = "no rule resolves channel \"" + request.channel + "\" of adapter " + request.adapter};
    }
    if(this->context.catalogue.lookup(request.base_model, request.adapter, request.version) ==
        catalogue_lookup::not_found) {
        return core::error{.cause = core::reason::not_found,
            .message = "adapter " + request.base_model + "/" + core::to_string(state.adapter()) + " does not exist"};
    }
    return std::nullopt;
}

// Claims the idempotency key in the journal. Returns true when the caller has been answered without an execution, with
// an error or with the stored outcome of an earlier request.
asio::awaitable<bool> caller_handler::claim_execution(request_state& state) {
    if(this->context.journal == nullptr) {
        core::error refusal{.cause = core::reason::unavailable,
            .message = "non-idempotent requests need the object API, and none is configured"};
        state.record.failure = refusal;
        co_await state.writer->fail(std::move(refusal));
        co_return true;
    }
    const auto& request = state.request;
    const auto now = core::unix_time();
    const auto digest_prefix = request.service + "\n" + request.path + "\n" + request.base_model + "\n" +
                               request.adapter + "\n" + request.version + request.channel + "\n";
    journal::claim_request claim{.key = state.journal_key(),
        .request_digest = core::digest(digest_prefix + request.body),
        .claimant = this->options.node + "/" + std::to_string(this->options.boot_id),
        .deadline = state.deadline,
        .now = now,
        .run_until = now + request.time_limit + claim_run_margin};
    auto claim_result = co_await this->context.journal->claim(std::move(claim));
    if(!claim_result) {
        state.record.verdict = claim_result.error().verdict;
        state.record.failure = claim_result.error();
        co_await state.writer->fail(std::move(claim_result.error()));
        co_return true;
    }
    if(claim_result->claimed()) {
        state.claim_id = std::move(claim_result->claim_id);
        co_return false;
    }
    const auto& first_outcome = *claim_result->first_outcome;
    state.record.replayed = true;
    state.record.verdict = first_outcome.verdict;
    if(first_outcome.verdict != core::verdict::ran) {
        core::error outcome_unknown{.cause = core::reason::outcome_unknown,
            .verdict = first_outcome.verdict,
            .message = "an earlier request with this idempotency key may have run; its outcome is not known"};
        state.record.failure = outcome_unknown;
        co_await state.writer->fail(std::move(outcome_unknown));
        co_return true;
    }
    state.record.status = first_outcome.status;
    wire::answer_head head{
        .status = first_outcome.status, .content_type = first_outcome.content_type, .upstream = "journal"};
    // The stored outcome is sent as one response body, also when the caller asks for a stream.
    state.request.streamed = false;
    state.request.kind = wire::call_kind::service;
    state.writer->begin_attempt(std::move(head));
    static_cast<void>(co_await state.writer->append(first_outcome.body));
    const wire::timings zero_timings{};
    static_cast<void>(co_await state.writer->finish(core::verdict::ran, zero_timings));
    co_return true;
}

// Releases the claim when the request did not run, otherwise stores its outcome.
asio::awaitable<void> caller_handler::resolve_claim(request_state& state, const std::optional<core::error>& failure) {
    const auto key = state.journal_key();
    if(failure && failure->verdict == core::verdict::not_run) {
        static_cast<void>(co_await this->context.journal->release(key, *state.claim_id, core::unix_time()));
        co_return;
    }
    journal::outcome outcome{.status = state.writer->status(),
        .verdict = failure ? failure->verdict : core::verdict::ran,
        .content_type = state.writer->head().content_type};
    if(!failure) {
        outcome.body = state.writer->body();
        if(state.request.kind != wire::call_kind::service) {
            outcome.content_type = "application/json";
        }
    }
    const auto stored =
        co_await this->context.journal->store_outcome(key, *state.claim_id, std::move(outcome), core::unix_time());
    if(!stored) {
        LOG(WARNING) << "event=outcome_not_stored request_id=" << state.request.request_id
                     << " reason=" << core::to_string(stored.error().cause);
    }
}

// Runs attempts until one completes or a retry is not allowed. Returns the error that ends the request, if any.
asio::awaitable<std::optional<core::error>> caller_handler::run_with_retries(request_state& state) {
    auto owner_wait_started = this->context.clock.now();
    std::optional<core::error> last_failure{};
    while(true) {
        const auto now = this->context.clock.now();
        if(state.caller_disconnected) {
            co_return core::error{.cause = core::reason::cancelled, .message = "the caller disconnected"};
        }
        if(now >= state.deadline) {
            co_return last_failure.value_or(core::error{
                .cause = core::reason::deadline_exceeded, .message = "no upstream could start the request in time"});
        }
        if(this->context.quarantine.classify(state.body_digest) == policy::quarantine_status::quarantined) {
            core::error refusal{.cause = core::reason::quarantined,
                .message = "requests with this body crashed two upstreams and are quarantined"};
            co_return refusal;
        }
        routing_result ranking{};
        const auto chosen = this->choose_upstream(state, ranking);
        if(!chosen) {
            const bool may_wait = now - owner_wait_started < this->options.owner_wait_timeout;
            if(ranking.candidates.empty() && ranking.excluded.empty()) {
                co_return core::error{.cause = core::reason::not_found,
                    .message = state.request.service.empty() ? "no engine serves base model " + state.request.base_model
                                                             : "no upstream offers service " + state.request.service};
            }
            if(!may_wait || state.deadline - now < owner_poll_interval) {
                co_return last_failure.value_or(core::error{.cause = core::reason::unavailable,
                    .message = "no upstream is available",
                    .retry_after = no_owner_retry_after});
            }
            if(!state.require_queueing && !state.excluded_upstreams.empty()) {
                state.require_queueing = true;
                state.excluded_upstreams.clear();
                continue;
            }
            // All candidates may be excluded after failed attempts. They are considered again after the pause, since
            // the state of upstreams may have changed.
            state.excluded_upstreams.clear();
            co_await sleep_for(owner_poll_interval);
            continue;
        }

        attempt_record attempt{.upstream = chosen->first, .owner = chosen->second, .route = std::move(ranking)};
        auto result = co_await this->run_attempt(state, chosen->first, chosen->second);
        attempt.verdict = result.verdict;
        attempt.failure = result.failure;
        attempt.timings = result.timings;
        if(state.record.attempts.size() < max_recorded_attempts) {
            state.record.attempts.push_back(std::move(attempt));
        } else {
            state.record.attempts.back() = std::move(attempt);
        }
        if(result.complete) {
            const std::lock_guard lock{this->retry_mutex};
            this->retry_policy.record_success();
            co_return std::nullopt;
        }
        last_failure = std::move(result.failure);
        state.may_have_run = state.may_have_run || last_failure->verdict != core::verdict::not_run;
        if(state.caller_disconnected) {
            co_return last_failure;
        }
        if(is_owner_unreachable(*last_failure)) {
            this->context.ownership.refresh(chosen->first);
            if(this->context.clock.now() - owner_wait_started >= this->options.owner_wait_timeout) {
                co_return last_failure;
            }
            co_await sleep_for(owner_poll_interval);
            continue;
        }
        owner_wait_started = this->context.clock.now();
        if(!state.require_queueing && last_failure->cause == core::reason::adapter_not_resident &&
            last_failure->verdict == core::verdict::not_run) {
            state.excluded_upstreams.push_back(chosen->first);
            continue;
        }
        ++state.attempt_count;
        state.excluded_upstreams.push_back(chosen->first);
        policy::retry_decision decision{};
        {
            const policy::failed_attempt failed_attempt{.verdict = last_failure->verdict,
                .cause = last_failure->cause,
                .idempotent = !state.request.non_idempotent,
                .delivered_bytes = state.writer->has_started() ? 1u : 0u,
                .attempts = state.attempt_count,
                .deadline = state.deadline,
                .retry_after = last_failure->retry_after};
            const std::lock_guard lock{this->retry_mutex};
            decision = this->retry_policy.decide(failed_attempt, this->context.clock.now());
        }
        if(!decision.should_retry()) {
            co_return last_failure;
        }
        co_await sleep_for(decision.delay);
    }
}

// Returns the names of the best upstream and its owner, or nothing when no candidate has a live owner. Sets `ranking`.
std::optional<std::pair<std::string, std::string>> caller_handler::choose_upstream(
    request_state& state, routing_result& ranking) {
    const route_request request{.base_model = state.request.base_model,
        .service = state.request.service,
        .adapter = state.adapter(),
        .prefix_digest = state.body_digest,
        .isolated = this->must_isolate(state),
        .excluded = state.excluded_upstreams};
    ranking = this->context.routes.rank(request);
    std::vector<std::pair<std::string, std::string>> avoided{};
    std::optional<std::pair<std::string, std::string>> neutral{};
    for(const auto& candidate : ranking.candidates) {
        if(state.applied_rules.evaluator->find_drain_rule(candidate.upstream, core::unix_time())) {
            continue;
        }
        const auto owner = this->context.ownership.owner(candidate.upstream);
        if(!owner || !this->context.membership.find_live_member(owner->owner.name)) {
            // Ownership of other availability zones is read rarely; a refresh detects a takeover there.
            this->context.ownership.refresh(candidate.upstream);
            continue;
        }
        std::pair<std::string, std::string> target{candidate.upstream, owner->owner.name};
        switch(rules::preference_of(state.applied_rules.outcome, candidate.upstream, candidate.availability_zone)) {
        case rules::placement_preference::prefer:
            return target;
        case rules::placement_preference::neutral:
            if(!neutral) {
                neutral = std::move(target);
            }
            break;
        case rules::placement_preference::avoid:
            avoided.push_back(std::move(target));
            break;
        }
    }
    if(neutral) {
        return neutral;
    }
    return avoided.empty() ? std::nullopt : std::optional{avoided.front()};
}

bool caller_handler::must_isolate(const request_state& state) const {
    return this->context.quarantine.classify(state.body_digest) == policy::quarantine_status::suspect;
}

wire::submit caller_handler::make_submit(const request_state& state, const std::string& upstream, bool isolated) const {
    const auto& request = state.request;
    const auto time_left = std::chrono::duration_cast<milliseconds>(state.deadline - this->context.clock.now());
    return wire::submit{.request_id = state.unique_id + "-" + std::to_string(state.attempt_count),
        .upstream = upstream,
        .kind = request.kind,
        .caller = request.caller,
        .adapter = request.adapter,
        .version = request.version,
        .path = request.path,
        .method = request.method,
        .content_type = request.content_type,
        .body = request.body,
        .idempotency_key = request.idempotency_key,
        .deadline_left_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(time_left.count(), 1)),
        .priority = static_cast<unsigned>(request.priority),
        .streamed = request.streamed,
        .non_idempotent = request.non_idempotent,
        .isolated = isolated,
        .may_decline = !state.require_queueing};
}

asio::awaitable<caller_handler::attempt_result> caller_handler::run_attempt(
    request_state& state, const std::string& upstream, const std::string& owner) {
    attempt_result result{};
    auto submit = this->make_submit(state, upstream, this->must_isolate(state));
    const auto ticket = this->context.routes.request_sent(upstream, state.adapter());
    auto exchange = co_await this->context.owners.submit(owner, std::move(submit));
    if(!exchange) {
        this->context.routes.request_finished(upstream, ticket);
        result.verdict = exchange.error().verdict;
        result.failure = std::move(exchange.error());
        co_return result;
    }
    state.exchange = std::move(*exchange);
    if(state.caller_disconnected) {
        state.exchange->cancel();
    }
    while(!result.complete && !result.failure) {
        const auto time_left = std::chrono::duration_cast<milliseconds>(state.deadline - this->context.clock.now());
        auto frame = co_await state.exchange->next(std::max(time_left, milliseconds::zero()) + owner_response_margin);
        if(!frame) {
            result.failure = std::move(frame.error());
        } else if(frame->type == wire::message_type::answer_head) {
            if(auto head = wire::unpack<wire::answer_head>(frame->body); head.has_value()) {
                state.writer->begin_attempt(std::move(*head));
            }
        } else if(frame->type == wire::message_type::answer_data) {
            const auto data = wire::unpack<wire::answer_data>(frame->body);
            if(!data) {
                result.failure = data.error();
                break;
            }
            if(!state.record.time_to_first_token) {
                state.record.time_to_first_token = this->context.clock.now() - state.received_at;
            }
            if(const auto written = co_await state.writer->append(data->bytes); !written) {
                state.caller_disconnected = true;
                state.exchange->cancel();
                result.failure = written.error();
            }
        } else if(frame->type == wire::message_type::answer_end) {
            const auto end = wire::unpack<wire::answer_end>(frame->body);
            if(!end) {
                result.failure = end.error();
                result.failure->verdict = core::verdict::may_have_run;
                break;
            }
            if(end->crash != 0u) {
                const std::array digests{state.body_digest};
                this->context.quarantine.record_crash(end->crash, digests);
            }
            if(end->state) {
                this->context.routes.apply_report(*end->state);
            }
            result.verdict = end->verdict;
            result.timings = end->times;
            if(end->failure) {
                result.failure = wire::from_wire(*end->failure);
            } else {
                result.complete = true;
            }
        }
    }
    if(result.failure) {
        result.verdict = result.failure->verdict;
    }
    state.exchange.reset();
    this->context.routes.request_finished(upstream, ticket);
    co_return result;
}

} // namespace lagoonsaddle::gateway
