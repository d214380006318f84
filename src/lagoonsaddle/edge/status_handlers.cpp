#include <map>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/speed_monitor.hpp>
#include <lagoonsaddle/edge/status_handlers.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

asio::awaitable<void> readiness_handler::handle(http::request, http::response_writer& writer) {
    http::response response{.status = this->status.ready() ? 200u : 503u};
    static_cast<void>(co_await writer.send(std::move(response)));
}

asio::awaitable<void> metrics_handler::handle(http::request message, http::response_writer& writer) {
    http::response response{.status = 200u};
    response.headers.set("content-type", "text/plain");
    if(message.target == "/metrics") {
        response.body = this->status.metrics_text();
    } else if(message.target == "/state") {
        response.body = this->status.state_json();
    } else {
        response.status = 404u;
    }
    static_cast<void>(co_await writer.send(std::move(response)));
}

nlohmann::json upstream_states(const upstream_table& upstreams, core::time_point now) {
    std::map<std::string, double> slowness{};
    for(auto& assessed : assess_slowness(upstreams, now)) {
        slowness.emplace(std::move(assessed.upstream), assessed.factor);
    }
    nlohmann::json states = nlohmann::json::array();
    for(const auto& [id, known] : upstreams.all()) {
        nlohmann::json adapters = nlohmann::json::array();
        for(const auto& [model, held] : known.entry.models) {
            for(const auto& [adapter, version] : held.adapters) {
                adapters.push_back(adapter_key(model, adapter) + '@' + std::to_string(version));
            }
        }
        const auto observed = slowness.find(id);
        states.push_back({{"id", id}, {"service", known.entry.service},
            {"availability_zone", known.entry.availability_zone}, {"leaving", known.entry.leaving},
            {"in_flight", known.in_flight}, {"failure_share", known.health.failure_ratio(now)},
            {"slowness", observed == slowness.end() ? 1.0 : observed->second}, {"adapters", std::move(adapters)}});
    }
    return states;
}

} // namespace lagoonsaddle::edge
