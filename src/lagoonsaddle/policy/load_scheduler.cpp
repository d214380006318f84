#include <algorithm>
#include <iterator>

#include <lagoonsaddle/policy/load_scheduler.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Window of the limit on the grant rate. */
constexpr core::duration grant_rate_window = std::chrono::seconds{1};

/*! @brief Lower bound of the load time in a rank, so that an estimate of zero does not rank above all other requests.
 */
constexpr core::duration load_time_min = std::chrono::milliseconds{1};

[[nodiscard]] double seconds(core::duration value) noexcept {
    return std::chrono::duration<double>{value}.count();
}

} // namespace

load_scheduler::load_scheduler(load_scheduler_options options) : options{options} {}

void load_scheduler::block_grants_until(core::time_point until) noexcept {
    this->grants_allowed_from = until;
}

double load_scheduler::compute_rank(const load_request& request, core::time_point now) const noexcept {
    const auto load_time = std::max(request.load_time.value_or(this->options.default_load_time), load_time_min);
    auto value = static_cast<double>(request.waiting);
    if(request.nearest_deadline) {
        const auto slack = seconds(*request.nearest_deadline - now - load_time);
        // A deadline that passes before the load ends does not make it urgent.
        if(slack >= 0.) {
            value += this->options.deadline_weight * std::max(0., 1. - slack / seconds(this->options.deadline_horizon));
        }
    }
    return value / seconds(load_time);
}

void load_scheduler::add_to_indexes(entry_iterator position) {
    const auto& [key, entry] = *position;
    this->by_rank.emplace(-entry.rank, entry.requested_at, entry.arrival, &key);
    this->by_drop_time.emplace(entry.drop_at, entry.arrival, &key);
    if(entry.request.waiting > 0u) {
        this->by_age.emplace(entry.requested_at, entry.arrival, &key);
    }
}

void load_scheduler::remove_from_indexes(entry_iterator position) {
    const auto& [key, entry] = *position;
    this->by_rank.erase({-entry.rank, entry.requested_at, entry.arrival, &key});
    this->by_drop_time.erase({entry.drop_at, entry.arrival, &key});
    this->by_age.erase({entry.requested_at, entry.arrival, &key});
}

void load_scheduler::remove(entry_iterator position) {
    this->remove_from_indexes(position);
    this->entries.erase(position);
}

void load_scheduler::request_load(load_request request, core::time_point now) {
    this->expire_permits(now);
    key_type key{request.engine, request.adapter};
    if(this->permitted_loads.contains(key)) {
        return;
    }
    auto position = this->entries.find(key);
    if(position == this->entries.end()) {
        if(this->entries.size() >= this->options.requests_max) {
            this->rejected.push_back({.request = std::move(request), .reason = load_drop_reason::queue_full});
            return;
        }
        position = this->entries.try_emplace(std::move(key)).first;
        position->second.requested_at = now;
        position->second.arrival = this->arrival_count++;
    } else {
        this->remove_from_indexes(position);
    }

    auto& entry = position->second;
    entry.request = std::move(request);
    entry.rank = this->compute_rank(entry.request, now);
    entry.drop_at = now + this->options.request_expiry;
    entry.drop_reason = load_drop_reason::not_renewed;
    if(entry.request.nearest_deadline && entry.request.waiting <= 1u &&
        *entry.request.nearest_deadline < entry.drop_at) {
        entry.drop_at = *entry.request.nearest_deadline;
        entry.drop_reason = load_drop_reason::deadline_passed;
    }
    this->add_to_indexes(position);
}

bool load_scheduler::withdraw(std::string_view engine, const core::adapter_version& adapter) {
    const auto position = this->entries.find(key_type{engine, adapter});
    if(position == this->entries.end()) {
        return false;
    }
    this->remove(position);
    return true;
}

bool load_scheduler::release(std::uint64_t permit, core::time_point now) {
    this->expire_permits(now);
    const auto position = this->active_permits.find(permit);
    if(position == this->active_permits.end()) {
        return false;
    }
    this->permitted_loads.erase({position->second.engine, position->second.adapter});
    this->active_permits.erase(position);
    return true;
}

std::size_t load_scheduler::remove_requester(std::string_view requester) {
    std::size_t count{};
    for(auto position = this->entries.begin(); position != this->entries.end();) {
        const auto next = std::next(position);
        if(position->second.request.requester == requester) {
            this->remove(position);
            ++count;
        }
        position = next;
    }
    return count;
}

void load_scheduler::expire_permits(core::time_point now) {
    // All permits have the same validity, so that ids are in order of expiry.
    while(!this->active_permits.empty() && this->active_permits.begin()->second.expires_at <= now) {
        auto& permit = this->active_permits.begin()->second;
        this->permitted_loads.erase({permit.engine, permit.adapter});
        this->expired_permits.push_back(std::move(permit));
        this->active_permits.erase(this->active_permits.begin());
    }
}

void load_scheduler::grant_permit(entry_iterator position, core::time_point now, load_actions& actions) {
    load_permit permit{.id = this->next_permit++,
        .requester = position->second.request.requester,
        .engine = position->first.first,
        .adapter = position->first.second,
        .expires_at = now + this->options.permit_validity};
    this->permitted_loads.insert(position->first);
    this->remove(position);
    this->recent_grants.push_back(now);
    this->active_permits.emplace(permit.id, permit);
    actions.granted.push_back(std::move(permit));
    ++this->grant_count;
}

load_actions load_scheduler::poll(core::time_point now) {
    load_actions actions{};
    this->expire_permits(now);
    actions.expired = std::exchange(this->expired_permits, {});
    actions.dropped = std::exchange(this->rejected, {});
    while(!this->by_drop_time.empty() && std::get<0u>(*this->by_drop_time.begin()) <= now) {
        const auto position = this->entries.find(*std::get<2u>(*this->by_drop_time.begin()));
        actions.dropped.push_back({.request = position->second.request, .reason = position->second.drop_reason});
        this->remove(position);
    }
    while(!this->recent_grants.empty() && this->recent_grants.front() + grant_rate_window <= now) {
        this->recent_grants.pop_front();
    }

    const auto poll_no_later_than = [&actions](core::time_point time) {
        actions.next_poll = std::min(actions.next_poll.value_or(time), time);
    };
    while(!this->entries.empty()) {
        if(now < this->grants_allowed_from) {
            poll_no_later_than(this->grants_allowed_from);
            break;
        }
        if(this->active_permits.size() >= this->options.concurrent_permits) {
            break;
        }
        if(this->recent_grants.size() >= this->options.grants_per_second) {
            poll_no_later_than(this->recent_grants.front() + grant_rate_window);
            break;
        }
        const auto grant_interval = std::max<std::size_t>(this->options.aged_grant_interval, 1u);
        const auto aged = this->grant_count % grant_interval == grant_interval - 1u && !this->by_age.empty() &&
                          std::get<0u>(*this->by_age.begin()) + this->options.aging_threshold <= now;
        const auto* key = aged ? std::get<2u>(*this->by_age.begin()) : std::get<3u>(*this->by_rank.begin());
        this->grant_permit(this->entries.find(*key), now, actions);
    }
    if(!this->active_permits.empty()) {
        poll_no_later_than(this->active_permits.begin()->second.expires_at);
    }
    if(!this->by_drop_time.empty()) {
        poll_no_later_than(std::get<0u>(*this->by_drop_time.begin()));
    }
    return actions;
}

std::size_t load_scheduler::waiting_count() const noexcept {
    return this->entries.size();
}

std::size_t load_scheduler::permit_count() const noexcept {
    return this->active_permits.size();
}

std::vector<ranked_load> load_scheduler::ranked_loads(core::time_point now, std::size_t limit) const {
    std::vector<ranked_load> result{};
    result.reserve(std::min(limit, this->by_rank.size()));
    for(const auto& [rank, requested_at, arrival, key] : this->by_rank) {
        if(result.size() >= limit) {
            break;
        }
        result.push_back({.engine = key->first,
            .adapter = key->second,
            .position = result.size(),
            .waiting = this->entries.at(*key).request.waiting,
            .age = now - requested_at});
    }
    return result;
}

} // namespace lagoonsaddle::policy
