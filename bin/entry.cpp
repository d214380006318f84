#include "entry.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <platform/request_format.hpp>
#include <platform/store_client.hpp>
#include <platform/upstream_control.hpp>
#include <random>
#include <unistd.h>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/entry_node.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle {

namespace {

namespace asio = boost::asio;

constexpr int exit_start_failure{3};
/*! @brief Timeout of a connection attempt; the round trip between availability zones takes a few milliseconds. */
constexpr std::chrono::milliseconds connect_timeout{350};
/*! @brief TCP user timeout, which detects a peer behind a network partition. */
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};
constexpr std::chrono::milliseconds idle_timeout{10'000};
/*! @brief Timeout of an order to an upstream, and of a report. */
constexpr std::chrono::milliseconds control_timeout{300};

/*! @brief Checks the settings file on SIGHUP and stops the node on SIGTERM and SIGINT. */
void handle_signals(asio::io_context& io, asio::signal_set& signals, edge::entry_node& node, edge::decision_log& log,
    const std::string& settings_file) {
    signals.async_wait([&](const boost::system::error_code& failure, int signal) {
        if(failure) {
            return;
        }
        if(signal == SIGHUP) {
            const auto values = edge::read_entry_settings(settings_file);
            // Settings are not applied to a running process; the check reveals an invalid file before the next start.
            log.write(edge::log_line{"reload"}
                          .add("outcome", values ? "valid" : "invalid")
                          .add("message", values ? std::string{} : values.error().message));
            handle_signals(io, signals, node, log, settings_file);
            return;
        }
        asio::co_spawn(
            io,
            [&io, &node]() -> asio::awaitable<void> {
                co_await node.stop();
                io.stop();
            },
            asio::detached);
    });
}

} // namespace

int run_entry_node(edge::entry_settings settings, const std::string& settings_file) {
    std::signal(SIGPIPE, SIG_IGN);
    const core::boot_clock clock{};
    asio::io_context io{1};
    // Registered before the node is created, so that a stop signal during the start leads to an orderly stop.
    asio::signal_set signals{io, SIGTERM, SIGINT, SIGHUP};
    edge::decision_log log{STDOUT_FILENO, clock, edge::decision_log_options{.node = settings.name}};
    http::client request_client{http::client_options{.connect_timeout = connect_timeout,
        .idle_timeout = idle_timeout,
        .unacknowledged_timeout = unacknowledged_timeout}};
    http::client control_client{http::client_options{.connect_timeout = connect_timeout,
        .idle_timeout = idle_timeout,
        .unacknowledged_timeout = unacknowledged_timeout,
        .close_idle_after_loss = true}};
    const host_platform::request_format format{};
    host_platform::store_client store{
        control_client, host_platform::store_client_options{.server = settings.store_address}};
    host_platform::upstream_control upstream_orders{control_client, control_timeout};
    const auto name = settings.name;
    const std::uint64_t boot_id =
        (std::uint64_t{std::random_device{}()} << 20u) ^ static_cast<std::uint64_t>(core::unix_time().count());
    edge::entry_node node{edge::entry_node_context{.io = io,
                              .clock = clock,
                              .log = log,
                              .format = format,
                              .store = store,
                              .control = upstream_orders,
                              .client = request_client},
        std::move(settings), boot_id};
    log.write(edge::log_line{"start"}.add("node", name).add("version", LAGOONSADDLE_VERSION));
    if(const auto started = node.start(); !started) {
        log.write(edge::log_line{"start_failed"}.add("message", started.error().message));
        log.flush();
        std::cerr << "lagoonsaddled: " << started.error().message << '\n';
        return exit_start_failure;
    }
    handle_signals(io, signals, node, log, settings_file);
    io.run();
    log.flush();
    // Pending handlers refer to the node, so that it must not be destroyed before them; the process exits instead.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace lagoonsaddle
