#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "fake_backend.hpp"
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/operate/command_line.hpp>
#include <lagoonsaddle/operate/operator_handler.hpp>

namespace lagoonsaddle::operate {

namespace {

struct command_line_fixture {
    command_line_fixture() {
        rules::rule first{.name = "first"};
        first.then.priority = 3;
        this->backend.state.version = 4u;
        this->backend.state.nodes = 9u;
        this->backend.state.nodes_in_force = 7u;
        this->backend.state.set.rules = {first};
        std::ofstream{this->token_file} << "0123456789abcdef\n";
        REQUIRE(this->listener.start().has_value());
        this->thread = std::thread{[this] {
            this->context.run();
        }};
    }

    command_line_fixture(const command_line_fixture&) = delete;
    command_line_fixture& operator=(const command_line_fixture&) = delete;

    ~command_line_fixture() {
        this->listener.close();
        this->context.stop();
        this->thread.join();
        std::remove(this->token_file.c_str());
        std::remove(this->rules_file.c_str());
    }

    exit_code run(std::vector<std::string> arguments) {
        for(const auto& [name, value] : {std::pair{"--node=", "127.0.0.1:" + std::to_string(this->listener.port())},
                std::pair{"--token-file=", this->token_file}}) {
            bool given{false};
            for(const auto& one : arguments) {
                given = given || one.starts_with(name);
            }
            if(!given) {
                arguments.push_back(name + value);
            }
        }
        this->out.str({});
        this->error.str({});
        return command_line{this->out, this->error}.run(arguments);
    }

    void write_rules(std::string_view text) const {
        std::ofstream{this->rules_file} << text;
    }

    boost::asio::io_context context{};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{this->context.get_executor()};
    fake_backend backend{};
    operator_handler handler{this->backend, token_authenticator{"0123456789abcdef"}};
    http::server listener{this->context, this->handler, http::server_options{}};
    std::thread thread{};
    std::string token_file{"command_line_test.token"};
    std::string rules_file{"command_line_test.json"};
    std::ostringstream out{};
    std::ostringstream error{};
};

} // namespace

// Guards against a command that requests the wrong path or prints the wrong member.
TEST_CASE_FIXTURE(command_line_fixture, "command_line_views_print_text_and_json") {
    CHECK(this->run({"status"}) == exit_code::success);
    CHECK(this->out.str() == "node: n1\n");
    CHECK(this->run({"nodes", "--json"}) == exit_code::success);
    CHECK(nlohmann::json::parse(this->out.str())["nodes"][0] == "n1");
    CHECK(this->run({"upstreams"}) == exit_code::success);
    CHECK(this->out.str() == "- e1\n");
    CHECK(this->run({"adapters"}) == exit_code::success);
    CHECK(this->out.str() == "- a\n");
    CHECK(this->run({"explain", "r/1"}) == exit_code::success);
    CHECK(this->out.str() == "request_id\nr/1\n");
    CHECK(this->run({"events", "--after=7", "--limit=5"}) == exit_code::success);
    CHECK(this->out.str() == "- 7\n- 5\n");
    CHECK(this->run({"dump"}) == exit_code::success);
    CHECK(nlohmann::json::parse(this->out.str()).contains("upstreams"));
    CHECK(this->run({"rules", "list"}) == exit_code::success);
    CHECK(this->out.str().find("version 4, in force on 7 of 9 nodes") == 0u);
    CHECK(this->out.str().find("first") != std::string::npos);
    CHECK(this->run({"rules", "show", "first"}) == exit_code::success);
    CHECK(this->out.str().find("priority: 3") != std::string::npos);
}

// Guards against exit codes that report a failure as a success or as another failure.
TEST_CASE_FIXTURE(command_line_fixture, "command_line_failures_return_distinct_exit_codes_and_name_remedy") {
    CHECK(this->run({"explain", "other"}) == exit_code::not_found);
    CHECK(this->run({"rules", "show", "other"}) == exit_code::not_found);
    CHECK(this->run({"nothing"}) == exit_code::usage);
    CHECK(this->run({"status", "--node=127.0.0.1"}) == exit_code::usage);
    CHECK(this->run({"events", "--limit=x"}) == exit_code::usage);
    CHECK(this->run({"events", "--limit=9999"}) == exit_code::failed);
    CHECK(this->run({"status", "--token-file=nonexistent"}) == exit_code::usage);
    CHECK(this->run({"rules", "apply", "nonexistent"}) == exit_code::usage);
    // Port 1 has no listener on the loopback address.
    CHECK(this->run({"status", "--node=127.0.0.1:1"}) == exit_code::unreachable);
    CHECK(this->error.str().find("check --node") != std::string::npos);
    std::ofstream{this->token_file} << "0123456789abcdeX\n";
    CHECK(this->run({"status"}) == exit_code::unauthorized);
    CHECK(this->error.str().find("--token-file") != std::string::npos);
    CHECK(this->run({"--help"}) == exit_code::success);
}

// Guards against overwriting the rules of another operator, and against a preview that saves.
TEST_CASE_FIXTURE(command_line_fixture, "command_line_apply_needs_current_version_and_valid_rules") {
    this->write_rules(R"({"rules": [{"name": "first", "then": {"action": "refuse", "reason": "closed"}}]})");
    CHECK(this->run({"rules", "preview", this->rules_file}) == exit_code::success);
    CHECK(this->out.str().find("1 of the 1 latest requests would be decided differently") == 0u);
    CHECK(this->run({"rules", "apply", this->rules_file}) == exit_code::usage);
    CHECK(this->run({"rules", "apply", this->rules_file, "--expected-version=3"}) == exit_code::conflict);
    CHECK(this->error.str().find("version 4") != std::string::npos);
    CHECK(this->backend.state.version == 4u);
    CHECK(this->run({"rules", "apply", this->rules_file, "--expected-version=4", "--author=night"}) ==
          exit_code::success);
    CHECK(this->backend.state.version == 5u);
    CHECK(this->backend.state.changed_by == "night");

    this->write_rules(R"({"version": 5, "document": {"rules": [{"name": "x"}]}})");
    CHECK(this->run({"rules", "preview", this->rules_file}) == exit_code::invalid_rules);
    CHECK(this->run({"rules", "apply", this->rules_file}) == exit_code::invalid_rules);
    CHECK(this->error.str().find("rules[0].then: required key is missing") != std::string::npos);
    CHECK(this->run({"rules", "undo", "--expected-version=4"}) == exit_code::conflict);
    CHECK(this->run({"rules", "undo"}) == exit_code::success);
    CHECK(this->backend.state.version == 6u);
}

// Guards against a drain that removes other rules, adds its rule twice, or fails because of a concurrent save.
TEST_CASE_FIXTURE(command_line_fixture, "command_line_drain_adds_and_removes_one_rule") {
    this->backend.conflicts = 2;
    CHECK(this->run({"drain", "e1"}) == exit_code::success);
    REQUIRE(this->backend.state.set.rules.size() == 2u);
    CHECK(this->backend.state.set.rules[0].then.action == rules::action::drain);
    CHECK(this->backend.state.set.rules[0].then.drained_upstreams == rules::pattern_list{"e1"});
    CHECK(this->backend.state.set.rules[1].name == "first");
    CHECK(this->run({"drain", "e1"}) == exit_code::success);
    CHECK(this->backend.state.set.rules.size() == 2u);
    CHECK(this->run({"drain", "e1", "--undo"}) == exit_code::success);
    CHECK(this->backend.state.set.rules.size() == 1u);
    CHECK(this->run({"drain", "e1", "--undo"}) == exit_code::not_found);
    this->backend.conflicts = 3;
    CHECK(this->run({"drain", "e1"}) == exit_code::conflict);
}

} // namespace lagoonsaddle::operate
