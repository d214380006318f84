#include <algorithm>

#include <lagoonsaddle/edge/concurrency_limit.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief A response to a request that was sent earlier after a statement may have been on its way. */
constexpr std::chrono::milliseconds response_overlap{500};
/*! @brief Time over which an upstream counts its refusals. */
constexpr std::chrono::seconds refusal_window{1};

[[nodiscard]] core::duration scaled(core::duration value, double factor) {
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{value} * factor);
}

} // namespace

bool concurrency_limit::may_have_fallen_over(core::time_point now) const noexcept {
    return this->refusals.size() >= this->refusals_until_pause() &&
           now - this->refusals.back() < this->settings.refusal_memory;
}

std::size_t concurrency_limit::refusals_until_pause() const noexcept {
    const auto tolerated = static_cast<double>(this->refusals_tolerated.value_or(1u));
    return std::max<std::size_t>(1u, static_cast<std::size_t>(tolerated * this->settings.refusal_share));
}

bool concurrency_limit::observe(std::optional<unsigned> stated, core::time_point sent_at, core::time_point now) {
    const bool may_be_outdated = this->refusals_tolerated && sent_at < this->stated_at + response_overlap;
    if(!stated && may_be_outdated) {
        return false;
    }
    if(stated) {
        this->stated_at = now;
    }
    if(stated == this->refusals_tolerated) {
        return false;
    }
    if(!stated) {
        *this = concurrency_limit{this->settings};
    }
    this->refusals_tolerated = stated;
    return true;
}

void concurrency_limit::record_restart() {
    this->refusals.clear();
    this->paused_until = core::time_point::min();
    this->growth_sent_at.reset();
}

void concurrency_limit::pause_until(core::time_point time) noexcept {
    this->paused_until = std::max(this->paused_until, time);
}

void concurrency_limit::apply_refusal(const room_refusal& refusal, core::time_point now) {
    this->refusals.push_back(now);
    while(now - this->refusals.front() >= refusal_window) {
        this->refusals.pop_front();
    }
    if(!refusal.growth) {
        this->limit = refusal.in_flight;
        this->growth_sent_at.reset();
        this->growth_time = this->settings.growth_interval * static_cast<int>(std::max<std::size_t>(refusal.nodes, 1u));
        this->next_growth = now + scaled(this->growth_time, refusal.jitter);
    }
    this->pause_until(now + this->settings.settle_time + scaled(this->settings.settle_spread, refusal.jitter));
    const auto count = this->refusals_until_pause();
    if(this->refusals.size() >= count) {
        const auto oldest = this->refusals[this->refusals.size() - count];
        this->pause_until(oldest + refusal_window + scaled(this->settings.pause_spread, refusal.jitter));
    }
}

std::optional<room_refusal> concurrency_limit::record_refusal(room_refusal refusal, core::time_point now) {
    if(!this->refusals_tolerated) {
        return std::nullopt;
    }
    refusal.growth = this->growth_sent_at && now - *this->growth_sent_at < this->settings.refusal_delay;
    this->growth_sent_at.reset();
    this->apply_refusal(refusal, now);
    return refusal;
}

void concurrency_limit::record_peer_refusal(const room_refusal& refusal, core::time_point now) {
    if(this->refusals_tolerated) {
        this->apply_refusal(refusal, now);
    }
}

void concurrency_limit::record_send(unsigned in_flight, core::time_point now) {
    this->last_send = now;
    if(this->growth_sent_at && now - *this->growth_sent_at >= this->settings.refusal_delay) {
        // The request beyond the limit was not refused.
        this->limit = this->limit.value_or(0u) + 1u;
        this->growth_sent_at.reset();
    }
    if(this->limit && in_flight >= *this->limit) {
        this->growth_sent_at = now;
        this->next_growth = now + this->growth_time;
    }
}

std::optional<core::duration> concurrency_limit::wait_time(unsigned in_flight, core::time_point now) const {
    if(!this->refusals_tolerated) {
        return core::duration{};
    }
    auto next = std::max(this->paused_until, now);
    if(this->last_send) {
        next = std::max(next, *this->last_send + this->settings.send_interval);
    }
    const bool growth_accepted = this->growth_sent_at && now - *this->growth_sent_at >= this->settings.refusal_delay;
    const auto allowed = this->limit.value_or(0u) + (growth_accepted ? 1u : 0u);
    if(this->limit && in_flight >= allowed) {
        if(in_flight > allowed) {
            return std::nullopt;
        }
        next = std::max(next, this->next_growth);
    }
    return next - now;
}

} // namespace lagoonsaddle::edge
