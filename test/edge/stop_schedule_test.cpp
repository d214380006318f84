#include <chrono>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/stop_schedule.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

} // namespace

// Guards against requests that wait until the process ends, and against refusing those that can be answered before.
TEST_CASE("send_limit_leaves_time_for_answer_before_exit") {
    struct row {
        std::chrono::milliseconds refuse_at;
        std::chrono::milliseconds exit_at;
        std::chrono::milliseconds deadline;
        bool may_have_run;
        std::chrono::milliseconds limit;
    };

    for(const auto& [refuse_at, exit_at, deadline, may_have_run, limit] : {
            // Other nodes have more time for a request that may outlast the process.
            row{2'400ms, 7'600ms, 15'000ms, false, 2'400ms},
            row{2'400ms, 7'600ms, 7'601ms, false, 2'400ms},
            // The deadline is too close to the exit to write an answer after it.
            row{2'400ms, 7'600ms, 7'599ms, false, 2'400ms},
            // A request that ends before the exit keeps its time.
            row{2'400ms, 7'600ms, 7'300ms, false, 7'300ms},
            row{2'400ms, 7'600ms, 1'000ms, false, 1'000ms},
            // A request that may have run may not be sent to another node.
            row{2'400ms, 7'600ms, 15'000ms, true, 7'300ms},
            row{2'400ms, 7'600ms, 5'000ms, true, 5'000ms},
            // A stop that is shorter than the time in which requests are accepted.
            row{2'400ms, 1'000ms, 15'000ms, false, 700ms},
            row{2'400ms, 1'000ms, 15'000ms, true, 700ms},
            row{2'400ms, 100ms, 15'000ms, false, -200ms},
        }) {
        CAPTURE(deadline.count());
        CAPTURE(may_have_run);
        const core::time_point begin{};
        const stop_schedule schedule{.refuse_at = begin + refuse_at, .exit_at = begin + exit_at};
        CHECK(schedule.send_limit(begin + deadline, may_have_run) == begin + limit);
    }
}

} // namespace lagoonsaddle::edge
