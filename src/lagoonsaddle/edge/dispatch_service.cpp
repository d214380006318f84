#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/dispatch_service.hpp>
#include <lagoonsaddle/edge/sleep.hpp>
#include <lagoonsaddle/edge/speed_exchange.hpp>
#include <lagoonsaddle/edge/speed_reference.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Time for the first frame of the lease holder when the request can be sent to the local choice without it. */
constexpr milliseconds holder_timeout_if_resident{250};
/*! @brief Round trip to the lease holder, in addition to the time that the request may wait for a load. */
constexpr milliseconds peer_call_margin{100};
/*! @brief Time for which a lease holder that did not respond is not called again. */
constexpr milliseconds holder_skip_duration{500};
/*! @brief Progress of requests is batched for this time before it is sent. */
constexpr milliseconds progress_interval{20};
constexpr milliseconds maintenance_interval{100};
/*! @brief Time constant of the exponential decay of a delay that a lease holder reported. */
constexpr std::chrono::duration<double> delay_decay_time{1.0};
/*! @brief A reservation that its sender never releases expires this long after the request's lifetime. */
constexpr milliseconds reservation_margin{2'000};
/*! @brief Maximum number of upstreams that the lease holder tries for one request. */
constexpr unsigned upstreams_tried_max{2u};
/*! @brief Weight of a report of a zone's speed, which is a mean over many observations. */
constexpr double zone_report_weight{4.0};
constexpr double percent{100.0};
/*! @brief Limit of the slowness that a report states. */
constexpr std::uint64_t slowness_percent_max{10'000u};
/*! @brief Longest time to the objective and to the deadline that a sender may state. */
constexpr milliseconds stated_time_max{3'600'000};
/*! @brief Longest retry-after time that a lease holder may state. */
constexpr milliseconds retry_after_max{10'000};

/*! @brief Returns when a time that a sender has stated ends; nothing when it has stated none. */
[[nodiscard]] std::optional<core::time_point> end_of(
    core::time_point begin, const std::optional<std::uint64_t>& stated_ms) {
    if(!stated_ms) {
        return std::nullopt;
    }
    return begin + milliseconds{std::min(*stated_ms, static_cast<std::uint64_t>(stated_time_max.count()))};
}

/*! @brief Lists a call to a lease holder until it ends, also with an exception. */
class call_in_progress {
public:
    call_in_progress(std::map<std::uint64_t, std::string>& list, std::uint64_t of_request, const std::string& holder)
        : calls{list}, ticket{of_request} {
        this->calls.emplace(this->ticket, holder);
    }

    call_in_progress(const call_in_progress&) = delete;
    call_in_progress& operator=(const call_in_progress&) = delete;

    ~call_in_progress() {
        this->calls.erase(this->ticket);
    }

private:
    std::map<std::uint64_t, std::string>& calls;
    std::uint64_t ticket;
};

} // namespace

dispatch_service::dispatch_service(dispatch_context uses, std::string name)
    : context{uses}, node_name{std::move(name)} {}

void dispatch_service::start() {
    core::start_service(
        this->context.io, "reservations", [self = this->shared_from_this()] { return self->maintain_reservations(); });
}

asio::awaitable<void> dispatch_service::maintain_reservations() {
    while(true) {
        co_await sleep_for(maintenance_interval);
        this->reservations.remove_expired(this->context.clock.now());
        for(const auto& [key, value] : this->reservations.all()) {
            this->context.placement.record_use(value.upstream, value.model, value.adapter);
        }
    }
}

upstream_selector& dispatch_service::selector_for(const std::string& zone) {
    return this->selectors.try_emplace(zone, upstream_selector_options{.availability_zone = zone}).first->second;
}

double dispatch_service::decayed_delay_ms(
    std::string_view zone, double zone_state::*delay, core::time_point now) const {
    const auto found = this->zones.find(zone);
    if(found == this->zones.end()) {
        return 0.0;
    }
    const std::chrono::duration<double> age{now - found->second.delay_updated};
    return found->second.*delay * std::exp(-(age / delay_decay_time));
}

double dispatch_service::zone_delay_ms(std::string_view zone, core::time_point now) const {
    return this->decayed_delay_ms(zone, &zone_state::delay_ms, now);
}

double dispatch_service::zone_load_wait_ms(std::string_view zone, core::time_point now) const {
    return this->decayed_delay_ms(zone, &zone_state::load_wait_ms, now);
}

double dispatch_service::zone_slowness(std::string_view zone, core::time_point now) const {
    const auto found = this->zones.find(zone);
    if(found == this->zones.end()) {
        return 1.0;
    }
    speed_reference reference{};
    for(const auto& [name, state] : this->zones) {
        reference.add(state.speed.summarize(now));
    }
    return reference.slowness_of(found->second.speed.summarize(now));
}

asio::awaitable<core::result<wire::placement>> dispatch_service::call_holder(
    std::string holder, wire::place_request request, bool resident) {
    if(holder == this->node_name) {
        co_return co_await this->place_as_holder(std::move(holder), std::move(request));
    }
    const auto peer = this->context.peers.find(holder);
    if(!peer) {
        co_return core::fail(core::reason::unavailable, "the lease holder of the availability zone is not live");
    }
    const auto load_timeout = milliseconds{request.timeout_ms} + peer_call_margin;
    const auto timeout = resident ? std::min(holder_timeout_if_resident, load_timeout) : load_timeout;
    // A holder that has to load the adapter again says so at once: only one that is silent is given up early.
    request.knows_pending = true;
    const wire::interim_frame pending{.type = wire::message_type::placement_pending, .timeout = load_timeout};
    auto body = wire::pack(request);
    const auto reply = co_await peer->call(wire::message_type::place_request, std::move(body), timeout, pending);
    if(!reply) {
        co_return core::fail(reply.error().cause, "the lease holder of the availability zone did not respond");
    }
    co_return wire::unpack<wire::placement>(reply->body);
}

void dispatch_service::record_placement(
    const std::string& zone, const wire::place_request& request, const wire::placement& reply) {
    const auto now = this->context.clock.now();
    auto& state = this->zones[zone];
    state.delay_ms = static_cast<double>(reply.delay_ms);
    state.load_wait_ms = static_cast<double>(reply.load_wait_ms);
    state.delay_updated = now;
    if(reply.slowness_percent > 0u) {
        const double ratio = static_cast<double>(std::min(reply.slowness_percent, slowness_percent_max)) / percent;
        state.speed.record(ratio, zone_report_weight, now);
    }
    adopt_response_times(this->context.upstreams, reply.services, now);
    if(reply.restart_suspected) {
        this->context.upstreams.suspect_restart(reply.upstream, now);
    }
    if(!request.adapter.empty()) {
        this->context.upstreams.observe_adapter(
            reply.upstream, request.model, request.adapter, true, reply.version, now);
    }
}

asio::awaitable<placement_result> dispatch_service::place(wire::place_request request, selection local_choice) {
    const auto* known = this->context.upstreams.find(local_choice.upstream);
    const auto zone = known == nullptr ? std::string{} : known->entry.availability_zone;
    const auto holder = this->context.placement.lease_holder(zone);
    const placed_request local_placement{.upstream = local_choice.upstream, .cold_tokens = local_choice.cold_tokens};
    placement_failure failed{.failure = {.cause = core::reason::unavailable,
                                 .message = "no live node holds the lease of the availability zone"},
        .upstream = local_choice.upstream};
    if(holder && this->zones[zone].skip_holder_until <= this->context.clock.now()) {
        request.zone = zone;
        const call_in_progress call{this->calls_in_progress, request.ticket, *holder};
        const auto reply = co_await this->call_holder(*holder, request, local_choice.resident);
        if(reply && !reply->failure) {
            this->record_placement(zone, request, *reply);
            co_return placed_request{.upstream = reply->upstream,
                .cold_tokens = reply->cold_tokens,
                .holder = *holder,
                .ticket = request.ticket};
        }
        if(reply) {
            failed.failure = wire::from_wire(*reply->failure);
            failed.upstream = reply->upstream.empty() ? local_choice.upstream : reply->upstream;
            failed.unservable = reply->unservable;
            if(reply->unservable) {
                failed.failure.retry_after =
                    std::min(failed.failure.retry_after.value_or(retry_after_max), retry_after_max);
                auto& state = this->zones[zone];
                state.delay_ms = static_cast<double>(reply->delay_ms);
                state.load_wait_ms = static_cast<double>(reply->load_wait_ms);
                state.delay_updated = this->context.clock.now();
            }
        } else {
            failed.failure = reply.error();
            this->zones[zone].skip_holder_until = this->context.clock.now() + holder_skip_duration;
            // The holder may have made a reservation although its response did not arrive.
            this->record_end(placed_request{.holder = *holder, .ticket = request.ticket});
        }
    }
    if(local_choice.resident) {
        co_return local_placement;
    }
    co_return tl::make_unexpected(std::move(failed));
}

void dispatch_service::withdraw(std::uint64_t ticket) {
    if(const auto found = this->calls_in_progress.find(ticket); found != this->calls_in_progress.end()) {
        this->record_end(placed_request{.holder = found->second, .ticket = ticket});
    }
}

std::optional<selection> dispatch_service::reserve(
    const reservation_table::key_type& key, const wire::place_request& request, const std::set<std::string>& excluded) {
    const auto now = this->context.clock.now();
    selection_request criteria{.service = request.service,
        .model = request.model,
        .adapter = request.adapter,
        .prompt_tokens = request.prompt_tokens,
        .shared_prefix = request.shared_prefix,
        .shared_tokens = request.shared_tokens,
        .version_min = request.version_min,
        .software_version = request.software_version,
        .zone = request.zone,
        .excluded = &excluded,
        .reservations = &this->reservations};
    criteria.has_adapter_slot = [this, &request](const std::string& upstream) {
        return this->context.placement.has_adapter_slot(upstream, request.model, request.adapter);
    };
    criteria.load_wait_ms = [this, &request](const upstream_entry& upstream) {
        return this->context.placement.load_wait_ms(upstream.id, request.model, request.adapter);
    };
    auto choice = this->selector_for(request.zone).choose(this->context.upstreams, criteria, now);
    if(choice) {
        this->reservations.reserve(key, reservation{.upstream = choice->upstream,
                                            .model = request.model,
                                            .adapter = request.adapter,
                                            .cold_tokens = choice->cold_tokens,
                                            .expires = now + milliseconds{request.lifetime_ms} + reservation_margin});
        this->context.placement.record_use(choice->upstream, request.model, request.adapter);
    }
    return choice;
}

adapter_request dispatch_service::make_load(const reservation_table::key_type& key, const wire::place_request& request,
    const selection& choice, core::time_point begin, const pending_callback& on_pending) const {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(this->context.clock.now() - begin);
    adapter_request load{.upstream = choice.upstream,
        .model = request.model,
        .adapter = request.adapter,
        .version_min = request.version_min,
        .timeout = std::max(milliseconds{request.timeout_ms} - elapsed, milliseconds{1}),
        .may_wait = request.may_wait,
        .priority = request.priority,
        .objective = end_of(begin, request.objective_ms),
        .deadline = end_of(begin, request.deadline_ms),
        .prompt_tokens = choice.cold_tokens,
        .output_tokens = request.output_tokens};
    if(on_pending && request.deadline_ms) {
        load.on_waiting = [on_pending, upstream = choice.upstream] {
            on_pending(upstream);
        };
    }
    // The reservation ends with the sending node, and when the sender has given the holder up.
    load.is_wanted = [self = this->shared_from_this(), key] {
        return self->reservations.all().contains(key);
    };
    return load;
}

asio::awaitable<wire::placement> dispatch_service::place_as_holder(
    std::string node, wire::place_request request, pending_callback on_pending) {
    const auto begin = this->context.clock.now();
    this->selector_for(request.zone).record_request(request.model, request.adapter, request.shared_prefix, begin);
    std::set<std::string> excluded{request.excluded.begin(), request.excluded.end()};
    const reservation_table::key_type key{std::move(node), request.ticket};
    wire::placement reply{};
    core::error failure{
        .cause = core::reason::lease_expired, .message = "this node does not hold the lease of the availability zone"};
    for(unsigned tried{}; tried < upstreams_tried_max && this->context.placement.may_order_loads(request.zone);
        ++tried) {
        const auto choice = this->reserve(key, request, excluded);
        if(!choice) {
            failure = core::error{
                .cause = core::reason::unavailable, .message = "no upstream of the availability zone is available"};
            break;
        }
        reply.upstream = choice->upstream;
        reply.cold_tokens = choice->cold_tokens;
        reply.delay_ms = static_cast<std::uint64_t>(std::max(choice->mean_wait_ms, 0.0));
        this->add_speeds(reply, *choice);
        if(request.adapter.empty()) {
            this->reservations.mark_sent(key, this->context.clock.now());
            reply.restart_suspected = !this->certain_version(choice->upstream);
            co_return reply;
        }
        if(on_pending && !this->context.placement.is_resident(
                             choice->upstream, request.model, request.adapter, request.version_min)) {
            on_pending(choice->upstream);
        }
        auto load = this->make_load(key, request, *choice, begin, on_pending);
        const auto version = co_await this->context.placement.ensure_resident(std::move(load));
        const auto software_version = this->certain_version(choice->upstream);
        // The load may have shown that the upstream has started again, perhaps at another version.
        const bool may_serve = !request.software_version || software_version == request.software_version;
        if(version && may_serve) {
            this->reservations.mark_sent(key, this->context.clock.now());
            reply.version = *version;
            reply.restart_suspected = !software_version;
            reply.load_wait_ms = this->load_wait_of(request.zone);
            co_return reply;
        }
        this->reservations.release(key);
        if(!version) {
            failure = version.error();
        }
        reply.unservable = !version && version.error().retry_after.has_value();
        if(reply.unservable || failure.cause == core::reason::cancelled) {
            break;
        }
        excluded.insert(choice->upstream);
    }
    reply.load_wait_ms = this->load_wait_of(request.zone);
    reply.failure = wire::to_wire(failure);
    co_return reply;
}

std::uint64_t dispatch_service::load_wait_of(std::string_view zone) const {
    return static_cast<std::uint64_t>(this->context.placement.load_wait_ms(zone));
}

std::optional<std::string> dispatch_service::certain_version(std::string_view upstream) const {
    const auto* known = this->context.upstreams.find(upstream);
    return known == nullptr ? std::nullopt : this->context.upstreams.certain_version(*known, this->context.clock.now());
}

wire::request_progress& dispatch_service::pending_progress_for(const std::string& holder) {
    const auto [found, added] = this->pending_progress.try_emplace(holder);
    if(added) {
        asio::co_spawn(
            this->context.io, [self = this->shared_from_this(), holder] { return self->send_progress(holder); },
            core::task_end{"request_progress"});
    }
    return found->second;
}

asio::awaitable<void> dispatch_service::send_progress(std::string holder) {
    co_await sleep_for(progress_interval);
    const auto found = this->pending_progress.find(holder);
    found->second.services = take_response_times(this->context.upstreams, this->context.clock.now());
    auto body = wire::pack(found->second);
    this->pending_progress.erase(found);
    // When the message is lost, the reservations remain until they expire.
    if(const auto peer = this->context.peers.find(holder)) {
        co_await peer->notify(wire::message_type::request_progress, std::move(body));
    }
}

void dispatch_service::record_start(const placed_request& request) {
    if(request.holder == this->node_name) {
        this->mark_prefilled({this->node_name, request.ticket});
    } else if(!request.holder.empty()) {
        this->pending_progress_for(request.holder).started.push_back(request.ticket);
    }
}

void dispatch_service::record_end(const placed_request& request) {
    if(request.holder == this->node_name) {
        this->reservations.release({this->node_name, request.ticket});
    } else if(!request.holder.empty()) {
        this->pending_progress_for(request.holder).ended.push_back(request.ticket);
    }
}

void dispatch_service::apply_progress(const std::string& node, const wire::request_progress& progress) {
    for(const auto ticket : progress.started) {
        this->mark_prefilled({node, ticket});
    }
    for(const auto ticket : progress.ended) {
        this->reservations.release({node, ticket});
    }
    merge_response_times(this->context.upstreams, progress.services, this->context.clock.now());
}

void dispatch_service::mark_prefilled(const reservation_table::key_type& key) {
    const auto now = this->context.clock.now();
    if(const auto prefill = this->reservations.prefill_of(key, now)) {
        record_prefill(this->context.upstreams, *prefill, now);
    }
    this->reservations.mark_prefilled(key, now - prefill_message_time);
}

void dispatch_service::add_speeds(wire::placement& reply, const selection& choice) const {
    reply.slowness_percent = static_cast<std::uint64_t>(choice.mean_slowness.value_or(0.0) * percent);
    reply.services = copy_response_times(this->context.upstreams, this->context.clock.now());
}

void dispatch_service::remove_node(std::string_view node) {
    this->reservations.remove_node(node);
}

} // namespace lagoonsaddle::edge
