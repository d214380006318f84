#include <future>
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "standins_fixture.hpp"
#include <lagoonsaddle/standins/fault_proxy.hpp>
#include <lagoonsaddle/standins/restartable_server.hpp>
#include <lagoonsaddle/standins/service.hpp>

namespace lagoonsaddle::standins {

namespace {

using nlohmann::json;

struct fault_proxy_fixture : standins_fixture {
    fault_proxy_fixture() {
        REQUIRE(this->service_server->start().has_value());
        this->proxy = std::make_unique<fault_proxy>(this->context, core::endpoint{.address = "127.0.0.1"},
            core::endpoint{.address = "127.0.0.1", .port = this->service_server->port()});
        REQUIRE(this->proxy->start().has_value());
        this->control = std::make_shared<restartable_server>(this->context, *this->proxy, http::server_options{});
        REQUIRE(this->control->start().has_value());
    }

    fault_proxy_fixture(const fault_proxy_fixture&) = delete;
    fault_proxy_fixture& operator=(const fault_proxy_fixture&) = delete;

    ~fault_proxy_fixture() {
        this->stop();
    }

    core::result<http::response> book(const std::string& key) {
        return this->call(this->proxy->port(), "POST", "/book", {}, {{"idempotency-key", key}});
    }

    void fault(const json& changes) {
        REQUIRE(this->call(this->control->port(), "POST", "/faults", changes)->status == 200u);
    }

    json counters(std::uint16_t port) {
        return json::parse(this->call(port, "GET", "/counters")->body);
    }

    service target{};
    std::shared_ptr<restartable_server> service_server{
        std::make_shared<restartable_server>(this->context, this->target, http::server_options{})};
    std::unique_ptr<fault_proxy> proxy{};
    std::shared_ptr<restartable_server> control{};
};

} // namespace

// Guards against a cut that leaves connections open or after which the port is not reopened.
TEST_CASE_FIXTURE(fault_proxy_fixture, "fault_proxy_cut_refuses_connections_until_reset") {
    REQUIRE(this->book("k1")->status == 200u);
    const auto port = this->proxy->port();
    this->fault({{"cut", true}});
    while(this->book("k2")) {
        std::this_thread::yield();
    }
    this->fault({{"cut", false}});
    CHECK(this->call_when_up(port, "/book").status == 200u);
    CHECK(this->proxy->port() == port);
}

// Guards against a freeze that drops bytes.
TEST_CASE_FIXTURE(fault_proxy_fixture, "fault_proxy_freeze_forwards_after_it_ends") {
    this->fault({{"freeze", true}, {"delay_ms", 1}});
    auto pending = std::async(std::launch::async, [this] { return this->book("k1"); });
    while(this->counters(this->control->port())["connections"] != 1) {
        std::this_thread::yield();
    }
    CHECK(this->counters(this->service_server->port())["total"] == 0);
    this->fault({{"freeze", false}});
    CHECK(pending.get()->status == 200u);
}

// Guards against a fault of one direction that also affects the other.
TEST_CASE_FIXTURE(fault_proxy_fixture, "fault_proxy_one_way_loss_keeps_other_direction") {
    this->fault({{"drop_answers", true}});
    auto lost = std::async(std::launch::async, [this] { return this->book("k1"); });
    while(this->counters(this->control->port())["bytes_discarded"] == 0) {
        std::this_thread::yield();
    }
    CHECK(this->counters(this->service_server->port())["executions"]["k1"] == 1);
    this->fault({{"cut", true}});
    CHECK(lost.get().error().verdict == core::verdict::may_have_run);

    this->fault({{"cut", false}, {"drop_answers", false}, {"half_open", true}});
    const auto discarded = this->counters(this->control->port())["bytes_discarded"];
    auto half_open_call = std::async(std::launch::async, [this] {
        auto response = this->book("k2");
        while(!response && response.error().cause == core::reason::connection_refused) {
            response = this->book("k2");
        }
        return response;
    });
    while(this->counters(this->control->port())["bytes_discarded"] == discarded) {
        std::this_thread::yield();
    }
    this->fault({{"cut", true}});
    CHECK_FALSE(half_open_call.get().has_value());
    CHECK(this->counters(this->service_server->port())["total"] == 1);
}

} // namespace lagoonsaddle::standins
