#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/fleet/ownership.hpp>

namespace lagoonsaddle::fleet {

namespace {

using namespace std::chrono_literals;

struct stored_object {
    std::uint64_t version{};
    std::string body{};
    bool available{true};
};

struct ownership_fixture {
    static constexpr auto tick_interval = 100ms;

    ownership_fixture() {
        for(const auto* name : {"n1", "n2", "n3"}) {
            this->start(name, 1u);
        }
        this->run(20s);
    }

    void start(const std::string& name, std::uint64_t boot_id) {
        const node_id id{name, boot_id};
        this->nodes.insert_or_assign(name, ownership{ownership_settings{}, id, "kotte"});
        this->live_ids[name] = id;
        this->update_views();
    }

    void kill(const std::string& name) {
        this->nodes.erase(name);
        this->live_ids.erase(name);
        this->update_views();
    }

    [[nodiscard]] zone_view view() const {
        zone_view value{};
        for(const auto& [name, id] : this->live_ids) {
            value.candidates.push_back(id);
        }
        value.upstreams = this->upstreams;
        return value;
    }

    void update_views() {
        for(auto& [name, node] : this->nodes) {
            this->execute_actions(node, node.on_view(this->now, this->view()));
        }
    }

    /*! @brief Executes actions on the store without delay until the node returns none. */
    void execute_actions(ownership& node, std::vector<ownership_action> actions) {
        for(int round{}; !actions.empty(); ++round) {
            REQUIRE(round < 20);
            const auto action = actions.front();
            if(const auto* read = std::get_if<read_object>(&action)) {
                actions = node.on_read(this->now, this->execute(*read));
            } else {
                actions = node.on_write(this->now, this->execute(std::get<write_object>(action)));
            }
        }
    }

    [[nodiscard]] read_result execute(const read_object& read) const {
        if(!this->store.available) {
            return {read.operation, read_status::failed, this->now, 0u, {}};
        }
        if(this->store.version == 0u) {
            return {read.operation, read_status::missing, this->now, 0u, {}};
        }
        if(this->store.version == read.known_version) {
            return {read.operation, read_status::unchanged, this->now, this->store.version, {}};
        }
        return {read.operation, read_status::changed, this->now, this->store.version, this->store.body};
    }

    [[nodiscard]] write_result execute(const write_object& write) {
        if(!this->store.available) {
            return {write.operation, write_status::failed, 0u};
        }
        if(this->store.version != write.expected_version) {
            return {write.operation, write_status::conflict, 0u};
        }
        this->store.body = write.body;
        ++this->store.version;
        this->written_bodies.push_back(write.body);
        if(this->lose_next_response) {
            this->lose_next_response = false;
            return {write.operation, write_status::unknown, 0u};
        }
        return {write.operation, write_status::ok, this->store.version};
    }

    void run(core::duration duration, const std::string& paused = {}) {
        for(const auto end = this->now + duration; this->now < end;) {
            this->now += tick_interval;
            for(auto& [name, node] : this->nodes) {
                if(name != paused) {
                    this->execute_actions(node, node.tick(this->now));
                }
            }
        }
    }

    [[nodiscard]] std::string owner_of(const std::string& upstream) const {
        for(const auto& [name, node] : this->nodes) {
            if(node.owns(upstream, this->now)) {
                return name;
            }
        }
        return {};
    }

    [[nodiscard]] std::size_t count_evictors(const std::string& upstream) const {
        return static_cast<std::size_t>(std::count_if(this->nodes.begin(), this->nodes.end(),
            [this, &upstream](const auto& pair) { return pair.second.may_evict(upstream, this->now); }));
    }

    core::time_point now{1h};
    stored_object store{};
    std::vector<std::string> written_bodies{};
    bool lose_next_response{};
    std::map<std::string, ownership> nodes{};
    std::map<std::string, node_id> live_ids{};
    std::vector<zone_upstream> upstreams{{"e1", false}, {"e2", false}, {"e3", false}, {"e4", false}, {"t1", true}};
};

} // namespace

// Guards against a takeover in another availability zone that stays unknown to an observer until its next regular read.
TEST_CASE("refresh_of_observer_reads_early_and_repeated_calls_are_limited") {
    ownership observer{ownership_settings{}, node_id{"follower", 1u}, "kotte"};
    core::time_point now{100s};
    const auto count_reads = [&observer, &now](std::vector<ownership_action> actions) {
        std::size_t count{};
        for(; !actions.empty(); ++count) {
            const auto& read = std::get<read_object>(actions.front());
            actions = observer.on_read(now, read_result{read.operation, read_status::missing, now, 0u, {}});
        }
        return count;
    };
    CHECK(count_reads(observer.tick(now)) == 1u);
    now += ownership_settings{}.min_refresh_interval;
    CHECK(count_reads(observer.refresh(now)) == 1u);

    std::size_t total{};
    for(int index{}; index < 20; ++index) {
        now += 25ms;
        total += count_reads(observer.refresh(now));
    }
    CHECK(total == 1u);
}

// Guards against upstreams without an owner, or with several, after a start of all nodes.
TEST_CASE_FIXTURE(ownership_fixture, "start_of_all_nodes_each_upstream_has_one_owner") {
    for(const auto& upstream : this->upstreams) {
        CHECK(this->count_evictors(upstream.name) == 1u);
    }
    const auto version = this->store.version;
    this->run(2min);
    CHECK(this->store.version == version);
}

// Guards against a successor that evicts while orders of the killed owner are still valid.
TEST_CASE_FIXTURE(ownership_fixture, "successor_of_killed_owner_waits_before_first_eviction") {
    const auto old_owner = this->owner_of("e1");
    const auto token = *this->nodes.at(old_owner).fencing_token("e1");
    const auto others = this->nodes.at(old_owner).assignments();
    this->kill(old_owner);
    this->run(5s);
    const auto successor = this->owner_of("e1");
    REQUIRE(!successor.empty());
    const auto& node = this->nodes.at(successor);
    CHECK(*node.fencing_token("e1") == token + 1u);
    const auto since = *node.owner_since("e1");
    CHECK(node.may_route("e1", this->now));
    CHECK(node.may_load("e1", this->now));
    CHECK(!node.may_evict("e1", this->now));
    this->run(since + 7s - this->now - tick_interval);
    CHECK(!node.may_evict("e1", this->now));
    this->run(tick_interval);
    CHECK(node.may_evict("e1", this->now));
    for(const auto& [name, entry] : others) {
        if(entry.owner.name != old_owner) {
            CHECK(node.owner(name) == entry); // The assignments of live owners are unchanged.
        }
    }
}

// Guards against an eviction of an adapter that a request of the previous owner needs: the fencing token rejects its
// orders, not its requests.
TEST_CASE_FIXTURE(ownership_fixture, "takeover_of_upstream_with_fencing_waits_before_first_eviction") {
    const auto old_owner = this->owner_of("t1");
    this->kill(old_owner);
    this->run(5s);
    const auto successor = this->owner_of("t1");
    REQUIRE(!successor.empty());
    const auto& node = this->nodes.at(successor);
    CHECK(node.may_load("t1", this->now));
    CHECK(!node.may_evict("t1", this->now));
    this->run(*node.owner_since("t1") + 7s - this->now);
    CHECK(node.may_evict("t1", this->now));
}

// Guards against an owner that issues orders after a pause on the basis of an expired lease.
TEST_CASE_FIXTURE(ownership_fixture, "owner_paused_past_its_lease_may_not_evict") {
    const auto owner = this->owner_of("e1");
    auto& paused = this->nodes.at(owner);
    this->live_ids.erase(owner);
    this->update_views();
    this->run(4s, owner);
    CHECK(this->count_evictors("e1") <= 1u);
    this->run(3s, owner);
    CHECK(!paused.owns("e1", this->now));
    CHECK(!paused.may_evict("e1", this->now));
    CHECK(!paused.may_load("e1", this->now));
    // No response arrived for a whole lease because of the pause, not because of an outage.
    CHECK(!paused.object_api_down(this->now));
    CHECK(!paused.may_route("e1", this->now));
    this->run(10s, owner);
    CHECK(this->count_evictors("e1") == 1u);
    this->execute_actions(paused, paused.tick(this->now));
    CHECK(!paused.may_route("e1", this->now));
    CHECK(!paused.fencing_token("e1"));
}

// Guards against a lease that stays valid after a jump of the clock.
TEST_CASE_FIXTURE(ownership_fixture, "clock_jump_ends_the_lease_until_the_next_read") {
    const auto owner = this->owner_of("e1");
    this->now += 6s;
    CHECK(!this->nodes.at(owner).may_evict("e1", this->now));
    this->run(tick_interval);
    CHECK(this->nodes.at(owner).may_evict("e1", this->now));
}

// Guards against a lease that counts from the end of a read: the object may have changed since its start.
TEST_CASE_FIXTURE(ownership_fixture, "lease_counts_from_the_start_of_a_slow_read") {
    auto& node = this->nodes.at(this->owner_of("e1"));
    std::vector<ownership_action> actions{};
    while(actions.empty()) {
        this->now += tick_interval;
        actions = node.tick(this->now);
    }
    auto result = this->execute(std::get<read_object>(actions.front()));
    this->now += 1500ms;
    this->execute_actions(node, node.on_read(this->now, result));
    CHECK(*node.lease_end() == result.started + 6s);
    // A duplicated or late result of the same read has no effect.
    result.started = this->now;
    this->execute_actions(node, node.on_read(this->now, result));
    CHECK(*node.lease_end() == this->now - 1500ms + 6s);
    CHECK(node.counters().stale_results == 1u);
}

// Guards against a takeover write that is repeated, or assumed to have succeeded, after its response was lost.
TEST_CASE_FIXTURE(ownership_fixture, "takeover_write_with_lost_response_is_read_back") {
    const auto old_owner = this->owner_of("e1");
    const auto token = *this->nodes.at(old_owner).fencing_token("e1");
    const auto version = this->store.version;
    this->lose_next_response = true;
    this->kill(old_owner);
    this->run(10s);
    CHECK(!this->lose_next_response);
    CHECK(this->store.version == version + 1u);
    CHECK(*this->nodes.at(this->owner_of("e1")).fencing_token("e1") == token + 1u);
    for(const auto& [name, node] : this->nodes) {
        CHECK(node.counters().conflicts == 0u);
    }
}

// Guards against a second node that evicts on an upstream because its view of the fleet is wrong.
TEST_CASE_FIXTURE(ownership_fixture, "two_nodes_assign_the_same_upstream_to_themselves_one_evicts") {
    const auto start = this->store.version;
    auto& isolated = this->nodes.at("n2");
    this->execute_actions(isolated, isolated.on_view(this->now, {{{"n2", 1u}}, {}, this->upstreams}));
    for(const auto* name : {"n1", "n3"}) {
        auto& other = this->nodes.at(name);
        this->execute_actions(other, other.on_view(this->now, {{{"n1", 1u}, {"n3", 1u}}, {}, this->upstreams}));
    }
    for(int step{}; step < 1200; ++step) {
        this->run(tick_interval);
        for(const auto& upstream : this->upstreams) {
            if(!upstream.checks_fencing_token) {
                REQUIRE(this->count_evictors(upstream.name) <= 1u);
            }
        }
    }
    CHECK(this->store.version > start + 1u);
}

// Guards against endless mutual takeovers by nodes with different views.
TEST_CASE_FIXTURE(ownership_fixture, "takeovers_reverted_by_another_writer_back_off") {
    const auto start = this->store.version;
    for(int round{}; round < 300; ++round) {
        auto& isolated = this->nodes.at("n2");
        this->execute_actions(isolated, isolated.on_view(this->now, {{{"n2", 1u}}, {}, this->upstreams}));
        auto& other = this->nodes.at("n1");
        this->execute_actions(other, other.on_view(this->now, {{{"n1", 1u}, {"n3", 1u}}, {}, this->upstreams}));
        this->run(1s);
    }
    CHECK(this->store.version - start < 60u);
}

// Guards against assignments, loads or evictions based on a stale object while the object API is down.
TEST_CASE_FIXTURE(ownership_fixture, "object_api_down_during_takeover_only_routing_continues") {
    const auto fenced_owner = this->owner_of("t1");
    const auto orphaned = std::find_if(this->upstreams.begin(), this->upstreams.end(),
        [&](const auto& upstream) { return this->owner_of(upstream.name) != fenced_owner; });
    REQUIRE(orphaned != this->upstreams.end());
    const auto killed = this->owner_of(orphaned->name);
    this->store.available = false;
    this->kill(killed);
    const auto version = this->store.version;
    this->run(30s);
    CHECK(this->store.version == version);
    for(const auto& [name, node] : this->nodes) {
        CHECK(node.object_api_down(this->now));
        for(const auto& upstream : node.owned_upstreams()) {
            const auto checks_token = upstream == "t1";
            CHECK(node.may_route(upstream, this->now));
            CHECK(node.may_load(upstream, this->now) == checks_token);
            CHECK(node.may_evict(upstream, this->now) == checks_token);
        }
    }
    CHECK(this->nodes.at(fenced_owner).may_evict("t1", this->now));
    this->store.available = true;
    this->run(20s);
    CHECK(this->count_evictors(orphaned->name) == 1u);
}

// Guards against a node that starts during an outage and knows no owners, or treats the copy of a peer as a lease.
TEST_CASE_FIXTURE(ownership_fixture, "start_during_outage_learns_owners_from_peer_without_lease") {
    const auto snapshot = this->nodes.at("n1").snapshot();
    const auto owner = *this->nodes.at("n1").owner("e1");
    this->store.available = false;
    ownership restarted{ownership_settings{}, owner.owner, "kotte"};
    CHECK(restarted.on_snapshot(this->now, snapshot));
    CHECK(!restarted.on_snapshot(this->now, snapshot));
    CHECK(restarted.owner("e1") == owner);
    // A copy grants no lease, and this process has not detected the outage yet.
    CHECK(!restarted.may_route("e1", this->now));
    CHECK(!restarted.owns("e1", this->now));
    CHECK(!restarted.may_load("e1", this->now));
    CHECK(!restarted.on_snapshot(this->now, {snapshot.version + 1u, "{\"upstreams\":3}"}));
    CHECK(restarted.version() == snapshot.version);
}

// Guards against a planned stop that leaves an upstream without evictions: the successor of a released upstream does
// not wait.
TEST_CASE_FIXTURE(ownership_fixture, "planned_release_names_successors_in_one_write") {
    const auto leaving = this->owner_of("e1");
    auto& node = this->nodes.at(leaving);
    const auto version = this->store.version;
    this->live_ids.erase(leaving);
    auto leaving_view = this->view();
    leaving_view.live_nodes.push_back({leaving, 1u});
    for(auto& [name, other] : this->nodes) {
        this->execute_actions(other, other.on_view(this->now, leaving_view));
    }
    this->execute_actions(node, node.release_all(this->now));
    CHECK(!node.may_evict("e1", this->now));
    CHECK(!node.released());
    this->run(900ms);
    CHECK(this->store.version == version); // Orders issued before the release are still valid.
    this->run(3s);
    CHECK(node.released());
    CHECK(this->store.version == version + 1u);
    CHECK(this->count_evictors("e1") == 1u);
}

// Guards against `released` set by a node whose own takeover wait is not over, so that orders of the owner before it
// may still be valid.
TEST_CASE_FIXTURE(ownership_fixture, "successor_waits_after_release_within_the_takeover_wait") {
    this->kill(this->owner_of("e1"));
    this->run(4s);
    auto& second = this->nodes.at(this->owner_of("e1"));
    this->execute_actions(second, second.release_all(this->now));
    this->run(3s);
    CHECK(second.released());
    CHECK(this->count_evictors("e1") == 0u);
    CHECK(!second.owner("e1")->released);
}

// Guards against a handover write that takes effect after its sender has started to issue orders again.
TEST_CASE_FIXTURE(ownership_fixture, "delayed_handover_write_blocks_eviction_and_routing_until_resolved") {
    const auto leaving = this->owner_of("e1");
    auto& node = this->nodes.at(leaving);
    // The owner is live but no longer a candidate, so that rebalancing hands its upstreams over.
    this->live_ids.erase(leaving);
    auto changed = this->view();
    changed.live_nodes.push_back({leaving, 1u});
    this->execute_actions(node, node.on_view(this->now, changed));
    std::optional<write_object> delayed{};
    for(int step{}; step < 600 && !delayed; ++step) {
        this->now += tick_interval;
        auto actions = node.tick(this->now);
        if(!actions.empty() && std::holds_alternative<write_object>(actions.front())) {
            delayed = std::get<write_object>(actions.front());
        } else {
            this->execute_actions(node, actions);
        }
    }
    REQUIRE(delayed);
    ownership reader{ownership_settings{}, {"reader", 1u}, "kotte"};
    reader.on_snapshot(this->now, {delayed->expected_version + 1u, delayed->body});
    std::string moved{};
    for(const auto& name : node.owned_upstreams()) {
        if(reader.owner(name) != node.owner(name)) {
            moved = name;
        }
    }
    REQUIRE(!moved.empty());
    (void)node.on_write(this->now, {delayed->operation, write_status::unknown, 0u});
    // Reads show the old version, but the write may still take effect, so no read of that version resolves it.
    for(int step{}; step < 20; ++step) {
        this->now += 500ms;
        const auto actions = node.tick(this->now);
        if(!actions.empty() && std::holds_alternative<read_object>(actions.front())) {
            (void)node.on_read(this->now, this->execute(std::get<read_object>(actions.front())));
        }
        CHECK(!node.may_evict(moved, this->now));
        CHECK(!node.may_route(moved, this->now));
    }
    // Another write increments the version, so that the delayed one can no longer take effect.
    ++this->store.version;
    for(int step{}; step < 30 && !node.may_evict(moved, this->now); ++step) {
        this->now += tick_interval;
        const auto actions = node.tick(this->now);
        if(!actions.empty() && std::holds_alternative<read_object>(actions.front())) {
            (void)node.on_read(this->now, this->execute(std::get<read_object>(actions.front())));
        }
    }
    CHECK(node.may_evict(moved, this->now));
    CHECK(node.may_route(moved, this->now));
}

// Guards against an owner that lost an upstream, got it back without noticing, and skips the takeover wait for the
// owner in between.
TEST_CASE_FIXTURE(ownership_fixture, "owner_with_a_new_token_waits_again") {
    const auto name = this->owner_of("e1");
    auto& node = this->nodes.at(name);
    const auto token = *node.fencing_token("e1");
    auto json = nlohmann::json::parse(this->store.body);
    json["upstreams"]["e1"]["token"] = token + 2u;
    json["writer"] = "other/1/1";
    this->store.body = json.dump();
    ++this->store.version;
    this->run(3s);
    CHECK(*node.fencing_token("e1") == token + 2u);
    CHECK(node.owns("e1", this->now));
    CHECK(!node.may_evict("e1", this->now));
    CHECK(*node.owner_since("e1") > this->now - 3s);
}

// Guards against a stale copy of the object that restores an earlier owner or renews a lease.
TEST_CASE_FIXTURE(ownership_fixture, "read_of_a_lower_version_changes_nothing") {
    const auto old = this->store;
    this->kill(this->owner_of("e1"));
    this->run(12s);
    const auto name = this->owner_of("e1");
    auto& node = this->nodes.at(name);
    const auto entry = node.owner("e1");
    this->store = old;
    this->run(7s);
    CHECK(node.owner("e1") == entry);
    CHECK(!node.owns("e1", this->now));
}

// Guards against a reused fencing token after an upstream was removed and has returned.
TEST_CASE_FIXTURE(ownership_fixture, "returning_upstream_gets_a_higher_token") {
    const auto token = this->nodes.at("n1").owner("e1")->fencing_token;
    const auto kept = this->nodes.at("n1").owner("e2");
    const auto first = this->upstreams.front();
    this->upstreams.erase(this->upstreams.begin());
    this->update_views();
    this->run(20s);
    CHECK(this->nodes.at("n1").owner("e1")); // Kept for `removal_delay`, because a view may lag.
    this->run(20s);
    CHECK(!this->nodes.at("n1").owner("e1"));
    this->upstreams.push_back(first);
    this->update_views();
    this->run(10s);
    CHECK(this->nodes.at("n1").owner("e1")->fencing_token > token);
    CHECK(this->nodes.at("n1").owner("e2") == kept);
}

// Guards against a restarted process that continues the leases of its previous boot, whose requests it does not know.
TEST_CASE_FIXTURE(ownership_fixture, "restart_under_new_boot_id_is_a_new_owner") {
    const auto owner = this->owner_of("e1");
    const auto token = *this->nodes.at(owner).fencing_token("e1");
    this->start(owner, 2u);
    this->run(6s);
    const auto successor = this->owner_of("e1");
    REQUIRE(!successor.empty());
    CHECK(*this->nodes.at(successor).fencing_token("e1") > token);
    CHECK(this->count_evictors("e1") == 0u);
    this->run(10s);
    CHECK(this->count_evictors("e1") == 1u);
}

// Guards against a joining node that receives too many upstreams at once, or none.
TEST_CASE_FIXTURE(ownership_fixture, "upstreams_move_to_joining_node_gradually_and_without_wait") {
    for(int index{}; index < 40; ++index) {
        this->upstreams.push_back({"x" + std::to_string(index), false});
    }
    this->update_views();
    this->run(20s);
    this->start("n4", 1u);
    const auto before = this->nodes.at("n1").assignments();
    this->written_bodies.clear();
    this->run(5min);
    auto last = before;
    std::size_t largest{};
    for(std::size_t index{}; index < this->written_bodies.size(); ++index) {
        ownership reader{ownership_settings{}, {"reader", 1u}, "kotte"};
        reader.on_snapshot(this->now, {index + 1u, this->written_bodies[index]});
        std::size_t moved{};
        for(const auto& [name, entry] : reader.assignments()) {
            moved += entry != last.at(name) ? 1u : 0u;
        }
        largest = std::max(largest, moved);
        last = reader.assignments();
    }
    CHECK(largest <= ownership_settings{}.rebalance_batch);
    std::size_t moved{};
    for(const auto& [name, entry] : last) {
        moved += entry != before.at(name) ? 1u : 0u;
        CHECK((entry == before.at(name) || entry.owner.name == "n4"));
        CHECK(this->count_evictors(name) == 1u);
    }
    CHECK(moved > 0u);
}

// Guards against upstreams of a zone without live members that are not taken over by nodes of other zones.
TEST_CASE_FIXTURE(ownership_fixture, "candidates_of_zone_without_members_are_those_of_other_zones") {
    std::vector<member> members(3u);
    members[0].info = {"a", "kotte", {}, {}, 1u};
    members[1].info = {"b", "maradana", {}, {}, 1u};
    members[2].info = {"c", "maradana", {}, {}, 1u};
    members[2].state = member_state::leaving;
    CHECK(ownership_candidates(members, "kotte") == std::vector<node_id>{{"a", 1u}});
    members[0].state = member_state::dead;
    CHECK(ownership_candidates(members, "kotte") == std::vector<node_id>{{"b", 1u}});
    CHECK(live_node_ids(members) == std::vector<node_id>{{"b", 1u}, {"c", 1u}});
}

// Guards against a corrupted or deleted object that is treated as an empty one.
TEST_CASE_FIXTURE(ownership_fixture, "corrupted_or_missing_object_grants_no_lease_and_is_not_overwritten") {
    const auto valid_object = this->store;
    for(const auto& invalid_object :
        {stored_object{valid_object.version + 1u, "{", true}, stored_object{0u, "", true}}) {
        const auto malformed_before = this->nodes.at("n1").counters().malformed;
        this->store = invalid_object;
        this->run(10s);
        CHECK(this->count_evictors("e1") == 0u);
        CHECK(this->store.version == invalid_object.version);
        CHECK(this->nodes.at("n1").counters().malformed > malformed_before);
    }
    this->store = valid_object;
    this->run(5s);
    CHECK(this->count_evictors("e1") == 1u);
}

} // namespace lagoonsaddle::fleet
