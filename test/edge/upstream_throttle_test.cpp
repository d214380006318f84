#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/upstream_throttle.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

[[nodiscard]] std::vector<std::string> node_names(std::size_t count) {
    std::vector<std::string> names{};
    for(std::size_t index{}; index < count; ++index) {
        names.push_back("n" + std::to_string(index));
    }
    return names;
}

/*! @brief Returns the largest number of requests that an upstream gets in 4 s from nodes that always have one to send.
 */
[[nodiscard]] std::size_t busiest_window(double per_second, std::span<const std::string> nodes) {
    std::vector<upstream_throttle> throttles(nodes.size());
    std::vector<core::time_point> arrivals{};
    const core::time_point begin{100s};
    for(auto now = begin; now < begin + 20s; now += 10ms) {
        for(std::size_t index{}; index < nodes.size(); ++index) {
            throttles[index].assign(per_second, begin);
            const auto senders = count_senders(per_second, "u", nodes[index], nodes);
            if(throttles[index].wait_time(senders, now) == core::duration{}) {
                throttles[index].record_send(now);
                arrivals.push_back(now);
            }
        }
    }
    std::size_t most{};
    for(const auto first : arrivals) {
        const auto count =
            std::ranges::count_if(arrivals, [first](core::time_point at) { return at >= first && at < first + 4s; });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

} // namespace

// Guards against nodes that each keep the limit and exceed it together: by the platform's rule, 4 s may bring one and a
// half times what the limit allows, and 5 requests.
TEST_CASE("wait_time_any_number_of_nodes_keeps_limit_together") {
    for(const double per_second : {0.3, 1.0, 1.4, 2.6, 10.0, 60.0}) {
        for(const std::size_t nodes : {1u, 4u, 9u, 70u}) {
            CAPTURE(per_second);
            CAPTURE(nodes);
            const auto names = node_names(nodes);
            const auto busiest = static_cast<double>(busiest_window(per_second, names));
            CHECK(busiest <= 1.5 * 4.0 * per_second + 5.0);
            CHECK(busiest >= std::floor(4.0 * per_second * 0.8));
        }
    }
}

// Guards against an upstream with a limit of 0 that still gets requests.
TEST_CASE("count_senders_limit_of_zero_is_zero") {
    CHECK(count_senders(0.0, "u", "n0", node_names(2u)) == 0u);
}

// Guards against a limit that ends by a response that was on its way when the limit was named.
TEST_CASE("observe_response_without_limit_ends_it_only_if_sent_later") {
    upstream_throttle throttle{};
    const core::time_point now{100s};
    CHECK(throttle.observe(2.0, now, now));
    CHECK_FALSE(throttle.observe(std::nullopt, now - 1s, now + 100ms));
    CHECK(throttle.limit() == 2.0);
    CHECK(throttle.observe(std::nullopt, now + 1s, now + 1'100ms));
    CHECK_FALSE(throttle.limit().has_value());
}

// Guards against requests to an upstream that wants none for some time, also when it names no limit.
TEST_CASE("wait_time_held_upstream_is_time_until_end_of_hold") {
    upstream_throttle throttle{};
    const core::time_point now{100s};
    throttle.hold(now + 3s);
    throttle.hold(now + 1s);
    CHECK(throttle.wait_time(0u, now + 1s) == 2s);
    CHECK(throttle.wait_time(0u, now + 3s) == 0s);
}

} // namespace lagoonsaddle::edge
