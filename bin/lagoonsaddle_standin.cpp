#include <charconv>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <glog/logging.h>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/standins/endpoint_text.hpp>
#include <lagoonsaddle/standins/engine.hpp>
#include <lagoonsaddle/standins/fault_proxy.hpp>
#include <lagoonsaddle/standins/object_store.hpp>
#include <lagoonsaddle/standins/restartable_server.hpp>
#include <lagoonsaddle/standins/service.hpp>
#include <lagoonsaddle/standins/vm_list.hpp>
#include <lagoonsaddle/standins/weight_store.hpp>

namespace {

using namespace lagoonsaddle;

using arguments = std::map<std::string, docopt::value>;

constexpr const char* usage = R"(Stand-ins for the systems around lagoonsaddle, for tests and benches.

Usage:
  lagoonsaddle_standin engine [options] [--ignore-fencing]
  lagoonsaddle_standin service [options]
  lagoonsaddle_standin weight_store [options]
  lagoonsaddle_standin object_store [options]
  lagoonsaddle_standin vm_list [options]
  lagoonsaddle_standin fault_proxy --target=ENDPOINT [options]
  lagoonsaddle_standin (-h | --help)

Options:
  --listen=ENDPOINT         Address and port to listen on; port 0 picks one [default: 127.0.0.1:0].
  --target=ENDPOINT         Where the fault proxy forwards to.
  --control=ENDPOINT        Control interface of the fault proxy [default: 127.0.0.1:0].
  --threads=COUNT           Threads that run the stand-in [default: 2].
  --name=NAME               Name of the engine in boot ids and loads [default: engine].
  --model=NAME              Base model of the engine [default: base].
  --role=ROLE               Role of the engine [default: mixed].
  --slots=COUNT             Adapter slots of the engine [default: 4].
  --batch-limit=COUNT       Most requests in one step of the engine [default: 8].
  --queue-limit=COUNT       Most requests that wait on the engine [default: 256].
  --step-ms=MS              Time of one step of the engine [default: 20].
  --report-lag-ms=MS        Lag of the engine's status [default: 200].
  --restart-ms=MS           Time that a crashed engine refuses connections [default: 1000].
  --cache-limit=COUNT       Prefixes in the engine's cache [default: 1000].
  --weight-store=ENDPOINT   Weight store that the engine loads from.
  --load-ms=MS              Time of a load at full speed; of the engine only without a weight store [default: 300].
  --loads-per-second=COUNT  Loads that the weight store starts in a second [default: 3].
  --lag-ms=MS               Lag of the VM list [default: 1000].
  --seed=NUMBER             Seed of random faults [default: 1].
  --ignore-fencing          The engine accepts orders with any fencing token.
)";

[[nodiscard]] std::uint64_t parse_number(const arguments& values, const std::string& name) {
    const auto text = values.at(name).asString();
    std::uint64_t value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if(text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        throw std::invalid_argument{name + " must be a non-negative number, not '" + text + "'"};
    }
    return value;
}

[[nodiscard]] std::chrono::milliseconds parse_milliseconds(const arguments& values, const std::string& name) {
    return std::chrono::milliseconds{parse_number(values, name)};
}

[[nodiscard]] core::endpoint parse_endpoint_option(const arguments& values, const std::string& name) {
    const auto text = values.at(name).asString();
    auto parsed = standins::parse_endpoint(text);
    if(!parsed) {
        throw std::invalid_argument{name + " must be ADDRESS:PORT, not '" + text + "'"};
    }
    return std::move(*parsed);
}

[[nodiscard]] standins::engine_standin_options parse_engine_options(const arguments& values) {
    standins::engine_standin_options options{.step_interval = parse_milliseconds(values, "--step-ms"),
        .report_lag = parse_milliseconds(values, "--report-lag-ms"),
        .restart_duration = parse_milliseconds(values, "--restart-ms"),
        .load_duration = parse_milliseconds(values, "--load-ms"),
        .cache_limit = parse_number(values, "--cache-limit"),
        .seed = parse_number(values, "--seed")};
    options.engine.name = values.at("--name").asString();
    options.engine.model = values.at("--model").asString();
    options.engine.role = values.at("--role").asString();
    options.engine.slots = parse_number(values, "--slots");
    options.engine.batch_limit = parse_number(values, "--batch-limit");
    options.engine.queue_limit = parse_number(values, "--queue-limit");
    options.engine.checks_fencing_token = !values.at("--ignore-fencing").asBool();
    if(values.at("--weight-store")) {
        options.weight_store = parse_endpoint_option(values, "--weight-store");
    }
    return options;
}

int run(const arguments& values) {
    const core::boot_clock clock{};
    boost::asio::io_context context{};
    std::unique_ptr<http::handler> handler{};
    std::function<void(const std::shared_ptr<standins::restartable_server>&)> start{};
    standins::fault_proxy* proxy{};
    if(values.at("engine").asBool()) {
        auto standin = std::make_unique<standins::engine>(context, clock, parse_engine_options(values));
        start = [engine = standin.get()](const std::shared_ptr<standins::restartable_server>& server) {
            engine->start([server](core::duration time) {
                LOG(INFO) << "engine crashed; refusing connections until it restarts";
                server->restart(time);
            });
        };
        handler = std::move(standin);
    } else if(values.at("service").asBool()) {
        handler = std::make_unique<standins::service>();
    } else if(values.at("weight_store").asBool()) {
        handler = std::make_unique<standins::weight_store>(
            clock, standins::weight_store_options{.load_duration = parse_milliseconds(values, "--load-ms"),
                       .loads_per_second = parse_number(values, "--loads-per-second")});
    } else if(values.at("vm_list").asBool()) {
        handler = std::make_unique<standins::vm_list>(clock, parse_milliseconds(values, "--lag-ms"));
    } else if(values.at("fault_proxy").asBool()) {
        auto standin = std::make_unique<standins::fault_proxy>(
            context, parse_endpoint_option(values, "--listen"), parse_endpoint_option(values, "--target"));
        proxy = standin.get();
        handler = std::move(standin);
    } else {
        handler = std::make_unique<standins::object_store>(clock);
    }

    auto listen = parse_endpoint_option(values, proxy != nullptr ? "--control" : "--listen");
    const auto server = std::make_shared<standins::restartable_server>(
        context, *handler, http::server_options{.listen = listen, .request_timeout = std::chrono::minutes{1}});
    auto started = server->start();
    if(started && proxy != nullptr) {
        started = proxy->start();
    }
    if(!started) {
        LOG(ERROR) << started.error().message;
        return 1;
    }
    if(start) {
        start(server);
    }
    listen.port = server->port();
    if(proxy != nullptr) {
        std::cout << "control on " << core::to_string(listen) << '\n';
        listen = parse_endpoint_option(values, "--listen");
        listen.port = proxy->port();
    }
    std::cout << "listening on " << core::to_string(listen) << std::endl;

    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context, &server](const boost::system::error_code&, int) {
        server->close();
        context.stop();
    });
    std::vector<std::thread> threads{};
    for(auto left = std::max<std::uint64_t>(parse_number(values, "--threads"), 1u); left > 1u; --left) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for(auto& thread : threads) {
        thread.join();
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        return run(docopt::docopt(usage, {argv + 1, argv + argc}, true));
    } catch(const std::exception& fault) {
        std::cerr << fault.what() << std::endl;
        return 2;
    }
}
