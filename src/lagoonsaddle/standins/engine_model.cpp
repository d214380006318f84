#include <algorithm>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/standins/engine_model.hpp>

namespace lagoonsaddle::standins {

namespace {

constexpr std::chrono::seconds batch_fill_window{1};
constexpr std::size_t digest_digits{8u};

} // namespace

engine_model::engine_model(engine_model_options values) : settings{std::move(values)} {}

core::result<std::shared_ptr<generation_request>> engine_model::submit(generation_request request) {
    const auto slot = this->resident.find(request.target);
    if(slot == this->resident.end()) {
        return core::fail(core::reason::adapter_not_resident, core::to_string(request.target) + " is not resident");
    }
    if(this->waiting_count >= this->settings.queue_limit) {
        return core::fail(core::reason::overloaded, "the queue of the engine is full");
    }
    ++slot->second;
    ++this->waiting_count;
    auto accepted = std::make_shared<generation_request>(std::move(request));
    accepted->state = generation_state::waiting;
    accepted->produced_tokens = 0u;
    this->waiting[accepted->priority].push_back(accepted);
    this->requests[accepted->id] = accepted;
    return accepted;
}

bool engine_model::step(core::time_point now) {
    this->remove_expired_requests(now);
    for(auto& [priority, queue] : this->waiting) {
        while(!queue.empty() && this->running.size() < this->settings.batch_limit) {
            auto next = std::move(queue.front());
            queue.pop_front();
            --this->waiting_count;
            next->state = generation_state::running;
            ++this->totals.executions[next->id];
            const bool crashes = next->crashes_engine;
            this->running.push_back(std::move(next));
            if(crashes) {
                return true;
            }
        }
    }
    const auto batch = this->running.size();
    if(batch == 0u) {
        return false;
    }
    ++this->totals.steps;
    this->totals.batched_requests += batch;
    this->totals.tokens += batch;
    this->batch_samples.push_back(batch_sample{.time = now, .running = batch});
    this->batch_sample_sum += batch;
    while(this->batch_samples.front().time + batch_fill_window < now) {
        this->batch_sample_sum -= this->batch_samples.front().running;
        this->batch_samples.pop_front();
    }
    for(const auto& request : this->running) {
        if(++request->produced_tokens >= request->max_tokens) {
            this->end_request(*request, generation_state::finished, now);
            this->ended_requests.push_back(request);
        } else {
            for(const auto& weak : request->listeners) {
                if(const auto reader = weak.lock(); reader) {
                    reader->notify();
                }
            }
        }
    }
    std::erase_if(
        this->running, [](const request_ptr& request) { return request->state != generation_state::running; });
    return false;
}

std::shared_ptr<generation_request> engine_model::find(const std::string& id) const {
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : found->second;
}

bool engine_model::cancel(const std::string& id, core::time_point now) {
    const auto request = this->find(id);
    if(request == nullptr) {
        return false;
    }
    if(request->state == generation_state::waiting) {
        std::erase(this->waiting[request->priority], request);
        --this->waiting_count;
    } else if(request->state == generation_state::running) {
        std::erase(this->running, request);
    } else {
        return false;
    }
    this->end_request(*request, generation_state::cancelled, now);
    this->ended_requests.push_back(request);
    return true;
}

core::result<void> engine_model::check_fencing_token(const engine_order& order) {
    if(this->settings.checks_fencing_token && order.fencing_token < this->highest_fencing_token) {
        ++this->totals.stale_orders;
        return core::fail(core::reason::stale_fencing_token,
            "the engine has seen fencing token " + std::to_string(this->highest_fencing_token));
    }
    this->highest_fencing_token = std::max(this->highest_fencing_token, order.fencing_token);
    return {};
}

core::result<load_ticket> engine_model::begin_load(const core::adapter_version& target) {
    load_ticket ticket{.target = target, .boot_number = this->boot_number};
    if(this->resident.contains(target)) {
        ticket.already_resident = true;
        return ticket;
    }
    if(std::find(this->loading.begin(), this->loading.end(), target) != this->loading.end()) {
        return core::fail(core::reason::in_progress, core::to_string(target) + " is being loaded");
    }
    if(this->resident.size() + this->loading.size() >= this->settings.slots) {
        return core::fail(core::reason::conflict, "no adapter slot is free");
    }
    this->loading.push_back(target);
    return ticket;
}

core::result<void> engine_model::finish_load(const load_ticket& ticket, bool succeeded) {
    if(ticket.already_resident) {
        return {};
    }
    if(ticket.boot_number != this->boot_number) {
        ++this->totals.load_failures;
        return core::fail(core::reason::adapter_load_failed, "the engine has restarted during the load");
    }
    std::erase(this->loading, ticket.target);
    if(!succeeded) {
        ++this->totals.load_failures;
        return core::fail(
            core::reason::adapter_load_failed, "the weights of " + core::to_string(ticket.target) + " did not arrive");
    }
    ++this->totals.loads;
    this->resident.emplace(ticket.target, 0u);
    return {};
}

bool engine_model::evict(const core::adapter_version& target, core::time_point now) {
    const auto found = this->resident.find(target);
    if(found == this->resident.end()) {
        return false;
    }
    ++this->totals.evictions;
    if(found->second > 0u) {
        ++this->totals.evicted_in_use;
        this->abort_requests(&target, now);
    }
    this->resident.erase(target);
    return true;
}

void engine_model::load_model(std::string model, core::time_point now) {
    while(!this->resident.empty()) {
        const auto target = this->resident.begin()->first;
        this->evict(target, now);
    }
    this->settings.model = std::move(model);
}

void engine_model::set_role(std::string role) {
    this->settings.role = std::move(role);
}

void engine_model::crash(core::time_point now) {
    ++this->totals.crashes;
    this->abort_requests(nullptr, now);
    this->resident.clear();
    this->loading.clear();
    this->requests.clear();
    this->ended_requests.clear();
    this->batch_samples.clear();
    this->batch_sample_sum = 0u;
    this->highest_fencing_token = 0u;
    ++this->boot_number;
}

engine_report engine_model::report(core::time_point now) const {
    engine_report values{.boot_id = this->boot_id(),
        .model = this->settings.model,
        .role = this->settings.role,
        .resident = {},
        .loading = this->loading,
        .running = this->running.size(),
        .waiting = this->waiting_count,
        .fencing_token = this->highest_fencing_token};
    for(const auto& [target, in_flight] : this->resident) {
        values.resident.push_back({.target = target, .in_flight = in_flight});
    }
    std::size_t samples{};
    std::size_t sum{};
    for(const auto& sample : this->batch_samples) {
        if(sample.time + batch_fill_window >= now) {
            ++samples;
            sum += sample.running;
        }
    }
    if(samples > 0u) {
        values.batch_fill = static_cast<double>(sum) / static_cast<double>(samples * this->settings.batch_limit);
    }
    return values;
}

const engine_counts& engine_model::counts() const noexcept {
    return this->totals;
}

const engine_model_options& engine_model::options() const noexcept {
    return this->settings;
}

std::string engine_model::boot_id() const {
    return this->settings.name + "-" + std::to_string(this->boot_number);
}

bool engine_model::idle() const noexcept {
    return this->running.empty() && this->waiting_count == 0u;
}

void engine_model::end_request(generation_request& request, generation_state state, core::time_point now) {
    request.state = state;
    request.ended_at = now;
    if(const auto slot = this->resident.find(request.target); slot != this->resident.end()) {
        --slot->second;
    }
    for(const auto& weak : request.listeners) {
        if(const auto reader = weak.lock(); reader) {
            reader->notify();
        }
    }
}

// Aborts the requests of one adapter, or all of them when `target` is null.
void engine_model::abort_requests(const core::adapter_version* target, core::time_point now) {
    const auto abort_matching = [this, target, now](const request_ptr& request) {
        if(target != nullptr && request->target != *target) {
            return false;
        }
        this->end_request(*request, generation_state::aborted, now);
        this->requests.erase(request->id);
        return true;
    };
    std::erase_if(this->running, abort_matching);
    for(auto& [priority, queue] : this->waiting) {
        this->waiting_count -= std::erase_if(queue, abort_matching);
    }
}

void engine_model::remove_expired_requests(core::time_point now) {
    while(!this->ended_requests.empty() && this->ended_requests.front()->ended_at + this->settings.retention < now) {
        // A later request with the same id may have replaced the entry.
        const auto found = this->requests.find(this->ended_requests.front()->id);
        if(found != this->requests.end() && found->second == this->ended_requests.front()) {
            this->requests.erase(found);
        }
        this->ended_requests.pop_front();
    }
}

std::string token_text(const generation_request& request, std::size_t index) {
    return core::to_string(request.target) + "/" + request.prompt_digest + "/" + std::to_string(index) + " ";
}

std::string short_digest(std::string_view prompt) {
    return core::digest(prompt).substr(0u, digest_digits);
}

} // namespace lagoonsaddle::standins
