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

constexpr milliseconds owner_poll{25};
constexpr milliseconds retry_after_unready{1'000};
constexpr milliseconds retry_after_no_owner{1'000};
// Covers the way back from the owner, whose own timer ends the request at the deadline.
constexpr milliseconds answer_margin{1'000};
constexpr milliseconds claim_run_margin{30'000};
constexpr std::size_t attempts_recorded{6u};

[[nodiscard]] asio::awaitable<void> pause(core::duration time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/*! @brief Returns whether a failure says that the owner is not reached, so that nothing is known against the upstream.
 */
[[nodiscard]] bool owner_unknown(const core::error& failure) noexcept {
    return failure.verdict == core::verdict::not_run &&
           (failure.cause == core::reason::lease_expired || failure.cause == core::reason::connection_refused);
}

} // namespace

struct caller_handler::call {
    caller_request request{};
    /*! @brief Unique in the fleet, as upstreams use it to resume and cancel. */
    std::string unique_id{};
    std::string digest{};
    core::time_point received{};
    core::time_point deadline{};
    request_record record{};
    std::optional<answer_writer> writer{};
    std::optional<std::string> claim_id{};
    rule_verdict rules{};
    std::vector<std::string> excluded{};
    std::shared_ptr<wire::exchange> exchange{};
    std::size_t attempts{};
    /*! @brief All candidates declined the request once; from now on an owner has to queue it. */
    bool insists{false};
    /*! @brief Set when an attempt may have run; a later attempt that was refused does not change this. */
    bool may_have_run{false};
    bool gone{false};

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
    wire::timings times{};
    bool complete{false};
};

caller_handler::caller_handler(caller_handler_context collaborators, caller_handler_options values)
    : shared{collaborators},
      options{std::move(values)},
      retries{this->options.retries, core::hash(this->options.node)} {}

asio::awaitable<void> caller_handler::handle(http::request message, http::response_writer& writer) {
    if(message.target == "/healthz" || message.target == "/readyz") {
        const bool good = message.target == "/healthz" || this->is_ready();
        auto answer = http::json_response(good ? 200u : 503u, {{"ready", this->is_ready()}});
        static_cast<void>(co_await writer.send(std::move(answer)));
        co_return;
    }

    call current{};
    current.received = this->shared.clock.now();
    current.record.received_at = core::unix_time();
    std::array<char, 64u> suffix{};
    std::snprintf(suffix.data(), suffix.size(), "-%llx-%llx", static_cast<unsigned long long>(this->options.boot_id),
        static_cast<unsigned long long>(++this->last_id));
    current.unique_id = this->options.node + suffix.data();
    const auto request_id = read_request_id(message, current.unique_id);

    auto parsed = parse_caller_request(message, this->options.limits);
    std::optional<core::error> failure{};
    if(!parsed) {
        failure = std::move(parsed.error());
    } else {
        current.request = std::move(*parsed);
    }
    current.request.request_id = request_id;
    current.writer.emplace(current.request, writer);
    writer.on_disconnect([&current] {
        current.gone = true;
        if(current.exchange) {
            current.exchange->cancel();
        }
    });

    if(!failure && !this->ready.load()) {
        failure = core::error{.cause = core::reason::unavailable,
            .message = "the node has not read its configuration yet",
            .retry_after = retry_after_unready};
    }
    if(failure) {
        current.record.verdict = failure->verdict;
        current.record.failure = failure;
        co_await current.writer->fail(std::move(*failure));
    } else {
        co_await this->serve(current);
    }
    // The callback must not outlive the call that it refers to.
    writer.on_disconnect(nullptr);
    current.record.request = std::move(current.request);
    current.record.request.body.clear();
    current.record.total = this->shared.clock.now() - current.received;
    this->shared.observer.finished(current.record);
}

asio::awaitable<void> caller_handler::serve(call& current) {
    current.deadline = current.received + current.request.time_limit;
    current.digest = core::digest(current.request.body);
    auto failure = this->apply_rules(current);
    if(!failure && current.request.non_idempotent) {
        if(co_await this->claim(current)) {
            co_return;
        }
    }
    if(!failure) {
        failure = co_await this->run(current);
        if(failure && failure->verdict == core::verdict::not_run && current.may_have_run) {
            failure->verdict = core::verdict::may_have_run;
        }
        if(current.claim_id) {
            co_await this->settle_claim(current, failure);
        }
    }
    current.record.upstream = current.writer->head().upstream;
    current.record.served = current.writer->head().served;
    current.record.failure = failure;
    if(failure) {
        current.record.verdict = failure->verdict;
        LOG(INFO) << "event=request_failed request_id=" << current.request.request_id
                  << " caller=" << current.request.caller << " reason=" << core::to_string(failure->cause)
                  << " verdict=" << core::to_string(failure->verdict) << " error=\"" << failure->message << '"';
        co_await current.writer->fail(std::move(*failure));
        co_return;
    }
    current.record.verdict = core::verdict::ran;
    current.record.status = current.writer->status();
    const auto times = current.record.attempts.empty() ? wire::timings{} : current.record.attempts.back().times;
    static_cast<void>(co_await current.writer->finish(core::verdict::ran, times));
}

// Decides by rules, resolves the channel and checks that the adapter exists. Returns the refusal, if any.
std::optional<core::error> caller_handler::apply_rules(call& current) {
    auto& request = current.request;
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
    const auto members = this->shared.membership.members();
    const auto live =
        std::count_if(members->begin(), members->end(), [](const fleet::member& member) { return member.is_live(); });
    current.rules = this->shared.rules.decide(facts, 1. / static_cast<double>(std::max<std::ptrdiff_t>(live, 1)));
    current.record.rule = current.rules.rule;
    current.record.rules_version = current.rules.rules_version;
    if(current.rules.refusal) {
        return current.rules.refusal;
    }
    request.priority = current.rules.priority;
    if(request.kind == wire::call_kind::service) {
        return std::nullopt;
    }
    if(!request.channel.empty()) {
        request.version = current.rules.version;
    }
    if(request.version.empty()) {
        return core::error{.cause = core::reason::not_found,
            .message = "no rule resolves channel \"" + request.channel + "\" of adapter " + request.adapter};
    }
    if(this->shared.adapters.check(request.base_model, request.adapter, request.version) == catalogue_entry::unknown) {
        return core::error{.cause = core::reason::not_found,
            .message = "adapter " + request.base_model + "/" + core::to_string(current.adapter()) + " does not exist"};
    }
    return std::nullopt;
}

// Returns true when the request is answered without running, by an error or by the outcome of an earlier run.
asio::awaitable<bool> caller_handler::claim(call& current) {
    if(this->shared.journal == nullptr) {
        core::error refusal{.cause = core::reason::unavailable,
            .message = "non-idempotent requests need the object API, and none is configured"};
        current.record.failure = refusal;
        co_await current.writer->fail(std::move(refusal));
        co_return true;
    }
    const auto& request = current.request;
    const auto now = core::unix_time();
    const auto scope = request.service + "\n" + request.path + "\n" + request.base_model + "\n" + request.adapter +
                       "\n" + request.version + request.channel + "\n";
    journal::claim_request wanted{.key = current.journal_key(),
        .request_digest = core::digest(scope + request.body),
        .claimant = this->options.node + "/" + std::to_string(this->options.boot_id),
        .deadline = current.deadline,
        .now = now,
        .run_until = now + request.time_limit + claim_run_margin};
    auto answer = co_await this->shared.journal->claim(std::move(wanted));
    if(!answer) {
        current.record.verdict = answer.error().verdict;
        current.record.failure = answer.error();
        co_await current.writer->fail(std::move(answer.error()));
        co_return true;
    }
    if(answer->claimed()) {
        current.claim_id = std::move(answer->claim_id);
        co_return false;
    }
    const auto& first = *answer->first_outcome;
    current.record.replayed = true;
    current.record.verdict = first.verdict;
    if(first.verdict != core::verdict::ran) {
        core::error unknown{.cause = core::reason::outcome_unknown,
            .verdict = first.verdict,
            .message = "an earlier request with this idempotency key may have run; its outcome is not known"};
        current.record.failure = unknown;
        co_await current.writer->fail(std::move(unknown));
        co_return true;
    }
    current.record.status = first.status;
    wire::answer_head head{.status = first.status, .content_type = first.content_type, .upstream = "journal"};
    // The first answer is repeated as one body, also to a caller that asks for a stream.
    current.request.streamed = false;
    current.request.kind = wire::call_kind::service;
    current.writer->begin(std::move(head));
    static_cast<void>(co_await current.writer->add(first.body));
    const wire::timings no_wait{};
    static_cast<void>(co_await current.writer->finish(core::verdict::ran, no_wait));
    co_return true;
}

asio::awaitable<void> caller_handler::settle_claim(call& current, const std::optional<core::error>& failure) {
    const auto key = current.journal_key();
    if(failure && failure->verdict == core::verdict::not_run) {
        static_cast<void>(co_await this->shared.journal->release(key, *current.claim_id, core::unix_time()));
        co_return;
    }
    journal::outcome outcome{.status = current.writer->status(),
        .verdict = failure ? failure->verdict : core::verdict::ran,
        .content_type = current.writer->head().content_type};
    if(!failure) {
        outcome.body = current.writer->body();
        if(current.request.kind != wire::call_kind::service) {
            outcome.content_type = "application/json";
        }
    }
    const auto stored =
        co_await this->shared.journal->store_outcome(key, *current.claim_id, std::move(outcome), core::unix_time());
    if(!stored) {
        LOG(WARNING) << "event=outcome_not_stored request_id=" << current.request.request_id
                     << " reason=" << core::to_string(stored.error().cause);
    }
}

// Tries upstreams until the answer is complete. Returns the error that ends the request, if any.
asio::awaitable<std::optional<core::error>> caller_handler::run(call& current) {
    auto waiting_since = this->shared.clock.now();
    std::optional<core::error> last_failure{};
    while(true) {
        const auto now = this->shared.clock.now();
        if(current.gone) {
            co_return core::error{.cause = core::reason::cancelled, .message = "the caller has gone"};
        }
        if(now >= current.deadline) {
            co_return last_failure.value_or(core::error{
                .cause = core::reason::deadline_exceeded, .message = "no upstream could start the request in time"});
        }
        if(this->shared.quarantine.classify(current.digest) == policy::quarantine_status::quarantined) {
            core::error refusal{.cause = core::reason::quarantined,
                .message = "requests with this body crashed two upstreams and are refused for a while"};
            co_return refusal;
        }
        routing_result weighed{};
        const auto chosen = this->choose(current, weighed);
        if(!chosen) {
            const bool may_wait = now - waiting_since < this->options.owner_wait;
            if(weighed.candidates.empty() && weighed.excluded.empty()) {
                co_return core::error{.cause = core::reason::not_found,
                    .message = current.request.service.empty()
                                   ? "no engine serves base model " + current.request.base_model
                                   : "no upstream offers service " + current.request.service};
            }
            if(!may_wait || current.deadline - now < owner_poll) {
                co_return last_failure.value_or(core::error{.cause = core::reason::unavailable,
                    .message = "no upstream is available",
                    .retry_after = retry_after_no_owner});
            }
            if(!current.insists && !current.excluded.empty()) {
                current.insists = true;
                current.excluded.clear();
                continue;
            }
            // Every candidate may have been tried; the state of an upstream changes within this time.
            current.excluded.clear();
            co_await pause(owner_poll);
            continue;
        }

        attempt_record tried{.upstream = chosen->first, .owner = chosen->second, .route = std::move(weighed)};
        auto result = co_await this->attempt(current, chosen->first, chosen->second);
        tried.verdict = result.verdict;
        tried.failure = result.failure;
        tried.times = result.times;
        if(current.record.attempts.size() < attempts_recorded) {
            current.record.attempts.push_back(std::move(tried));
        } else {
            current.record.attempts.back() = std::move(tried);
        }
        if(result.complete) {
            const std::lock_guard lock{this->retry_mutex};
            this->retries.record_success();
            co_return std::nullopt;
        }
        last_failure = std::move(result.failure);
        current.may_have_run = current.may_have_run || last_failure->verdict != core::verdict::not_run;
        if(current.gone) {
            co_return last_failure;
        }
        if(owner_unknown(*last_failure)) {
            this->shared.ownership.refresh(chosen->first);
            if(this->shared.clock.now() - waiting_since >= this->options.owner_wait) {
                co_return last_failure;
            }
            co_await pause(owner_poll);
            continue;
        }
        waiting_since = this->shared.clock.now();
        if(!current.insists && last_failure->cause == core::reason::adapter_not_resident &&
            last_failure->verdict == core::verdict::not_run) {
            current.excluded.push_back(chosen->first);
            continue;
        }
        ++current.attempts;
        current.excluded.push_back(chosen->first);
        policy::retry_decision decision{};
        {
            const policy::failed_attempt failed{.verdict = last_failure->verdict,
                .cause = last_failure->cause,
                .idempotent = !current.request.non_idempotent,
                .delivered_bytes = current.writer->delivered() ? 1u : 0u,
                .attempts = current.attempts,
                .deadline = current.deadline,
                .retry_after = last_failure->retry_after};
            const std::lock_guard lock{this->retry_mutex};
            decision = this->retries.decide(failed, this->shared.clock.now());
        }
        if(!decision.should_retry()) {
            co_return last_failure;
        }
        co_await pause(decision.delay);
    }
}

std::optional<std::pair<std::string, std::string>> caller_handler::choose(call& current, routing_result& weighed) {
    const route_request wanted{.base_model = current.request.base_model,
        .service = current.request.service,
        .adapter = current.adapter(),
        .prefix_digest = current.digest,
        .isolated = this->isolate(current),
        .excluded = current.excluded};
    weighed = this->shared.routes.rank(wanted);
    std::vector<std::pair<std::string, std::string>> avoided{};
    std::optional<std::pair<std::string, std::string>> neutral{};
    for(const auto& candidate : weighed.candidates) {
        if(current.rules.source->find_drain_rule(candidate.upstream, core::unix_time())) {
            continue;
        }
        const auto owner = this->shared.ownership.owner(candidate.upstream);
        if(!owner || !this->shared.membership.find_live_member(owner->owner.name)) {
            // Assignments of other availability zones are read rarely; a takeover there is learned here.
            this->shared.ownership.refresh(candidate.upstream);
            continue;
        }
        std::pair<std::string, std::string> option{candidate.upstream, owner->owner.name};
        switch(rules::preference_of(current.rules.then, candidate.upstream, candidate.availability_zone)) {
        case rules::placement_preference::prefer:
            return option;
        case rules::placement_preference::neutral:
            if(!neutral) {
                neutral = std::move(option);
            }
            break;
        case rules::placement_preference::avoid:
            avoided.push_back(std::move(option));
            break;
        }
    }
    if(neutral) {
        return neutral;
    }
    return avoided.empty() ? std::nullopt : std::optional{avoided.front()};
}

bool caller_handler::isolate(const call& current) const {
    return this->shared.quarantine.classify(current.digest) == policy::quarantine_status::suspect;
}

wire::submit caller_handler::make_submit(const call& current, const std::string& upstream, bool isolated) const {
    const auto& request = current.request;
    const auto left = std::chrono::duration_cast<milliseconds>(current.deadline - this->shared.clock.now());
    return wire::submit{.request_id = current.unique_id + "-" + std::to_string(current.attempts),
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
        .deadline_left_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 1)),
        .priority = static_cast<unsigned>(request.priority),
        .streamed = request.streamed,
        .non_idempotent = request.non_idempotent,
        .isolated = isolated,
        .may_decline = !current.insists};
}

asio::awaitable<caller_handler::attempt_result> caller_handler::attempt(
    call& current, const std::string& upstream, const std::string& owner) {
    attempt_result result{};
    auto submit = this->make_submit(current, upstream, this->isolate(current));
    const auto ticket = this->shared.routes.request_sent(upstream, current.adapter());
    auto opened = co_await this->shared.owners.submit(owner, std::move(submit));
    if(!opened) {
        this->shared.routes.request_finished(upstream, ticket);
        result.verdict = opened.error().verdict;
        result.failure = std::move(opened.error());
        co_return result;
    }
    current.exchange = std::move(*opened);
    if(current.gone) {
        current.exchange->cancel();
    }
    while(!result.complete && !result.failure) {
        const auto left = std::chrono::duration_cast<milliseconds>(current.deadline - this->shared.clock.now());
        auto frame = co_await current.exchange->next(std::max(left, milliseconds::zero()) + answer_margin);
        if(!frame) {
            result.failure = std::move(frame.error());
        } else if(frame->type == wire::message_type::answer_head) {
            if(auto head = wire::unpack<wire::answer_head>(frame->body); head.has_value()) {
                current.writer->begin(std::move(*head));
            }
        } else if(frame->type == wire::message_type::answer_data) {
            const auto data = wire::unpack<wire::answer_data>(frame->body);
            if(!data) {
                result.failure = data.error();
                break;
            }
            if(!current.record.first_token) {
                current.record.first_token = this->shared.clock.now() - current.received;
            }
            if(const auto written = co_await current.writer->add(data->bytes); !written) {
                current.gone = true;
                current.exchange->cancel();
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
                const std::array digests{current.digest};
                this->shared.quarantine.record_crash(end->crash, digests);
            }
            if(end->state) {
                this->shared.routes.apply_report(*end->state);
            }
            result.verdict = end->verdict;
            result.times = end->times;
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
    current.exchange.reset();
    this->shared.routes.request_finished(upstream, ticket);
    co_return result;
}

} // namespace lagoonsaddle::gateway
