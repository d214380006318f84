#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/standins/load_driver.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds counters_timeout{20};
constexpr std::chrono::seconds finish_poll_interval{1};

} // namespace

load_driver::load_driver(
    asio::io_context& io, const core::clock& source, load_plan_options mix, load_driver_options values)
    : context{io},
      clock{source},
      deadline{mix.deadline},
      settings{std::move(values)},
      http_client{http::client_options{
          .idle_connections_per_endpoint = std::max(this->settings.concurrency, this->settings.in_flight_limit)}},
      plan{std::move(mix)} {}

asio::awaitable<nlohmann::json> load_driver::run() {
    this->all_tasks_finished = std::make_shared<wakeup>(co_await asio::this_coro::executor);
    const auto engines_before = co_await this->read_counters(this->settings.engine_counters);
    this->started_at = this->clock.now();
    const bool open_loop = this->settings.rate > 0.;
    this->active_tasks = open_loop ? 1u : this->settings.concurrency;
    for(auto left = this->active_tasks.load(); left > 0u; --left) {
        asio::co_spawn(asio::make_strand(this->context), open_loop ? this->run_open_loop() : this->run_worker(),
            core::task_end{"load_worker"});
    }
    while(this->active_tasks.load() > 0u) {
        co_await this->all_tasks_finished->wait(finish_poll_interval);
    }
    const auto elapsed = this->clock.now() - this->started_at;
    const auto services = co_await this->read_counters(this->settings.service_counters);
    const auto engines_after = co_await this->read_counters(this->settings.engine_counters);
    const std::lock_guard lock{this->mutex};
    for(const auto& counters : services) {
        this->summary.add_service_counters(counters);
    }
    for(std::size_t index{}; index < engines_after.size(); ++index) {
        this->summary.add_engine_counters(engines_before[index], engines_after[index]);
    }
    co_return this->summary.to_json(elapsed);
}

void load_driver::stop() noexcept {
    this->stopping = true;
}

bool load_driver::has_violations() const {
    const std::lock_guard lock{this->mutex};
    return this->summary.has_violations();
}

std::optional<planned_call> load_driver::next_call() {
    const bool expired = this->settings.duration > core::duration::zero() &&
                         this->clock.now() >= this->started_at + this->settings.duration;
    const std::lock_guard lock{this->mutex};
    if(this->stopping.load() || expired ||
        (this->settings.requests > 0u && this->planned_calls >= this->settings.requests)) {
        return std::nullopt;
    }
    ++this->planned_calls;
    return this->plan.next();
}

core::endpoint load_driver::next_node() {
    return this->settings.nodes[this->next_node_index.fetch_add(1u) % this->settings.nodes.size()];
}

asio::awaitable<void> load_driver::run_worker() {
    while(auto call = this->next_call()) {
        co_await this->run_call(std::move(*call));
    }
    this->finish_task();
}

asio::awaitable<void> load_driver::run_open_loop() {
    const std::chrono::duration<double> interval{1. / this->settings.rate};
    for(std::uint64_t count{};; ++count) {
        const auto due = this->started_at + std::chrono::duration_cast<core::duration>(interval * count);
        co_await async_sleep(due - this->clock.now());
        auto call = this->next_call();
        if(!call) {
            break;
        }
        if(this->active_tasks.load() > this->settings.in_flight_limit) {
            const std::lock_guard lock{this->mutex};
            this->summary.add_unsent();
            continue;
        }
        ++this->active_tasks;
        asio::co_spawn(
            asio::make_strand(this->context),
            [this, sent = std::move(*call)]() mutable -> asio::awaitable<void> {
                co_await this->run_call(std::move(sent));
                this->finish_task();
            },
            core::task_end{"load_request"});
    }
    this->finish_task();
}

asio::awaitable<void> load_driver::run_call(planned_call call) {
    const auto start = this->clock.now();
    response_check check{call};
    std::optional<core::error> failure{};
    load_summary::timing times{};
    co_await this->send_call(call, check, times.first_token, failure);
    times.total = this->clock.now() - start;
    times.past_deadline = times.total > this->deadline;
    const auto outcome = failure ? check.fail(*failure) : check.finish();
    const std::lock_guard lock{this->mutex};
    this->summary.add(call, outcome, times);
}

asio::awaitable<void> load_driver::send_call(const planned_call& call, response_check& check,
    std::optional<core::duration>& first_token, std::optional<core::error>& failure) {
    const auto start = this->clock.now();
    auto node = this->next_node();
    auto message = call.message;
    auto opened = co_await this->http_client.open(
        std::move(node), std::move(message), this->deadline + this->settings.client_timeout_margin);
    if(!opened) {
        failure = std::move(opened.error());
        co_return;
    }
    auto& stream = **opened;
    check.on_headers(stream.status(), stream.headers());
    while(true) {
        auto chunk = co_await stream.read();
        if(!chunk) {
            failure = std::move(chunk.error());
            co_return;
        }
        if(chunk->empty()) {
            co_return;
        }
        check.on_data(*chunk);
        if(!first_token && check.has_token()) {
            first_token = this->clock.now() - start;
        }
    }
}

asio::awaitable<std::vector<nlohmann::json>> load_driver::read_counters(std::vector<core::endpoint> sources) {
    std::vector<nlohmann::json> found{};
    for(auto& source : sources) {
        http::request message{.method = "GET", .target = "/counters", .headers = {}, .body = {}};
        const auto response = co_await this->http_client.send(std::move(source), std::move(message), counters_timeout);
        found.push_back(response ? http::parse_json(response->body).value_or(nullptr) : nullptr);
    }
    co_return found;
}

void load_driver::finish_task() {
    if(--this->active_tasks == 0u) {
        this->all_tasks_finished->notify();
    }
}

} // namespace lagoonsaddle::standins
