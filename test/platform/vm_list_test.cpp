#include <string>

#include "loopback_server.hpp"
#include <lagoonsaddle/platform/http_vm_list.hpp>

namespace lagoonsaddle::platform {

namespace {

class vm_list_api final : public http::handler {
public:
    boost::asio::awaitable<void> handle(http::request request, http::response_writer& writer) override {
        http::response response{};
        response.status = (request.target == "/vms") ? this->status : 404u;
        response.body = this->body;
        static_cast<void>(co_await writer.send(std::move(response)));
    }

    unsigned status{200u};
    std::string body{};
};

struct vm_list_fixture {
    vm_list_api api{};
    loopback_server server{this->api};
    http_vm_list list{this->server.client,
        http_vm_list_options{.server = this->server.endpoint(), .call_timeout = std::chrono::milliseconds{20'000}}};
};

} // namespace

// Guards against fields lost in parsing, and against one invalid row that discards the whole list.
TEST_CASE_FIXTURE(vm_list_fixture, "read_invalid_rows_returns_valid_rows") {
    this->api.body = R"({"age_ms": 1500, "vms": [
        {"name": "e1", "address": "10.0.0.1", "port": 80, "availability_zone": "kotte", "state": "leaving",
         "kind": "engine", "labels": {"base_model": "llama-8b", "checks_fencing_token": true}},
        {"name": "e2", "address": "10.0.0.2", "port": 80, "availability_zone": "kotte", "state": "dancing",
         "kind": "engine", "labels": {}},
        {"name": "e3", "address": "10.0.0.2", "port": 65616, "availability_zone": "kotte", "state": "live",
         "kind": "engine"},
        {"name": "s1", "address": "10.0.0.3", "port": 81, "availability_zone": "maradana", "state": "live",
         "kind": "service"}]})";
    const auto read = this->server.await(this->list.read());
    REQUIRE(read.has_value());
    CHECK(read->age == std::chrono::milliseconds{1500});
    CHECK(read->invalid_rows == 2u);
    REQUIRE(read->vms.size() == 2u);
    CHECK(read->vms[0] == vm{.name = "e1",
                              .endpoint = {.address = "10.0.0.1", .port = 80u},
                              .availability_zone = "kotte",
                              .state = vm_state::leaving,
                              .kind = vm_kind::engine,
                              .labels = {{"base_model", "llama-8b"}, {"checks_fencing_token", "true"}}});
    CHECK(read->vms[1].kind == vm_kind::service);
    CHECK(read->vms[1].state == vm_state::live);
}

// Guards against a failed read that is reported as an empty VM list.
TEST_CASE_FIXTURE(vm_list_fixture, "read_failure_returns_error_not_empty_list") {
    for(const std::string body : {"", "[]", "{}", R"({"vms": {}})"}) {
        CAPTURE(body);
        this->api.body = body;
        const auto read = this->server.await(this->list.read());
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().cause == core::reason::protocol_error);
    }
    this->api.status = 503u;
    this->api.body = R"({"vms": []})";
    const auto read = this->server.await(this->list.read());
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().cause == core::reason::unavailable);
}

} // namespace lagoonsaddle::platform
