#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/standins/engine.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds report_interval{20};
constexpr std::chrono::seconds report_retention{60};
constexpr std::chrono::seconds listener_poll_interval{5};
constexpr std::chrono::milliseconds step_interval_min{1};
constexpr std::chrono::minutes load_timeout{5};
constexpr std::size_t cached_prefix_bytes{256u};
constexpr std::size_t tokens_max{100'000u};
constexpr unsigned priority_max{9u};
constexpr std::string_view kv_prefix{"kv1:"};

[[nodiscard]] std::uint64_t query_number(const http::target_parts& parts, std::string_view name) noexcept {
    std::uint64_t value{};
    const auto text = parts.query.find(name).value_or("");
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Formats the JSON directly, because this runs for each token and no value needs escaping.
void append_token_event(std::string& out, const generation_request& request, std::size_t index) {
    out += R"(data: {"id":")";
    out += request.id;
    out += R"(","offset":)";
    out += std::to_string(index);
    out += request.chat ? R"(,"choices":[{"index":0,"delta":{"content":")" : R"(,"choices":[{"index":0,"text":")";
    out += token_text(request, index);
    out += request.chat ? "\"}}]}\n\n" : "\"}]}\n\n";
}

[[nodiscard]] nlohmann::json usage(const generation_request& request) {
    nlohmann::json values = nlohmann::json::object();
    values["completion_tokens"] = request.produced_tokens;
    return values;
}

void append_final_events(std::string& out, const generation_request& request) {
    nlohmann::json choice = nlohmann::json::object();
    choice["index"] = 0;
    choice["finish_reason"] = "length";
    if(request.chat) {
        choice["delta"] = nlohmann::json::object();
    } else {
        choice["text"] = "";
    }
    nlohmann::json event = nlohmann::json::object();
    event["id"] = request.id;
    event["offset"] = request.produced_tokens;
    event["choices"] = nlohmann::json::array({std::move(choice)});
    event["usage"] = usage(request);
    out += "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
}

[[nodiscard]] core::error cancelled_error(const generation_request& request) {
    return core::error{.cause = core::reason::cancelled,
        .verdict = core::verdict::may_have_run,
        .message = "request '" + request.id + "' was cancelled"};
}

[[nodiscard]] bool is_valid_request_id(std::string_view id) noexcept {
    return !id.empty() && std::all_of(id.begin(), id.end(),
                              [](const char c) { return c > ' ' && c < '\x7f' && c != '"' && c != '\\' && c != '/'; });
}

[[nodiscard]] std::optional<std::string> find_prompt(const nlohmann::json& body, bool chat) {
    if(!chat) {
        const auto prompt = body.find("prompt");
        return (prompt != body.end() && prompt->is_string()) ? std::optional{prompt->get<std::string>()} : std::nullopt;
    }
    const auto messages = body.find("messages");
    if(messages == body.end() || !messages->is_array() || messages->empty() || !messages->back().is_object()) {
        return std::nullopt;
    }
    return member_or<std::string>(messages->back(), "content", {});
}

[[nodiscard]] nlohmann::json adapter_json(const core::adapter_version& target) {
    nlohmann::json value = nlohmann::json::object();
    value["adapter"] = target.adapter;
    value["version"] = target.version;
    return value;
}

} // namespace

engine::engine(asio::io_context& io, const core::clock& source, engine_standin_options values)
    : standin_handler{nlohmann::json{{"load_failure_rate", 0.}, {"crash_marker", ""}, {"restart", false},
          {"restart_ms", values.restart_duration.count()}, {"step_ms", values.step_interval.count()},
          {"report_lag_ms", values.report_lag.count()}, {"event_gap_rate", 0.}, {"break_stream_after", 0}}},
      context{io},
      clock{source},
      settings{std::move(values)},
      model{this->settings.engine},
      cache{this->settings.cache_limit},
      reports{report_retention},
      random{this->settings.seed} {}

void engine::start(std::function<void(core::duration)> crashed) {
    this->on_crash = std::move(crashed);
    asio::co_spawn(asio::make_strand(this->context), this->run_steps(), core::task_end{"engine_steps"});
}

asio::awaitable<void> engine::serve(http::request& message, const http::target_parts& parts,
    core::duration hang_duration, http::response_writer& writer) {
    const auto& path = parts.segments;
    const bool post = message.method == "POST";
    http::response response{};
    if(this->is_down()) {
        writer.abort();
        co_return;
    }
    if(post && path.size() == 2u && path[1] == "completions") {
        co_await this->handle_completion(message, false, writer);
        co_return;
    }
    if(post && path.size() == 3u && path[1] == "chat" && path[2] == "completions") {
        co_await this->handle_completion(message, true, writer);
        co_return;
    }
    if(post && path.size() == 1u && path[0] == "orders") {
        co_await this->execute_order(message, hang_duration, writer);
        co_return;
    }
    if(path.size() == 3u && path[1] == "requests" && message.method == "GET") {
        std::shared_ptr<generation_request> found{};
        {
            const std::lock_guard lock{this->mutex};
            found = this->model.find(path[2]);
        }
        if(found != nullptr) {
            co_await this->stream_tokens(std::move(found), query_number(parts, "offset"), writer);
            co_return;
        }
        response = http::error_response(core::error{.cause = core::reason::not_found, .message = "unknown request"});
    } else if(path.size() == 3u && path[1] == "requests" && message.method == "DELETE") {
        const std::lock_guard lock{this->mutex};
        if(this->model.cancel(path[2], this->clock.now())) {
            response = http::json_response(200u, nlohmann::json{{"cancelled", true}});
        } else {
            response = http::error_response(
                core::error{.cause = core::reason::not_found, .message = "no such request is waiting or running"});
        }
    } else if(path.size() == 1u && path[0] == "status") {
        response = this->status();
    } else if(path.size() == 1u && path[0] == "healthz") {
        const std::lock_guard lock{this->mutex};
        response = http::json_response(200u, nlohmann::json{{"boot_id", this->model.boot_id()}});
    } else if(path.size() == 1u && path[0] == "cache-events") {
        response = this->cache_events(query_number(parts, "after"));
    } else if(post && path.size() == 2u && path[0] == "kv" && (path[1] == "export" || path[1] == "import")) {
        response = this->transfer_kv_cache(message, path[1] == "export");
    } else {
        response = http::error_response(
            core::error{.cause = core::reason::not_found, .message = "unknown call " + message.target});
    }
    co_await send_response(writer, std::move(response));
}

nlohmann::json engine::counters() const {
    const std::lock_guard lock{this->mutex};
    const auto& counts = this->model.counts();
    nlohmann::json values = nlohmann::json::object();
    values["executions"] = counts.executions;
    values["evicted_in_use"] = counts.evicted_in_use;
    values["steps"] = counts.steps;
    values["batched"] = counts.batched_requests;
    values["batch_limit"] = this->model.options().batch_limit;
    values["tokens"] = counts.tokens;
    values["loads"] = counts.loads;
    values["load_failures"] = counts.load_failures;
    values["evictions"] = counts.evictions;
    values["crashes"] = counts.crashes;
    values["stale_orders"] = counts.stale_orders;
    return values;
}

void engine::faults_changed() {
    if(this->faults.consume("restart")) {
        this->crash();
    }
}

asio::awaitable<void> engine::run_steps() {
    while(true) {
        const auto started_at = this->clock.now();
        bool crashes{false};
        if(!this->faults.flag("hang")) {
            const std::lock_guard lock{this->mutex};
            crashes = this->model.step(started_at);
            if(started_at >= this->last_report + report_interval) {
                this->last_report = started_at;
                this->reports.record(started_at, this->model.report(started_at));
            }
        }
        if(crashes) {
            this->crash();
        }
        const core::duration step = std::max<core::duration>(this->faults.milliseconds("step_ms"), step_interval_min);
        // The processing time counts towards the step interval.
        co_await async_sleep(
            std::max<core::duration>(started_at + step - this->clock.now(), std::chrono::microseconds{50}));
    }
}

void engine::crash() {
    const auto restart_duration = this->faults.milliseconds("restart_ms");
    {
        const std::lock_guard lock{this->mutex};
        this->down_until = this->clock.now() + restart_duration;
    }
    // Connections close on their own threads: none may answer for the new boot before it has been closed.
    this->on_crash(restart_duration);
    const std::lock_guard lock{this->mutex};
    this->model.crash(this->clock.now());
    this->cache.clear();
    this->reports.clear();
}

bool engine::is_down() const {
    const std::lock_guard lock{this->mutex};
    return this->clock.now() < this->down_until;
}

asio::awaitable<void> engine::handle_completion(
    const http::request& message, bool chat, http::response_writer& writer) {
    auto parsed = this->parse_generation_request(message, chat);
    core::result<std::shared_ptr<generation_request>> accepted{};
    bool streamed{false};
    if(!parsed) {
        accepted = tl::make_unexpected(parsed.error());
    } else {
        streamed = parsed->streamed;
        const std::lock_guard lock{this->mutex};
        this->cache.touch(parsed->prefix_digest, this->clock.now());
        accepted = this->model.submit(std::move(*parsed));
    }
    if(!accepted) {
        auto refusal = http::error_response(accepted.error());
        co_await send_response(writer, std::move(refusal));
    } else if(streamed) {
        co_await this->stream_tokens(std::move(*accepted), 0u, writer);
    } else {
        co_await this->send_completion(std::move(*accepted), writer);
    }
}

asio::awaitable<void> engine::stream_tokens(
    std::shared_ptr<generation_request> request, std::size_t offset, http::response_writer& writer) {
    const auto change = std::make_shared<wakeup>(co_await asio::this_coro::executor);
    const auto break_after = static_cast<std::size_t>(this->faults.number("break_stream_after"));
    {
        const std::lock_guard lock{this->mutex};
        request->listeners.push_back(change);
    }
    auto headers = this->stream_headers(*request);
    bool connected = (co_await writer.begin(200u, std::move(headers))).has_value();
    std::string out{};
    while(connected) {
        generation_state state{};
        std::size_t produced{};
        bool breaks{false};
        {
            const std::lock_guard lock{this->mutex};
            state = request->state;
            produced = request->produced_tokens;
            if(break_after > 0u && produced > break_after && !request->stream_broken_once && offset <= break_after) {
                request->stream_broken_once = true;
                breaks = true;
                produced = break_after;
            }
        }
        out.clear();
        for(; offset < produced; ++offset) {
            append_token_event(out, *request, offset);
        }
        if(!breaks && state == generation_state::finished) {
            append_final_events(out, *request);
        } else if(!breaks && state == generation_state::cancelled) {
            out += "data: " + http::error_body(cancelled_error(*request), request->id).dump() + "\n\n";
        }
        if(!out.empty()) {
            connected = (co_await writer.write(out)).has_value();
        }
        if(breaks || state == generation_state::aborted) {
            writer.abort();
            co_return;
        }
        if(state == generation_state::finished || state == generation_state::cancelled) {
            static_cast<void>(co_await writer.finish());
            co_return;
        }
        if(!connected) {
            co_return;
        }
        {
            // A step that ran during the write has already sent its notification, so its tokens are sent without a
            // wait.
            const std::lock_guard lock{this->mutex};
            if(request->produced_tokens > offset || request->state != state) {
                continue;
            }
        }
        co_await change->wait(listener_poll_interval);
    }
}

asio::awaitable<void> engine::send_completion(
    std::shared_ptr<generation_request> request, http::response_writer& writer) {
    const auto change = std::make_shared<wakeup>(co_await asio::this_coro::executor);
    {
        const std::lock_guard lock{this->mutex};
        request->listeners.push_back(change);
    }
    auto state = generation_state::waiting;
    while(true) {
        {
            const std::lock_guard lock{this->mutex};
            state = request->state;
        }
        if(state != generation_state::waiting && state != generation_state::running) {
            break;
        }
        co_await change->wait(listener_poll_interval);
    }
    if(state == generation_state::aborted) {
        writer.abort();
        co_return;
    }
    if(state == generation_state::cancelled) {
        auto refusal = http::error_response(cancelled_error(*request), request->id);
        co_await send_response(writer, std::move(refusal));
        co_return;
    }
    std::string text{};
    for(std::size_t index{}; index < request->produced_tokens; ++index) {
        text += token_text(*request, index);
    }
    nlohmann::json choice = nlohmann::json::object();
    choice["index"] = 0;
    choice["finish_reason"] = "length";
    if(request->chat) {
        choice["message"] = nlohmann::json{{"role", "assistant"}, {"content", std::move(text)}};
    } else {
        choice["text"] = std::move(text);
    }
    nlohmann::json body = nlohmann::json::object();
    body["id"] = request->id;
    body["model"] = core::to_string(request->target);
    body["choices"] = nlohmann::json::array({std::move(choice)});
    body["usage"] = usage(*request);
    auto response = http::json_response(200u, body);
    response.headers.set("x-adapter", core::to_string(request->target));
    {
        const std::lock_guard lock{this->mutex};
        response.headers.set("x-boot-id", this->model.boot_id());
    }
    co_await send_response(writer, std::move(response));
}

asio::awaitable<void> engine::execute_order(
    const http::request& message, core::duration hang_duration, http::response_writer& writer) {
    const auto body = http::parse_json(message.body).value_or(nullptr);
    engine_order order{.kind = member_or<std::string>(body, "order", {}),
        .target = {.adapter = member_or<std::string>(body, "adapter", {}),
            .version = member_or<std::string>(body, "version", {})},
        .model = member_or<std::string>(body, "model", {}),
        .role = member_or<std::string>(body, "role", {}),
        .fencing_token = member_or<std::uint64_t>(body, "fencing_token", 0u)};
    const bool needs_adapter = order.kind == "load_adapter" || order.kind == "evict_adapter";
    const auto valid_for = member_or<std::int64_t>(body, "valid_for_ms", -1);
    core::result<void> done{};
    bool loads{false};
    if(valid_for >= 0 && hang_duration > std::chrono::milliseconds{valid_for}) {
        done = core::fail(core::reason::lease_expired, "the order is no longer valid");
    } else if(needs_adapter && (order.target.adapter.empty() || order.target.version.empty())) {
        done = core::fail(core::reason::invalid_argument, "the order names no adapter and version");
    } else {
        const std::lock_guard lock{this->mutex};
        done = this->model.check_fencing_token(order);
        if(!done) {
            // The error response is sent below.
        } else if(order.kind == "load_adapter") {
            loads = true;
        } else if(order.kind == "evict_adapter") {
            this->model.evict(order.target, this->clock.now());
        } else if(order.kind == "load_model") {
            this->model.load_model(order.model, this->clock.now());
        } else if(order.kind == "set_role") {
            this->model.set_role(order.role);
        } else {
            done = core::fail(core::reason::invalid_argument, "unknown order '" + order.kind + "'");
        }
    }
    if(loads) {
        done = co_await this->load(order.target);
    }
    http::response response{};
    if(done) {
        const std::lock_guard lock{this->mutex};
        response = http::json_response(200u, nlohmann::json{{"boot_id", this->model.boot_id()}});
    } else {
        response = http::error_response(done.error());
        if(done.error().cause == core::reason::adapter_load_failed) {
            response.status = 502u;
        }
    }
    co_await send_response(writer, std::move(response));
}

asio::awaitable<core::result<void>> engine::load(core::adapter_version target) {
    core::result<load_ticket> ticket{};
    {
        const std::lock_guard lock{this->mutex};
        ticket = this->model.begin_load(target);
    }
    if(!ticket) {
        co_return tl::make_unexpected(ticket.error());
    }
    bool succeeded{true};
    if(!ticket->already_resident) {
        succeeded = co_await this->fetch_weights(std::move(target));
        succeeded = !this->with_probability(this->faults.number("load_failure_rate")) && succeeded;
    }
    const std::lock_guard lock{this->mutex};
    co_return this->model.finish_load(*ticket, succeeded);
}

asio::awaitable<bool> engine::fetch_weights(core::adapter_version target) {
    if(!this->settings.weight_store.has_value()) {
        co_await async_sleep(this->settings.load_duration);
        co_return true;
    }
    nlohmann::json body = adapter_json(target);
    body["engine"] = this->settings.engine.name;
    http::request message{.method = "POST", .target = "/loads", .headers = {}, .body = body.dump()};
    message.headers.set("content-type", "application/json");
    auto store = *this->settings.weight_store;
    const auto response = co_await this->http_client.send(std::move(store), std::move(message), load_timeout);
    co_return response.has_value() && response->status == 200u;
}

core::result<generation_request> engine::parse_generation_request(const http::request& message, bool chat) {
    const auto body = http::parse_json(message.body);
    if(!body || !body->is_object()) {
        return core::fail(core::reason::invalid_argument, "the body is not a JSON object");
    }
    const auto target = core::parse_adapter_version(member_or<std::string>(*body, "model", {}));
    const auto prompt = find_prompt(*body, chat);
    if(!target || !prompt) {
        return core::fail(core::reason::invalid_argument, "the body needs model (adapter@version) and a prompt");
    }
    generation_request request{.id = member_or<std::string>(*body, "request_id", {}),
        .target = *target,
        .prompt_digest = short_digest(*prompt),
        .prefix_digest = core::digest(std::string_view{*prompt}.substr(0u, cached_prefix_bytes)),
        .max_tokens = std::clamp<std::size_t>(member_or<std::size_t>(*body, "max_tokens", 16u), 1u, tokens_max),
        .priority = std::min(member_or<unsigned>(*body, "priority", 5u), priority_max),
        .chat = chat,
        .streamed = member_or<bool>(*body, "stream", false)};
    if(const auto marker = this->faults.text("crash_marker"); !marker.empty()) {
        request.crashes_engine = prompt->find(marker) != std::string::npos;
    }
    if(request.id.empty()) {
        const std::lock_guard lock{this->mutex};
        request.id = this->settings.engine.name + "-request-" + std::to_string(++this->next_request_number);
    } else if(!is_valid_request_id(request.id)) {
        return core::fail(core::reason::invalid_argument, "request_id has characters that are not allowed");
    }
    return request;
}

http::fields engine::stream_headers(const generation_request& request) {
    http::fields headers{};
    headers.set("content-type", "text/event-stream");
    headers.set("x-adapter", core::to_string(request.target));
    const std::lock_guard lock{this->mutex};
    headers.set("x-boot-id", this->model.boot_id());
    return headers;
}

http::response engine::status() {
    const auto now = this->clock.now();
    const auto lag = this->faults.milliseconds("report_lag_ms");
    const auto step = this->faults.number("step_ms");
    const std::lock_guard lock{this->mutex};
    const auto* lagged = (lag > core::duration::zero()) ? this->reports.entry_at(now - lag) : nullptr;
    const auto since = (lagged == nullptr) ? now : lagged->since;
    const auto report = (lagged == nullptr) ? this->model.report(now) : lagged->value;
    nlohmann::json body = nlohmann::json::object();
    body["boot_id"] = report.boot_id;
    body["model"] = report.model;
    body["role"] = report.role;
    body["slots"] = this->model.options().slots;
    body["resident"] = nlohmann::json::array();
    for(const auto& resident : report.resident) {
        auto row = adapter_json(resident.target);
        row["in_flight"] = resident.in_flight;
        body["resident"].push_back(std::move(row));
    }
    body["loading"] = nlohmann::json::array();
    for(const auto& target : report.loading) {
        body["loading"].push_back(adapter_json(target));
    }
    body["running"] = report.running;
    body["waiting"] = report.waiting;
    body["batch_limit"] = this->model.options().batch_limit;
    body["batch_fill"] = report.batch_fill;
    body["step_ms"] = step;
    body["age_ms"] = std::chrono::ceil<std::chrono::milliseconds>(now - since).count();
    body["fencing_token"] = report.fencing_token;
    body["checks_fencing_token"] = this->model.options().checks_fencing_token;
    return http::json_response(200u, body);
}

http::response engine::cache_events(std::uint64_t after) {
    const auto gap_rate = this->faults.number("event_gap_rate");
    const auto until = this->clock.now() - this->faults.milliseconds("report_lag_ms");
    const std::lock_guard lock{this->mutex};
    nlohmann::json body = nlohmann::json::array();
    for(const auto& event : this->cache.events_after(after, until)) {
        // The decision depends on the sequence number alone, so that every client misses the same events.
        const auto draw = core::hash(std::to_string(event.sequence), this->settings.seed);
        if(std::ldexp(static_cast<double>(draw), -64) < gap_rate) {
            continue;
        }
        nlohmann::json row = nlohmann::json::object();
        row["sequence"] = event.sequence;
        row["prefix_digest"] = event.prefix_digest;
        row["cached"] = event.cached;
        body.push_back(std::move(row));
    }
    return http::json_response(200u, body);
}

http::response engine::transfer_kv_cache(const http::request& message, bool exports) {
    const auto body = http::parse_json(message.body).value_or(nullptr);
    nlohmann::json response = nlohmann::json::object();
    const std::lock_guard lock{this->mutex};
    if(exports) {
        const auto digest = member_or<std::string>(body, "prefix_digest", {});
        if(!this->cache.contains(digest)) {
            return http::error_response(
                core::error{.cause = core::reason::not_found, .message = "the prefix is not cached"});
        }
        response["kv"] = std::string{kv_prefix} + digest;
        return http::json_response(200u, response);
    }
    const auto text = member_or<std::string>(body, "kv", {});
    if(!text.starts_with(kv_prefix)) {
        return http::error_response(
            core::error{.cause = core::reason::invalid_argument, .message = "the body has no KV cache"});
    }
    const auto digest = text.substr(kv_prefix.size());
    this->cache.touch(digest, this->clock.now());
    response["prefix_digest"] = digest;
    return http::json_response(200u, response);
}

bool engine::with_probability(double rate) {
    const std::lock_guard lock{this->mutex};
    return std::bernoulli_distribution{std::clamp(rate, 0., 1.)}(this->random);
}

} // namespace lagoonsaddle::standins
