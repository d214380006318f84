#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/journal/claim_shard.hpp>
#include <lagoonsaddle/platform/memory_object_store.hpp>

namespace lagoonsaddle::journal {

namespace {

constexpr std::uint64_t default_seeds{3'000u};
constexpr unsigned steps_per_seed{250u};
constexpr std::size_t node_count{3u};
constexpr std::size_t key_count{4u};

[[nodiscard]] std::uint64_t seed_count() {
    const char* text = std::getenv("LAGOONSADDLE_SEEDS");
    return (text == nullptr) ? default_seeds : std::strtoull(text, nullptr, 10);
}

constexpr claim_shard_options options{.retention = std::chrono::seconds{60},
    .clock_skew = std::chrono::seconds{2},
    .run_limit = std::chrono::seconds{10},
    .object_limit_bytes = 700u,
    .conflict_limit = 4u,
    .commit_interval = std::chrono::milliseconds{50},
    .pending_claim_limit = 6u};

/*! @brief A call to the object store whose effect and response, or loss of the response, occur at separate steps. */
struct call_in_transit {
    std::size_t node{};
    std::uint64_t incarnation{};
    claim_shard::store_call request{};
    bool applied{false};
    bool response_delivered{false};
    std::optional<core::result<platform::object_version>> write_result{};
    std::optional<core::result<std::optional<platform::object>>> read_result{};
};

struct node_state {
    std::unique_ptr<claim_shard> shard{};
    std::uint64_t incarnation{};
};

enum class operation_kind { claim, store_outcome, release, wait_for_outcome };

struct operation_state {
    operation_kind kind{};
    std::size_t node{};
    std::uint64_t incarnation{};
    std::size_t key{};
    std::string claim_id{};
    std::string digest{};
    wall_time added_at{};
};

/*! @brief Claim of a key as the claimant knows it. */
struct granted_claim {
    std::string claim_id{};
    std::string digest{};
    wall_time claimed_at{};
    std::size_t node{};
    std::uint64_t incarnation{};
    std::optional<outcome> result{};
    bool released{false};
};

/*! @brief Several nodes with a faulty network and one object store; checks each result against the true state. */
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random{seed} {
        for(auto& node : this->nodes) {
            node.shard = std::make_unique<claim_shard>(options);
        }
    }

    void run() {
        for(unsigned step{}; step < steps_per_seed; ++step) {
            this->random_step();
        }
        this->end_faults_and_check();
    }

    std::vector<std::string> violations{};

private:
    [[nodiscard]] std::size_t random_below(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>{0u, bound - 1u}(this->random);
    }

    [[nodiscard]] bool random_chance(double probability) {
        return std::bernoulli_distribution{probability}(this->random);
    }

    void check(bool condition, const std::string& violation) {
        if(!condition) {
            this->violations.push_back(violation);
        }
    }

    /*! @brief Returns the wall clock of a node; the clocks differ by less than `clock_skew`. */
    [[nodiscard]] wall_time wall_clock_of(std::size_t node) const {
        return this->wall_clock + std::chrono::milliseconds{static_cast<int>(node) * 900};
    }

    [[nodiscard]] claim_table stored_entries() {
        const auto value = this->store.get_sync("journal/0", 0u);
        return (value && *value) ? decode_claims((*value)->body).value() : claim_table{};
    }

    [[nodiscard]] bool is_stored(const std::string& claim_id) {
        for(const auto& [key, entry] : this->stored_entries()) {
            if(entry.claim_id == claim_id) {
                return true;
            }
        }
        return false;
    }

    void random_step() {
        const auto action = this->random_below(100u);
        const auto node = this->random_below(node_count);
        if(action < 15u) {
            this->add_claim(node, this->random_below(key_count));
        } else if(action < 28u) {
            this->end_granted_request();
        } else if(action < 31u) {
            this->add_operation(operation_kind::wait_for_outcome, node, this->random_below(key_count), {}, {});
        } else if(action < 33u) {
            this->nodes[node] = {std::make_unique<claim_shard>(options), this->nodes[node].incarnation + 1u};
        } else if(action < 36u) {
            this->outage = !this->outage && this->random_chance(0.5);
        } else if(action < 46u) {
            const std::chrono::milliseconds elapsed{static_cast<int>(1u + this->random_below(400u))};
            this->current_time += elapsed;
            this->wall_clock += elapsed;
        } else if(action < 47u) {
            const std::chrono::seconds elapsed{static_cast<int>(this->random_below(40u))};
            this->current_time += elapsed;
            this->wall_clock += elapsed;
        } else {
            this->network_step();
        }
        this->check_completions();
    }

    void add_claim(std::size_t node, std::size_t key) {
        const auto id = "c" + std::to_string(++this->last_id);
        this->add_operation(operation_kind::claim, node, key, id, this->random_chance(0.1) ? "other" : "digest");
    }

    void add_operation(
        operation_kind kind, std::size_t node, std::size_t key, std::string claim_id, std::string digest) {
        const auto operation_id = ++this->last_id;
        const auto name = "key" + std::to_string(key);
        auto& shard = *this->nodes[node].shard;
        this->operations.emplace(operation_id, operation_state{.kind = kind,
                                                   .node = node,
                                                   .incarnation = this->nodes[node].incarnation,
                                                   .key = key,
                                                   .claim_id = claim_id,
                                                   .digest = digest,
                                                   .added_at = this->wall_clock_of(node)});
        const auto deadline =
            this->current_time + std::chrono::milliseconds{static_cast<int>(this->random_below(600u))};
        if(kind == operation_kind::claim) {
            shard.claim(operation_id,
                claim_request{.key = name,
                    .request_digest = std::move(digest),
                    .claimant = "node",
                    .deadline = deadline,
                    .now = this->wall_clock_of(node),
                    .claim_id = std::move(claim_id)},
                this->current_time);
        } else if(kind == operation_kind::store_outcome) {
            shard.store_outcome(operation_id, name, claim_id, this->make_outcome(claim_id), this->wall_clock_of(node));
        } else if(kind == operation_kind::release) {
            shard.release(operation_id, name, claim_id, this->wall_clock_of(node));
        } else {
            shard.wait_for_outcome(operation_id, name, deadline, this->wall_clock_of(node));
        }
    }

    [[nodiscard]] outcome make_outcome(const std::string& claim_id) const {
        return outcome{.status = 200u, .verdict = core::verdict::ran, .content_type = "t", .body = claim_id};
    }

    /*! @brief Lets a claimant store its outcome or release its claim. One whose node has restarted does neither. */
    void end_granted_request() {
        const auto key = this->random_below(key_count);
        const auto found = this->granted_claims.find(key);
        if(found == this->granted_claims.end() || found->second.result || found->second.released ||
            this->nodes[found->second.node].incarnation != found->second.incarnation) {
            return;
        }
        auto& granted = found->second;
        if(this->random_chance(0.7)) {
            granted.result = this->make_outcome(granted.claim_id);
            this->finished_ids.emplace(key, granted.claim_id);
            this->add_operation(operation_kind::store_outcome, granted.node, key, granted.claim_id, {});
        } else {
            granted.released = true;
            this->add_operation(operation_kind::release, granted.node, key, granted.claim_id, {});
        }
    }

    void network_step() {
        for(std::size_t node{}; node < node_count; ++node) {
            auto& state = this->nodes[node];
            state.shard->expire(this->current_time);
            if(auto call = state.shard->next_call(this->current_time); call) {
                this->calls_in_transit.push_back(
                    call_in_transit{.node = node, .incarnation = state.incarnation, .request = std::move(*call)});
            }
        }
        if(this->calls_in_transit.empty()) {
            return;
        }
        const auto index = this->random_below(this->calls_in_transit.size());
        auto& call = this->calls_in_transit[index];
        if(!call.applied && this->random_chance(0.7)) {
            this->apply(call);
        } else if(!call.response_delivered) {
            // A lost response reaches the node as a timeout, even when the effect is yet to occur.
            const bool response_lost = !call.applied || this->random_chance(this->faults_ended ? 0.0 : 0.15);
            if(!call.applied && (this->faults_ended || this->random_chance(0.8))) {
                this->apply(call);
            } else {
                this->deliver_response(call, response_lost);
            }
        }
        if(call.response_delivered && (call.applied || this->random_chance(0.3))) {
            this->calls_in_transit.erase(this->calls_in_transit.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void apply(call_in_transit& call) {
        call.applied = true;
        if(this->outage) {
            call.write_result = core::fail(core::reason::unavailable, "outage");
            call.read_result = core::fail(core::reason::unavailable, "outage");
        } else if(auto* write = std::get_if<claim_shard::write_call>(&call.request); write != nullptr) {
            call.write_result = this->store.put_sync("journal/0", write->body, write->expected);
        } else {
            call.read_result = this->store.get_sync("journal/0", std::get<claim_shard::read_call>(call.request).known);
        }
    }

    void deliver_response(call_in_transit& call, bool response_lost) {
        call.response_delivered = true;
        auto& node = this->nodes[call.node];
        if(node.incarnation != call.incarnation) {
            return;
        }
        if(std::holds_alternative<claim_shard::write_call>(call.request)) {
            const core::result<platform::object_version> failure =
                core::fail(core::reason::timeout, core::verdict::may_have_run, "lost");
            node.shard->on_write(response_lost ? failure : *call.write_result, this->current_time);
        } else {
            const core::result<std::optional<platform::object>> failure = core::fail(core::reason::timeout, "lost");
            node.shard->on_read(response_lost ? failure : *call.read_result, this->current_time);
        }
    }

    void check_completions() {
        for(std::size_t node{}; node < node_count; ++node) {
            for(const auto& completion : this->nodes[node].shard->take_completions()) {
                const auto found = this->operations.find(completion.id);
                this->check(found != this->operations.end(), "an operation completed twice");
                if(found == this->operations.end()) {
                    continue;
                }
                const auto operation = found->second;
                this->operations.erase(found);
                if(operation.kind == operation_kind::claim) {
                    this->check_claim(operation, completion.result);
                } else if(operation.kind == operation_kind::wait_for_outcome && completion.result) {
                    this->check(
                        this->outcomes_match(operation.key, *completion.result), "a wait returned a wrong outcome");
                } else if(operation.kind == operation_kind::store_outcome && completion.result) {
                    this->check_finished(operation);
                }
            }
        }
    }

    [[nodiscard]] bool outcomes_match(std::size_t key, const claim_result& result) {
        return result.first_outcome && *result.first_outcome == this->make_outcome(result.claim_id) &&
               this->finished_ids.contains({key, result.claim_id});
    }

    void check_finished(const operation_state& operation) {
        for(const auto& [key, entry] : this->stored_entries()) {
            if(entry.claim_id == operation.claim_id) {
                this->check(entry.result.has_value(), "an outcome was confirmed but is not stored");
            }
        }
    }

    void check_claim(const operation_state& operation, const core::result<claim_result>& result) {
        const auto granted = this->granted_claims.find(operation.key);
        if(result && result->claimed()) {
            this->check(result->claim_id == operation.claim_id, "a claim was granted under another id");
            this->check(this->is_stored(operation.claim_id), "a granted claim is not stored");
            // A clock is ahead by up to 1.8 s; an entry expires by the retention and the clock that is furthest ahead.
            const bool claimable =
                granted == this->granted_claims.end() || granted->second.released ||
                this->wall_clock + std::chrono::seconds{2} > granted->second.claimed_at + options.retention;
            this->check(claimable, "two claimants hold one key");
            this->granted_claims[operation.key] = granted_claim{.claim_id = operation.claim_id,
                .digest = operation.digest,
                .claimed_at = operation.added_at,
                .node = operation.node,
                .incarnation = operation.incarnation};
            return;
        }
        if(result) {
            this->check(this->outcomes_match(operation.key, *result), "a repeated claim returned a wrong outcome");
            return;
        }
        const auto cause = result.error().cause;
        if(cause == core::reason::in_progress || cause == core::reason::outcome_unknown) {
            this->check(result.error().verdict == core::verdict::may_have_run, "a repeated claim has a wrong verdict");
            return;
        }
        this->check(
            result.error().verdict == core::verdict::not_run, "a refused claim has another verdict than not_run");
        if(cause != core::reason::key_reused) {
            this->check(result.error().retry_after.has_value(), "a refused claim has no retry time");
            this->refused.emplace(operation.claim_id, std::pair{operation.node, operation.incarnation});
        }
    }

    /*! @brief Stops the faults, lets all operations complete and checks the final state. */
    void end_faults_and_check() {
        this->faults_ended = true;
        this->outage = false;
        for(unsigned step{}; step < 3'000u; ++step) {
            this->network_step();
            this->check_completions();
            if(step % 20u == 0u) {
                this->current_time += std::chrono::milliseconds{200};
            }
        }
        for(const auto& [id, operation] : this->operations) {
            this->check(
                this->nodes[operation.node].incarnation != operation.incarnation, "an operation did not complete");
        }
        const auto table = this->stored_entries();
        std::map<std::string, claim_entry> by_id{};
        for(const auto& [key, entry] : table) {
            if(this->wall_clock <= entry.expires_at) {
                by_id.emplace(entry.claim_id, entry);
            }
        }
        for(const auto& [claim_id, node_and_incarnation] : this->refused) {
            if(this->nodes[node_and_incarnation.first].incarnation == node_and_incarnation.second) {
                this->check(!by_id.contains(claim_id), "a refused claim stays stored");
            }
        }
        for(const auto& [key, granted] : this->granted_claims) {
            const auto found = by_id.find(granted.claim_id);
            if(this->nodes[granted.node].incarnation != granted.incarnation || found == by_id.end()) {
                continue;
            }
            this->check(!granted.released, "a released claim stays stored");
            this->check(!granted.result || found->second.result == granted.result, "an outcome is not stored");
        }
        for(const auto& node : this->nodes) {
            this->check(node.shard->counters().backlog == 0u, "an outcome or a release is still pending");
        }
        this->check(encode_claims(table).size() <= options.object_limit_bytes, "the object is too large");
    }

    std::mt19937_64 random;
    platform::memory_object_store store{};
    std::array<node_state, node_count> nodes{};
    std::vector<call_in_transit> calls_in_transit{};
    std::map<claim_shard::operation_id, operation_state> operations{};
    std::map<std::size_t, granted_claim> granted_claims{};
    std::map<std::string, std::pair<std::size_t, std::uint64_t>> refused{};
    /*! @brief Keys and claim ids for which a claimant submitted an outcome, stored or not. */
    std::set<std::pair<std::size_t, std::string>> finished_ids{};
    core::time_point current_time{};
    wall_time wall_clock{std::chrono::hours{1}};
    bool outage{false};
    bool faults_ended{false};
    std::uint64_t last_id{};
};

} // namespace

// Guards against two runs of one key, a granted claim that is not stored, a wrong `not_run`, a lost or wrong outcome
// and an operation that never completes, under lost and delayed writes, conflicts, outages, restarts and clock skew.
TEST_CASE("claim_shard_random_faults_runs_each_key_at_most_once") {
    const auto seeds = seed_count();
    for(std::uint64_t seed{1u}; seed <= seeds; ++seed) {
        simulation cluster{seed};
        cluster.run();
        CAPTURE(seed);
        if(!cluster.violations.empty()) {
            FAIL(cluster.violations.front());
        }
    }
}

} // namespace lagoonsaddle::journal
