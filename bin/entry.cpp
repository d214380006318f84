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

constexpr int exit_start{3};
/*! @brief A connection attempt without an answer; links between availability zones take a few milliseconds. */
constexpr std::chrono::milliseconds connect_timeout{350};
/*! @brief Unacknowledged data ends a connection after this time, as behind a partition. */
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};
constexpr std::chrono::milliseconds idle_timeout{10'000};
constexpr std::chrono::milliseconds control_timeout{300};

/*! @brief Receives SIGHUP and SIGTERM until the node has stopped. */
void watch_signals(asio::io_context& io, asio::signal_set& signals, edge::entry_node& node, edge::decision_log& log,
    const std::string& settings_file) {
    signals.async_wait([&](const boost::system::error_code& failure, int signal) {
        if(failure) {
            return;
        }
        if(signal == SIGHUP) {
            const auto values = edge::read_entry_settings(settings_file);
            // The addresses of a running process cannot change; the file is checked so that a fault is seen now.
            log.write(edge::log_line{"reload"}
                          .add("outcome", values ? "valid" : "invalid")
                          .add("message", values ? std::string{} : values.error().message));
            watch_signals(io, signals, node, log, settings_file);
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

int run_entry(edge::entry_settings settings, const std::string& settings_file) {
    std::signal(SIGPIPE, SIG_IGN);
    const core::boot_clock clock{};
    asio::io_context io{1};
    // From here on a signal to stop ends the node as planned, also while it starts.
    asio::signal_set signals{io, SIGTERM, SIGINT, SIGHUP};
    edge::decision_log log{STDOUT_FILENO, clock, edge::decision_log_options{.node = settings.name}};
    http::client requests{http::client_options{.connect_timeout = connect_timeout,
        .idle_timeout = idle_timeout,
        .unacknowledged_timeout = unacknowledged_timeout}};
    http::client control{http::client_options{.connect_timeout = connect_timeout,
        .idle_timeout = idle_timeout,
        .unacknowledged_timeout = unacknowledged_timeout}};
    const host_platform::request_format format{};
    host_platform::store_client store{control, host_platform::store_client_options{.server = settings.store}};
    host_platform::upstream_control orders{control, control_timeout};
    const auto name = settings.name;
    const std::uint64_t boot_id =
        (std::uint64_t{std::random_device{}()} << 20u) ^ static_cast<std::uint64_t>(core::unix_time().count());
    edge::entry_node node{edge::entry_node_context{.io = io,
                              .time = clock,
                              .log = log,
                              .format = format,
                              .store = store,
                              .control = orders,
                              .client = requests},
        std::move(settings), boot_id};
    log.write(edge::log_line{"start"}.add("node", name).add("version", LAGOONSADDLE_VERSION));
    if(const auto started = node.start(); !started) {
        log.write(edge::log_line{"start_failed"}.add("message", started.error().message));
        log.flush();
        std::cerr << "lagoonsaddled: " << started.error().message << '\n';
        return exit_start;
    }
    watch_signals(io, signals, node, log, settings_file);
    io.run();
    log.flush();
    // Handlers that still wait refer to the node; ending the process at once releases everything.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace lagoonsaddle
