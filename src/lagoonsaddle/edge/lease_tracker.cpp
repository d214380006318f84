#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/lease_tracker.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Number of fencing tokens in one epoch of the store; far above the number of changes of a lease's holder. */
constexpr std::uint64_t tokens_per_epoch{1'000'000u};

[[nodiscard]] bool is_older(const stored_lease& left, const stored_lease& right) noexcept {
    return left.epoch != right.epoch ? left.epoch < right.epoch : left.revision < right.revision;
}

} // namespace

void lease_tracker::observe_epoch(std::uint64_t value, core::time_point now) {
    if(value <= this->epoch) {
        return;
    }
    if(this->record) {
        this->held_before_restore = this->may_order_loads(now);
        this->restored = true;
        this->record_known = false;
    }
    this->epoch = value;
    this->valid_until = core::time_point::min();
    this->failed_read_started.reset();
    this->last_read_started = core::time_point::min();
    this->holder_absent_since.reset();
}

bool lease_tracker::is_of_earlier_epoch() const noexcept {
    return this->record && this->record->lease.fencing_token / tokens_per_epoch < this->epoch;
}

void lease_tracker::observe(const stored_lease& value, core::time_point now) {
    this->observe_epoch(value.epoch, now);
    if(value.epoch < this->epoch) {
        return;
    }
    this->record_known = true;
    if(this->record && is_older(value, *this->record)) {
        return;
    }
    const bool held = this->is_holder();
    const bool same_holder = this->record && this->record->lease.holder_boot_id == value.lease.holder_boot_id &&
                             this->record->lease.holder == value.lease.holder;
    if(!same_holder) {
        this->holder_known_since = now;
    }
    this->record = value;
    if(this->is_holder() && !held) {
        this->begin_tenure(now);
    }
    if(!this->is_holder()) {
        this->valid_until = core::time_point::min();
        if(held && !value.lease.holder.empty()) {
            this->record_loss(now);
        }
    }
}

void lease_tracker::record_loss(core::time_point now) noexcept {
    const bool repeated = this->lost_at && now - *this->lost_at < this->settings.lost_lease_wait_max * 2;
    this->lost_lease_wait = repeated ? std::min(this->lost_lease_wait * 2, this->settings.lost_lease_wait_max)
                                     : this->settings.lost_lease_wait_min;
    this->lost_at = now;
}

void lease_tracker::observe_absent(core::time_point) {
    this->record_known = true;
    this->record.reset();
    this->valid_until = core::time_point::min();
}

void lease_tracker::observe_unlisted(std::uint64_t list_epoch, core::time_point now) {
    this->observe_epoch(list_epoch, now);
    if(!this->record_known && list_epoch == this->epoch) {
        this->observe_absent(now);
    }
}

void lease_tracker::read_succeeded(const stored_lease& value, core::time_point started, core::time_point now) {
    this->failed_read_started.reset();
    this->observe(value, now);
    if(this->is_holder() && value.epoch == this->epoch && value.revision == this->record->revision) {
        this->valid_until = started + this->settings.lease_duration;
        this->confirmed_at = started;
    }
}

void lease_tracker::read_failed(core::time_point started) {
    this->failed_read_started = started;
}

void lease_tracker::acquired(const stored_lease& value, core::time_point started, core::time_point now) {
    this->failed_read_started.reset();
    this->record = value;
    this->holder_absent_since.reset();
    this->held_before_restore = false;
    // The store may have been restored while it answered the write.
    this->restored = this->is_of_earlier_epoch();
    this->valid_until = started + this->settings.lease_duration;
    this->last_read_started = started;
    this->set_first_order(now);
    this->begin_tenure(now);
    this->confirmed_at = started;
}

void lease_tracker::begin_tenure(core::time_point now) noexcept {
    this->held_since = now;
    this->confirmed_at = core::time_point::min();
    this->predecessor_ended = this->holder_ended;
}

std::optional<lease_tenure> lease_tracker::tenure() const noexcept {
    if(!this->is_holder() || this->is_of_earlier_epoch()) {
        return std::nullopt;
    }
    return lease_tenure{.held_since = this->held_since,
        .confirmed_at = this->confirmed_at,
        .predecessor_ended = this->predecessor_ended,
        .fencing_token = this->record->lease.fencing_token};
}

void lease_tracker::set_first_order(core::time_point now) noexcept {
    this->orders_allowed_from =
        now + (this->holder_ended ? this->settings.ended_takeover_wait : this->settings.unreachable_takeover_wait);
}

void lease_tracker::superseded() noexcept {
    this->valid_until = core::time_point::min();
    this->failed_read_started.reset();
    this->last_read_started = core::time_point::min();
}

bool lease_tracker::is_holder() const noexcept {
    return this->record && this->record->lease.holder == this->settings.node_name &&
           this->record->lease.holder_boot_id == this->settings.boot_id;
}

bool lease_tracker::may_order_loads(core::time_point now) const noexcept {
    if(!this->is_holder() || this->is_of_earlier_epoch() || now < this->orders_allowed_from) {
        return false;
    }
    if(now < this->valid_until) {
        return true;
    }
    // Only a recent failure counts: after the process was paused, the store must be read again before the next order.
    const auto failed_read_age_max = this->settings.read_interval * 3;
    return this->settings.upstreams_check_tokens && this->failed_read_started &&
           now - *this->failed_read_started < failed_read_age_max;
}

lease_action lease_tracker::next_action(holder_status status, std::optional<std::size_t> rank, core::time_point now) {
    const bool holds_lease = this->is_holder() && !this->is_of_earlier_epoch();
    if(this->record_known && !holds_lease) {
        return this->next_candidate_action(status, rank, now);
    }
    const bool read_due = this->last_read_started == core::time_point::min() ||
                          now - this->last_read_started >= this->settings.read_interval;
    if(!read_due) {
        return lease_action::none;
    }
    this->last_read_started = now;
    return lease_action::read;
}

lease_action lease_tracker::next_candidate_action(
    holder_status status, std::optional<std::size_t> rank, core::time_point now) {
    if(this->held_before_restore) {
        this->held_before_restore = false;
        this->holder_ended = true;
        this->set_first_order(now);
        return lease_action::acquire;
    }
    // A restored store may name a holder that has lost the lease since, and may lack the current one.
    const bool holder_uncertain = this->is_of_earlier_epoch() || (this->restored && !this->record);
    const bool held_by_earlier_process =
        this->record && !this->is_holder() && this->record->lease.holder == this->settings.node_name;
    const bool held_by_other = this->record && !this->record->lease.holder.empty() && !held_by_earlier_process;
    const bool holder_absent = status == holder_status::ended || status == holder_status::unreachable;
    const bool left_to_other = held_by_other && status == holder_status::unreachable && !holder_uncertain &&
                               this->lost_at && now < *this->lost_at + this->lost_lease_wait;
    if((held_by_other && !holder_absent && !holder_uncertain) || left_to_other || !rank) {
        this->holder_absent_since.reset();
        return lease_action::none;
    }
    if(!this->holder_absent_since) {
        this->holder_absent_since = now;
    }
    const auto restore_delay = holder_uncertain ? this->settings.restore_delay : core::duration{};
    const auto delay =
        this->settings.holder_absence_min + restore_delay + this->settings.rank_delay * static_cast<int>(*rank);
    if(now - *this->holder_absent_since < delay) {
        return lease_action::none;
    }
    this->holder_absent_since = now;
    this->holder_ended = !holder_uncertain && (!held_by_other || status == holder_status::ended);
    // Also set here, as the answer to the write may be lost.
    this->set_first_order(now);
    return lease_action::acquire;
}

stored_lease lease_tracker::make_acquisition(std::string zone) const {
    stored_lease acquisition{};
    acquisition.lease.availability_zone = std::move(zone);
    acquisition.lease.holder = this->settings.node_name;
    acquisition.lease.holder_boot_id = this->settings.boot_id;
    acquisition.lease.holder_address = this->settings.node_address;
    const auto next_token = this->record ? this->record->lease.fencing_token + 1u : 1u;
    acquisition.lease.fencing_token = std::max(next_token, this->epoch * tokens_per_epoch + 1u);
    acquisition.revision = this->record ? this->record->revision : 0u;
    return acquisition;
}

} // namespace lagoonsaddle::edge
