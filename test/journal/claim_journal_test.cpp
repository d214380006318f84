#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <lagoonsaddle/journal/claim_journal.hpp>
#include <lagoonsaddle/platform/memory_object_store.hpp>

namespace lagoonsaddle::journal {

namespace {

namespace asio = boost::asio;

struct claim_journal_fixture {
    claim_journal_fixture() {
        for(int index{}; index < 4; ++index) {
            this->threads.emplace_back([this] { this->context.run(); });
        }
    }

    claim_journal_fixture(const claim_journal_fixture&) = delete;
    claim_journal_fixture& operator=(const claim_journal_fixture&) = delete;

    ~claim_journal_fixture() {
        this->context.stop();
        for(auto& thread : this->threads) {
            thread.join();
        }
    }

    template<typename Type>
    auto spawn(asio::awaitable<Type> operation) {
        return asio::co_spawn(asio::make_strand(this->context), std::move(operation), asio::use_future);
    }

    template<typename Type>
    Type await(asio::awaitable<Type> operation) {
        return this->spawn(std::move(operation)).get();
    }

    [[nodiscard]] std::unique_ptr<claim_journal> make_journal() {
        return std::make_unique<claim_journal>(this->context.get_executor(), this->store, this->clock,
            claim_journal_options{.shards = 4u,
                .shard = {
                    .commit_interval = std::chrono::milliseconds{1}, .retry_delay_min = std::chrono::milliseconds{1}}});
    }

    [[nodiscard]] claim_request request(std::string key) const {
        return claim_request{.key = std::move(key),
            .request_digest = "digest",
            .claimant = "node-1",
            .deadline = this->clock.now() + std::chrono::minutes{1},
            .now = this->wall_clock};
    }

    asio::io_context context{};
    asio::executor_work_guard<asio::io_context::executor_type> work_guard{this->context.get_executor()};
    platform::memory_object_store store{};
    core::boot_clock clock{};
    wall_time wall_clock{std::chrono::hours{10}};
    outcome expected_outcome{
        .status = 200u, .verdict = core::verdict::ran, .content_type = "text/plain", .body = "done"};
    std::vector<std::thread> threads{};
};

} // namespace

// Guards against races between threads, shards and nodes that let two claimants claim one key.
TEST_CASE_FIXTURE(claim_journal_fixture, "claim_concurrent_claimants_on_two_nodes_claim_each_key_once") {
    constexpr std::size_t keys{40u};
    constexpr std::size_t claimants{6u};
    // The injected faults affect only the first writes.
    this->store.set_faults({.latency_steps = 2u, .drop_answers = 5u, .drop_writes = 3u, .conflicts = 3u});
    const auto first = this->make_journal();
    const auto second = this->make_journal();
    std::vector<std::atomic<unsigned>> claimed(keys);
    std::vector<std::future<void>> claimant_futures{};
    const auto claimant = [&](claim_journal& journal, std::size_t key) -> asio::awaitable<void> {
        auto claim_parameters = this->request("key" + std::to_string(key));
        const auto key_text = claim_parameters.key;
        for(;;) {
            auto parameters = claim_parameters;
            const auto result = co_await journal.claim(std::move(parameters));
            if(result && result->claimed()) {
                ++claimed[key];
                auto value = this->expected_outcome;
                static_cast<void>(
                    co_await journal.store_outcome(key_text, result->claim_id, std::move(value), this->wall_clock));
                co_return;
            }
            if(result) {
                CHECK(result->first_outcome == this->expected_outcome);
                co_return;
            }
            if(result.error().verdict == core::verdict::may_have_run) {
                CHECK(result.error().cause == core::reason::in_progress);
                const auto waited =
                    co_await journal.wait_for_outcome(key_text, claim_parameters.deadline, this->wall_clock);
                CHECK(waited.has_value());
                co_return;
            }
        }
    };
    for(std::size_t key{}; key < keys; ++key) {
        for(std::size_t index{}; index < claimants; ++index) {
            claimant_futures.push_back(this->spawn(claimant(index % 2u == 0u ? *first : *second, key)));
        }
    }
    for(auto& future : claimant_futures) {
        future.get();
    }
    for(const auto& count : claimed) {
        CHECK(count == 1u);
    }
    const auto counters = first->counters();
    CHECK(counters.claims >= keys * claimants / 2u);
    CHECK(this->store.counts().writes == counters.writes + second->counters().writes);
    CHECK(first->shard_counters().size() == 4u);
}

// Guards against a failed outcome write that is retried only when another operation arrives.
TEST_CASE_FIXTURE(claim_journal_fixture, "store_outcome_during_outage_is_retried_without_another_operation") {
    const auto journal = this->make_journal();
    const auto claimed = this->await(journal->claim(this->request("key")));
    REQUIRE((claimed.has_value() && claimed->claimed()));
    CHECK(claimed->claim_id.size() == 32u);
    this->store.set_faults({.outage = true});
    const auto finished =
        this->await(journal->store_outcome("key", claimed->claim_id, this->expected_outcome, this->wall_clock));
    REQUIRE_FALSE(finished.has_value());
    CHECK(journal->counters().backlog == 1u);
    this->store.set_faults({});
    while(journal->counters().backlog != 0u) {
        std::this_thread::yield();
    }
    const auto other = this->make_journal();
    const auto repeat = this->await(other->claim(this->request("key")));
    REQUIRE((repeat.has_value() && !repeat->claimed()));
    CHECK(repeat->first_outcome == this->expected_outcome);
}

// Guards against a claim that waits beyond its deadline for an object API that does not respond.
TEST_CASE_FIXTURE(claim_journal_fixture, "claim_deadline_passes_during_store_call_refuses_as_not_run") {
    const auto journal = this->make_journal();
    this->store.set_faults({.latency = std::chrono::hours{1}});
    auto claim_parameters = this->request("key");
    claim_parameters.deadline = this->clock.now() + std::chrono::milliseconds{20};
    const auto refused = this->await(journal->claim(claim_parameters));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().cause == core::reason::deadline_exceeded);
    CHECK(refused.error().verdict == core::verdict::not_run);
}

// Guards against a key that stays claimed although its request certainly did not run.
TEST_CASE_FIXTURE(claim_journal_fixture, "release_makes_key_claimable_again") {
    const auto journal = this->make_journal();
    const auto claimed = this->await(journal->claim(this->request("key")));
    REQUIRE(claimed.has_value());
    CHECK(this->await(journal->release("key", claimed->claim_id, this->wall_clock)).has_value());
    const auto again = this->await(this->make_journal()->claim(this->request("key")));
    REQUIRE((again.has_value() && again->claimed()));
    // The released claim id must not store an outcome.
    const auto stale =
        this->await(journal->store_outcome("key", claimed->claim_id, this->expected_outcome, this->wall_clock));
    REQUIRE_FALSE(stale.has_value());
    CHECK(stale.error().cause == core::reason::not_found);
}

// Guards against claims that never complete when the node stops.
TEST_CASE_FIXTURE(claim_journal_fixture, "stop_refuses_waiting_claims_as_draining") {
    const auto journal = this->make_journal();
    this->store.set_faults({.latency = std::chrono::hours{1}});
    auto waiting = this->spawn(journal->claim(this->request("key")));
    while(journal->counters().claims == 0u) {
        std::this_thread::yield();
    }
    journal->stop();
    const auto stopped = waiting.get();
    REQUIRE_FALSE(stopped.has_value());
    CHECK(stopped.error().cause == core::reason::draining);
    CHECK(stopped.error().verdict == core::verdict::not_run);
    const auto later = this->await(journal->claim(this->request("later")));
    REQUIRE_FALSE(later.has_value());
    CHECK(later.error().cause == core::reason::draining);
}

} // namespace lagoonsaddle::journal
