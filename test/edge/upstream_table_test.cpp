#include <array>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct upstream_table_fixture {
    upstream_table_fixture() {
        this->entry.models["m"].adapters = {{"a", 2u}};
        this->table.update(this->entry, this->now);
    }

    upstream_entry entry{
        .id = "u", .service = "s", .availability_zone = "z", .address = {"10.0.0.1", 80u}, .started_ms = 5u};
    upstream_table table{};
    core::time_point now{100s};
};

} // namespace

// Guards against new requests for an upstream that is leaving, even if an older entry arrives after the mark.
TEST_CASE_FIXTURE(upstream_table_fixture, "mark_leaving_by_peer_is_kept_by_older_entry") {
    CHECK_FALSE(this->table.mark_leaving("u", 4u));
    CHECK(this->table.mark_leaving("u", 5u));
    this->table.update(this->entry, this->now);
    CHECK(this->table.accepting_requests("s").empty());
    this->entry.started_ms = 6u;
    this->table.update(this->entry, this->now);
    CHECK(this->table.accepting_requests("s").size() == 1u);
}

// Guards against requests for an upstream that a peer has seen removed, and against one that stays out of use although
// its entry is written again.
TEST_CASE_FIXTURE(upstream_table_fixture, "mark_removed_by_peer_takes_upstream_out_of_use_until_its_entry_is_read") {
    CHECK_FALSE(this->table.mark_removed("u", 4u, this->now));
    CHECK_FALSE(this->table.mark_removed("other", 5u, this->now));
    CHECK(this->table.mark_removed("u", 5u, this->now));
    CHECK_FALSE(this->table.mark_removed("u", 5u, this->now));
    CHECK(this->table.accepting_requests("s").empty());
    CHECK(this->table.remove_expired(this->now + 60s).empty());
    CHECK(this->table.accepting_requests("s").empty());
    this->table.update(this->entry, this->now + 60s);
    CHECK(this->table.accepting_requests("s").size() == 1u);
}

// Guards against a peer that has not read the removal yet and puts the upstream into use again.
TEST_CASE_FIXTURE(upstream_table_fixture, "confirm_listed_has_no_effect_until_removal_has_reached_all_readers") {
    CHECK_FALSE(this->table.confirm_listed("u", this->now));
    this->table.mark_removed("u", 5u, this->now);
    CHECK_FALSE(this->table.confirm_listed("u", this->now + 4'999ms));
    CHECK(this->table.accepting_requests("s").empty());
    CHECK(this->table.confirm_listed("u", this->now + 5s));
    CHECK(this->table.accepting_requests("s").size() == 1u);
}

// Guards against a removal that is told as one of an upstream which peers know to be leaving, or the reverse.
TEST_CASE_FIXTURE(upstream_table_fixture, "removed_unmarked_tells_only_upstreams_that_were_not_leaving") {
    CHECK_FALSE(this->table.removed_unmarked("u").has_value());
    this->table.remove("u", this->now);
    CHECK(this->table.removed_unmarked("u") == 5u);
    this->entry.started_ms = 6u;
    this->entry.leaving = true;
    this->table.update(this->entry, this->now);
    this->table.remove("u", this->now);
    CHECK_FALSE(this->table.removed_unmarked("u").has_value());
}

// Guards against losing all upstreams when their entries expired during an outage of the store.
TEST_CASE_FIXTURE(upstream_table_fixture, "remove_after_outage_keeps_upstream_until_grace_ends") {
    this->table.on_store_recovered(this->now);
    CHECK_FALSE(this->table.remove("u", this->now + 100ms));
    CHECK(this->table.accepting_requests("s").size() == 1u);
    CHECK(this->table.remove_expired(this->now + 2s).empty());
    CHECK(this->table.remove_expired(this->now + 2'400ms) == std::vector<std::string>{"u"});
    CHECK(this->table.accepting_requests("s").empty());
}

// Guards against removing an upstream whose expired entry was written again.
TEST_CASE_FIXTURE(upstream_table_fixture, "update_expired_entry_written_again_is_kept") {
    this->table.on_store_recovered(this->now);
    this->table.remove("u", this->now);
    this->table.update(this->entry, this->now + 1s);
    CHECK(this->table.remove_expired(this->now + 10s).empty());
}

// Guards against sending requests to an upstream whose entry was removed while the store was available.
TEST_CASE_FIXTURE(upstream_table_fixture, "remove_without_outage_removes_immediately") {
    CHECK(this->table.remove("u", this->now));
    CHECK(this->table.accepting_requests("s").empty());
}

// Guards against using an outdated entry for an adapter that the upstream has just refused or just loaded.
TEST_CASE_FIXTURE(upstream_table_fixture, "observe_adapter_takes_precedence_over_entry_temporarily") {
    const auto* known = this->table.find("u");
    CHECK(known->adapter_version("m", "a", this->now) == 2u);
    this->table.observe_adapter("u", "m", "a", false, 0u, this->now);
    CHECK_FALSE(known->adapter_version("m", "a", this->now + 1s).has_value());
    this->table.observe_adapter("u", "m", "b", true, 3u, this->now);
    CHECK(known->adapter_version("m", "b", this->now + 1s) == 3u);
    CHECK(known->adapter_version("m", "a", this->now + 3s) == 2u);
}

// Guards against keeping observations of an earlier process with the same id.
TEST_CASE_FIXTURE(upstream_table_fixture, "update_restarted_upstream_discards_observations") {
    this->table.observe_adapter("u", "m", "b", true, 3u, this->now);
    this->entry.started_ms = 9u;
    this->table.update(this->entry, this->now);
    CHECK_FALSE(this->table.find("u")->adapter_version("m", "b", this->now).has_value());
}

// Guards against losing all upstreams that stand behind an entry which ends a list.
TEST_CASE_FIXTURE(upstream_table_fixture, "merge_truncated_list_keeps_upstreams_it_lacks") {
    const upstream_entry other{.id = "v", .service = "s", .started_ms = 1u};
    CHECK(this->table.merge(std::array{other}, this->now).empty());
    CHECK(this->table.accepting_requests("s").size() == 2u);
    CHECK(this->table.replace(std::array{other}, this->now) == std::vector<std::string>{"u"});
}

// Guards against requests to an upstream that has left, whose entry a restored store lists again as it was before.
TEST_CASE("replace_removed_upstream_listed_again_gets_no_requests") {
    const core::time_point now{100s};
    const upstream_entry ready{.id = "u", .service = "s", .started_ms = 7u};
    auto leaving = ready;
    leaving.leaving = true;
    for(const auto& last : {ready, leaving}) {
        upstream_table table{};
        table.update(last, now);
        REQUIRE(table.remove("u", now));
        table.replace(std::array{ready}, now + 1s);
        CHECK(table.accepting_requests("s").empty());
        table.remove_expired(now + 3s);
        CHECK(table.accepting_requests("s").empty());
        table.remove_expired(now + 7s);
        CHECK(table.accepting_requests("s").empty() == last.leaving);
        auto next_incarnation = ready;
        next_incarnation.started_ms = 8u;
        table.update(next_incarnation, now + 8s);
        CHECK(table.accepting_requests("s").size() == 1u);
    }
}

// Guards against taking a service for one of a single software version while streams of another one may go on.
TEST_CASE_FIXTURE(upstream_table_fixture, "software_versions_include_those_of_removed_and_restarted_upstreams") {
    using versions = std::set<std::string, std::less<>>;
    this->entry.software_version = "v1";
    this->entry.started_ms = 6u;
    this->table.update(this->entry, this->now + 1s);
    CHECK(this->table.software_versions("s", this->now) == versions{"", "v1"});
    CHECK(this->table.software_versions("s", this->now + 2s) == versions{"v1"});
    CHECK(this->table.software_versions("t", this->now).empty());
    this->table.remove("u", this->now + 3s);
    CHECK(this->table.software_versions("s", this->now + 3s) == versions{"v1"});
    CHECK(this->table.software_versions("s", this->now + 4s).empty());
}

// Guards against conclusions from entries that the node has not seen for long enough, or not without a break.
TEST_CASE_FIXTURE(upstream_table_fixture, "complete_since_begins_again_after_an_outage_of_the_store") {
    CHECK_FALSE(this->table.complete_since(this->now));
    this->table.set_current(true, this->now);
    this->table.set_current(true, this->now + 1s);
    CHECK(this->table.complete_since(this->now));
    CHECK_FALSE(this->table.complete_since(this->now - 1s));
    this->table.set_current(false, this->now + 2s);
    CHECK_FALSE(this->table.complete_since(this->now + 2s));
    this->table.set_current(true, this->now + 3s);
    CHECK_FALSE(this->table.complete_since(this->now));
}

// Guards against a stream that goes on at an upstream which has come back at another version, before its entry says so.
TEST_CASE_FIXTURE(upstream_table_fixture, "certain_version_is_unknown_from_sign_of_restart_until_entry_or_time") {
    const auto version_at = [this](core::duration after) {
        return this->table.certain_version(*this->table.find("u"), this->now + after);
    };
    CHECK(version_at(0s) == "");
    this->table.suspect_restart("u", this->now);
    this->table.update(this->entry, this->now);
    CHECK_FALSE(version_at(4s).has_value());
    CHECK(version_at(5s) == "");
    this->table.set_current(false, this->now);
    CHECK_FALSE(version_at(60s).has_value());
    this->entry.started_ms = 6u;
    this->entry.software_version = "v2";
    this->table.update(this->entry, this->now);
    CHECK(version_at(0s) == "v2");
}

// Guards against health and observations of an incarnation of another software version under the same id.
TEST_CASE_FIXTURE(upstream_table_fixture, "update_other_software_version_is_another_incarnation") {
    this->table.observe_adapter("u", "m", "a", true, 9u, this->now);
    this->entry.software_version = "v2";
    this->table.update(this->entry, this->now);
    CHECK(this->table.find("u")->adapter_version("m", "a", this->now) == 2u);
}

} // namespace lagoonsaddle::edge
