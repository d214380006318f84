// Orders the loads of an availability zone, and admits the requests that wait for them.
#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

#include <lagoonsaddle/edge/internal_placement.hpp>

namespace lagoonsaddle::edge {

namespace {

using std::chrono::milliseconds;

/*! @brief Time without an answer of an upstream after which its loads are not waited for beyond their timeout. */
constexpr milliseconds upstream_silence_max{500};

[[nodiscard]] std::int64_t to_milliseconds(core::duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

[[nodiscard]] double to_fractional_ms(core::duration value) {
    return std::chrono::duration<double, std::milli>{value}.count();
}

} // namespace

std::shared_ptr<load_admission> placement_service::admission_of(const std::string& zone) {
    auto& admission = this->admissions[zone];
    if(admission == nullptr) {
        admission = std::make_shared<load_admission>(this->settings.loads);
    }
    return admission;
}

std::shared_ptr<load_admission> placement_service::admission_of_upstream(const std::string& upstream) {
    const auto* known = this->context.upstreams.find(upstream);
    return known == nullptr ? nullptr : this->admission_of(known->entry.availability_zone);
}

core::result<void> placement_service::admit(admission_ticket& ticket, const adapter_request& request) {
    const auto now = this->context.clock.now();
    const auto admission = this->admission_of_upstream(request.upstream);
    if(admission == nullptr) {
        return core::fail(core::reason::unavailable, "the upstream is gone");
    }
    load_request wanted{.key = {.upstream = request.upstream, .adapter = adapter_key(request.model, request.adapter)},
        .objective = request.objective,
        .deadline = request.deadline,
        .prompt_tokens = request.prompt_tokens,
        .output_tokens = request.output_tokens};
    wanted.priority = request.priority.value_or(wanted.priority);
    const auto added = admission->add_request(std::move(wanted), now);
    if(!added) {
        const load_refusal refusal{.reason = load_refusal_reason::queue_full, .retry_after = admission->load_wait(now)};
        return tl::make_unexpected(this->refuse_load(request, refusal));
    }
    ticket.set(admission, *added);
    this->wake_refused_requests(*admission);
    return {};
}

bool placement_service::is_delayed(const adapter_request& request, const load_worker& worker) const {
    const auto now = this->context.clock.now();
    const auto current = this->load_workers.find(request.upstream);
    const auto* known = this->context.upstreams.find(request.upstream);
    if(known == nullptr || current == this->load_workers.end() || current->second.get() != &worker) {
        return false;
    }
    const auto admission = this->admissions.find(known->entry.availability_zone);
    const bool silent = worker.silent_since && now - *worker.silent_since >= upstream_silence_max;
    const load_key key{.upstream = request.upstream, .adapter = adapter_key(request.model, request.adapter)};
    return !silent && admission != this->admissions.end() && admission->second->is_advancing(key, now);
}

std::optional<core::error> placement_service::review_wait(
    const adapter_request& request, load_worker& worker, const admission_ticket& ticket, core::time_point deadline) {
    const auto now = this->context.clock.now();
    const bool may_wait_longer = request.deadline && now < *request.deadline && this->is_delayed(request, worker);
    if(now >= deadline && !may_wait_longer) {
        return core::error{.cause = core::reason::timeout, .message = "the adapter was not loaded in time"};
    }
    if(const auto refusal = request.deadline ? ticket.find_refusal(now) : std::nullopt) {
        return this->refuse_load(request, *refusal);
    }
    if(request.is_wanted && !request.is_wanted()) {
        return core::error{.cause = core::reason::cancelled, .message = "the sender no longer waits for the request"};
    }
    return std::nullopt;
}

core::error placement_service::refuse_load(const adapter_request& request, const load_refusal& refusal) {
    const auto* known = this->context.upstreams.find(request.upstream);
    const auto zone = known == nullptr ? std::string{} : known->entry.availability_zone;
    const auto admission = this->admission_of(zone);
    admission->record_refusal(refusal.reason);
    const auto now = this->context.clock.now();
    const auto state = admission->state(now);
    const auto left = request.deadline.value_or(now) - now;
    this->context.log.write(log_line{"load_refused"}
                                .add("zone", zone)
                                .add("upstream", request.upstream)
                                .add("adapter", adapter_key(request.model, request.adapter))
                                .add("reason", to_string(refusal.reason))
                                .add("priority", static_cast<std::int64_t>(request.priority.value_or(0u)))
                                .add("left_ms", to_milliseconds(left))
                                .add("wait_ms", to_milliseconds(refusal.wait))
                                .add("retry_ms", to_milliseconds(refusal.retry_after))
                                .add("window", static_cast<std::int64_t>(state.window))
                                .add("delayed", static_cast<std::int64_t>(state.loads_delayed)));
    return core::error{.cause = core::reason::overloaded,
        .message = "the adapter cannot be loaded before the deadline of the request",
        .retry_after = std::max(std::chrono::duration_cast<milliseconds>(refusal.retry_after), milliseconds{1})};
}

std::optional<slot_order> placement_service::next_order(const std::string& upstream, load_worker& worker) {
    const auto now = this->context.clock.now();
    const auto admission = this->admission_of_upstream(upstream);
    if(admission == nullptr) {
        return std::nullopt;
    }
    upstream_load_gate gate{*admission, upstream, now};
    auto order = worker.scheduler.next_order(now, &gate);
    this->wake_refused_requests(*admission);
    return order;
}

void placement_service::record_load_outcome(
    const std::string& upstream, const slot_order& order, order_outcome outcome) {
    const auto admission = this->admission_of_upstream(upstream);
    if(admission == nullptr || !order.load || order.adapter.empty()) {
        return;
    }
    const auto now = this->context.clock.now();
    const load_key key{.upstream = upstream, .adapter = adapter_key(order.model, order.adapter)};
    if(outcome == order_outcome::accepted) {
        admission->record_started(key, now);
        return;
    }
    if(outcome == order_outcome::done) {
        admission->record_completed(key, now);
    } else {
        admission->record_failed(key);
    }
    this->wake_ready_workers(*admission);
    if(const auto former = admission->take_window_decrease()) {
        const auto state = admission->state(now);
        this->context.log.write(log_line{"load_window_reduced"}
                                    .add("zone", this->context.upstreams.find(upstream)->entry.availability_zone)
                                    .add("from", static_cast<std::int64_t>(*former))
                                    .add("to", static_cast<std::int64_t>(state.window))
                                    .add("load_ms", to_milliseconds(state.load_duration))
                                    .add("loads", static_cast<std::int64_t>(state.loads_in_progress))
                                    .add("delayed", static_cast<std::int64_t>(state.loads_delayed)));
    }
}

void placement_service::wake_ready_workers(load_admission& admission) {
    for(const auto& upstream : admission.ready_upstreams(this->context.clock.now())) {
        if(const auto found = this->load_workers.find(upstream); found != this->load_workers.end()) {
            found->second->wake_timer.cancel();
        }
    }
}

void placement_service::wake_refused_requests(load_admission& admission) {
    for(const auto& upstream : admission.take_refused_upstreams(this->context.clock.now())) {
        if(const auto found = this->load_workers.find(upstream); found != this->load_workers.end()) {
            found->second->change_timer.cancel();
        }
    }
}

double placement_service::load_wait_ms(const std::string& upstream, std::string_view model, std::string_view adapter) {
    const auto* known = this->context.upstreams.find(upstream);
    const auto found =
        known == nullptr ? this->admissions.end() : this->admissions.find(known->entry.availability_zone);
    if(found == this->admissions.end()) {
        return 0.0;
    }
    const load_key key{.upstream = upstream, .adapter = adapter_key(model, adapter)};
    return to_fractional_ms(found->second->load_wait(key, this->context.clock.now()));
}

double placement_service::load_wait_ms(std::string_view zone) {
    const auto found = this->admissions.find(zone);
    return found == this->admissions.end() ? 0.0
                                           : to_fractional_ms(found->second->load_wait(this->context.clock.now()));
}

std::map<std::string, load_admission_state> placement_service::load_states() {
    std::map<std::string, load_admission_state> states{};
    for(const auto& [zone, admission] : this->admissions) {
        if(this->lease_of(zone).is_holder()) {
            states.emplace(zone, admission->state(this->context.clock.now()));
        }
    }
    return states;
}

} // namespace lagoonsaddle::edge
