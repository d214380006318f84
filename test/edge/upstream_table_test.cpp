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

// Guards against new work for an upstream that is leaving, also when an older entry arrives after the mark.
TEST_CASE_FIXTURE(upstream_table_fixture, "mark_leaving_by_peer_outlives_older_entry") {
    CHECK_FALSE(this->table.mark_leaving("u", 4u));
    CHECK(this->table.mark_leaving("u", 5u));
    this->table.update(this->entry, this->now);
    CHECK(this->table.usable("s").empty());
    this->entry.started_ms = 6u;
    this->table.update(this->entry, this->now);
    CHECK(this->table.usable("s").size() == 1u);
}

// Guards against the loss of all upstreams when their entries lapsed while the store was away.
TEST_CASE_FIXTURE(upstream_table_fixture, "remove_after_outage_keeps_until_grace_ends") {
    this->table.store_returned(this->now);
    CHECK_FALSE(this->table.remove("u", this->now + 100ms));
    CHECK(this->table.usable("s").size() == 1u);
    CHECK(this->table.expire(this->now + 2s).empty());
    CHECK(this->table.expire(this->now + 2'400ms) == std::vector<std::string>{"u"});
    CHECK(this->table.usable("s").empty());
}

// Guards against a lapsed entry that is back and still counts as gone.
TEST_CASE_FIXTURE(upstream_table_fixture, "update_lapsed_entry_back_is_kept") {
    this->table.store_returned(this->now);
    this->table.remove("u", this->now);
    this->table.update(this->entry, this->now + 1s);
    CHECK(this->table.expire(this->now + 10s).empty());
}

// Guards against work for an upstream whose entry was removed on a calm day: it leaves without a mark.
TEST_CASE_FIXTURE(upstream_table_fixture, "remove_without_outage_drops_at_once") {
    CHECK(this->table.remove("u", this->now));
    CHECK(this->table.usable("s").empty());
}

// Guards against a request for an adapter that the upstream has just refused, or that was just loaded.
TEST_CASE_FIXTURE(upstream_table_fixture, "observe_adapter_goes_before_entry_for_a_while") {
    const auto* known = this->table.find("u");
    CHECK(known->adapter_version("m", "a", this->now) == 2u);
    this->table.observe_adapter("u", "m", "a", false, 0u, this->now);
    CHECK_FALSE(known->adapter_version("m", "a", this->now + 1s).has_value());
    this->table.observe_adapter("u", "m", "b", true, 3u, this->now);
    CHECK(known->adapter_version("m", "b", this->now + 1s) == 3u);
    CHECK(known->adapter_version("m", "a", this->now + 3s) == 2u);
}

// Guards against knowledge of an earlier process with the same id.
TEST_CASE_FIXTURE(upstream_table_fixture, "update_restarted_upstream_forgets_observations") {
    this->table.observe_adapter("u", "m", "b", true, 3u, this->now);
    this->entry.started_ms = 9u;
    this->table.update(this->entry, this->now);
    CHECK_FALSE(this->table.find("u")->adapter_version("m", "b", this->now).has_value());
}

} // namespace lagoonsaddle::edge
