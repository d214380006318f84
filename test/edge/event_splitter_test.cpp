#include <string>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/event_splitter.hpp>

namespace lagoonsaddle::edge {

// Guards against a stream that is continued in the middle of an event, so that pieces are doubled or joined.
TEST_CASE("feed_bytes_one_by_one_returns_whole_events_only") {
    const std::string stream{"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c"};
    event_splitter splitter{};
    std::string passed{};
    for(const char byte : stream) {
        passed += splitter.feed(std::string_view{&byte, 1u});
    }
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.last_id() == 2u);
    CHECK(splitter.take_rest() == "id: 3\ndata: c");
}

// Guards against the id of an event that was never delivered.
TEST_CASE("discard_rest_partial_event_keeps_last_whole_id") {
    event_splitter splitter{};
    CHECK(splitter.feed("id: 4\ndata: x\n\nid: 5\nda") == "id: 4\ndata: x\n\n");
    splitter.discard_rest();
    CHECK(splitter.last_id() == 4u);
    CHECK(splitter.feed("id: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
    CHECK(splitter.last_id() == 5u);
}

} // namespace lagoonsaddle::edge
