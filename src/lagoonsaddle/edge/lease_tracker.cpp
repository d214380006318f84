#include <utility>

#include <lagoonsaddle/edge/lease_tracker.hpp>

namespace lagoonsaddle::edge {

void lease_tracker::observe(const stored_lease& value, core::time_point) {
    this->read_once = true;
    if(this->record && value.revision < this->record->revision) {
        return;
    }
    this->record = value;
    if(!this->is_holder()) {
        this->valid_until = core::time_point::min();
    }
}

void lease_tracker::observe_absent(core::time_point) {
    this->read_once = true;
    this->record.reset();
    this->valid_until = core::time_point::min();
}

void lease_tracker::read_succeeded(const stored_lease& value, core::time_point started, core::time_point now) {
    this->unreachable_at.reset();
    this->observe(value, now);
    if(this->is_holder() && value.revision == this->record->revision) {
        this->valid_until = started + this->settings.duration;
    }
}

void lease_tracker::read_failed(core::time_point started) {
    this->unreachable_at = started;
}

void lease_tracker::acquired(const stored_lease& value, core::time_point started, core::time_point now) {
    this->unreachable_at.reset();
    this->record = value;
    this->vacant_since.reset();
    this->valid_until = started + this->settings.duration;
    this->last_read = started;
    this->orders_from = now + (this->holder_ended ? this->settings.vacant_wait : this->settings.takeover_wait);
}

void lease_tracker::superseded() noexcept {
    this->valid_until = core::time_point::min();
    this->unreachable_at.reset();
    this->last_read = core::time_point::min();
}

bool lease_tracker::is_holder() const noexcept {
    return this->record && this->record->lease.holder == this->settings.self &&
           this->record->lease.holder_boot == this->settings.boot_id;
}

bool lease_tracker::may_order(core::time_point now) const noexcept {
    if(!this->is_holder() || now < this->orders_from) {
        return false;
    }
    if(now < this->valid_until) {
        return true;
    }
    // The failed read must be recent: after a pause the store has to be asked again first.
    const auto recent = this->settings.read_interval * 3;
    return this->settings.fenced && this->unreachable_at && now - *this->unreachable_at < recent;
}

lease_action lease_tracker::next(holder_status status, std::optional<std::size_t> rank, core::time_point now) {
    const bool own = this->is_holder();
    const bool due =
        this->last_read == core::time_point::min() || now - this->last_read >= this->settings.read_interval;
    if(!this->read_once || own) {
        if(!due) {
            return lease_action::none;
        }
        this->last_read = now;
        return lease_action::read;
    }
    const bool earlier_self = this->record && this->record->lease.holder == this->settings.self;
    const bool held = this->record && !this->record->lease.holder.empty() && !earlier_self;
    const bool absent = status == holder_status::ended || status == holder_status::unreachable;
    if((held && !absent) || !rank) {
        this->vacant_since.reset();
        return lease_action::none;
    }
    if(!this->vacant_since) {
        this->vacant_since = now;
    }
    const auto wait = this->settings.absence_min + this->settings.rank_delay * static_cast<int>(*rank);
    if(now - *this->vacant_since < wait) {
        return lease_action::none;
    }
    this->vacant_since = now;
    this->holder_ended = !held || status == holder_status::ended;
    return lease_action::acquire;
}

stored_lease lease_tracker::successor(std::string zone) const {
    stored_lease next{};
    next.lease.availability_zone = std::move(zone);
    next.lease.holder = this->settings.self;
    next.lease.holder_boot = this->settings.boot_id;
    next.lease.fencing_token = this->record ? this->record->lease.fencing_token + 1u : 1u;
    next.revision = this->record ? this->record->revision : 0u;
    return next;
}

} // namespace lagoonsaddle::edge
