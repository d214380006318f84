#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/event_splitter.hpp>

namespace lagoonsaddle::edge {

// Guards against a stream that is resumed within an event, so that data is duplicated or two events are merged.
TEST_CASE("feed_single_bytes_returns_complete_events_only") {
    const std::string stream{"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c"};
    event_splitter splitter{};
    std::string events{};
    for(const char byte : stream) {
        events += splitter.feed(std::string_view{&byte, 1u});
    }
    CHECK(events == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.last_id() == 2u);
    CHECK_FALSE(splitter.is_complete(false));
    CHECK(splitter.take_remainder() == "id: 3\ndata: c");
    CHECK(splitter.is_complete(false));
}

// Guards against taking a stream with line breaks after its last event for one that was broken off.
TEST_CASE("is_complete_line_breaks_after_event_returns_true") {
    event_splitter splitter{};
    CHECK(splitter.feed("data: a\n\n") == "data: a\n\n");
    CHECK(splitter.feed("\r\n") == "\r\n");
    CHECK(splitter.feed("\r").empty());
    CHECK(splitter.is_complete(true));
    CHECK(splitter.take_remainder() == "\r");
}

// Guards against counting a comment or a line break, which an upstream sends to keep a connection open, as an event.
TEST_CASE("event_count_comments_and_partial_events_are_not_counted") {
    event_splitter splitter{};
    static_cast<void>(splitter.feed(": ping\n\n\r\n"));
    CHECK(splitter.event_count() == 0u);
    static_cast<void>(splitter.feed("id: 1\n: note\ndata: a\n\nid: 2\nda"));
    CHECK(splitter.event_count() == 1u);
    splitter.begin_response();
    static_cast<void>(splitter.feed("\n"));
    CHECK(splitter.event_count() == 1u);
}

// Guards against taking the end of a connection before the first event of a response for the end of its stream.
TEST_CASE("is_complete_close_delimited_response_without_event_returns_false") {
    event_splitter splitter{};
    CHECK(splitter.is_complete(false));
    CHECK_FALSE(splitter.is_complete(true));
    static_cast<void>(splitter.feed("id: 1\ndata: a\n\n"));
    CHECK(splitter.is_complete(true));
    splitter.begin_response();
    CHECK(splitter.is_complete(false));
    CHECK_FALSE(splitter.is_complete(true));
    static_cast<void>(splitter.feed(": ping\n\n"));
    CHECK_FALSE(splitter.is_complete(true));
}

// Guards against resuming after an event that was never delivered: a partial event must not set the last id.
TEST_CASE("begin_response_keeps_last_complete_id") {
    event_splitter splitter{};
    CHECK(splitter.feed("id: 4\ndata: x\n\nid: 5\nda") == "id: 4\ndata: x\n\n");
    splitter.begin_response();
    CHECK(splitter.last_id() == 4u);
    CHECK(splitter.feed("id: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
    CHECK(splitter.last_id() == 5u);
}

} // namespace lagoonsaddle::edge
