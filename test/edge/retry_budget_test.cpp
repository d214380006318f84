#include <doctest/doctest.h>

#include <lagoonsaddle/edge/retry_budget.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct retry_budget_fixture {
    [[nodiscard]] int consume_all(std::size_t nodes, core::time_point now) {
        int consumed{};
        while(consumed < 1'000 && this->budget.try_consume("s", nodes, now)) {
            ++consumed;
        }
        return consumed;
    }

    retry_budget budget{{.ratio = 0.2, .slack = 58.0, .window = 10s, .safety_factor = 1.0}};
    core::time_point now{100s};
};

} // namespace

// Guards against a fleet whose retries multiply the load on failing upstreams: all nodes together keep to one budget.
TEST_CASE_FIXTURE(retry_budget_fixture, "try_consume_nodes_share_slack_and_requests_add_ratio") {
    CHECK(this->consume_all(10u, this->now) == 5);
    for(int index{}; index < 100; ++index) {
        this->budget.record_request("s", this->now);
    }
    CHECK(this->consume_all(10u, this->now) == 20);
    CHECK(this->budget.try_consume("another", 10u, this->now));
}

// Guards against counting retries in fixed windows, which allows twice the budget around a window boundary.
TEST_CASE_FIXTURE(retry_budget_fixture, "try_consume_sliding_window_returns_budget_only_as_retries_expire") {
    CHECK(this->consume_all(1u, this->now) == 58);
    CHECK(this->consume_all(1u, this->now + 9'900ms) == 0);
    CHECK(this->consume_all(1u, this->now + 10s) == 58);
}

} // namespace lagoonsaddle::edge
