#include <array>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/decision_log.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct decision_log_fixture {
    decision_log_fixture() {
        REQUIRE(::pipe(this->ends.data()) == 0);
    }

    decision_log_fixture(const decision_log_fixture&) = delete;
    decision_log_fixture& operator=(const decision_log_fixture&) = delete;

    ~decision_log_fixture() {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    [[nodiscard]] std::string read_all() const {
        std::array<char, 65'536u> buffer{};
        const auto size = ::read(this->ends[0], buffer.data(), buffer.size());
        return {buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0u};
    }

    std::array<int, 2u> ends{};
    core::manual_clock clock{};
};

} // namespace

// Guards against a line that a value from a request splits in two.
TEST_CASE_FIXTURE(decision_log_fixture, "write_value_with_line_end_stays_one_line") {
    decision_log log{this->ends[1], this->clock};
    log.write(log_line{"request"}.add("id", "a b\nevent=forged").add("ms", 5));
    log.flush();
    const auto text = this->read_all();
    CHECK(text.find("event=request id=\"a b'event=forged\" ms=5\n") != std::string::npos);
}

// Guards against a log that grows without bound under load, and one that hides what it dropped.
TEST_CASE_FIXTURE(decision_log_fixture, "write_beyond_rate_drops_counts_and_says_so") {
    decision_log log{this->ends[1], this->clock, {.lines_per_second = 10.0, .burst = 5.0}};
    for(int index{}; index < 20; ++index) {
        log.write(log_line{"request"});
    }
    CHECK(log.dropped() == 15u);
    this->clock.advance(1s);
    log.write(log_line{"request"});
    log.flush();
    CHECK(this->read_all().find("event=log_lines_dropped count=15") != std::string::npos);
}

// Guards against a request that waits for the reader of the log.
TEST_CASE_FIXTURE(decision_log_fixture, "flush_reader_stopped_returns_and_bounds_buffer") {
    decision_log log{this->ends[1], this->clock, {.lines_per_second = 1e9, .burst = 1e9, .buffer_bytes = 10'000u}};
    for(int index{}; index < 20'000; ++index) {
        log.write(log_line{"request"}.add("id", "0123456789"));
        log.flush();
    }
    CHECK(log.dropped() > 0u);
}

} // namespace lagoonsaddle::edge
