#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/stream_archive.hpp>
#include <lagoonsaddle/edge/stream_archive_service.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;
using version_set = std::set<std::string, std::less<>>;

constexpr std::uint64_t epoch{4u};
constexpr std::chrono::milliseconds stream_time{20s};

/*! @brief A node that stops and starts again, with the times of day and the record that outlives it. */
struct stream_archive_fixture {
    stream_archive_fixture() {
        this->observe({"v1"});
    }

    void observe(const version_set& versions) {
        version_observation seen{.stream_time = stream_time};
        seen.versions["s"] = versions;
        if(this->seen_since) {
            seen.seen_since = this->seen_since;
        }
        this->archive.observe(seen, this->now, this->steady_now);
    }

    void pass(std::chrono::milliseconds time) {
        this->now += time;
        this->steady_now += time;
    }

    [[nodiscard]] stream_record write() {
        return this->archive.make_record(epoch, this->now);
    }

    /*! @brief Replaces the process by one that loads records and then sees versions. */
    std::vector<resumable_stream> restart(std::vector<stream_record> records, const version_set& versions) {
        this->archive = stream_archive{{.node_name = "n"}};
        this->seen_since = this->steady_now;
        auto streams = this->archive.load(records, epoch, this->now, this->steady_now);
        this->observe(versions);
        return streams;
    }

    void add(const std::string& request) {
        this->archive.add(request, {.service = "s", .software_version = "v1"}, this->now + 10s);
    }

    stream_archive archive{{.node_name = "n"}};
    std::chrono::milliseconds now{1'000'000s};
    core::time_point steady_now{100s};
    std::optional<core::time_point> seen_since{100s};
};

} // namespace

// Guards against calls to the store for streams that need no record, as their service has one version.
TEST_CASE_FIXTURE(stream_archive_fixture, "is_outdated_service_of_one_version_needs_one_record") {
    CHECK(this->archive.is_outdated(epoch));
    CHECK(this->write().streams.empty());
    this->add("r");
    this->pass(1s);
    this->observe({"v1"});
    CHECK_FALSE(this->archive.is_outdated(epoch));
    CHECK(this->archive.is_outdated(epoch + 1u));
    this->archive.write_failed();
    CHECK(this->archive.is_outdated(epoch));
}

// Guards against calls of all nodes to the store at the start of a fleet, before its upstreams have registered.
TEST_CASE_FIXTURE(stream_archive_fixture, "is_outdated_no_upstream_seen_needs_no_record") {
    this->archive = stream_archive{{.node_name = "n"}};
    this->observe({});
    CHECK_FALSE(this->archive.is_outdated(epoch));
    this->observe({"v1"});
    CHECK(this->archive.is_outdated(epoch));
}

// Guards against streams that are lost because they began before the second version came.
TEST_CASE_FIXTURE(stream_archive_fixture, "make_record_second_version_holds_streams_of_before") {
    this->add("r");
    static_cast<void>(this->write());
    this->observe({"v1", "v2"});
    CHECK(this->archive.is_outdated(epoch));
    const auto record = this->write();
    REQUIRE(record.streams.size() == 1u);
    CHECK(record.streams[0].software_version == "v1");
    CHECK_FALSE(this->archive.is_outdated(epoch));
    this->add("later");
    CHECK(this->archive.is_outdated(epoch));
    this->pass(11s);
    this->add("last");
    this->pass(5s);
    CHECK(this->write().streams.size() == 1u);
}

// Guards against a process that forgets the streams of its former one, which it may be the only one to have recorded.
TEST_CASE_FIXTURE(stream_archive_fixture, "load_own_record_keeps_its_streams") {
    this->observe({"v1", "v2"});
    this->add("r");
    const auto record = this->write();
    this->pass(2s);
    CHECK(this->restart({record}, {"v1", "v2"}).size() == 1u);
    CHECK(this->write().streams.size() == 1u);
    this->pass(14s);
    CHECK(this->restart({record}, {"v1", "v2"}).empty());
}

// Guards against taking the only version in sight for the only one that can have begun a stream.
TEST_CASE_FIXTURE(stream_archive_fixture, "versions_after_restart_hold_those_that_have_gone") {
    this->pass(30s);
    this->observe({"v1"});
    this->observe({"v1", "v2"});
    this->pass(1s);
    this->observe({"v2"});
    const auto record = this->write();
    this->pass(5s);
    this->restart({record}, {"v2"});
    CHECK(this->archive.versions("s", stream_time, this->now) == version_set{"v1", "v2"});
    this->pass(stream_time + 1s);
    this->observe({"v2"});
    CHECK(this->archive.versions("s", stream_time, this->now) == version_set{"v2"});
}

// Guards against a version that returned shortly before the end of the process and is taken for gone afterwards.
TEST_CASE_FIXTURE(stream_archive_fixture, "observe_version_that_returns_needs_another_record") {
    this->observe({"v1", "v2"});
    this->observe({"v1"});
    static_cast<void>(this->write());
    this->observe({"v1", "v2"});
    CHECK(this->archive.is_outdated(epoch));
}

// Guards against a version that only other nodes saw while this one was down.
TEST_CASE_FIXTURE(stream_archive_fixture, "versions_after_restart_hold_those_of_other_nodes") {
    const auto record = this->write();
    const stream_record other{.node = "m",
        .epoch = epoch,
        .written = this->now + 1s,
        .versions = {{.service = "s", .software_version = "v2"}}};
    this->pass(3s);
    this->restart({record, other}, {"v1"});
    CHECK(this->archive.versions("s", stream_time, this->now) == version_set{"v1", "v2"});
}

// Guards against taking the versions in sight for all, where no process has seen as long as a stream can last.
TEST_CASE_FIXTURE(stream_archive_fixture, "is_complete_needs_history_of_a_stream_time") {
    this->pass(15s);
    this->observe({"v1"});
    CHECK_FALSE(this->archive.is_complete(stream_time, this->now));
    const auto record = this->write();
    this->pass(10s);
    this->restart({}, {"v1"});
    CHECK_FALSE(this->archive.is_complete(stream_time, this->now));
    auto restored = record;
    restored.epoch = epoch - 1u;
    this->restart({restored}, {"v1"});
    CHECK_FALSE(this->archive.is_complete(stream_time, this->now));
    this->restart({record}, {"v1"});
    CHECK(this->archive.is_complete(stream_time, this->now));
}

// Guards against a history that goes on over a time in which the store showed nothing.
TEST_CASE_FIXTURE(stream_archive_fixture, "is_complete_break_of_observation_begins_anew") {
    this->pass(40s);
    this->observe({"v1"});
    CHECK(this->archive.is_complete(stream_time, this->now));
    this->seen_since.reset();
    this->pass(3s);
    this->observe({"v1"});
    this->seen_since = this->steady_now;
    this->observe({"v1"});
    CHECK_FALSE(this->archive.is_complete(stream_time, this->now));
}

// Guards against streams that cannot go on after all nodes of a large fleet were killed, as they were not recorded yet,
// and against records that use up the writes of the store.
TEST_CASE("write_interval_large_fleet_stays_short_within_the_rate_of_the_store") {
    const stream_archive_service_options options{};
    CHECK(write_interval(options, 9u) == options.write_interval_min);
    CHECK(write_interval(options, 100u) == options.write_interval_min);
    for(const std::size_t nodes : {9u, 63u, 195u, 950u}) {
        const std::chrono::duration<double> interval{write_interval(options, nodes)};
        CHECK(static_cast<double>(nodes) / interval.count() <= 250.0);
    }
}

} // namespace lagoonsaddle::edge
