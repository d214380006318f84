#include <chrono>
#include <cstdint>
#include <random>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/reservation_ledger.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct reservation_ledger_fixture {
    void reserve(const std::string& node, std::uint64_t ticket, const std::string& upstream, std::uint64_t tokens) {
        this->ledger.reserve({node, ticket},
            {.upstream = upstream, .model = "m", .adapter = "a", .cold_tokens = tokens, .expires = this->now + 10s});
    }

    core::time_point now{100s};
    reservation_ledger ledger{};
};

} // namespace

// Guards against a load that is lost or counted twice through the life of a request.
TEST_CASE_FIXTURE(reservation_ledger_fixture, "load_of_follows_requests_from_reservation_to_end") {
    this->reserve("n1", 1u, "u", 500u);
    this->reserve("n2", 1u, "u", 700u);
    CHECK(this->ledger.load_of("u").in_flight == 2u);
    CHECK(this->ledger.load_of("u").pending_tokens == 1'200u);
    this->ledger.start({"n1", 1u});
    this->ledger.start({"n1", 1u});
    CHECK(this->ledger.load_of("u").pending_tokens == 700u);
    this->ledger.end({"n1", 1u});
    this->ledger.end({"n1", 1u});
    this->ledger.start({"n1", 1u});
    CHECK(this->ledger.load_of("u").in_flight == 1u);
    this->ledger.end({"n2", 1u});
    CHECK(this->ledger.load_of("u").in_flight == 0u);
    CHECK(this->ledger.load_of("u").pending_tokens == 0u);
}

// Guards against a request that moves to another upstream and is counted on both.
TEST_CASE_FIXTURE(reservation_ledger_fixture, "reserve_same_key_moves_the_request") {
    this->reserve("n1", 1u, "u", 500u);
    this->reserve("n1", 1u, "v", 500u);
    CHECK(this->ledger.load_of("u").in_flight == 0u);
    CHECK(this->ledger.load_of("v").pending_tokens == 500u);
}

// Guards against load of nodes that died, or never said that a request ended.
TEST_CASE_FIXTURE(reservation_ledger_fixture, "drop_node_and_expire_remove_only_what_is_gone") {
    this->reserve("n1", 1u, "u", 500u);
    this->reserve("n1", 9u, "v", 500u);
    this->reserve("n10", 1u, "u", 300u);
    this->ledger.drop_node("n1");
    CHECK(this->ledger.all().size() == 1u);
    CHECK(this->ledger.load_of("u").pending_tokens == 300u);
    this->ledger.expire(this->now + 9s);
    CHECK(this->ledger.all().size() == 1u);
    this->ledger.expire(this->now + 10s);
    CHECK(this->ledger.all().empty());
    CHECK(this->ledger.load_of("u").in_flight == 0u);
}

// Plays random steps. Guards against a sum that drifts away from the requests behind it.
TEST_CASE_FIXTURE(reservation_ledger_fixture, "load_of_random_steps_equals_sum_of_reservations") {
    std::mt19937 random{7u};
    for(int step{}; step < 5'000; ++step) {
        const auto ticket = random() % 20u;
        const std::string node{random() % 2u == 0u ? "n1" : "n2"};
        switch(random() % 6u) {
        case 0u:
        case 1u:
            this->reserve(node, ticket, random() % 2u == 0u ? "u" : "v", random() % 1'000u);
            break;
        case 2u:
            this->ledger.start({node, ticket});
            break;
        case 3u:
            this->ledger.end({node, ticket});
            break;
        case 4u:
            this->now += 500ms;
            this->ledger.expire(this->now);
            break;
        default:
            if(random() % 50u == 0u) {
                this->ledger.drop_node(node);
            }
        }
        for(const std::string upstream : {"u", "v"}) {
            reservation_ledger::load sum{};
            for(const auto& [key, value] : this->ledger.all()) {
                sum.in_flight += value.upstream == upstream ? 1u : 0u;
                sum.pending_tokens += value.upstream == upstream && !value.started ? value.cold_tokens : 0u;
            }
            REQUIRE(this->ledger.load_of(upstream).in_flight == sum.in_flight);
            REQUIRE(this->ledger.load_of(upstream).pending_tokens == sum.pending_tokens);
        }
    }
}

} // namespace lagoonsaddle::edge
