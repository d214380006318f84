#include <algorithm>
#include <chrono>

#include <lagoonsaddle/edge/stop_schedule.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Time before the exit in which the last answers are written. Waits that have to end are found within 50 ms. */
constexpr std::chrono::milliseconds answer_time{300};

} // namespace

core::time_point stop_schedule::answer_at() const noexcept {
    return this->exit_at - answer_time;
}

core::time_point stop_schedule::send_limit(core::time_point deadline, bool may_have_run) const noexcept {
    if(deadline <= this->answer_at()) {
        return deadline;
    }
    // Only this node can still get the answer of a request that may not be repeated elsewhere.
    return may_have_run ? this->answer_at() : std::min(this->refuse_at, this->answer_at());
}

} // namespace lagoonsaddle::edge
