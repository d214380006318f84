#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/concurrency_limit.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

constexpr unsigned refusals_tolerated{5u};

struct concurrency_limit_fixture {
    [[nodiscard]] bool may_send(unsigned in_flight) const {
        return this->limit.wait_time(in_flight, this->now) == core::duration{};
    }

    void pass(core::duration time) {
        this->now += time;
    }

    core::time_point now{std::chrono::hours{1}};
    concurrency_limit limit{};
};

/*! @brief Nodes that send to one upstream, in steps of a millisecond. */
class simulated_fleet {
public:
    simulated_fleet(std::size_t node_count, std::uint32_t seed) : nodes(node_count), random{seed} {
        for(auto& node : this->nodes) {
            node.limit.observe(refusals_tolerated, this->now, this->now);
        }
    }

    /*! @brief Lets callers send for some time; each request that the node holds back or the upstream refuses is given
     * up. */
    void run(std::chrono::milliseconds duration, double requests_per_ms) {
        for(std::chrono::milliseconds step{}; step < duration; ++step) {
            this->now += 1ms;
            this->finish_work();
            this->deliver_notices();
            std::poisson_distribution<int> arrivals{requests_per_ms};
            for(auto left = arrivals(this->random); left > 0; --left) {
                this->send(this->random() % this->nodes.size());
            }
        }
    }

    [[nodiscard]] std::size_t most_refusals_in_a_second() const {
        std::size_t most{};
        for(auto first = this->refusals.begin(); first != this->refusals.end(); ++first) {
            const auto last = std::find_if(first, this->refusals.end(), [first](auto at) { return at >= *first + 1s; });
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    unsigned running_max{8u};
    unsigned waiting_max{8u};
    std::size_t finished{};

private:
    static constexpr std::chrono::milliseconds work_time{200};
    static constexpr std::chrono::milliseconds notice_delay{3};

    struct simulated_node {
        concurrency_limit limit{};
        unsigned in_flight{};
    };

    struct notice {
        std::size_t sender{};
        bool growth{};
        core::time_point arrives_at{};
    };

    struct admitted_request {
        std::size_t node{};
        core::time_point done_at{};
    };

    [[nodiscard]] room_refusal refusal_at(const simulated_node& node) {
        std::uniform_real_distribution<double> jitter{0.0, 1.0};
        return {.in_flight = node.in_flight, .nodes = this->nodes.size(), .jitter = jitter(this->random)};
    }

    void send(std::size_t index) {
        auto& node = this->nodes[index];
        if(node.limit.wait_time(node.in_flight, this->now) != core::duration{}) {
            return;
        }
        node.limit.record_send(node.in_flight, this->now);
        if(this->running.size() + this->waiting.size() < this->running_max + this->waiting_max) {
            ++node.in_flight;
            this->waiting.push_back(index);
            return;
        }
        this->refusals.push_back(this->now);
        const auto told = node.limit.record_refusal(this->refusal_at(node), this->now);
        if(told) {
            this->notices.push_back({.sender = index, .growth = told->growth, .arrives_at = this->now + notice_delay});
        }
    }

    void finish_work() {
        while(!this->running.empty() && this->running.front().done_at <= this->now) {
            auto& node = this->nodes[this->running.front().node];
            --node.in_flight;
            node.limit.observe(refusals_tolerated, this->now, this->now);
            this->running.pop_front();
            ++this->finished;
        }
        while(!this->waiting.empty() && this->running.size() < this->running_max) {
            this->running.push_back({.node = this->waiting.front(), .done_at = this->now + work_time});
            this->waiting.pop_front();
        }
    }

    void deliver_notices() {
        while(!this->notices.empty() && this->notices.front().arrives_at <= this->now) {
            for(std::size_t index{}; index < this->nodes.size(); ++index) {
                auto& node = this->nodes[index];
                if(index != this->notices.front().sender) {
                    auto refusal = this->refusal_at(node);
                    refusal.growth = this->notices.front().growth;
                    node.limit.record_peer_refusal(refusal, this->now);
                }
            }
            this->notices.pop_front();
        }
    }

    core::time_point now{std::chrono::hours{1}};
    std::vector<simulated_node> nodes;
    std::minstd_rand random;
    std::deque<std::size_t> waiting{};
    std::deque<admitted_request> running{};
    std::deque<notice> notices{};
    std::vector<core::time_point> refusals{};
};

} // namespace

// Guards against an upstream that is limited although it states nothing, or no longer does.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "wait_time_without_statement_is_zero") {
    CHECK_FALSE(this->limit.record_refusal({.in_flight = 3u, .nodes = 3u}, this->now).has_value());
    CHECK(this->may_send(100u));
    CHECK(this->limit.observe(refusals_tolerated, this->now, this->now));
    CHECK(this->limit.record_refusal({.in_flight = 3u, .nodes = 3u}, this->now).has_value());
    CHECK_FALSE(this->may_send(4u));
    CHECK_FALSE(this->limit.observe(std::nullopt, this->now, this->now));
    this->pass(2s);
    CHECK(this->limit.observe(std::nullopt, this->now, this->now));
    CHECK(this->may_send(100u));
}

// Guards against more requests in progress than there was room for, and against room that is never used again.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "wait_time_after_refusal_replaces_requests_and_grows_by_one") {
    this->limit.observe(refusals_tolerated, this->now, this->now);
    CHECK(this->limit.record_refusal({.in_flight = 4u, .nodes = 3u, .jitter = 1.0}, this->now)->growth == false);
    CHECK_FALSE(this->may_send(3u));
    this->pass(150ms);
    CHECK(this->may_send(3u));
    CHECK_FALSE(this->may_send(4u));
    CHECK_FALSE(this->limit.wait_time(5u, this->now).has_value());
    this->pass(2'850ms);
    CHECK(this->may_send(4u));
    this->limit.record_send(4u, this->now);
    this->pass(20ms);
    CHECK_FALSE(this->may_send(4u));
    this->pass(80ms);
    CHECK(this->may_send(4u));
}

// Guards against a limit that shrinks because a request asked in vain whether there is more room.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "record_refusal_of_growth_keeps_limit") {
    this->limit.observe(refusals_tolerated, this->now, this->now);
    CHECK(this->limit.record_refusal({.in_flight = 4u, .nodes = 1u}, this->now).has_value());
    this->pass(50ms);
    CHECK(this->may_send(4u));
    this->limit.record_send(4u, this->now);
    this->pass(5ms);
    CHECK(this->limit.record_refusal({.in_flight = 4u, .nodes = 1u}, this->now)->growth);
    this->pass(1'005ms);
    CHECK(this->may_send(3u));
}

// Guards against an upstream that falls over because of one refusal after the other.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "wait_time_many_refusals_of_all_nodes_pauses") {
    this->limit.observe(refusals_tolerated, this->now, this->now);
    this->limit.record_peer_refusal({.in_flight = 4u, .nodes = 3u}, this->now);
    this->pass(600ms);
    CHECK(this->may_send(3u));
    this->limit.record_peer_refusal({.in_flight = 4u, .nodes = 3u}, this->now);
    this->limit.record_peer_refusal({.in_flight = 4u, .nodes = 3u}, this->now);
    CHECK_FALSE(this->may_send(3u));
    this->pass(400ms);
    CHECK(this->may_send(3u));
}

// Guards against an upstream that falls over again as soon as it has started, and against one that stays limited.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "record_restart_keeps_limit_and_forgets_refusals") {
    this->limit.observe(refusals_tolerated, this->now, this->now);
    for(int repetition{}; repetition < 3; ++repetition) {
        this->limit.record_peer_refusal({.in_flight = 2u, .nodes = 3u, .jitter = 1.0}, this->now);
    }
    CHECK_FALSE(this->may_send(1u));
    this->limit.record_restart();
    CHECK(this->limit.refusals_per_second() == refusals_tolerated);
    CHECK(this->may_send(1u));
    CHECK_FALSE(this->may_send(2u));
    this->pass(1s);
    CHECK(this->limit.observe(std::nullopt, this->now, this->now));
    CHECK_FALSE(this->limit.refusals_per_second().has_value());
}

// Guards against a crash that is blamed on a request when refusals made the upstream fall over, and against one that
// goes unnoticed after a single refusal.
TEST_CASE_FIXTURE(concurrency_limit_fixture, "may_have_fallen_over_after_many_refusals_is_true") {
    this->limit.observe(refusals_tolerated, this->now, this->now);
    this->limit.record_peer_refusal({.nodes = 3u}, this->now);
    CHECK_FALSE(this->limit.may_have_fallen_over(this->now));
    this->limit.record_peer_refusal({.nodes = 3u}, this->now);
    this->limit.record_peer_refusal({.nodes = 3u}, this->now);
    CHECK(this->limit.may_have_fallen_over(this->now));
    this->pass(2s);
    CHECK_FALSE(this->limit.may_have_fallen_over(this->now));
}

// Guards against nodes that together make an upstream refuse more than it tolerates, also when it lets fewer wait
// without a word, and against nodes that leave it idle.
TEST_CASE("concurrency_limit_overloaded_fleet_keeps_refusals_within_bound_and_upstream_busy") {
    for(const std::size_t nodes : {1u, 3u, 9u, 30u}) {
        for(const double load : {2.0, 4.0, 10.0}) {
            for(std::uint32_t seed{1u}; seed <= 10u; ++seed) {
                CAPTURE(nodes);
                CAPTURE(load);
                CAPTURE(seed);
                simulated_fleet fleet{nodes, seed};
                constexpr double possible_per_ms{8.0 / 200.0};
                fleet.run(5s, load * possible_per_ms);
                fleet.waiting_max = 1u;
                fleet.run(20s, load * possible_per_ms);
                CHECK(fleet.most_refusals_in_a_second() <= refusals_tolerated);
                CHECK(static_cast<double>(fleet.finished) >= 0.5 * possible_per_ms * 25'000.0);
            }
        }
    }
}

} // namespace lagoonsaddle::edge
