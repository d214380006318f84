#include "entry.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <platform/configuration_document.hpp>
#include <platform/request_format.hpp>
#include <platform/store_client.hpp>
#include <platform/upstream_control.hpp>
#include <random>
#include <unistd.h>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/configuration_review.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/entry_node.hpp>
#include <lagoonsaddle/http/client.hpp>

namespace lagoonsaddle {

namespace {

namespace asio = boost::asio;

constexpr int exit_invalid_configuration{2};
constexpr int exit_start_failure{3};
/*! @brief Largest configuration that is read from a file. */
constexpr std::size_t configuration_size_max{64u * 1024u * 1024u};
/*! @brief Timeout of a connection attempt; the round trip between availability zones takes a few milliseconds. */
constexpr std::chrono::milliseconds connect_timeout{350};
/*! @brief TCP user timeout, which detects a peer behind a network partition. */
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};
constexpr std::chrono::milliseconds idle_timeout{10'000};
/*! @brief Timeout of an order to an upstream, and of a report. */
constexpr std::chrono::milliseconds control_timeout{300};

/*! @brief Blocks from this size on are given back to the system when they are freed. The default rises to the size of
 * the largest block that was freed, so that freed bodies of many sizes leave gaps which stay resident. */
constexpr int separate_block_bytes{128 * 1024};

/*! @brief Interval at which idle connections that nothing will use are closed. */
constexpr std::chrono::milliseconds stale_connection_interval{1'000};
/*! @brief Share of the descriptors that idle connections may keep; the others are for callers and requests under way.
 */
constexpr std::size_t idle_descriptor_share{8u};

/*! @brief Closes stale idle connections of the clients until the process ends. */
asio::awaitable<void> close_stale_connections(std::array<http::client*, 2u> clients) {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(true) {
        timer.expires_after(stale_connection_interval);
        co_await timer.async_wait(asio::use_awaitable);
        for(auto* client : clients) {
            client->close_stale_connections();
        }
    }
}

/*! @brief Applies new seeds on SIGHUP and stops the node on SIGTERM and SIGINT. */
void handle_signals(asio::io_context& io, asio::signal_set& signals, edge::entry_node& node, edge::decision_log& log,
    const std::string& settings_file) {
    signals.async_wait([&](const boost::system::error_code& failure, int signal) {
        if(failure) {
            return;
        }
        if(signal == SIGHUP) {
            const auto values = edge::read_entry_settings(settings_file);
            if(values) {
                node.apply_seeds(values->seeds);
            }
            // The other settings need a restart; the check reveals an invalid file before it.
            log.write(edge::log_line{"reload"}
                          .add("outcome", values ? "valid" : "invalid")
                          .add("applied", values ? "seeds" : "nothing")
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
            core::task_end{"stop"});
    });
}

/*! @brief Reads the configuration that a file holds, or returns why nodes cannot read it. */
[[nodiscard]] core::result<host_platform::configuration_document> read_configuration_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    std::string text(configuration_size_max + 1u, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if(!file.is_open() || file.bad()) {
        return core::fail(core::reason::invalid_argument, "the file cannot be read");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if(text.size() > configuration_size_max) {
        return core::fail(core::reason::invalid_argument, "the file is too large");
    }
    return host_platform::read_configuration_document(text);
}

/*! @brief Writes findings to the standard output; returns whether one of them is an error. */
[[nodiscard]] bool write_findings(const std::vector<edge::configuration_finding>& findings) {
    bool failed{false};
    for(const auto& finding : findings) {
        failed = failed || finding.severity == edge::finding_severity::error;
        std::cout << edge::to_string(finding.severity) << ": " << finding.subject << ": " << finding.message << '\n';
    }
    return failed;
}

} // namespace

int check_configuration_file(const std::string& file, const std::string& against) {
    const auto proposed = read_configuration_file(file);
    if(!proposed) {
        std::cout << "error: " << file << ": " << proposed.error().message << '\n';
        return exit_invalid_configuration;
    }
    edge::configuration_review review{proposed->value};
    bool failed = write_findings(proposed->findings);
    if(!against.empty()) {
        if(const auto in_force = read_configuration_file(against)) {
            review.compare(in_force->value);
        } else {
            failed = true;
            std::cout << "error: " << against << ": " << in_force.error().message << '\n';
        }
    }
    failed = write_findings(review.findings()) || failed;
    std::cout << (failed ? "the configuration has errors\n" : "the configuration has no errors\n");
    return failed ? exit_invalid_configuration : EXIT_SUCCESS;
}

int run_entry_node(edge::entry_settings settings, const std::string& settings_file, core::signal_hold& held_signals) {
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, separate_block_bytes);
    const core::boot_clock clock{};
    asio::io_context io{1};
    // Registered before the node is created, so that a stop signal during the start leads to an orderly stop.
    asio::signal_set signals{io, SIGTERM, SIGINT, SIGHUP};
    held_signals.release();
    edge::decision_log log{STDOUT_FILENO, clock, edge::decision_log_options{.node = settings.name}};
    const auto idle_connections_max = settings.limits.descriptors_max / idle_descriptor_share;
    http::client request_client{http::client_options{.connect_timeout = connect_timeout,
        .idle_timeout = idle_timeout,
        .idle_connections_max = idle_connections_max,
        .unacknowledged_timeout = unacknowledged_timeout}};
    http::client control_client{http::client_options{.connect_timeout = connect_timeout,
        .idle_timeout = idle_timeout,
        .idle_connections_max = idle_connections_max,
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
    core::start_service(io, "stale_connections",
        [clients = std::array{&request_client, &control_client}] { return close_stale_connections(clients); });
    core::run_handlers(io);
    log.flush();
    // Pending handlers refer to the node, so that it must not be destroyed before them; the process exits instead.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace lagoonsaddle
