#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/operate/event_log.hpp>

namespace lagoonsaddle::operate {

namespace {

struct event_log_fixture {
    void add(const std::string& subject, int time) {
        this->log.add("takeover", subject, "owner failed", std::chrono::milliseconds{time});
    }

    event_log log{3u};
};

} // namespace

// Guards against unbounded growth of the log, and against returning events that the reader already has.
TEST_CASE_FIXTURE(event_log_fixture, "event_log_events_after_sequence_returns_newer_events") {
    for(int index{}; index < 5; ++index) {
        this->add("e" + std::to_string(index), index);
    }
    const auto all = this->log.events_after(0u, 100u);
    REQUIRE(all.size() == 3u);
    CHECK(all.front().subject == "e2");
    CHECK(all.front().sequence == 3u);
    const auto newer = this->log.events_after(4u, 100u);
    REQUIRE(newer.size() == 1u);
    CHECK(newer.front().subject == "e4");
    const auto latest = this->log.events_after(0u, 1u);
    REQUIRE(latest.size() == 1u);
    CHECK(latest.front().subject == "e4");
    CHECK(this->log.events_after(5u, 100u).empty());
}

// Guards against a repeated event that evicts all others, and against a reader that misses the repetition.
TEST_CASE_FIXTURE(event_log_fixture, "event_log_repeated_event_is_counted") {
    this->add("e1", 1);
    this->add("e2", 2);
    for(int time = 3; time < 10; ++time) {
        this->add("e2", time);
    }
    const auto newer = this->log.events_after(2u, 100u);
    REQUIRE(newer.size() == 1u);
    CHECK(newer.front().count == 8u);
    CHECK(newer.front().time == std::chrono::milliseconds{9});
    CHECK(this->log.events_after(0u, 100u).size() == 2u);
}

} // namespace lagoonsaddle::operate
