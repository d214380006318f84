// Ends the waits of requests when the process stops.
#include <chrono>
#include <memory>
#include <vector>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

using std::chrono::milliseconds;

void forwarder::begin_stop(const stop_schedule& schedule) {
    this->stopping = schedule;
    this->waits.begin_interruptions();
}

void forwarder::end_unanswered_attempts() {
    // The cancellation may end an exchange, and so change the list.
    std::vector<std::shared_ptr<http::exchange_control>> unanswered{};
    for(const auto* exchange : this->exchanges) {
        if(exchange->control && !exchange->head_sent) {
            unanswered.push_back(exchange->control);
        }
    }
    for(const auto& control : unanswered) {
        control->cancel();
    }
}

bool forwarder::is_past_send_limit(const exchange_state& state) const {
    if(!this->stopping) {
        return false;
    }
    const bool may_have_run = state.verdict != core::verdict::not_run;
    return this->context.clock.now() >= this->stopping->send_limit(state.deadline, may_have_run);
}

core::error forwarder::past_send_limit_error(const exchange_state& state) const {
    if(this->context.clock.now() >= state.deadline) {
        return core::error{
            .cause = core::reason::deadline_exceeded, .verdict = state.verdict, .message = "the deadline has passed"};
    }
    return core::error{.cause = core::reason::draining,
        .verdict = state.verdict,
        .message = "the node is stopping",
        .retry_after = milliseconds{0}};
}

} // namespace lagoonsaddle::edge
