#include <sstream>
#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include <lagoonsaddle/operate/log_timeline.hpp>

namespace lagoonsaddle::operate {

namespace {

struct log_timeline_fixture {
    void read(std::string_view text, std::string_view node) {
        std::istringstream input{std::string{text}};
        this->timeline.read_log(input, node);
    }

    [[nodiscard]] bool contains_event(std::string_view event) const {
        const auto explained = this->timeline.explain();
        for(const auto& line : explained.at("timeline")) {
            if(line.at("event") == event) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] std::string cause() const {
        return this->timeline.explain().at("cause").get<std::string>();
    }

    log_timeline timeline{"r1"};
};

} // namespace

// Guards against truncating quoted values at spaces, and against taking the node that an event is about for the node
// that logged the line.
TEST_CASE_FIXTURE(log_timeline_fixture, "parse_log_line_quoted_and_prefixed_returns_all_fields") {
    const auto record = parse_log_line(
        R"(12.5 front-a| time_ms=42 node=front-a event=member node=front-b message="a = b" empty="")", "-");
    REQUIRE(record.has_value());
    CHECK(record->time_ms == 42);
    CHECK(record->node == "front-a");
    CHECK(record->event == "member");
    CHECK(record->find("node") == "front-b");
    CHECK(record->find("message") == "a = b");
    CHECK(record->find("empty").empty());
    CHECK(record->find("absent").empty());
}

// Guards against parsing other output of a process as a log line.
TEST_CASE_FIXTURE(log_timeline_fixture, "parse_log_line_other_text_returns_nothing") {
    for(const auto* line : {"", "hello", "time_ms=5", "time_ms=x event=start", "event=start", "time_ms="}) {
        CAPTURE(line);
        CHECK_FALSE(parse_log_line(line, "-").has_value());
    }
}

// Guards against an upstream crash that is missing from the cause, and against events of other requests in the
// timeline.
TEST_CASE_FIXTURE(log_timeline_fixture, "explain_upstream_crashed_names_upstream_and_omits_other_requests") {
    this->read("time_ms=100000 event=sent id=r1 upstream=i-1\n"
               "time_ms=100010 event=sent id=r2 upstream=i-2\n"
               "time_ms=100200 event=request id=r1 adapter=a1 path=;i-1:connection_lost status=502 outcome=refused "
               "verdict=may_have_run ms=250 reason=connection_lost message=reset\n",
        "front-a");
    this->read("time_ms=100900 event=upstream_gone upstream=i-1 source=store\n"
               "time_ms=100900 event=upstream_gone upstream=i-2 source=store\n"
               "time_ms=100050 event=stop active=3\n"
               "time_ms=109000 event=upstream_gone upstream=i-1\n",
        "front-b");
    REQUIRE(this->timeline.contains_request());
    const auto explained = this->timeline.explain();
    CHECK(explained.at("complete") == true);
    CHECK(explained.at("outcome") == "refused");
    CHECK(explained.at("timeline").size() == 3u);
    CHECK(explained.at("timeline").at(0).at("offset_ms") == 50);
    CHECK(explained.at("timeline").at(2).at("node") == "front-b");
    CHECK(this->cause().find("ended the connection") != std::string::npos);
    CHECK(this->cause().find("i-1 was gone") != std::string::npos);
    CHECK(this->cause().find("i-2") == std::string::npos);
}

// Guards against reporting the stop of another node, or one long before, as the cause of a refusal.
TEST_CASE_FIXTURE(log_timeline_fixture, "explain_refused_while_stopping_names_stop_of_own_node_only") {
    this->read("time_ms=10000 event=stop active=1\n"
               "time_ms=100000 event=store_lost kind=leases\n"
               "time_ms=103000 event=request id=r1 path=\"\" status=503 outcome=refused verdict=not_run ms=0 "
               "reason=draining\n",
        "front-a");
    this->read("time_ms=102000 event=stop active=1\n", "front-b");
    CHECK_FALSE(this->contains_event("stop"));
    CHECK(this->contains_event("store_lost"));
    this->read("time_ms=101000 event=stop active=1\n", "front-a");
    CHECK(this->contains_event("stop"));
    CHECK(this->cause().find("told to stop") != std::string::npos);
}

// Guards against reporting a node start as the cause if it was long before the request or after its end.
TEST_CASE_FIXTURE(log_timeline_fixture, "explain_node_start_is_cause_only_shortly_before_request") {
    this->read("time_ms=100000 event=start\n"
               "time_ms=107000 event=request id=r1 path=\"\" status=503 outcome=refused ms=0 reason=unavailable\n"
               "time_ms=108000 event=start\n",
        "front-a");
    CHECK(this->cause().find("started") == std::string::npos);
    this->read("time_ms=105000 event=start\n", "front-a");
    CHECK(this->cause().find("started") != std::string::npos);
}

// Guards against a timeline of a failed load that lacks the related orders and lease events.
TEST_CASE_FIXTURE(log_timeline_fixture, "explain_load_failed_contains_orders_for_adapter_and_lease_events") {
    this->read("time_ms=5000 event=load id=r1 upstream=i-1 outcome=timeout ms=900\n"
               "time_ms=5100 event=request id=r1 adapter=a1 path=;load@i-1:timeout status=503 outcome=refused ms=1000 "
               "reason=timeout\n",
        "front-a");
    this->read("time_ms=4500 event=order upstream=i-1 operation=load adapter=m/a1 outcome=timeout\n"
               "time_ms=4600 event=order upstream=i-1 operation=load adapter=m/a11 outcome=accepted\n"
               "time_ms=4700 event=lease_acquired zone=z\n",
        "front-b");
    CHECK(this->timeline.explain().at("timeline").size() == 4u);
    CHECK(this->contains_event("lease_acquired"));
}

// Guards against reporting a cause when the node stopped before it logged the last line of the request.
TEST_CASE_FIXTURE(log_timeline_fixture, "explain_last_line_missing_reports_incomplete") {
    this->read("time_ms=5000 event=sent id=r1 upstream=i-1\n", "front-a");
    CHECK(this->timeline.explain().at("complete") == false);
    CHECK(this->cause().find("missing") != std::string::npos);
    log_timeline unknown{"r9"};
    CHECK_FALSE(unknown.contains_request());
}

} // namespace lagoonsaddle::operate
