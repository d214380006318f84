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
        REQUIRE(::pipe(this->pipe_ends.data()) == 0);
    }

    decision_log_fixture(const decision_log_fixture&) = delete;
    decision_log_fixture& operator=(const decision_log_fixture&) = delete;

    ~decision_log_fixture() {
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }

    [[nodiscard]] std::string read_output() const {
        std::array<char, 65'536u> buffer{};
        const auto size = ::read(this->pipe_ends[0], buffer.data(), buffer.size());
        return {buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0u};
    }

    std::array<int, 2u> pipe_ends{};
    core::manual_clock clock{};
};

} // namespace

// Guards against log injection: a line end in a value from a request must not start a new line.
TEST_CASE_FIXTURE(decision_log_fixture, "write_value_with_line_end_is_one_line") {
    decision_log log{this->pipe_ends[1], this->clock};
    log.write(log_line{"request"}.add("id", "a b\nevent=forged").add("ms", 5));
    log.flush();
    const auto text = this->read_output();
    CHECK(text.find("event=request id=\"a b'event=forged\" ms=5\n") != std::string::npos);
}

// Guards against a log without a rate limit, and against lines that are dropped without a trace.
TEST_CASE_FIXTURE(decision_log_fixture, "write_beyond_rate_drops_lines_and_logs_their_count") {
    decision_log log{this->pipe_ends[1], this->clock, {.lines_per_second = 10.0, .burst_lines = 5.0}};
    for(int index{}; index < 20; ++index) {
        log.write(log_line{"request"});
    }
    CHECK(log.dropped() == 15u);
    this->clock.advance(1s);
    log.write(log_line{"request"});
    log.flush();
    CHECK(this->read_output().find("event=log_lines_dropped count=15") != std::string::npos);
}

// Guards against requests that block, and a buffer that grows, while nobody reads the log.
TEST_CASE_FIXTURE(decision_log_fixture, "flush_without_reader_does_not_block_and_bounds_buffer") {
    decision_log log{
        this->pipe_ends[1], this->clock, {.lines_per_second = 1e9, .burst_lines = 1e9, .buffer_bytes = 10'000u}};
    for(int index{}; index < 20'000; ++index) {
        log.write(log_line{"request"}.add("id", "0123456789"));
        log.flush();
    }
    CHECK(log.dropped() > 0u);
}

} // namespace lagoonsaddle::edge
