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

/*! @brief Engine that streams one event with the id `answered_id`, whatever the request is. */
class one_event_engine final : public http::handler {
public:
    asio::awaitable<void> handle(http::request, http::response_writer& writer) override {
        http::fields headers{};
        headers.set("x-adapter", "a@1");
        static_cast<void>(co_await writer.begin(200u, headers));
        const auto event = "data: {\"id\": \"" + this->answered_id + "\", \"offset\": 0}\n\ndata: [DONE]\n\n";
        static_cast<void>(co_await writer.write(event));
        static_cast<void>(co_await writer.finish());
    }

    std::string answered_id{};
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

    /*! @brief Starts a call with the id `r1` and returns its first event. */
    [[nodiscard]] core::result<std::optional<std::string>> first_event() {
        return asio::co_spawn(asio::make_strand(this->context), this->read_first_event(), asio::use_future).get();
    }

    asio::awaitable<core::result<std::optional<std::string>>> read_first_event() {
        engine_client client{this->http_client, {.address = "127.0.0.1", .port = this->server.port()}};
        engine_call call{.request_id = "r1", .adapter = {.adapter = "a", .version = "1"}, .body = "{}", .timeout = 20s};
        auto stream = co_await client.start(std::move(call));
        REQUIRE(stream.has_value());
        co_return co_await (*stream)->next();
    }

    one_event_engine engine{};
    http::server server{context, engine, http::server_options{}};
};

} // namespace

// Guards against handing the response to another request, of which a second copy arrives late, to a caller.
TEST_CASE_FIXTURE(engine_client_fixture, "next_event_of_another_request_is_an_error") {
    this->engine.answered_id = "r1";
    CHECK(this->first_event().has_value());
    this->engine.answered_id = "r0";
    const auto foreign = this->first_event();
    REQUIRE_FALSE(foreign.has_value());
    CHECK(foreign.error().cause == core::reason::protocol_error);
    CHECK(foreign.error().verdict == core::verdict::may_have_run);
}

} // namespace lagoonsaddle::upstream
