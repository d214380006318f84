#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "../standins/standins_fixture.hpp"
#include <lagoonsaddle/upstream/engine_client.hpp>

namespace lagoonsaddle::upstream {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/*! @brief Engine that streams one event with the id `answered_id`, or nothing when it is empty, whatever the request
 * is. */
class one_event_engine final : public http::handler {
public:
    asio::awaitable<void> handle(http::request, http::response_writer& writer) override {
        http::fields headers{};
        headers.set("x-adapter", "a@1");
        static_cast<void>(co_await writer.begin(200u, headers));
        if(!this->answered_id.empty()) {
            const auto event = "data: {\"id\": \"" + this->answered_id + "\", \"offset\": 0}\n\n";
            static_cast<void>(co_await writer.write(event));
        }
        if(this->sends_done) {
            static_cast<void>(co_await writer.write("data: [DONE]\n\n"));
        }
        static_cast<void>(co_await writer.finish());
    }

    std::string answered_id{};
    bool sends_done{true};
};

struct engine_client_fixture : standins::standins_fixture {
    engine_client_fixture() {
        REQUIRE(this->server.start().has_value());
    }

    engine_client_fixture(const engine_client_fixture&) = delete;
    engine_client_fixture& operator=(const engine_client_fixture&) = delete;

    ~engine_client_fixture() {
        this->stop();
    }

    /*! @brief Starts a call with the id `r1` and returns its first event, or another one with a higher `number`. */
    [[nodiscard]] core::result<std::optional<std::string>> read_event(unsigned number = 1u) {
        return asio::co_spawn(asio::make_strand(this->context), this->read_events(number), asio::use_future).get();
    }

    asio::awaitable<core::result<std::optional<std::string>>> read_events(unsigned count) {
        engine_client client{this->http_client, {.address = "127.0.0.1", .port = this->server.port()}};
        engine_call call{.request_id = "r1", .adapter = {.adapter = "a", .version = "1"}, .body = "{}", .timeout = 20s};
        auto stream = co_await client.start(std::move(call));
        REQUIRE(stream.has_value());
        for(unsigned number{1u}; number < count; ++number) {
            REQUIRE((co_await (*stream)->next()).has_value());
        }
        co_return co_await (*stream)->next();
    }

    one_event_engine engine{};
    http::server server{context, engine, http::server_options{}};
};

} // namespace

// Guards against handing the response to another request, of which a second copy arrives late, to a caller.
TEST_CASE_FIXTURE(engine_client_fixture, "next_event_of_another_request_is_an_error") {
    this->engine.answered_id = "r1";
    CHECK(this->read_event().has_value());
    this->engine.answered_id = "r0";
    const auto foreign = this->read_event();
    REQUIRE_FALSE(foreign.has_value());
    CHECK(foreign.error().cause == core::reason::protocol_error);
    CHECK(foreign.error().verdict == core::verdict::may_have_run);
}

// Guards against taking the end of a response for the end of its stream, before the first event or after one.
TEST_CASE_FIXTURE(engine_client_fixture, "next_at_end_of_response_without_done_event_is_an_error") {
    this->engine.sends_done = false;
    for(const auto* answered_id : {"", "r1"}) {
        this->engine.answered_id = answered_id;
        const auto end = this->read_event(this->engine.answered_id.empty() ? 1u : 2u);
        REQUIRE_FALSE(end.has_value());
        CHECK(end.error().cause == core::reason::connection_lost);
        CHECK(end.error().verdict == core::verdict::may_have_run);
    }
}

} // namespace lagoonsaddle::upstream
