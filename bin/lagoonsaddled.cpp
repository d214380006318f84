#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <docopt/docopt.h>
#include <glog/logging.h>

#include "entry.hpp"
#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/signal_hold.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/node.hpp>
#include <lagoonsaddle/http/server.hpp>
#include <lagoonsaddle/operate/node_backend.hpp>
#include <lagoonsaddle/operate/operator_handler.hpp>
#include <lagoonsaddle/operate/token_authenticator.hpp>
#include <lagoonsaddle/settings/reader.hpp>

namespace {

using namespace lagoonsaddle;

namespace asio = boost::asio;

constexpr const char* usage = R"(Node of lagoonsaddle: serves callers and owns upstreams.

Usage:
  lagoonsaddled --settings=FILE
  lagoonsaddled --check-settings=FILE
  lagoonsaddled entry [--settings=FILE] [--check]
  lagoonsaddled entry --check-configuration=FILE [--against=FILE]
  lagoonsaddled (-h | --help)
  lagoonsaddled --version

The command entry runs an entry node of a platform: it serves callers and keeps its
persistent state in the platform's store.

Options:
  --settings=FILE        Settings file (JSON with comments); for entry, LAGOONSADDLE_SETTINGS names it by default.
  --check-settings=FILE  Check a settings file and exit: 0 when it is valid, 2 when it is not.
  --check                With entry: check the settings and exit, 0 when they are valid, 2 when they are not.
  --check-configuration=FILE  With entry: review the JSON document of a configuration of the platform, write what
                         is found and exit, 0 when there is no error, 2 otherwise.
  --against=FILE         With --check-configuration: also list what differs from this configuration, which is in force.
  -h --help              Show this text.
  --version              Show the version.
)";

constexpr int exit_invalid_settings{2};
constexpr int exit_start_failed{3};
constexpr int exit_incomplete_stop{4};

void initialize_logging(const settings::log_settings& values, const char* program) {
    if(values.directory.empty()) {
        FLAGS_logtostderr = true;
    } else {
        FLAGS_log_dir = values.directory;
    }
    const std::map<std::string, int> levels{
        {"info", google::GLOG_INFO}, {"warning", google::GLOG_WARNING}, {"error", google::GLOG_ERROR}};
    const auto level = levels.find(values.level);
    FLAGS_minloglevel = level == levels.end() ? google::GLOG_INFO : level->second;
    google::InitGoogleLogging(program);
}

int report_start_failure(const core::error& failure) {
    LOG(ERROR) << "event=start_failed error=\"" << failure.message << '"';
    std::cerr << "lagoonsaddled: " << failure.message << '\n';
    return exit_start_failed;
}

int run(settings::node_settings values, core::signal_hold& held_signals) {
    const core::boot_clock clock{};
    asio::io_context context{static_cast<int>(values.node.threads)};
    const auto work = asio::make_work_guard(context);
    asio::signal_set signals{context, SIGTERM, SIGINT};
    held_signals.release();
    const auto threads = values.node.threads;
    const auto operator_listen = values.operator_api.listen;
    auto token = operate::read_token(values.operator_api.token_file);
    if(!token) {
        return report_start_failure(token.error());
    }
    operate::node_recorder recorder{clock, values.node.name};
    gateway::node node{context, clock, std::move(values), recorder};
    node.set_explain_source(&recorder);
    operate::node_backend backend{node, recorder};
    operate::operator_handler operators{backend, operate::token_authenticator{std::move(*token)}};
    http::server operator_server{context, operators, http::server_options{.listen = operator_listen}};
    if(const auto started = operator_server.start(); !started) {
        return report_start_failure(started.error());
    }
    const auto ports = node.start();
    if(!ports) {
        return report_start_failure(ports.error());
    }
    // Scripts that configure port 0 parse the actual ports from this line.
    std::cout << "listening caller_api=" << ports->caller_api << " peer=" << ports->peer
              << " membership=" << ports->membership << " operator_api=" << operator_server.port() << std::endl;

    int status{EXIT_SUCCESS};
    signals.async_wait([&](const boost::system::error_code& failure, int) {
        if(failure) {
            return;
        }
        asio::co_spawn(
            asio::make_strand(context),
            [&]() -> asio::awaitable<void> {
                const bool complete = co_await node.stop();
                status = complete ? EXIT_SUCCESS : exit_incomplete_stop;
                context.stop();
            },
            core::task_end{"stop"});
    });
    std::vector<std::thread> pool{};
    for(std::size_t index{1u}; index < threads; ++index) {
        pool.emplace_back([&context] { core::run_handlers(context); });
    }
    core::run_handlers(context);
    for(auto& thread : pool) {
        thread.join();
    }
    return status;
}

int run_entry_subcommand(std::map<std::string, docopt::value>& arguments, core::signal_hold& held_signals) {
    if(const auto& configuration = arguments.at("--check-configuration"); configuration) {
        const auto& against = arguments.at("--against");
        return check_configuration_file(configuration.asString(), against ? against.asString() : std::string{});
    }
    const char* variable = std::getenv("LAGOONSADDLE_SETTINGS");
    const auto& option = arguments.at("--settings");
    const std::string file{option ? option.asString() : std::string{variable != nullptr ? variable : ""}};
    auto values = edge::read_entry_settings(file);
    if(!values) {
        std::cerr << "lagoonsaddled: " << values.error().message << '\n';
        return exit_invalid_settings;
    }
    if(arguments.at("--check").asBool()) {
        std::cout << "the settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run_entry_node(std::move(*values), file, held_signals);
}

} // namespace

int main(int argc, char** argv) {
    core::signal_hold held_signals{SIGTERM, SIGINT, SIGHUP};
    auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, std::string{"lagoonsaddled "} + LAGOONSADDLE_VERSION);
    if(arguments.at("entry").asBool()) {
        return run_entry_subcommand(arguments, held_signals);
    }
    if(const auto& file = arguments.at("--check-settings"); file) {
        const auto report = settings::check_file(file.asString());
        (report.valid ? std::cout : std::cerr) << report.text << '\n';
        return report.valid ? EXIT_SUCCESS : exit_invalid_settings;
    }
    auto values = settings::read_file(arguments.at("--settings").asString());
    if(!values) {
        for(const auto& fault : values.error()) {
            std::cerr << settings::to_string(fault) << '\n';
        }
        return exit_invalid_settings;
    }
    initialize_logging(values->log, argv[0]);
    return run(std::move(*values), held_signals);
}
