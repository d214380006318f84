#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/internal_upstream_owner.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using namespace internal;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds timer_interval{20};
// Requests expire in the queue at their deadline; the margin covers a late timer.
constexpr milliseconds dispatch_margin{500};
// Weight of the last request in the moving average of the service time.
constexpr double service_time_weight{0.1};

} // namespace

upstream_owner::upstream_owner(upstream_owner_context owner_context, upstream::description upstream_description,
    const upstream_owner_options& owner_options, report_callback report_receiver)
    : context{owner_context},
      description{std::move(upstream_description)},
      options{owner_options},
      on_report{std::move(report_receiver)},
      engine{owner_context.http_client, this->description.endpoint},
      service{owner_context.http_client, this->description.endpoint},
      slots{this->options.slots},
      queue{this->options.queue},
      batch_limit{this->options.concurrency_default},
      leaving{this->description.leaving} {}

void upstream_owner::start() {
    asio::co_spawn(
        asio::make_strand(this->context.io),
        [self = this->shared_from_this()]() -> asio::awaitable<void> { co_await self->run_timers(); },
        core::task_end{"upstream_owner_timers"});
}

void upstream_owner::stop() {
    this->stopped = true;
}

asio::awaitable<void> upstream_owner::serve(wire::submit request, std::shared_ptr<wire::responder> answer) {
    const auto self = this->shared_from_this();
    const auto arrived_at = this->context.clock.now();
    const auto deadline = arrived_at + milliseconds{request.deadline_left_ms};
    auto pending = std::make_shared<pending_request>();
    pending->adapter = core::adapter_version{.adapter = request.adapter, .version = request.version};
    pending->body_digest = core::digest(request.body);

    auto admitted = this->admit(request, pending, deadline);
    if(!admitted) {
        const wire::answer_end refused{.verdict = core::verdict::not_run, .failure = wire::to_wire(admitted.error())};
        answer->send(wire::message_type::answer_end, wire::pack(refused));
        co_return;
    }
    const auto id = *admitted;
    auto cancel_state = std::make_shared<cancellation>();
    cancel_state->executor = co_await asio::this_coro::executor;
    answer->on_cancel([self, cancel_state, id] {
        self->cancel_queued(id);
        asio::post(cancel_state->executor, [cancel_state] {
            cancel_state->cancelled = true;
            if(cancel_state->stream != nullptr) {
                cancel_state->stream->close();
            }
        });
    });
    this->dispatch_queued();

    const auto dispatched = co_await pending->result->pop(time_left(deadline, arrived_at) + dispatch_margin);
    if(!dispatched || !*dispatched) {
        auto failure = dispatched ? dispatched->error()
                                  : make_error(core::reason::deadline_exceeded, core::verdict::not_run,
                                        "the deadline passed while the request was queued");
        if(!dispatched) {
            this->cancel_queued(id);
        }
        const wire::answer_end refused{.verdict = core::verdict::not_run, .failure = wire::to_wire(failure)};
        answer->send(wire::message_type::answer_end, wire::pack(refused));
        co_return;
    }

    const auto started_at = this->context.clock.now();
    run_outcome outcome{};
    if(!this->context.authority.may_route(this->description.name)) {
        outcome.end.verdict = core::verdict::not_run;
        outcome.end.failure = wire::to_wire(make_error(core::reason::lease_expired, core::verdict::not_run,
            "this node may no longer own upstream " + this->description.name, default_retry_delay));
    } else if(cancel_state->cancelled) {
        outcome.end.verdict = core::verdict::not_run;
        outcome.end.failure =
            wire::to_wire(make_error(core::reason::cancelled, core::verdict::not_run, "the caller disconnected"));
    } else if(this->description.kind == upstream::kind::engine) {
        outcome = co_await this->run_engine(request, deadline, *answer, cancel_state);
    } else {
        outcome = co_await this->run_service(request, deadline, *answer);
    }
    const auto ended_at = this->context.clock.now();
    outcome.end.times.queue_wait_us = to_microseconds(started_at - arrived_at);
    outcome.end.times.load_stall_us = pending->waits_for_load ? outcome.end.times.queue_wait_us : 0u;
    outcome.end.times.upstream_us = to_microseconds(ended_at - started_at);
    if(request.isolated && outcome.completed) {
        this->context.quarantine.record_isolated_run(pending->body_digest);
    }
    this->record_finished(id, pending, outcome.completed, ended_at - started_at);
    {
        const std::lock_guard lock{this->mutex};
        if(this->fencing_token != 0u && !this->retired) {
            outcome.end.state = this->make_report();
        }
    }
    answer->send(wire::message_type::answer_end, wire::pack(outcome.end));
    this->dispatch_queued();
}

std::optional<core::error> upstream_owner::admission_error() const {
    if(this->retired || !this->context.authority.may_route(this->description.name)) {
        return make_error(core::reason::lease_expired, core::verdict::not_run,
            "this node does not own upstream " + this->description.name, default_retry_delay);
    }
    if(this->leaving) {
        return make_error(core::reason::draining, core::verdict::not_run,
            "upstream " + this->description.name + " is leaving", default_retry_delay);
    }
    if(!this->healthy) {
        return make_error(core::reason::unavailable, core::verdict::not_run,
            "upstream " + this->description.name + " does not respond", unavailable_retry_delay);
    }
    return std::nullopt;
}

core::result<std::uint64_t> upstream_owner::admit(
    const wire::submit& request, const pending_pointer& pending, core::time_point deadline) {
    const auto now = this->context.clock.now();
    std::vector<resolution> resolutions{};
    core::result<std::uint64_t> outcome{};
    {
        const std::lock_guard lock{this->mutex};
        if(auto refused = this->admission_error(); refused.has_value()) {
            ++this->counts.refused;
            return tl::make_unexpected(std::move(*refused));
        }
        if(request.may_decline && this->description.kind == upstream::kind::engine &&
            this->slots_exhausted(pending->adapter, now)) {
            ++this->counts.declined;
            return tl::make_unexpected(make_error(core::reason::adapter_not_resident, core::verdict::not_run,
                "queued requests for other adapters already need all slots of upstream " + this->description.name));
        }
        const bool resident =
            this->description.kind != upstream::kind::engine || this->slots.is_resident(pending->adapter);
        pending->waits_for_load = !resident;
        const core::duration load_wait =
            resident ? core::duration::zero() : core::duration{this->options.load_estimate};
        policy::queued_request waiting{.id = ++this->last_id,
            .adapter = pending->adapter,
            .caller = request.caller,
            .priority = static_cast<int>(request.priority),
            .deadline = deadline,
            .service_time = this->service_time,
            .isolated = request.isolated};
        const auto id = waiting.id;
        auto answer = this->queue.push(std::move(waiting), load_wait, now);
        if(answer.displaced) {
            this->remove_queued(resolutions, answer.displaced->request.id, std::move(answer.displaced->error));
        }
        if(answer.refusal) {
            ++this->counts.refused;
            outcome = tl::make_unexpected(std::move(*answer.refusal));
        } else {
            ++this->counts.admitted;
            if(this->description.kind == upstream::kind::engine) {
                this->slots.request_queued(pending->adapter, now);
            }
            this->queued.emplace(id, pending);
            outcome = id;
        }
    }
    resolve(resolutions);
    return outcome;
}

void upstream_owner::cancel_queued(std::uint64_t id) {
    std::vector<resolution> resolutions{};
    {
        const std::lock_guard lock{this->mutex};
        if(this->queue.cancel(id)) {
            ++this->counts.cancelled;
            this->remove_queued(resolutions, id,
                make_error(core::reason::cancelled, core::verdict::not_run, "the caller disconnected"));
        }
    }
    resolve(resolutions);
}

// Removes a request that left the queue from `queued`. The mutex must be held; call `resolve` after it is released.
void upstream_owner::remove_queued(std::vector<resolution>& resolutions, std::uint64_t id, core::error failure) {
    const auto found = this->queued.find(id);
    if(found == this->queued.end()) {
        return;
    }
    if(this->description.kind == upstream::kind::engine) {
        this->slots.request_dropped(found->second->adapter);
    }
    resolutions.emplace_back(std::move(found->second), tl::make_unexpected(std::move(failure)));
    this->queued.erase(found);
}

void upstream_owner::resolve(std::vector<resolution>& resolutions) {
    for(auto& [pending, outcome] : resolutions) {
        pending->result->push(std::move(outcome));
    }
}

std::size_t upstream_owner::batch_headroom() const {
    return this->running.size() >= this->batch_limit ? 0u : this->batch_limit - this->running.size();
}

void upstream_owner::dispatch_queued() {
    std::vector<resolution> resolutions{};
    std::vector<core::adapter_version> selected{};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->context.clock.now();
        for(auto& expired : this->queue.expire(now)) {
            this->remove_queued(resolutions, expired.request.id, std::move(expired.error));
        }
        // False after a pause of the process, until the node has read its ownership again.
        const bool may_route = this->context.authority.may_route(this->description.name);
        if(may_route && !this->leaving && !this->retired && this->healthy) {
            const bool has_slots = this->description.kind == upstream::kind::engine;
            const auto popped = this->queue.pop(
                this->batch_headroom(), this->running.size(),
                [this, has_slots](
                    const core::adapter_version& adapter) { return !has_slots || this->slots.is_resident(adapter); },
                now);
            for(const auto& next : popped) {
                const auto found = this->queued.find(next.id);
                if(found == this->queued.end()) {
                    continue;
                }
                if(has_slots && !this->slots.request_dispatched(next.adapter)) {
                    this->remove_queued(resolutions, next.id,
                        make_error(core::reason::adapter_not_resident, core::verdict::not_run,
                            "the adapter is no longer resident", default_retry_delay));
                    continue;
                }
                this->running.emplace(next.id, found->second);
                resolutions.emplace_back(std::move(found->second), dispatch{});
                this->queued.erase(found);
            }
            if(has_slots) {
                this->select_loads(selected);
            }
        }
    }
    resolve(resolutions);
    for(auto& adapter : selected) {
        asio::co_spawn(
            asio::make_strand(this->context.io),
            [self = this->shared_from_this(), adapter = std::move(adapter)]() -> asio::awaitable<void> {
                co_await self->load_adapter(adapter);
            },
            core::task_end{"adapter_load"});
    }
}

void upstream_owner::record_finished(
    std::uint64_t id, const pending_pointer& pending, bool completed, core::duration elapsed) {
    const std::lock_guard lock{this->mutex};
    this->running.erase(id);
    if(this->description.kind == upstream::kind::engine) {
        this->slots.request_finished(pending->adapter);
    }
    if(completed) {
        ++this->counts.completed;
        const auto change = static_cast<double>((elapsed - this->service_time).count()) * service_time_weight;
        this->service_time += core::duration{static_cast<core::duration::rep>(change)};
    } else {
        ++this->counts.failed;
    }
}

void upstream_owner::set_leaving(bool is_leaving) {
    {
        const std::lock_guard lock{this->mutex};
        this->leaving = is_leaving;
    }
    if(is_leaving) {
        this->fail_queued(make_error(core::reason::draining, core::verdict::not_run,
            "upstream " + this->description.name + " is leaving", default_retry_delay));
    }
}

void upstream_owner::retire() {
    {
        const std::lock_guard lock{this->mutex};
        this->retired = true;
    }
    this->fail_queued(make_error(core::reason::lease_expired, core::verdict::not_run,
        "this node no longer owns upstream " + this->description.name, default_retry_delay));
}

void upstream_owner::fail_queued(const core::error& failure) {
    std::vector<resolution> resolutions{};
    {
        const std::lock_guard lock{this->mutex};
        for(const auto& waiting : this->queue.drain()) {
            this->remove_queued(resolutions, waiting.id, failure);
        }
    }
    resolve(resolutions);
}

bool upstream_owner::is_idle() const {
    const std::lock_guard lock{this->mutex};
    return this->queued.empty() && this->running.empty();
}

upstream_owner_counters upstream_owner::counters() const {
    const std::lock_guard lock{this->mutex};
    return this->counts;
}

asio::awaitable<void> upstream_owner::run_timers() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(!this->stopped.load()) {
        this->update_ownership();
        this->dispatch_queued();
        bool poll{};
        bool report{};
        {
            const std::lock_guard lock{this->mutex};
            const auto now = this->context.clock.now();
            const bool is_engine = this->description.kind == upstream::kind::engine;
            poll = is_engine && !this->polling && (!this->next_poll || *this->next_poll <= now);
            report = !this->next_report || *this->next_report <= now;
            if(poll) {
                this->polling = true;
                this->next_poll = now + this->options.report_interval;
            }
            if(report) {
                this->next_report = now + this->options.report_interval;
            }
        }
        if(poll) {
            asio::co_spawn(
                asio::make_strand(this->context.io),
                [self = this->shared_from_this()]() -> asio::awaitable<void> { co_await self->poll_report(); },
                core::task_end{"upstream_report"});
        }
        if(report) {
            this->publish_report();
        }
        timer.expires_after(timer_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void upstream_owner::update_ownership() {
    const auto& name = this->description.name;
    const auto token = this->context.authority.fencing_token(name);
    const auto since = this->context.authority.owner_since(name);
    const std::lock_guard lock{this->mutex};
    if(token && since && *token != this->fencing_token) {
        this->fencing_token = *token;
        this->last_sequence = 0u;
        this->slots.ownership_taken(*since, *since + this->context.authority.takeover_eviction_delay(name));
    }
    this->slots.suspend_orders(!this->context.authority.may_load(name));
}

} // namespace lagoonsaddle::gateway
