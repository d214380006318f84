#include <set>
#include <string>

#include "placement_fixture.hpp"

namespace lagoonsaddle::edge {

namespace {

struct dispatch_fixture : placement_fixture {
    [[nodiscard]] wire::place_request request(std::uint64_t ticket, const std::string& adapter) const {
        return {.ticket = ticket,
            .zone = "z",
            .service = "s",
            .model = "m",
            .adapter = adapter,
            .prompt_tokens = 9'000u,
            .timeout_ms = 10'000u,
            .lifetime_ms = 10'000u};
    }
};

} // namespace

// Guards against two nodes that both choose the idle upstream: the holder counts what it has placed for all.
TEST_CASE_FIXTURE(dispatch_fixture, "place_here_two_nodes_long_prompts_go_to_different_upstreams") {
    REQUIRE(this->acquire_lease());
    const auto first = this->run(this->dispatch->place_here("n1", this->request(1u, "")));
    const auto second = this->run(this->dispatch->place_here("n2", this->request(1u, "")));
    CHECK_FALSE(first.failure.has_value());
    CHECK(first.upstream != second.upstream);
    CHECK(first.cold_tokens == 9'000u);
    this->dispatch->receive_progress("n2", wire::request_progress{.started = {1u}});
    const auto third = this->run(this->dispatch->place_here("n3", this->request(1u, "")));
    CHECK(third.upstream == second.upstream);
    // One of two upstreams has a prompt of 9,000 tokens to read.
    CHECK(third.delay_ms > 50u);
    CHECK(third.delay_ms < 200u);
}

// Guards against load that a dead node leaves behind.
TEST_CASE_FIXTURE(dispatch_fixture, "node_gone_its_requests_no_longer_count") {
    REQUIRE(this->acquire_lease());
    const auto first = this->run(this->dispatch->place_here("n1", this->request(1u, "")));
    this->dispatch->node_gone("n1");
    CHECK(this->run(this->dispatch->place_here("n2", this->request(2u, ""))).upstream == first.upstream);
}

// Guards against a request that is sent before its adapter is resident, and against one that the holder sends to an
// upstream that has failed it.
TEST_CASE_FIXTURE(dispatch_fixture, "place_here_cold_adapter_is_loaded_on_an_upstream_that_is_not_excluded") {
    REQUIRE(this->acquire_lease());
    auto wanted = this->request(1u, "a");
    wanted.excluded = {"u1"};
    const auto reply = this->run(this->dispatch->place_here("n1", wanted));
    CHECK_FALSE(reply.failure.has_value());
    CHECK(reply.upstream == "u2");
    CHECK(this->control.engines["u2"].adapters.contains("a"));
    wanted.excluded = {"u1", "u2"};
    CHECK(this->run(this->dispatch->place_here("n1", wanted)).failure.has_value());
}

// Guards against a holder that places requests although its lease is gone.
TEST_CASE_FIXTURE(dispatch_fixture, "place_here_without_lease_fails_as_not_run") {
    const auto reply = this->run(this->dispatch->place_here("n1", this->request(1u, "a")));
    REQUIRE(reply.failure.has_value());
    CHECK(wire::from_wire(*reply.failure).verdict == core::verdict::not_run);
    CHECK(this->control.calls == 0);
}

// Guards against requests that stop while no node holds the lease: a resident adapter is used where it is.
TEST_CASE_FIXTURE(dispatch_fixture, "place_without_holder_goes_to_own_choice_if_the_adapter_is_there") {
    const selection resident{.upstream = "u1", .resident = true, .cold_tokens = 5u};
    const auto placed = this->run(this->dispatch->place(this->request(0u, "a"), resident));
    REQUIRE(placed.has_value());
    CHECK(placed->upstream == "u1");
    CHECK(placed->holder.empty());
    const selection cold{.upstream = "u1", .resident = false};
    const auto refused = this->run(this->dispatch->place(this->request(0u, "b"), cold));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().upstream == "u1");
    CHECK(refused.error().failure.verdict == core::verdict::not_run);
}

// Guards against a reservation that is not ended, which makes an idle upstream look busy.
TEST_CASE_FIXTURE(dispatch_fixture, "place_as_holder_counts_until_ended") {
    REQUIRE(this->acquire_lease());
    const selection own{.upstream = "u1", .resident = true};
    const auto first = this->run(this->dispatch->place(this->request(0u, ""), own));
    REQUIRE(first.has_value());
    CHECK(first->holder == "n");
    CHECK(this->run(this->dispatch->place_here("n2", this->request(9u, ""))).upstream != first->upstream);
    this->dispatch->node_gone("n2");
    this->dispatch->started(*first);
    this->dispatch->ended(*first);
    CHECK(this->run(this->dispatch->place_here("n2", this->request(10u, ""))).upstream == first->upstream);
}

} // namespace lagoonsaddle::edge
