#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include <lagoonsaddle/edge/load_admission.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Weight of the newest load in the mean time that a load occupies the window. */
constexpr int mean_weight_divisor{16};

[[nodiscard]] core::duration scaled(core::duration value, double factor) {
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{value} * factor);
}

/*! @brief What a request can still meet when its load begins now. */
enum class attainable : std::uint8_t { objective, deadline, nothing };

} // namespace

std::string_view to_string(load_refusal_reason value) noexcept {
    switch(value) {
    case load_refusal_reason::deadline:
        return "deadline";
    case load_refusal_reason::displaced:
        return "displaced";
    case load_refusal_reason::queue_full:
        return "queue_full";
    }
    return "unknown";
}

struct load_admission::load_rank {
    attainable goal{attainable::nothing};
    unsigned priority{std::numeric_limits<unsigned>::max()};
    /*! @brief Requests that wait for the load. */
    std::size_t requests{};
    core::time_point latest_start{core::time_point::max()};
    core::duration work{core::duration::max()};
    core::time_point arrived{};

    [[nodiscard]] friend bool operator<(const load_rank& first, const load_rank& second) noexcept {
        return std::tie(first.goal, first.priority, second.requests, first.latest_start, first.work, first.arrived) <
               std::tie(second.goal, second.priority, first.requests, second.latest_start, second.work, second.arrived);
    }
};

load_admission::load_admission(load_admission_options options)
    : settings{options}, window{options.window}, mean_occupancy{options.window.expected_duration} {}

std::optional<load_admission::ticket_type> load_admission::add_request(load_request request, core::time_point now) {
    if(this->requests.size() >= this->settings.requests_max) {
        return std::nullopt;
    }
    const auto ticket = ++this->last_ticket;
    auto& load = this->waiting.try_emplace(request.key, waiting_load{.arrived = now}).first->second;
    load.requests.insert(ticket);
    this->requests.emplace(ticket, waiting_request{.request = std::move(request), .arrived = now});
    this->order_computed.reset();
    return ticket;
}

void load_admission::remove_request(ticket_type ticket) {
    const auto found = this->requests.find(ticket);
    if(found == this->requests.end()) {
        return;
    }
    const auto load = this->waiting.find(found->second.request.key);
    load->second.requests.erase(ticket);
    if(load->second.requests.empty()) {
        this->order.clear();
        this->waiting.erase(load);
    }
    this->requests.erase(found);
    this->order_computed.reset();
}

core::time_point load_admission::objective_of(const waiting_request& entry) const {
    return entry.request.objective.value_or(entry.arrived + this->settings.objective_default);
}

core::duration load_admission::prefill_time(const load_request& request) const {
    const std::chrono::duration<double, std::milli> time{
        static_cast<double>(request.prompt_tokens) / this->settings.prefill_tokens_per_ms};
    return std::chrono::duration_cast<core::duration>(time);
}

core::duration load_admission::run_time(const load_request& request) const {
    return this->prefill_time(request) + scaled(this->settings.token_time, static_cast<double>(request.output_tokens));
}

load_admission::load_rank load_admission::rank_of(const waiting_load& load, core::time_point now) const {
    load_rank best{.requests = load.requests.size(), .arrived = load.arrived};
    const auto resident_at = now + this->window.duration();
    for(const auto ticket : load.requests) {
        const auto& entry = this->requests.at(ticket);
        const auto prefill = this->prefill_time(entry.request);
        const bool on_time = resident_at + prefill <= this->objective_of(entry);
        load_rank rank{.goal = on_time ? attainable::objective : attainable::deadline,
            .priority = entry.request.priority,
            .requests = load.requests.size(),
            .work = this->run_time(entry.request),
            .arrived = load.arrived};
        rank.goal = entry.refusal ? attainable::nothing : rank.goal;
        const auto end = on_time ? this->objective_of(entry) : entry.request.deadline.value_or(core::time_point::max());
        rank.latest_start = end == core::time_point::max() ? end : end - (on_time ? prefill : rank.work);
        best = std::min(best, rank);
    }
    return best;
}

void load_admission::update_order(core::time_point now) {
    if(!this->order_computed || now - *this->order_computed >= this->settings.order_lifetime) {
        this->compute_order(now);
    }
}

void load_admission::compute_order(core::time_point now) {
    std::vector<std::pair<load_rank, std::map<load_key, waiting_load>::iterator>> ranked{};
    for(auto entry = this->waiting.begin(); entry != this->waiting.end(); ++entry) {
        if(!this->loads.contains(entry->first)) {
            ranked.emplace_back(this->rank_of(entry->second, now), entry);
        }
    }
    std::ranges::sort(ranked, [](const auto& first, const auto& second) { return first.first < second.first; });
    this->order.clear();
    for(const auto& [rank, entry] : ranked) {
        this->order.push_back(entry);
    }
    if(this->loads_since_oldest + 1u >= this->settings.loads_per_oldest) {
        this->move_oldest_to_front();
    }
    std::erase_if(this->delayed_until, [now](const auto& entry) { return entry.second <= now; });
    this->estimate_waits(now);
    this->order_computed = now;
}

void load_admission::move_oldest_to_front() {
    const auto oldest =
        std::ranges::min_element(this->order, {}, [](const auto& entry) { return entry->second.arrived; });
    if(oldest != this->order.end()) {
        std::rotate(this->order.begin(), oldest, oldest + 1);
    }
}

void load_admission::estimate_waits(core::time_point now) {
    const auto limit = this->window.limit(now);
    const auto free = this->free_loads(now);
    this->delayed_count = 0u;
    for(std::size_t index{}; index < this->order.size(); ++index) {
        auto& [key, load] = *this->order[index];
        load.position = index;
        // Neither a load that its upstream cannot begin nor one whose requests are refused delays another one.
        const bool delayed = this->is_delayed(key.upstream, now);
        load.wait = delayed ? this->wait_behind(this->delayed_count, free, limit) : core::duration{};
        this->delayed_count += this->review_requests(load, now) && delayed ? 1u : 0u;
    }
    this->new_load_wait = this->wait_behind(this->delayed_count, free, limit);
}

bool load_admission::review_requests(const waiting_load& load, core::time_point now) {
    bool wanted{false};
    for(const auto ticket : load.requests) {
        auto& entry = this->requests.at(ticket);
        const auto& deadline = entry.request.deadline;
        const auto certain_run = scaled(this->run_time(entry.request), this->settings.certain_work);
        const auto end = now + load.wait + this->window.duration() + certain_run;
        if(load.wait == core::duration{} || !deadline || end <= *deadline) {
            entry.refusal.reset();
            entry.was_servable = entry.was_servable || load.wait > core::duration{};
            wanted = true;
            continue;
        }
        if(!entry.refusal) {
            this->refused_upstreams.insert(entry.request.key.upstream);
        }
        entry.refusal = load_refusal{
            .reason = entry.was_servable ? load_refusal_reason::displaced : load_refusal_reason::deadline,
            .wait = load.wait,
            .retry_after = std::clamp(end - *deadline, this->settings.retry_after_min, this->settings.retry_after_max)};
    }
    return wanted;
}

std::optional<load_refusal> load_admission::find_refusal(ticket_type ticket, core::time_point now) {
    this->update_order(now);
    const auto found = this->requests.find(ticket);
    const bool refused = found != this->requests.end() && !this->loads.contains(found->second.request.key);
    return refused ? found->second.refusal : std::nullopt;
}

void load_admission::record_refusal(load_refusal_reason reason) noexcept {
    ++this->refusals[static_cast<std::size_t>(reason)];
}

std::set<std::string> load_admission::take_refused_upstreams(core::time_point now) {
    this->update_order(now);
    return std::exchange(this->refused_upstreams, {});
}

bool load_admission::is_overdue(const load_in_progress& load, core::time_point now) const {
    const auto allowed = std::max<core::duration>(
        this->settings.overdue_min, this->window.duration() * static_cast<int>(this->settings.overdue_factor));
    return now - load.started > allowed;
}

std::size_t load_admission::loads_in_progress(core::time_point now) const {
    const auto counted = std::ranges::count_if(
        this->loads, [this, now](const auto& entry) { return !this->is_overdue(entry.second, now); });
    return static_cast<std::size_t>(counted);
}

std::size_t load_admission::free_loads(core::time_point now) const {
    const auto in_progress = this->loads_in_progress(now);
    const auto limit = this->window.limit(now);
    return in_progress < limit ? limit - in_progress : 0u;
}

bool load_admission::is_delayed(std::string_view upstream, core::time_point now) const {
    const auto found = this->delayed_until.find(upstream);
    return found != this->delayed_until.end() && now < found->second;
}

bool load_admission::is_advancing(const load_key& key, core::time_point now) const {
    if(const auto found = this->loads.find(key); found != this->loads.end()) {
        return !this->is_overdue(found->second, now);
    }
    if(this->is_delayed(key.upstream, now)) {
        return true;
    }
    // Each upstream carries out a few loads at a time, so that this one may follow those.
    for(auto entry = this->loads.lower_bound(load_key{.upstream = key.upstream});
        entry != this->loads.end() && entry->first.upstream == key.upstream; ++entry) {
        if(!this->is_overdue(entry->second, now)) {
            return true;
        }
    }
    return false;
}

std::size_t load_admission::position(const load_key& key, core::time_point now) {
    this->update_order(now);
    const auto found = this->waiting.find(key);
    return found == this->waiting.end() ? this->waiting.size() : found->second.position;
}

bool load_admission::may_evict_for(const load_key& key, core::time_point now) {
    // The slot is free by the time at which the loads in progress now have completed.
    if(this->free_loads(now) > 0u || this->position(key, now) < this->window.limit(now)) {
        return true;
    }
    this->delay_upstream(key.upstream, now);
    return false;
}

void load_admission::delay_upstream(const std::string& upstream, core::time_point now) {
    if(!this->is_delayed(upstream, now)) {
        this->order_computed.reset();
    }
    this->delayed_until.insert_or_assign(upstream, now + this->settings.denial_retention);
}

bool load_admission::begin_load(const load_key& key, core::time_point now) {
    const auto own_position = this->position(key, now);
    const auto found = this->waiting.find(key);
    const auto free = this->free_loads(now);
    std::size_t ahead{};
    for(const auto& entry : this->order) {
        ahead += entry->second.position < own_position && entry->second.ready_until > now ? 1u : 0u;
    }
    if(ahead < free) {
        const bool window_full = free == 1u || this->is_delayed(key.upstream, now) || this->delayed_count > 0u;
        this->loads.insert_or_assign(
            key, load_in_progress{.started = now, .start_known = true, .window_full = window_full});
        const bool was_oldest = this->loads_since_oldest + 1u >= this->settings.loads_per_oldest;
        this->loads_since_oldest = was_oldest ? 0u : this->loads_since_oldest + 1u;
        this->delayed_until.erase(key.upstream);
        if(found != this->waiting.end()) {
            found->second.ready_until = core::time_point::min();
        }
        this->order_computed.reset();
        return true;
    }
    this->delay_upstream(key.upstream, now);
    if(found != this->waiting.end()) {
        found->second.ready_until = now + this->settings.denial_retention;
    }
    return false;
}

void load_admission::record_started(const load_key& key, core::time_point now) {
    if(this->loads.try_emplace(key, load_in_progress{.started = now, .start_known = true}).second) {
        this->order_computed.reset();
    }
}

void load_admission::record_ended(loads_map::iterator entry, core::time_point now) {
    const auto load = entry->second;
    this->loads.erase(entry);
    this->order_computed.reset();
    if(load.start_known) {
        const auto duration = now - load.started;
        this->mean_occupancy += (duration - this->mean_occupancy) / mean_weight_divisor;
        this->window.record_load({.duration = duration, .window_full = load.window_full}, now);
    }
}

void load_admission::record_completed(const load_key& key, core::time_point now) {
    if(const auto found = this->loads.find(key); found != this->loads.end()) {
        this->record_ended(found, now);
    }
}

void load_admission::record_failed(const load_key& key) {
    if(this->loads.erase(key) != 0u) {
        this->order_computed.reset();
    }
}

void load_admission::synchronize(
    std::string_view upstream, std::span<const std::string> loading, core::time_point now) {
    auto entry = this->loads.lower_bound(load_key{.upstream = std::string{upstream}});
    while(entry != this->loads.end() && entry->first.upstream == upstream) {
        const bool continues = std::ranges::find(loading, entry->first.adapter) != loading.end();
        entry = continues ? std::next(entry) : this->loads.erase(entry);
    }
    for(const auto& adapter : loading) {
        this->loads.try_emplace(
            load_key{.upstream = std::string{upstream}, .adapter = adapter}, load_in_progress{.started = now});
    }
    this->order_computed.reset();
}

void load_admission::remove_upstream(std::string_view upstream) {
    this->synchronize(upstream, {}, core::time_point{});
    if(const auto found = this->delayed_until.find(upstream); found != this->delayed_until.end()) {
        this->delayed_until.erase(found);
    }
}

std::vector<std::string> load_admission::ready_upstreams(core::time_point now) {
    this->update_order(now);
    const auto free = this->free_loads(now);
    std::vector<std::string> upstreams{};
    for(const auto& entry : this->order) {
        if(upstreams.size() >= free) {
            break;
        }
        if(entry->second.ready_until > now) {
            upstreams.push_back(entry->first.upstream);
        }
    }
    return upstreams;
}

core::duration load_admission::wait_behind(std::size_t loads_ahead, std::size_t free, std::size_t limit) const {
    if(loads_ahead < free) {
        return {};
    }
    const auto completions = static_cast<double>(loads_ahead - free + 1u);
    return scaled(this->mean_occupancy, completions / static_cast<double>(limit));
}

core::duration load_admission::load_wait(core::time_point now) {
    this->update_order(now);
    return this->new_load_wait;
}

core::duration load_admission::load_wait(const load_key& key, core::time_point now) {
    if(this->loads.contains(key)) {
        return {};
    }
    this->update_order(now);
    const auto found = this->waiting.find(key);
    return found == this->waiting.end() ? this->load_wait(now) : found->second.wait;
}

void load_admission::reset_window() {
    this->window = load_window{this->settings.window};
    this->mean_occupancy = this->settings.window.expected_duration;
    this->order_computed.reset();
}

load_admission_state load_admission::state(core::time_point now) {
    this->update_order(now);
    return {.window = this->window.limit(now),
        .loads_in_progress = this->loads_in_progress(now),
        .loads_waiting = this->order.size(),
        .loads_delayed = this->delayed_count,
        .requests_waiting = this->requests.size(),
        .load_duration = this->window.duration(),
        .refusals = this->refusals};
}

} // namespace lagoonsaddle::edge
