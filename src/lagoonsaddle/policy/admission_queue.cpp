#include <algorithm>
#include <limits>

#include <lagoonsaddle/policy/admission_queue.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Weight of a new sample in the moving average of the time between two dispatched requests. */
constexpr double dequeue_interval_smoothing = 0.1;

constexpr int default_priority = 5;

} // namespace

admission_queue::admission_queue(admission_queue_options options)
    : options{options}, dequeue_interval{options.dequeue_interval_default} {}

core::error admission_queue::make_refusal(core::reason cause, std::string message, core::duration retry_after) const {
    return {.cause = cause,
        .verdict = core::verdict::not_run,
        .message = std::move(message),
        .retry_after =
            std::max(this->options.retry_after_min, std::chrono::ceil<std::chrono::milliseconds>(retry_after))};
}

core::duration admission_queue::service_time(const queued_request& request) const noexcept {
    return std::chrono::duration_cast<core::duration>(this->options.service_time_factor * request.service_time);
}

double admission_queue::requests_ahead(const queued_request& request) const {
    // With fair queueing, the callers alternate until the queued requests of this caller are dispatched.
    const auto caller = this->callers.find(request.caller);
    const auto active = this->callers.size() + (caller == this->callers.end() ? 1u : 0u);
    const auto own_waiting = caller == this->callers.end() ? 0u : caller->second.waiting.size();
    const auto fair_share_ahead = static_cast<double>(own_waiting * active + active - 1u);
    const auto head_start = this->options.priority_credit * (request.priority - default_priority);
    return std::clamp(fair_share_ahead - head_start, 0., static_cast<double>(this->entries.size()));
}

admission_result admission_queue::push(queued_request request, core::duration load_wait, core::time_point now) {
    const auto queue_wait =
        std::chrono::duration_cast<core::duration>(this->requests_ahead(request) * this->dequeue_interval);
    const auto expected_end = now + std::max(load_wait, queue_wait) + this->service_time(request);
    if(expected_end > request.deadline || now >= request.deadline) {
        return {.refusal = this->make_refusal(
                    core::reason::deadline_exceeded, "the deadline cannot be met", expected_end - request.deadline)};
    }
    if(this->entries.contains(request.id)) {
        return {
            .refusal = this->make_refusal(core::reason::conflict, "the request is already queued", core::duration{})};
    }

    admission_result result{};
    if(this->entries.size() >= this->options.capacity) {
        const auto largest =
            std::max_element(this->callers.begin(), this->callers.end(), [](const auto& left, const auto& right) {
                return left.second.waiting.size() < right.second.waiting.size();
            });
        const auto own = this->callers.find(request.caller);
        const auto own_waiting = own == this->callers.end() ? 0u : own->second.waiting.size();
        std::optional<sort_key> displaced{};
        if(largest != this->callers.end() && own_waiting + 1u < largest->second.waiting.size()) {
            displaced = *largest->second.waiting.rbegin();
        } else if(own_waiting > 0u && -std::get<0u>(*own->second.waiting.rbegin()) < request.priority) {
            displaced = *own->second.waiting.rbegin();
        }
        auto refusal = this->make_refusal(core::reason::overloaded, "the queue of the upstream is full", queue_wait);
        if(!displaced) {
            result.refusal = std::move(refusal);
            return result;
        }
        result.displaced =
            refused_request{.request = this->remove(std::get<3u>(*displaced), false), .error = std::move(refusal)};
    }
    this->insert(std::move(request), now);
    return result;
}

void admission_queue::insert(queued_request request, core::time_point now) {
    const auto id = request.id;
    const auto [caller, added] = this->callers.try_emplace(request.caller);
    if(added) {
        caller->second.virtual_start = this->virtual_time;
        this->virtual_starts.insert(caller->second.virtual_start);
    }
    const auto latest_start = request.deadline - this->service_time(request);
    const sort_key key{-request.priority, latest_start, this->arrival_count++, id};
    caller->second.waiting.insert(key);

    auto& adapter_queue = this->adapter_queues[request.adapter];
    adapter_queue.deadlines.emplace(request.deadline, id);
    if(request.isolated) {
        this->isolated_requests.emplace(now, id);
    } else {
        adapter_queue.by_caller[&caller->second].insert(key);
    }
    this->by_latest_start.emplace(latest_start, id);
    this->entries.emplace(id, entry{.request = std::move(request), .queued_at = now, .key = key});
}

queued_request admission_queue::remove(std::uint64_t id, bool charge_caller) {
    const auto position = this->entries.find(id);
    auto& entry = position->second;
    const auto caller = this->callers.find(entry.request.caller);
    caller->second.waiting.erase(entry.key);
    this->virtual_starts.erase(this->virtual_starts.find(caller->second.virtual_start));
    if(charge_caller) {
        caller->second.virtual_start += 1.;
    }
    if(!caller->second.waiting.empty()) {
        this->virtual_starts.insert(caller->second.virtual_start);
    }
    if(!this->virtual_starts.empty()) {
        this->virtual_time = std::max(this->virtual_time, *this->virtual_starts.begin());
    }

    const auto adapter_queue = this->adapter_queues.find(entry.request.adapter);
    adapter_queue->second.deadlines.erase({entry.request.deadline, id});
    if(entry.request.isolated) {
        this->isolated_requests.erase({entry.queued_at, id});
    } else {
        const auto requests = adapter_queue->second.by_caller.find(&caller->second);
        requests->second.erase(entry.key);
        if(requests->second.empty()) {
            adapter_queue->second.by_caller.erase(requests);
        }
    }
    if(adapter_queue->second.deadlines.empty()) {
        this->adapter_queues.erase(adapter_queue);
    }
    if(caller->second.waiting.empty()) {
        this->callers.erase(caller);
    }
    this->by_latest_start.erase({std::get<1u>(entry.key), id});
    auto request = std::move(entry.request);
    this->entries.erase(position);
    if(this->entries.empty()) {
        this->last_full_pop.reset();
    }
    return request;
}

std::vector<queued_request> admission_queue::pop(
    std::size_t batch_headroom, std::size_t in_flight, const residency_predicate& resident, core::time_point now) {
    std::vector<queued_request> result{};
    this->isolated_running = this->isolated_running && in_flight > 0u;
    if(batch_headroom == 0u || this->isolated_running || this->entries.empty()) {
        return result;
    }
    const auto runnable = [&resident](const core::adapter_version& adapter) {
        return adapter.adapter.empty() || resident(adapter);
    };

    for(const auto& [queued_at, id] : this->isolated_requests) {
        const auto& entry = this->entries.at(id);
        if(std::get<1u>(entry.key) < now || !runnable(entry.request.adapter)) {
            continue;
        }
        if(in_flight == 0u) {
            this->isolated_running = true;
            result.push_back(this->remove(id, true));
            return result;
        }
        if(queued_at + this->options.isolation_wait <= now) {
            return result;
        }
    }

    struct queue_head {
        const std::set<sort_key>* waiting{};
        const caller_state* caller{};
        std::set<sort_key>::const_iterator next{};
    };

    const auto skip_overdue = [now](queue_head& entry) {
        while(entry.next != entry.waiting->end() && std::get<1u>(*entry.next) < now) {
            ++entry.next;
        }
        return entry.next != entry.waiting->end();
    };
    std::vector<queue_head> queue_heads{};
    for(const auto& [adapter, adapter_queue] : this->adapter_queues) {
        if(adapter_queue.by_caller.empty() || !runnable(adapter)) {
            continue;
        }
        for(const auto& [caller, waiting] : adapter_queue.by_caller) {
            queue_head entry{.waiting = &waiting, .caller = caller, .next = waiting.begin()};
            if(skip_overdue(entry)) {
                queue_heads.push_back(entry);
            }
        }
    }
    while(result.size() < batch_headroom && !queue_heads.empty()) {
        auto best_start = std::numeric_limits<double>::infinity();
        auto best = queue_heads.end();
        for(auto entry = queue_heads.begin(); entry != queue_heads.end(); ++entry) {
            const auto& [priority, latest_start, arrival, id] = *entry->next;
            const auto adjusted_start =
                entry->caller->virtual_start - this->options.priority_credit * (-priority - default_priority);
            if(adjusted_start < best_start || (adjusted_start == best_start && arrival < std::get<2u>(*best->next))) {
                best_start = adjusted_start;
                best = entry;
            }
        }
        const auto id = std::get<3u>(*best->next);
        ++best->next;
        // Removing the last request of a caller for an adapter destroys its set.
        if(best->waiting->size() == 1u || !skip_overdue(*best)) {
            queue_heads.erase(best);
        }
        result.push_back(this->remove(id, true));
    }

    if(!result.empty()) {
        if(this->last_full_pop) {
            const auto sample = (now - *this->last_full_pop) / static_cast<core::duration::rep>(result.size());
            this->dequeue_interval = std::chrono::duration_cast<core::duration>(
                dequeue_interval_smoothing * sample + (1. - dequeue_interval_smoothing) * this->dequeue_interval);
        }
    }
    // If the batch was not filled, the remaining requests wait for loads and the time until the next dispatch is no
    // sample.
    this->last_full_pop.reset();
    if(result.size() == batch_headroom && !this->entries.empty()) {
        this->last_full_pop = now;
    }
    return result;
}

std::vector<refused_request> admission_queue::expire(core::time_point now) {
    std::vector<refused_request> result{};
    while(!this->by_latest_start.empty() && this->by_latest_start.begin()->first < now) {
        const auto wait = this->expected_wait();
        result.push_back({.request = this->remove(this->by_latest_start.begin()->second, false),
            .error = this->make_refusal(
                core::reason::deadline_exceeded, "the deadline cannot be met after the wait in the queue", wait)});
    }
    return result;
}

std::optional<queued_request> admission_queue::cancel(std::uint64_t id) {
    if(!this->entries.contains(id)) {
        return std::nullopt;
    }
    return this->remove(id, false);
}

std::vector<queued_request> admission_queue::remove_adapter(const core::adapter_version& adapter) {
    std::vector<queued_request> result{};
    for(auto adapter_queue = this->adapter_queues.find(adapter); adapter_queue != this->adapter_queues.end();
        adapter_queue = this->adapter_queues.find(adapter)) {
        result.push_back(this->remove(adapter_queue->second.deadlines.begin()->second, false));
    }
    return result;
}

std::vector<queued_request> admission_queue::drain() {
    std::vector<queued_request> result{};
    while(!this->entries.empty()) {
        result.push_back(this->remove(this->by_latest_start.begin()->second, false));
    }
    return result;
}

std::optional<core::time_point> admission_queue::next_expiry() const {
    if(this->by_latest_start.empty()) {
        return std::nullopt;
    }
    // A request may still start at its latest start.
    return this->by_latest_start.begin()->first + core::duration{1};
}

std::vector<adapter_demand> admission_queue::demand() const {
    std::vector<adapter_demand> result{};
    result.reserve(this->adapter_queues.size());
    for(const auto& [adapter, adapter_queue] : this->adapter_queues) {
        result.push_back({.adapter = adapter,
            .waiting = adapter_queue.deadlines.size(),
            .nearest_deadline = adapter_queue.deadlines.begin()->first});
    }
    std::sort(result.begin(), result.end(), [](const adapter_demand& left, const adapter_demand& right) {
        return left.waiting != right.waiting ? left.waiting > right.waiting : left.adapter < right.adapter;
    });
    return result;
}

core::duration admission_queue::expected_wait() const noexcept {
    return this->dequeue_interval * static_cast<core::duration::rep>(this->entries.size());
}

std::size_t admission_queue::size() const noexcept {
    return this->entries.size();
}

bool admission_queue::empty() const noexcept {
    return this->entries.empty();
}

} // namespace lagoonsaddle::policy
