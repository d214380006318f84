#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/engine_model.hpp>

namespace lagoonsaddle::standins {

namespace {

constexpr std::chrono::milliseconds step_time{10};

struct engine_model_fixture {
    engine_model_fixture() {
        this->load("blur");
    }

    void load(std::string adapter) {
        const auto ticket = this->model.begin_load({.adapter = std::move(adapter), .version = "1"});
        REQUIRE(ticket.has_value());
        REQUIRE(this->model.finish_load(*ticket, true).has_value());
    }

    core::result<std::shared_ptr<generation_request>> submit(
        std::string id, unsigned priority = 5u, std::size_t tokens = 2u, std::string adapter = "blur") {
        return this->model.submit(generation_request{.id = std::move(id),
            .target = {.adapter = std::move(adapter), .version = "1"},
            .max_tokens = tokens,
            .priority = priority});
    }

    bool step() {
        this->clock.advance(step_time);
        return this->model.step(this->clock.now());
    }

    core::manual_clock clock{};
    engine_model model{engine_model_options{.slots = 2u, .batch_limit = 2u, .queue_limit = 3u}};
};

} // namespace

// Guards against a batch that exceeds its limit or has free places while requests wait.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_more_requests_than_batch_runs_by_priority_then_arrival") {
    const auto first = *this->submit("first", 1u);
    const auto second = *this->submit("second", 1u);
    const auto urgent = *this->submit("urgent", 9u);
    CHECK_FALSE(this->step());
    CHECK(urgent->produced_tokens == 1u);
    CHECK(first->produced_tokens == 1u);
    CHECK(second->produced_tokens == 0u);
    CHECK_FALSE(this->step());
    CHECK(urgent->state == generation_state::finished);
    CHECK_FALSE(this->step());
    CHECK(second->produced_tokens == 1u);
    CHECK(this->model.counts().steps == 3u);
    CHECK(this->model.counts().batched_requests == 5u);
    CHECK(this->model.report(this->clock.now()).batch_fill == doctest::Approx(5. / 6.));
}

// Guards against rejections without the verdict `not_run`.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_request_that_cannot_run_is_refused_as_not_run") {
    const auto absent = this->submit("absent", 5u, 2u, "sharpen");
    REQUIRE_FALSE(absent.has_value());
    CHECK(absent.error().cause == core::reason::adapter_not_resident);
    for(const std::string id : {"a", "b", "c"}) {
        REQUIRE(this->submit(id).has_value());
    }
    const auto refused = this->submit("d");
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().cause == core::reason::overloaded);
    CHECK(refused.error().verdict == core::verdict::not_run);
    CHECK(this->model.counts().executions.empty());
}

// Guards against an eviction of an adapter in use that is not counted or does not abort its requests.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_evict_in_use_aborts_requests_and_counts") {
    const auto running = *this->submit("running", 5u, 10u);
    CHECK_FALSE(this->step());
    const auto waiting = *this->submit("waiting", 5u, 10u);
    CHECK(this->model.evict({.adapter = "blur", .version = "1"}, this->clock.now()));
    CHECK(running->state == generation_state::aborted);
    CHECK(waiting->state == generation_state::aborted);
    CHECK(this->model.idle());
    CHECK(this->model.counts().evicted_in_use == 1u);
    this->load("blur");
    CHECK(this->model.evict({.adapter = "blur", .version = "1"}, this->clock.now()));
    CHECK(this->model.counts().evicted_in_use == 1u);
    CHECK(this->model.counts().evictions == 2u);
}

// Guards against more loads in progress than free slots.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_begin_load_without_free_slot_returns_conflict") {
    const core::adapter_version sharpen{.adapter = "sharpen", .version = "1"};
    const auto ticket = this->model.begin_load(sharpen);
    REQUIRE(ticket.has_value());
    CHECK(this->model.begin_load(sharpen).error().cause == core::reason::in_progress);
    CHECK(this->model.begin_load({.adapter = "crop", .version = "1"}).error().cause == core::reason::conflict);
    CHECK(this->model.finish_load(*ticket, false).error().cause == core::reason::adapter_load_failed);
    CHECK(this->model.begin_load({.adapter = "crop", .version = "1"}).has_value());
}

// Guards against orders of a previous owner that are executed.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_older_fencing_token_is_refused_unless_ignored") {
    engine_model tolerant{engine_model_options{.checks_fencing_token = false}};

    struct row {
        std::uint64_t token;
        bool accepted;
    };

    for(const auto& [token, accepted] :
        std::vector<row>{{4u, true}, {4u, true}, {3u, false}, {5u, true}, {4u, false}}) {
        CAPTURE(token);
        CHECK(this->model.check_fencing_token(engine_order{.fencing_token = token}).has_value() == accepted);
        CHECK(tolerant.check_fencing_token(engine_order{.fencing_token = token}).has_value());
    }
    CHECK(this->model.counts().stale_orders == 2u);
}

// Guards against state that survives a crash and a load that completes after the restart.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_crash_drops_requests_and_adapters") {
    const auto boot = this->model.boot_id();
    const auto ticket = this->model.begin_load({.adapter = "sharpen", .version = "1"});
    REQUIRE(this->submit("other", 5u, 10u).has_value());
    auto marked = this->submit("marked");
    (*marked)->crashes_engine = true;
    CHECK(this->step());
    this->model.crash(this->clock.now());
    CHECK((*marked)->state == generation_state::aborted);
    CHECK(this->model.boot_id() != boot);
    CHECK(this->model.report(this->clock.now()).resident.empty());
    CHECK(this->model.find("other") == nullptr);
    CHECK_FALSE(this->model.finish_load(*ticket, true).has_value());
    CHECK(this->model.report(this->clock.now()).resident.empty());
    CHECK(this->model.counts().executions.at("marked") == 1u);
}

// Guards against requests that cannot be resumed or are never removed.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_finished_request_is_found_until_retention_ends") {
    REQUIRE(this->submit("done", 5u, 1u).has_value());
    CHECK_FALSE(this->step());
    CHECK(this->model.find("done") != nullptr);
    this->clock.advance(std::chrono::seconds{31});
    CHECK_FALSE(this->step());
    CHECK(this->model.find("done") == nullptr);
}

// Guards against a cancelled request that still runs.
TEST_CASE_FIXTURE(engine_model_fixture, "engine_model_cancelled_waiting_request_never_runs") {
    const auto request = *this->submit("cancelled");
    CHECK(this->model.cancel("cancelled", this->clock.now()));
    CHECK_FALSE(this->step());
    CHECK(request->state == generation_state::cancelled);
    CHECK(this->model.counts().executions.empty());
    CHECK_FALSE(this->model.cancel("cancelled", this->clock.now()));
}

} // namespace lagoonsaddle::standins
