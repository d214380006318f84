#include <algorithm>
#include <vector>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/upstream_throttle.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Senders of an upstream in addition to its limit per second; each adds at most one request to any window. */
constexpr std::size_t additional_senders{3u};
/*! @brief A response to a request that was sent earlier after the limit became known may have been on its way. */
constexpr std::chrono::milliseconds response_overlap{500};
/*! @brief Lowest rate that is paced; an upstream with a lower limit gets no requests. */
constexpr double per_second_min{0.01};

} // namespace

std::size_t count_senders(
    double per_second, std::string_view upstream, std::string_view node_name, std::span<const std::string> live_nodes) {
    if(per_second < per_second_min) {
        return 0u;
    }
    const auto wanted = static_cast<std::size_t>(std::min(per_second, 1e6)) + additional_senders;
    const auto senders = std::min(wanted, std::max<std::size_t>(live_nodes.size(), 1u));
    if(senders == live_nodes.size() || live_nodes.empty()) {
        return senders;
    }
    const auto ranking = core::rendezvous_rank(upstream, live_nodes);
    const bool sends = std::any_of(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(senders),
        [&](std::size_t index) { return live_nodes[index] == node_name; });
    return sends ? senders : 0u;
}

bool upstream_throttle::observe(std::optional<double> stated, core::time_point sent_at, core::time_point now) {
    const bool may_be_outdated = this->per_second && sent_at < this->assigned_at + response_overlap;
    if(!stated && may_be_outdated) {
        return false;
    }
    return this->assign(stated, now);
}

bool upstream_throttle::assign(std::optional<double> stated, core::time_point now) {
    if(stated == this->per_second) {
        return false;
    }
    this->per_second = stated;
    this->assigned_at = now;
    return true;
}

void upstream_throttle::hold(core::time_point until) noexcept {
    this->held_until = std::max(this->held_until, until);
}

std::optional<core::duration> upstream_throttle::wait_time(std::size_t senders, core::time_point now) const {
    auto next = std::max(this->held_until, now);
    if(this->per_second && senders == 0u) {
        return std::nullopt;
    }
    if(this->per_second && this->last_send) {
        const std::chrono::duration<double> interval{static_cast<double>(senders) / *this->per_second};
        next = std::max(next, *this->last_send + std::chrono::duration_cast<core::duration>(interval));
    }
    return next - now;
}

void upstream_throttle::record_send(core::time_point now) noexcept {
    this->last_send = now;
}

} // namespace lagoonsaddle::edge
