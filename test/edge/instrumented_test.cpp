#include <string>

#include "placement_fixture.hpp"
#include <lagoonsaddle/edge/instrumented.hpp>
#include <lagoonsaddle/edge/process_metrics.hpp>

namespace lagoonsaddle::edge {

namespace {

struct instrumented_fixture : placement_fixture {
    [[nodiscard]] bool has_metric(const std::string& line) {
        return this->metrics.to_prometheus_text().find(line) != std::string::npos;
    }

    operate::metrics_registry metrics{this->clock};
};

class counting_sink final : public log_sink {
public:
    void write(const log_line&) override {
        ++this->lines;
    }

    int lines{};
};

} // namespace

// Guards against events that are missing in the metrics because the log drops their lines.
TEST_CASE_FIXTURE(instrumented_fixture, "write_counts_by_event_and_outcome_and_forwards_line") {
    counting_sink wrapped{};
    instrumented_log log{wrapped, this->metrics};
    log.write(log_line{"order"}.add("upstream", "u1").add("outcome", "accepted"));
    log.write(log_line{"order"}.add("upstream", "u2").add("outcome", "accepted"));
    log.write(log_line{"stop"});
    CHECK(wrapped.lines == 3);
    CHECK(this->has_metric(R"(lagoonsaddle_edge_events_total{event="order",outcome="accepted"} 2)"));
    CHECK(this->has_metric(R"(lagoonsaddle_edge_events_total{event="stop",outcome=""} 1)"));
}

// Guards against store calls that are not counted, or are counted under the wrong outcome.
TEST_CASE_FIXTURE(instrumented_fixture, "store_calls_are_counted_by_kind_and_outcome") {
    instrumented_store instrumented{this->store, this->metrics, this->clock};
    CHECK_FALSE(this->run(instrumented.list(record_kind::versions)).has_value());
    CHECK_FALSE(this->run(instrumented.read_lease("nowhere")).has_value());
    CHECK(this->run(instrumented.write_lease({.availability_zone = "other"}, 0u)).has_value());
    CHECK(this->has_metric(
        R"(lagoonsaddle_edge_store_calls_total{call="list",kind="versions",outcome="unavailable"} 1)"));
    CHECK(this->has_metric(R"(lagoonsaddle_edge_store_calls_total{call="read",kind="leases",outcome="not_found"} 1)"));
    CHECK(this->has_metric(R"(lagoonsaddle_edge_store_calls_total{call="write",kind="leases",outcome="answered"} 1)"));
}

// Guards against unbounded label cardinality: removed upstreams must no longer be listed.
TEST_CASE_FIXTURE(instrumented_fixture, "format_upstream_metrics_lists_known_upstreams_only") {
    this->upstreams.find("u1")->in_flight = 3u;
    CHECK(this->upstreams.remove("u2", this->clock.now()));
    const auto text = format_upstream_metrics(this->upstreams, this->clock.now());
    CHECK(text.find(R"(lagoonsaddle_edge_upstream_in_flight{service="s",upstream="u1"} 3)") != std::string::npos);
    CHECK(text.find("u2") == std::string::npos);
    CHECK(read_process_usage().resident_bytes > 0.0);
}

} // namespace lagoonsaddle::edge
