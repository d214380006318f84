#include <charconv>
#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <docopt/docopt.h>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/endpoint_text.hpp>
#include <lagoonsaddle/standins/load_driver.hpp>

namespace {

using namespace lagoonsaddle;

using arguments = std::map<std::string, docopt::value>;

constexpr int exit_violations_found{1};
constexpr int exit_usage{2};

constexpr const char* usage = R"(Sends a seeded mixed load through lagoonsaddle nodes and checks every response.

Exit status: 0 when no response violates the guarantees to callers, 1 when one does, 2 for wrong usage.

Usage:
  lagoonsaddle_load --nodes=LIST [options]
  lagoonsaddle_load (-h | --help)

Options:
  --nodes=LIST                  Addresses of the nodes, ADDRESS:PORT, separated by commas; used round robin.
  --adapters=COUNT              Adapters adapter-00000 and so on, version 1 [default: 100].
  --zipf=EXPONENT               Exponent of the popularity, 0 for equal popularity [default: 1.0].
  --base-model=NAME             Base model; an empty name sends adapter@version [default: base].
  --streamed-share=SHARE        Share of streamed completions [default: 0.5].
  --chat-share=SHARE            Share of chat completions [default: 0.3].
  --service-share=SHARE         Share of calls of plain services [default: 0.1].
  --non-idempotent-share=SHARE  Share of service calls that must not be repeated [default: 0.5].
  --services=LIST               Names of plain services, separated by commas [default: scheduling].
  --tokens-min=COUNT            Fewest tokens of a completion [default: 4].
  --tokens-max=COUNT            Most tokens of a completion [default: 32].
  --callers=COUNT               Number of caller ids [default: 20].
  --deadline-ms=MS              Deadline of each call [default: 10000].
  --concurrency=COUNT           Calls in flight, closed loop [default: 16].
  --rate=PER_SECOND             Calls per second, open loop instead of closed loop.
  --in-flight-limit=COUNT       Calls in flight at which an open loop skips calls [default: 4096].
  --duration-s=SECONDS          Time to send for; 10 when neither this nor --requests is given.
  --requests=COUNT              Calls to send.
  --seed=NUMBER                 Seed of the load [default: 1].
  --run-id=TEXT                 Prefix of request ids and idempotency keys; taken from the time when not given.
  --service-counters=LIST       Service stand-ins whose /counters show duplicate executions.
  --engine-counters=LIST        Engine stand-ins whose /counters show loads and batch fill.
  --threads=COUNT               Threads of the driver [default: 2].
  --json                        Prints the summary as JSON.
)";

template<typename Type>
[[nodiscard]] Type parse_number(const arguments& values, const std::string& name) {
    const auto text = values.at(name).asString();
    Type value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if(text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || value < Type{}) {
        throw std::invalid_argument{name + " must be a non-negative number, not '" + text + "'"};
    }
    return value;
}

[[nodiscard]] std::vector<core::endpoint> parse_endpoint_list_option(const arguments& values, const std::string& name) {
    if(!values.at(name)) {
        return {};
    }
    auto parsed = standins::parse_endpoints(values.at(name).asString());
    if(!parsed) {
        throw std::invalid_argument{name + " must be a list of ADDRESS:PORT"};
    }
    return std::move(*parsed);
}

[[nodiscard]] std::vector<std::string> split_names(std::string_view text) {
    std::vector<std::string> found{};
    while(!text.empty()) {
        const auto comma = text.find(',');
        found.emplace_back(text.substr(0u, comma));
        text = (comma == std::string_view::npos) ? std::string_view{} : text.substr(comma + 1u);
    }
    return found;
}

[[nodiscard]] standins::load_plan_options parse_plan_options(const arguments& values) {
    return standins::load_plan_options{.adapters = parse_number<std::size_t>(values, "--adapters"),
        .zipf_exponent = parse_number<double>(values, "--zipf"),
        .base_model = values.at("--base-model").asString(),
        .streamed_share = parse_number<double>(values, "--streamed-share"),
        .chat_share = parse_number<double>(values, "--chat-share"),
        .service_share = parse_number<double>(values, "--service-share"),
        .non_idempotent_share = parse_number<double>(values, "--non-idempotent-share"),
        .services = split_names(values.at("--services").asString()),
        .tokens_min = parse_number<std::size_t>(values, "--tokens-min"),
        .tokens_max = parse_number<std::size_t>(values, "--tokens-max"),
        .callers = parse_number<std::size_t>(values, "--callers"),
        .deadline = std::chrono::milliseconds{parse_number<std::uint64_t>(values, "--deadline-ms")},
        // The run id must differ between runs: a repeated idempotency key would return the outcome of the earlier run.
        .run_id = values.at("--run-id") ? values.at("--run-id").asString()
                                        : "load-" + std::to_string(core::unix_time().count()),
        .seed = parse_number<std::uint64_t>(values, "--seed")};
}

[[nodiscard]] standins::load_driver_options parse_driver_options(const arguments& values) {
    standins::load_driver_options run{.nodes = parse_endpoint_list_option(values, "--nodes"),
        .service_counters = parse_endpoint_list_option(values, "--service-counters"),
        .engine_counters = parse_endpoint_list_option(values, "--engine-counters"),
        .concurrency = std::max<std::size_t>(parse_number<std::size_t>(values, "--concurrency"), 1u),
        .in_flight_limit = parse_number<std::size_t>(values, "--in-flight-limit")};
    if(run.nodes.empty()) {
        throw std::invalid_argument{"--nodes must have at least one ADDRESS:PORT"};
    }
    if(values.at("--rate")) {
        run.rate = parse_number<double>(values, "--rate");
    }
    if(values.at("--requests")) {
        run.requests = parse_number<std::uint64_t>(values, "--requests");
    }
    if(values.at("--duration-s")) {
        const std::chrono::duration<double> duration{parse_number<double>(values, "--duration-s")};
        run.duration = std::chrono::duration_cast<core::duration>(duration);
    } else if(run.requests == 0u) {
        run.duration = std::chrono::seconds{10};
    }
    return run;
}

int run(const arguments& values) {
    const core::boot_clock clock{};
    boost::asio::io_context context{};
    standins::load_driver driver{context, clock, parse_plan_options(values), parse_driver_options(values)};

    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&driver](const boost::system::error_code& failure, int) {
        if(!failure) {
            driver.stop();
        }
    });
    nlohmann::json summary{};
    std::exception_ptr fault{};
    boost::asio::co_spawn(boost::asio::make_strand(context), driver.run(),
        [&](const std::exception_ptr& thrown, const nlohmann::json& result) {
            fault = thrown;
            summary = result;
            context.stop();
        });
    std::vector<std::thread> threads{};
    for(auto left = std::max<std::uint64_t>(parse_number<std::uint64_t>(values, "--threads"), 1u); left > 1u; --left) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for(auto& thread : threads) {
        thread.join();
    }
    if(fault) {
        std::rethrow_exception(fault);
    }
    std::cout << (values.at("--json").asBool() ? summary.dump(2) + "\n" : standins::summary_text(summary))
              << std::flush;
    return driver.has_violations() ? exit_violations_found : 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(docopt::docopt(usage, {argv + 1, argv + argc}, true));
    } catch(const std::exception& fault) {
        std::cerr << fault.what() << std::endl;
        return exit_usage;
    }
}
