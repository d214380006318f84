#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/journal/claim_shard.hpp>
#include <lagoonsaddle/platform/memory_object_store.hpp>

namespace lagoonsaddle::journal {

namespace {

using platform::object_version;

class single_gone_claimant final : public claimant_liveness {
public:
    [[nodiscard]] bool is_gone(std::string_view claimant) const override {
        return claimant == this->gone_claimant;
    }

    std::string gone_claimant{};
};

struct claim_shard_fixture {
    claim_shard::operation_id claim(claim_shard& shard, std::string key, std::string digest = "digest") {
        const auto id = ++this->last_operation_id;
        shard.claim(id,
            claim_request{.key = std::move(key),
                .request_digest = std::move(digest),
                .claimant = "node-1",
                .deadline = this->current_time + std::chrono::seconds{1},
                .now = this->wall_clock,
                .claim_id = "id" + std::to_string(id)},
            this->current_time);
        return id;
    }

    claim_shard::operation_id store_outcome(
        claim_shard& shard, std::string_view key, claim_shard::operation_id claim_operation, outcome value) {
        shard.store_outcome(
            ++this->last_operation_id, key, "id" + std::to_string(claim_operation), std::move(value), this->wall_clock);
        return this->last_operation_id;
    }

    claim_shard::operation_id release(
        claim_shard& shard, std::string_view key, claim_shard::operation_id claim_operation) {
        shard.release(++this->last_operation_id, key, "id" + std::to_string(claim_operation), this->wall_clock);
        return this->last_operation_id;
    }

    /*! @brief Performs the next call to the object store; returns false when none is due. */
    bool perform_next_call(claim_shard& shard) {
        const auto call = shard.next_call(this->current_time);
        if(!call) {
            return false;
        }
        if(const auto* write = std::get_if<claim_shard::write_call>(&*call); write != nullptr) {
            shard.on_write(this->store.put_sync("journal/0", write->body, write->expected), this->current_time);
        } else {
            const auto known = std::get<claim_shard::read_call>(*call).known;
            shard.on_read(this->store.get_sync("journal/0", known), this->current_time);
        }
        return true;
    }

    /*! @brief Performs all calls that are due. Fails the test at the 100th call, which indicates an endless loop. */
    void perform_due_calls(claim_shard& shard) {
        int calls{};
        while(this->perform_next_call(shard)) {
            REQUIRE(++calls < 100);
        }
    }

    /*! @brief Returns the result of an operation, or nothing while it is not complete. */
    std::optional<core::result<claim_result>> find_result(claim_shard& shard, claim_shard::operation_id id) {
        for(auto& completion : shard.take_completions()) {
            this->completions.push_back(std::move(completion));
        }
        for(const auto& candidate : this->completions) {
            if(candidate.id == id) {
                return candidate.result;
            }
        }
        return std::nullopt;
    }

    void check_claimed(claim_shard& shard, claim_shard::operation_id id) {
        const auto value = this->find_result(shard, id);
        REQUIRE(value.has_value());
        REQUIRE(value->has_value());
        CHECK((*value)->claimed());
    }

    void check_error(claim_shard& shard, claim_shard::operation_id id, core::reason cause, core::verdict verdict) {
        const auto value = this->find_result(shard, id);
        REQUIRE(value.has_value());
        REQUIRE_FALSE(value->has_value());
        CHECK(core::to_string(value->error().cause) == core::to_string(cause));
        CHECK(value->error().verdict == verdict);
    }

    [[nodiscard]] claim_table stored_entries() {
        const auto value = this->store.get_sync("journal/0", 0u);
        return (value && *value) ? decode_claims((*value)->body).value() : claim_table{};
    }

    platform::memory_object_store store{};
    core::time_point current_time{std::chrono::seconds{100}};
    wall_time wall_clock{std::chrono::hours{10}};
    claim_shard_options options{.commit_interval = std::chrono::milliseconds{0}};
    single_gone_claimant liveness{};
    std::vector<claim_shard::completion> completions{};
    claim_shard::operation_id last_operation_id{};
    outcome expected_outcome{
        .status = 201u, .verdict = core::verdict::ran, .content_type = "text/plain", .body = "done"};
};

} // namespace

// Guards against a wrong result of a repeated key for a state of its first claim. Each row brings a key into one state
// on one node and claims it again on another node.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_repeated_key_result_depends_on_state_of_first_claim") {
    struct row {
        std::string name{};
        std::function<void(claim_shard&, claim_shard::operation_id)> prepare{};
        std::string digest{"digest"};
        std::optional<core::reason> cause{};
        core::verdict verdict{core::verdict::may_have_run};
        bool claimed{false};
    };

    const auto finished = [this](claim_shard& shard, claim_shard::operation_id first) {
        this->store_outcome(shard, "key", first, this->expected_outcome);
        this->perform_due_calls(shard);
    };
    const auto no_change = [](claim_shard&, claim_shard::operation_id) {
    };
    const std::vector<row> table{
        {.name = "running", .prepare = no_change, .cause = core::reason::in_progress},
        {.name = "finished", .prepare = finished},
        {.name = "other request",
            .prepare = finished,
            .digest = "other",
            .cause = core::reason::key_reused,
            .verdict = core::verdict::not_run},
        {.name = "released",
            .prepare =
                [this](claim_shard& shard, claim_shard::operation_id first) {
                    this->release(shard, "key", first);
                    this->perform_due_calls(shard);
                },
            .claimed = true},
        {.name = "claimant gone",
            .prepare = [this](claim_shard&, claim_shard::operation_id) { this->liveness.gone_claimant = "node-1"; },
            .cause = core::reason::outcome_unknown},
        {.name = "run limit exceeded",
            .prepare =
                [this](claim_shard&, claim_shard::operation_id) {
                    this->wall_clock += this->options.run_limit + this->options.clock_skew + wall_time{1};
                },
            .cause = core::reason::outcome_unknown},
        {.name = "retention ended, within clock skew",
            .prepare = [this](claim_shard&,
                           claim_shard::operation_id) { this->wall_clock += this->options.retention + wall_time{1}; },
            .cause = core::reason::outcome_unknown},
        {.name = "retention and clock skew ended",
            .prepare =
                [this](claim_shard&, claim_shard::operation_id) {
                    this->wall_clock += this->options.retention + this->options.clock_skew + wall_time{1};
                },
            .claimed = true},
        {.name = "finished after the claimant was reported gone",
            .prepare =
                [this, finished](claim_shard& shard, claim_shard::operation_id first) {
                    this->liveness.gone_claimant = "node-1";
                    finished(shard, first);
                }},
    };
    std::size_t row_index{};
    for(const auto& row : table) {
        CAPTURE(row.name);
        // Each row starts with an empty object.
        this->liveness.gone_claimant.clear();
        const auto before = this->store.get_sync("journal/0", 0u);
        if(before && *before) {
            REQUIRE(this->store.put_sync("journal/0", encode_claims({}), (*before)->version).has_value());
        }
        ++row_index;
        claim_shard first_node{this->options, &this->liveness};
        claim_shard second_node{this->options, &this->liveness};
        this->claim(second_node, "initial" + std::to_string(row_index));
        this->perform_due_calls(second_node);
        const auto first = this->claim(first_node, "key");
        this->perform_due_calls(first_node);
        this->check_claimed(first_node, first);
        row.prepare(first_node, first);
        const auto repeat = this->claim(second_node, "key", row.digest);
        this->perform_due_calls(second_node);
        if(row.claimed) {
            this->check_claimed(second_node, repeat);
        } else if(row.cause) {
            this->check_error(second_node, repeat, *row.cause, row.verdict);
        } else {
            const auto value = this->find_result(second_node, repeat);
            REQUIRE((value.has_value() && value->has_value()));
            CHECK((*value)->first_outcome == this->expected_outcome);
        }
    }
}

// Guards against one call to the object API per claim: waiting claims must share one read and one write.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_waiting_claims_share_one_write") {
    claim_shard shard{this->options};
    std::vector<claim_shard::operation_id> ids{};
    for(int index{}; index < 50; ++index) {
        ids.push_back(this->claim(shard, "key" + std::to_string(index)));
    }
    this->perform_due_calls(shard);
    for(const auto id : ids) {
        this->check_claimed(shard, id);
    }
    CHECK(shard.counters().reads == 1u);
    CHECK(shard.counters().writes == 1u);
    for(const auto id : ids) {
        this->store_outcome(shard, "key" + std::to_string(id - 1u), id, this->expected_outcome);
    }
    this->perform_due_calls(shard);
    CHECK(shard.counters().writes == 2u);
    CHECK(shard.counters().finished == 50u);
}

// Guards against a busy shard that exceeds the write rate of the object API.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_busy_shard_writes_once_per_commit_interval") {
    this->options.commit_interval = std::chrono::milliseconds{200};
    this->options.retry_delay_min = std::chrono::seconds{10};
    claim_shard shard{this->options};
    const auto first = this->claim(shard, "first");
    this->perform_due_calls(shard);
    this->check_claimed(shard, first);
    this->store_outcome(shard, "first", first, this->expected_outcome);
    const auto second = this->claim(shard, "second");
    this->perform_due_calls(shard);
    CHECK_FALSE(this->find_result(shard, second).has_value());
    REQUIRE(shard.next_wakeup().has_value());
    CHECK(*shard.next_wakeup() == this->current_time + this->options.commit_interval);
    this->current_time = *shard.next_wakeup();
    this->perform_due_calls(shard);
    this->check_claimed(shard, second);
    CHECK(shard.counters().writes == 2u);
    CHECK(shard.counters().finished == 1u);
    CHECK_FALSE(shard.next_wakeup().has_value());

    // A new claim waits for the commit interval only, not for the retry delay of a failed outcome write.
    this->current_time += this->options.commit_interval;
    this->store.set_faults({.outage = true});
    this->store_outcome(shard, "second", second, this->expected_outcome);
    this->perform_due_calls(shard);
    this->claim(shard, "third");
    CHECK_FALSE(shard.next_call(this->current_time).has_value());
    CHECK(*shard.next_wakeup() == this->current_time + this->options.commit_interval);
}

// Guards against a lost write response that causes a second claim or the refusal of a stored claim.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_lost_response_is_resolved_by_claim_id") {
    for(const bool write_applied : {true, false}) {
        CAPTURE(write_applied);
        claim_shard shard{this->options};
        const auto key = write_applied ? "stored" : "lost";
        this->store.set_faults({.drop_answers = write_applied ? 1u : 0u, .drop_writes = write_applied ? 0u : 1u});
        const auto id = this->claim(shard, key);
        CHECK(this->perform_next_call(shard));
        CHECK(this->perform_next_call(shard));
        CHECK_FALSE(this->find_result(shard, id).has_value());
        this->perform_due_calls(shard);
        this->check_claimed(shard, id);
        CHECK(shard.counters().writes == (write_applied ? 1u : 2u));
        CHECK(shard.counters().unknown_writes == 1u);
    }
}

// Guards against claims that wait for their deadline in an outage, and against a refused claim that stays stored.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_outage_refuses_immediately_and_removes_unresolved_claim") {
    claim_shard shard{this->options};
    this->store.set_faults({.outage = true});
    const auto outage_claim = this->claim(shard, "outage");
    this->perform_due_calls(shard);
    this->check_error(shard, outage_claim, core::reason::unavailable, core::verdict::not_run);
    CHECK(this->find_result(shard, outage_claim)->error().retry_after.has_value());

    this->store.set_faults({.drop_answers = 1u});
    const auto unresolved = this->claim(shard, "unresolved");
    CHECK(this->perform_next_call(shard));
    CHECK(this->perform_next_call(shard));
    this->store.set_faults({.outage = true});
    this->perform_due_calls(shard);
    this->check_error(shard, unresolved, core::reason::unavailable, core::verdict::not_run);
    CHECK(this->stored_entries().empty());
    this->store.set_faults({});
    CHECK(this->stored_entries().size() == 1u);
    this->current_time += std::chrono::seconds{1};
    this->perform_due_calls(shard);
    CHECK(this->stored_entries().empty());
    this->check_claimed(shard, [&] {
        const auto again = this->claim(shard, "unresolved");
        this->perform_due_calls(shard);
        return again;
    }());
}

// Guards against a lost write that takes effect after its claim was refused: the key would stay claimed for the
// retention time.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_refused_delayed_write_cannot_take_effect") {
    claim_shard shard{this->options};
    const auto id = this->claim(shard, "key");
    CHECK(this->perform_next_call(shard));
    const auto late_write = shard.next_call(this->current_time);
    REQUIRE(late_write.has_value());
    const auto& write = std::get<claim_shard::write_call>(*late_write);
    this->current_time += std::chrono::seconds{1};
    shard.expire(this->current_time);
    this->check_error(shard, id, core::reason::deadline_exceeded, core::verdict::not_run);
    shard.on_write(core::fail(core::reason::timeout, core::verdict::may_have_run, "lost"), this->current_time);
    this->current_time += std::chrono::seconds{1};
    this->perform_due_calls(shard);
    CHECK_FALSE(this->store.put_sync("journal/0", write.body, write.expected).has_value());
    CHECK(this->stored_entries().empty());
    CHECK(shard.counters().backlog == 0u);
}

// Guards against a node that was paused past the deadline and then accepts its claim: the entry may have expired, so
// the key could run twice.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_confirmed_after_deadline_is_refused_and_removed") {
    claim_shard shard{this->options};
    const auto id = this->claim(shard, "key");
    CHECK(this->perform_next_call(shard));
    const auto call = shard.next_call(this->current_time);
    REQUIRE(call.has_value());
    const auto& write = std::get<claim_shard::write_call>(*call);
    const auto written = this->store.put_sync("journal/0", write.body, write.expected);
    CHECK(this->stored_entries().size() == 1u);
    this->current_time += std::chrono::seconds{1};
    shard.on_write(written, this->current_time);
    this->check_error(shard, id, core::reason::deadline_exceeded, core::verdict::not_run);
    this->perform_due_calls(shard);
    CHECK(this->stored_entries().empty());
}

// Guards against a claim that never completes while the writes of other nodes conflict with its own.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_conflict_limit_refuses_as_not_run") {
    claim_shard shard{this->options};
    this->store.set_faults({.conflicts = this->options.conflict_limit - 1u});
    const auto below_limit = this->claim(shard, "below limit");
    this->perform_due_calls(shard);
    this->check_claimed(shard, below_limit);
    this->store.set_faults({.conflicts = this->options.conflict_limit});
    const auto at_limit = this->claim(shard, "at limit");
    this->perform_due_calls(shard);
    this->check_error(shard, at_limit, core::reason::conflict, core::verdict::not_run);
    CHECK(shard.counters().conflicts == 2u * this->options.conflict_limit - 1u);
}

// Guards against an outcome that is lost when its first write fails.
TEST_CASE_FIXTURE(claim_shard_fixture, "store_outcome_failed_write_is_retried_and_local_repeats_get_outcome") {
    claim_shard shard{this->options};
    const auto id = this->claim(shard, "key");
    this->perform_due_calls(shard);
    this->store.set_faults({.outage = true});
    const auto finished = this->store_outcome(shard, "key", id, this->expected_outcome);
    this->perform_due_calls(shard);
    this->check_error(shard, finished, core::reason::unavailable, core::verdict::may_have_run);
    const auto repeat = this->claim(shard, "key");
    const auto value = this->find_result(shard, repeat);
    REQUIRE((value.has_value() && value->has_value()));
    CHECK((*value)->first_outcome == this->expected_outcome);
    REQUIRE(shard.next_wakeup().has_value());
    CHECK(*shard.next_wakeup() == this->current_time + this->options.retry_delay_min);
    this->current_time = *shard.next_wakeup();
    this->perform_due_calls(shard);
    CHECK(*shard.next_wakeup() == this->current_time + 2 * this->options.retry_delay_min);
    this->store.set_faults({});
    this->current_time = *shard.next_wakeup();
    this->perform_due_calls(shard);
    REQUIRE(this->stored_entries().size() == 1u);
    CHECK(this->stored_entries().begin()->second.result == this->expected_outcome);
    CHECK_FALSE(shard.next_wakeup().has_value());
}

// Guards against an outcome that is dropped because its node has not yet read a claim made on another node, and against
// a claim that is refused because its node has not yet read the release of the previous one.
TEST_CASE_FIXTURE(claim_shard_fixture, "store_outcome_of_claim_from_other_node_reads_object_first") {
    claim_shard first_node{this->options};
    claim_shard second_node{this->options};
    this->claim(second_node, "initial");
    this->perform_due_calls(second_node);
    const auto id = this->claim(first_node, "key");
    this->perform_due_calls(first_node);
    const auto finished = this->store_outcome(second_node, "key", id, this->expected_outcome);
    this->perform_due_calls(second_node);
    REQUIRE(this->find_result(second_node, finished).has_value());
    CHECK(this->find_result(second_node, finished)->has_value());
    CHECK(second_node.counters().finished == 1u);

    const auto released = this->claim(first_node, "other");
    this->perform_due_calls(first_node);
    this->check_error(
        second_node,
        [&] {
            const auto repeat = this->claim(second_node, "other");
            this->perform_due_calls(second_node);
            return repeat;
        }(),
        core::reason::in_progress, core::verdict::may_have_run);
    this->release(first_node, "other", released);
    this->perform_due_calls(first_node);
    const auto again = this->claim(second_node, "other");
    this->perform_due_calls(second_node);
    this->check_claimed(second_node, again);

    // The outcome of a released claim must not be returned for the claim that replaced it.
    this->store_outcome(second_node, "other", released, this->expected_outcome);
    this->check_error(
        second_node,
        [&] {
            const auto repeat = this->claim(second_node, "other");
            this->perform_due_calls(second_node);
            return repeat;
        }(),
        core::reason::in_progress, core::verdict::may_have_run);
}

// Guards against an outcome that is dropped because of a read that started before the claim was stored.
TEST_CASE_FIXTURE(claim_shard_fixture, "store_outcome_during_older_read_waits_for_newer_read") {
    claim_shard first_node{this->options};
    claim_shard second_node{this->options};
    this->claim(second_node, "initial");
    REQUIRE(second_node.next_call(this->current_time).has_value());
    const auto stale_read = this->store.get_sync("journal/0", 0u);
    const auto id = this->claim(first_node, "key");
    this->perform_due_calls(first_node);
    const auto finished = this->store_outcome(second_node, "key", id, this->expected_outcome);
    second_node.on_read(stale_read, this->current_time);
    this->perform_due_calls(second_node);
    REQUIRE(this->find_result(second_node, finished).has_value());
    CHECK(this->find_result(second_node, finished)->has_value());
    CHECK(second_node.counters().finished == 1u);
}

// Guards against an object that grows beyond the limit of the object API, after which no outcome could be stored.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_shard_full_refuses_claims_and_stores_outcomes_without_body") {
    this->options.object_limit_bytes = 4'000u;
    claim_shard shard{this->options};
    std::vector<claim_shard::operation_id> claimed{};
    claim_shard::operation_id refused{};
    for(int index{}; refused == 0u; ++index) {
        const auto id = this->claim(shard, "key" + std::to_string(index));
        this->perform_due_calls(shard);
        if(this->find_result(shard, id)->has_value()) {
            claimed.push_back(id);
        } else {
            refused = id;
        }
    }
    this->check_error(shard, refused, core::reason::overloaded, core::verdict::not_run);
    CHECK(claimed.size() > 20u);
    this->expected_outcome.body = std::string(100u, 'b');
    for(std::size_t index{}; index < claimed.size(); ++index) {
        this->store_outcome(shard, "key" + std::to_string(index), claimed[index], this->expected_outcome);
    }
    this->perform_due_calls(shard);
    CHECK(shard.counters().finished == claimed.size());
    CHECK(shard.counters().object_bytes <= this->options.object_limit_bytes);
    std::size_t omitted{};
    for(const auto& [key, entry] : this->stored_entries()) {
        REQUIRE(entry.result.has_value());
        CHECK(entry.result->status == 201u);
        CHECK(entry.result->body_omitted == entry.result->body.empty());
        omitted += entry.result->body_omitted ? 1u : 0u;
    }
    CHECK(omitted > 0u);
    // Entries whose retention has ended free their space.
    this->wall_clock += this->options.retention + this->options.clock_skew + wall_time{1};
    const auto later = this->claim(shard, "later");
    this->perform_due_calls(shard);
    this->check_claimed(shard, later);
    CHECK(this->stored_entries().size() == 1u);
}

// Guards against a truncated body that is returned as if it were complete.
TEST_CASE_FIXTURE(claim_shard_fixture, "store_outcome_body_above_limit_is_omitted") {
    claim_shard shard{this->options};
    for(const std::size_t size : {outcome_body_limit_bytes, outcome_body_limit_bytes + 1u}) {
        const auto key = "key" + std::to_string(size);
        const auto id = this->claim(shard, key);
        this->perform_due_calls(shard);
        this->expected_outcome.body = std::string(size, 'b');
        this->store_outcome(shard, key, id, this->expected_outcome);
        this->perform_due_calls(shard);
        const auto repeat = this->claim(shard, key);
        const auto value = this->find_result(shard, repeat);
        REQUIRE((value.has_value() && value->has_value()));
        CHECK((*value)->first_outcome->body_omitted == (size > outcome_body_limit_bytes));
        CHECK((*value)->first_outcome->body.size() == (size > outcome_body_limit_bytes ? 0u : size));
    }
}

// Guards against a corrupt object that is treated as empty, which would let all its keys run again.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_undecodable_object_refuses_and_keeps_object") {
    claim_table table{};
    table["k"] =
        claim_entry{.claim_id = "id", .request_digest = "d", .claimant = "n", .result = this->expected_outcome};
    const auto body = encode_claims(table);
    REQUIRE(decode_claims(body).has_value());
    CHECK(*decode_claims(body) == table);
    object_version version{};
    for(std::size_t size{}; size < body.size(); ++size) {
        const auto written = this->store.put_sync("journal/0", body.substr(0u, size), version);
        REQUIRE(written.has_value());
        version = *written;
        claim_shard shard{this->options};
        const auto id = this->claim(shard, "key");
        this->perform_due_calls(shard);
        this->check_error(shard, id, core::reason::protocol_error, core::verdict::not_run);
        CHECK(shard.counters().writes == 0u);
    }
}

// Guards against waits that never complete, and against a separate read for each wait.
TEST_CASE_FIXTURE(claim_shard_fixture, "wait_for_outcome_stored_by_other_node_shares_one_poll") {
    claim_shard first_node{this->options};
    claim_shard second_node{this->options, &this->liveness};
    const auto id = this->claim(first_node, "key");
    this->perform_due_calls(first_node);
    const auto deadline = this->current_time + std::chrono::seconds{10};
    for(const claim_shard::operation_id wait_id : {901u, 902u, 903u}) {
        second_node.wait_for_outcome(wait_id, "key", deadline, this->wall_clock);
    }
    second_node.wait_for_outcome(904u, "unknown", deadline, this->wall_clock);
    second_node.wait_for_outcome(905u, "key", this->current_time + std::chrono::milliseconds{10}, this->wall_clock);
    this->perform_due_calls(second_node);
    this->check_error(second_node, 904u, core::reason::not_found, core::verdict::not_run);
    CHECK_FALSE(this->find_result(second_node, 901u).has_value());
    this->current_time += std::chrono::milliseconds{10};
    second_node.expire(this->current_time);
    this->check_error(second_node, 905u, core::reason::in_progress, core::verdict::may_have_run);
    this->store_outcome(first_node, "key", id, this->expected_outcome);
    this->perform_due_calls(first_node);
    this->current_time = *second_node.next_wakeup();
    this->perform_due_calls(second_node);
    for(const claim_shard::operation_id wait_id : {901u, 902u, 903u}) {
        const auto value = this->find_result(second_node, wait_id);
        REQUIRE((value.has_value() && value->has_value()));
        CHECK((*value)->first_outcome == this->expected_outcome);
    }
    CHECK(second_node.counters().reads == 2u);

    this->claim(first_node, "orphan");
    this->perform_due_calls(first_node);
    this->liveness.gone_claimant = "node-1";
    second_node.wait_for_outcome(906u, "orphan", deadline, this->wall_clock);
    this->perform_due_calls(second_node);
    this->check_error(second_node, 906u, core::reason::outcome_unknown, core::verdict::may_have_run);

    // The outcome may have been stored since this node last read the entry.
    const auto late = this->claim(first_node, "late");
    this->perform_due_calls(first_node);
    second_node.wait_for_outcome(907u, "late", deadline, this->wall_clock);
    this->perform_due_calls(second_node);
    this->store_outcome(first_node, "late", late, this->expected_outcome);
    this->perform_due_calls(first_node);
    second_node.wait_for_outcome(908u, "late", deadline, this->wall_clock);
    this->perform_due_calls(second_node);
    const auto value = this->find_result(second_node, 908u);
    REQUIRE((value.has_value() && value->has_value()));
    CHECK((*value)->first_outcome == this->expected_outcome);
}

// Guards against unbounded memory use while the object API is slow, and against claims made after their deadline.
TEST_CASE_FIXTURE(claim_shard_fixture, "claim_above_pending_limit_or_past_deadline_is_refused_immediately") {
    this->options.pending_claim_limit = 2u;
    claim_shard shard{this->options};
    this->claim(shard, "one");
    this->claim(shard, "two");
    this->check_error(shard, this->claim(shard, "three"), core::reason::overloaded, core::verdict::not_run);
    this->current_time += std::chrono::seconds{1};
    shard.claim(99u,
        claim_request{.key = "late", .deadline = this->current_time, .now = this->wall_clock, .claim_id = "x"},
        this->current_time);
    this->check_error(shard, 99u, core::reason::deadline_exceeded, core::verdict::not_run);
    shard.shut_down();
    this->check_error(shard, 1u, core::reason::draining, core::verdict::not_run);
    CHECK_FALSE(shard.next_call(this->current_time).has_value());
}

} // namespace lagoonsaddle::journal
