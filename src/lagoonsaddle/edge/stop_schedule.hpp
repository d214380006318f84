#ifndef LAGOONSADDLE_EDGE_STOP_SCHEDULE_HPP
#define LAGOONSADDLE_EDGE_STOP_SCHEDULE_HPP

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Decides until when a stopping node may hold requests that no upstream is at work on. */
struct stop_schedule {
    /*! @brief Requests that may outlast the process are not held beyond this time: other nodes can serve them. */
    core::time_point refuse_at{};
    /*! @brief Latest time at which the process exits. */
    core::time_point exit_at{};

    /*! @brief Returns the time at which requests get the last answers that can be written before the process exits. */
    [[nodiscard]] core::time_point answer_at() const noexcept;

    /**
     * @brief Returns from when on a request has to be answered instead of being sent to an upstream.
     * @param deadline Deadline of the request.
     * @param may_have_run Whether an upstream has run the request or may have run it.
     * @return The time, which leaves enough time to write the answer before the process exits.
     */
    [[nodiscard]] core::time_point send_limit(core::time_point deadline, bool may_have_run) const noexcept;
};

} // namespace lagoonsaddle::edge

#endif
