#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/gateway/internal_owner.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using namespace internal;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval{20};
// The timer of the queue answers at the deadline; this covers a tick that comes late.
constexpr milliseconds dispatch_margin{500};
constexpr double service_time_weight{0.1};

} // namespace

upstream_owner::upstream_owner(upstream_owner_context collaborators, upstream::description subject,
    const upstream_owner_options& values, report_callback receiver)
    : shared{collaborators},
      description{std::move(subject)},
      options{values},
      reporter{std::move(receiver)},
      engine{collaborators.requester, this->description.endpoint},
      service{collaborators.requester, this->description.endpoint},
      slots{this->options.slots},
      queue{this->options.queue},
      batch_limit{this->options.concurrency_default},
      leaving{this->description.leaving} {}

void upstream_owner::start() {
    asio::co_spawn(
        asio::make_strand(this->shared.io),
        [keep = this->shared_from_this()]() -> asio::awaitable<void> { co_await keep->run_timers(); }, asio::detached);
}

void upstream_owner::stop() {
    this->stopped = true;
}

asio::awaitable<void> upstream_owner::serve(wire::submit request, std::shared_ptr<wire::responder> answer) {
    const auto keep = this->shared_from_this();
    const auto arrived = this->shared.clock.now();
    const auto deadline = arrived + milliseconds{request.deadline_left_ms};
    auto entry = std::make_shared<ticket>();
    entry->adapter = core::adapter_version{.adapter = request.adapter, .version = request.version};
    entry->digest = core::digest(request.body);

    auto admitted = this->admit(request, entry, deadline);
    if(!admitted) {
        const wire::answer_end refused{.verdict = core::verdict::not_run, .failure = wire::to_wire(admitted.error())};
        answer->send(wire::message_type::answer_end, wire::pack(refused));
        co_return;
    }
    const auto id = *admitted;
    auto control = std::make_shared<cancellation>();
    control->executor = co_await asio::this_coro::executor;
    answer->on_cancel([keep, control, id] {
        keep->cancel_queued(id);
        asio::post(control->executor, [control] {
            control->cancelled = true;
            if(control->stream != nullptr) {
                control->stream->close();
            }
        });
    });
    this->pump();

    const auto dispatched = co_await entry->result->pop(time_left(deadline, arrived) + dispatch_margin);
    if(!dispatched || !*dispatched) {
        auto failure = dispatched ? dispatched->error()
                                  : make_error(core::reason::deadline_exceeded, core::verdict::not_run,
                                        "the deadline passed in the queue");
        if(!dispatched) {
            this->cancel_queued(id);
        }
        const wire::answer_end refused{.verdict = core::verdict::not_run, .failure = wire::to_wire(failure)};
        answer->send(wire::message_type::answer_end, wire::pack(refused));
        co_return;
    }

    const auto started = this->shared.clock.now();
    run_outcome outcome{};
    if(!this->shared.authority.may_route(this->description.name)) {
        outcome.end.verdict = core::verdict::not_run;
        outcome.end.failure = wire::to_wire(make_error(core::reason::lease_expired, core::verdict::not_run,
            "this node may no longer own upstream " + this->description.name, retry_after_draining));
    } else if(control->cancelled) {
        outcome.end.verdict = core::verdict::not_run;
        outcome.end.failure =
            wire::to_wire(make_error(core::reason::cancelled, core::verdict::not_run, "the caller has gone"));
    } else if(this->description.kind == upstream::kind::engine) {
        outcome = co_await this->run_engine(request, deadline, *answer, control);
    } else {
        outcome = co_await this->run_service(request, deadline, *answer);
    }
    const auto ended = this->shared.clock.now();
    outcome.end.times.queue_wait_us = microseconds(started - arrived);
    outcome.end.times.load_stall_us = entry->waits_for_load ? outcome.end.times.queue_wait_us : 0u;
    outcome.end.times.upstream_us = microseconds(ended - started);
    if(request.isolated && outcome.completed) {
        this->shared.quarantine.record_isolated_run(entry->digest);
    }
    this->finish(id, entry, outcome.completed, ended - started);
    {
        const std::lock_guard lock{this->mutex};
        if(this->fencing_token != 0u && !this->retired) {
            outcome.end.state = this->make_report();
        }
    }
    answer->send(wire::message_type::answer_end, wire::pack(outcome.end));
    this->pump();
}

std::optional<core::error> upstream_owner::refusal() const {
    if(this->retired || !this->shared.authority.may_route(this->description.name)) {
        return make_error(core::reason::lease_expired, core::verdict::not_run,
            "this node does not own upstream " + this->description.name, retry_after_draining);
    }
    if(this->leaving) {
        return make_error(core::reason::draining, core::verdict::not_run,
            "upstream " + this->description.name + " is leaving", retry_after_draining);
    }
    if(!this->healthy) {
        return make_error(core::reason::unavailable, core::verdict::not_run,
            "upstream " + this->description.name + " does not respond", retry_after_crash);
    }
    return std::nullopt;
}

core::result<std::uint64_t> upstream_owner::admit(
    const wire::submit& request, const ticket_pointer& entry, core::time_point deadline) {
    const auto now = this->shared.clock.now();
    std::vector<resolution> resolutions{};
    core::result<std::uint64_t> outcome{};
    {
        const std::lock_guard lock{this->mutex};
        if(auto refused = this->refusal(); refused.has_value()) {
            ++this->counted.refused;
            return tl::make_unexpected(std::move(*refused));
        }
        if(request.may_decline && this->description.kind == upstream::kind::engine &&
            this->slots_promised(entry->adapter, now)) {
            ++this->counted.declined;
            return tl::make_unexpected(make_error(core::reason::adapter_not_resident, core::verdict::not_run,
                "other adapters already wait for all slots of upstream " + this->description.name));
        }
        const bool resident =
            this->description.kind != upstream::kind::engine || this->slots.is_resident(entry->adapter);
        entry->waits_for_load = !resident;
        const core::duration load_wait =
            resident ? core::duration::zero() : core::duration{this->options.load_estimate};
        policy::queued_request waiting{.id = ++this->last_id,
            .adapter = entry->adapter,
            .caller = request.caller,
            .priority = static_cast<int>(request.priority),
            .deadline = deadline,
            .service_time = this->service_time,
            .isolated = request.isolated};
        const auto id = waiting.id;
        auto answer = this->queue.push(std::move(waiting), load_wait, now);
        if(answer.displaced) {
            this->collect(resolutions, answer.displaced->request.id, std::move(answer.displaced->error));
        }
        if(answer.refusal) {
            ++this->counted.refused;
            outcome = tl::make_unexpected(std::move(*answer.refusal));
        } else {
            ++this->counted.admitted;
            if(this->description.kind == upstream::kind::engine) {
                this->slots.request_queued(entry->adapter, now);
            }
            this->queued.emplace(id, entry);
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
            ++this->counted.cancelled;
            this->collect(
                resolutions, id, make_error(core::reason::cancelled, core::verdict::not_run, "the caller has gone"));
        }
    }
    resolve(resolutions);
}

// Takes a request that has left the queue out of the tables. The lock is held; the tickets are resolved after it.
void upstream_owner::collect(std::vector<resolution>& resolutions, std::uint64_t id, core::error failure) {
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
    for(auto& [entry, outcome] : resolutions) {
        entry->result->push(std::move(outcome));
    }
}

std::size_t upstream_owner::room() const {
    return this->running.size() >= this->batch_limit ? 0u : this->batch_limit - this->running.size();
}

void upstream_owner::pump() {
    std::vector<resolution> resolutions{};
    std::vector<core::adapter_version> wanted{};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->shared.clock.now();
        for(auto& expired : this->queue.expire(now)) {
            this->collect(resolutions, expired.request.id, std::move(expired.error));
        }
        // A node that was paused has to read the assignment again before it sends anything.
        const bool may_route = this->shared.authority.may_route(this->description.name);
        if(may_route && !this->leaving && !this->retired && this->healthy) {
            const bool has_slots = this->description.kind == upstream::kind::engine;
            const auto popped = this->queue.pop(
                this->room(), this->running.size(),
                [this, has_slots](
                    const core::adapter_version& adapter) { return !has_slots || this->slots.is_resident(adapter); },
                now);
            for(const auto& next : popped) {
                const auto found = this->queued.find(next.id);
                if(found == this->queued.end()) {
                    continue;
                }
                if(has_slots && !this->slots.request_dispatched(next.adapter)) {
                    this->collect(resolutions, next.id,
                        make_error(core::reason::adapter_not_resident, core::verdict::not_run,
                            "the adapter is no longer resident", retry_after_draining));
                    continue;
                }
                this->running.emplace(next.id, found->second);
                resolutions.emplace_back(std::move(found->second), dispatch{});
                this->queued.erase(found);
            }
            if(has_slots) {
                this->start_loads(wanted);
            }
        }
    }
    resolve(resolutions);
    for(auto& adapter : wanted) {
        asio::co_spawn(
            asio::make_strand(this->shared.io),
            [keep = this->shared_from_this(), adapter = std::move(adapter)]() -> asio::awaitable<void> {
                co_await keep->load(adapter);
            },
            asio::detached);
    }
}

void upstream_owner::finish(std::uint64_t id, const ticket_pointer& entry, bool completed, core::duration elapsed) {
    const std::lock_guard lock{this->mutex};
    this->running.erase(id);
    if(this->description.kind == upstream::kind::engine) {
        this->slots.request_finished(entry->adapter);
    }
    if(completed) {
        ++this->counted.completed;
        const auto change = static_cast<double>((elapsed - this->service_time).count()) * service_time_weight;
        this->service_time += core::duration{static_cast<core::duration::rep>(change)};
    } else {
        ++this->counted.failed;
    }
}

void upstream_owner::set_leaving(bool value) {
    {
        const std::lock_guard lock{this->mutex};
        this->leaving = value;
    }
    if(value) {
        this->drop_queue(make_error(core::reason::draining, core::verdict::not_run,
            "upstream " + this->description.name + " is leaving", retry_after_draining));
    }
}

void upstream_owner::retire() {
    {
        const std::lock_guard lock{this->mutex};
        this->retired = true;
    }
    this->drop_queue(make_error(core::reason::lease_expired, core::verdict::not_run,
        "this node no longer owns upstream " + this->description.name, retry_after_draining));
}

void upstream_owner::drop_queue(const core::error& failure) {
    std::vector<resolution> resolutions{};
    {
        const std::lock_guard lock{this->mutex};
        for(const auto& waiting : this->queue.drain()) {
            this->collect(resolutions, waiting.id, failure);
        }
    }
    resolve(resolutions);
}

bool upstream_owner::idle() const {
    const std::lock_guard lock{this->mutex};
    return this->queued.empty() && this->running.empty();
}

upstream_owner_counters upstream_owner::counters() const {
    const std::lock_guard lock{this->mutex};
    return this->counted;
}

asio::awaitable<void> upstream_owner::run_timers() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(!this->stopped.load()) {
        this->follow_ownership();
        this->pump();
        bool poll{};
        bool report{};
        {
            const std::lock_guard lock{this->mutex};
            const auto now = this->shared.clock.now();
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
                asio::make_strand(this->shared.io),
                [keep = this->shared_from_this()]() -> asio::awaitable<void> { co_await keep->poll_report(); },
                asio::detached);
        }
        if(report) {
            this->send_report();
        }
        timer.expires_after(tick_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void upstream_owner::follow_ownership() {
    const auto& name = this->description.name;
    const auto token = this->shared.authority.fencing_token(name);
    const auto since = this->shared.authority.owner_since(name);
    const std::lock_guard lock{this->mutex};
    if(token && since && *token != this->fencing_token) {
        this->fencing_token = *token;
        this->last_sequence = 0u;
        this->slots.ownership_taken(*since, *since + this->shared.authority.takeover_wait(name));
    }
    this->slots.suspend_orders(!this->shared.authority.may_load(name));
}

} // namespace lagoonsaddle::gateway
