#include <doctest/doctest.h>

#include <lagoonsaddle/edge/retry_budget.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct retry_budget_fixture {
    [[nodiscard]] int take_all(std::size_t nodes, core::time_point now) {
        int taken{};
        while(taken < 1'000 && this->budget.take("s", nodes, now)) {
            ++taken;
        }
        return taken;
    }

    retry_budget budget{{.ratio = 0.2, .slack = 58.0, .window = 10s, .safety = 1.0}};
    core::time_point now{100s};
};

} // namespace

// Guards against a fleet that multiplies its load when upstreams fail: all nodes together keep to one budget.
TEST_CASE_FIXTURE(retry_budget_fixture, "take_nodes_share_slack_and_requests_add_ratio") {
    CHECK(this->take_all(10u, this->now) == 5);
    for(int index{}; index < 100; ++index) {
        this->budget.record_request("s", this->now);
    }
    CHECK(this->take_all(10u, this->now) == 20);
    CHECK(this->budget.take("another", 10u, this->now));
}

// Guards against retries that are counted in fixed windows, so that twice the budget is spent around a border.
TEST_CASE_FIXTURE(retry_budget_fixture, "take_window_slides_returns_budget_only_as_retries_expire") {
    CHECK(this->take_all(1u, this->now) == 58);
    CHECK(this->take_all(1u, this->now + 9'900ms) == 0);
    CHECK(this->take_all(1u, this->now + 10s) == 58);
}

} // namespace lagoonsaddle::edge
