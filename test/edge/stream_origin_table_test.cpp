#include <doctest/doctest.h>

#include <lagoonsaddle/edge/stream_origin_table.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct stream_origin_table_fixture {
    stream_origin_table table{{.records_max = 2u}};
    core::time_point now{100s};
};

} // namespace

// Guards against a second continuation at another version than the first: the version that began the stream is kept.
TEST_CASE_FIXTURE(stream_origin_table_fixture, "record_again_keeps_first_origin_for_longer") {
    this->table.record("r", {.service = "s", .software_version = "v1"}, this->now + 1s);
    this->table.record("r", {.service = "s", .software_version = "v2"}, this->now + 5s);
    this->table.record("r", {.service = "s"}, this->now + 2s);
    this->table.remove_expired(this->now + 4s);
    REQUIRE(this->table.find("r") != nullptr);
    CHECK(this->table.find("r")->software_version == "v1");
    this->table.remove_expired(this->now + 5s);
    CHECK(this->table.find("r") == nullptr);
}

// Guards against records that fill the memory, and against dropping those that are needed for longest.
TEST_CASE_FIXTURE(stream_origin_table_fixture, "record_beyond_limit_drops_record_that_expires_first") {
    this->table.record("a", {.service = "s"}, this->now + 3s);
    this->table.record("b", {.service = "s"}, this->now + 1s);
    this->table.record("c", {.service = "s"}, this->now + 2s);
    CHECK(this->table.size() == 2u);
    CHECK(this->table.find("a") != nullptr);
    CHECK(this->table.find("b") == nullptr);
}

} // namespace lagoonsaddle::edge
