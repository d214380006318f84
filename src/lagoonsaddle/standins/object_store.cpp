#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include <lagoonsaddle/standins/object_store.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds watch_timeout_default{10'000};

[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text) noexcept {
    if(text.size() >= 2u && text.front() == '"' && text.back() == '"') {
        text = text.substr(1u, text.size() - 2u);
    }
    std::uint64_t value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if(text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

[[nodiscard]] std::string etag(std::uint64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

[[nodiscard]] http::response not_modified(std::uint64_t version) {
    http::response response{.status = 304u};
    response.headers.set("etag", etag(version));
    return response;
}

[[nodiscard]] http::response object_response(const object_table::entry& object) {
    http::response response{.status = 200u, .headers = {}, .body = object.body};
    response.headers.set("etag", etag(object.version));
    response.headers.set("content-type", "application/json");
    return response;
}

[[nodiscard]] http::response make_error_response(core::reason cause, std::string message) {
    return http::error_response(core::fail(cause, std::move(message)).value());
}

[[nodiscard]] std::string join_name(const std::vector<std::string>& segments) {
    std::string name{};
    for(std::size_t index{1u}; index < segments.size(); ++index) {
        name += (index > 1u ? "/" : "") + segments[index];
    }
    return name;
}

} // namespace

object_store::object_store(const core::clock& source)
    : standin_handler{nlohmann::json{{"latency_ms", 0}, {"outage", false}, {"drop_answers", 0}}}, clock{source} {}

asio::awaitable<void> object_store::serve(http::request& message, const http::target_parts& parts,
    core::duration /*hang_duration*/, http::response_writer& writer) {
    co_await async_sleep(this->faults.milliseconds("latency_ms"));
    http::response response{};
    bool wrote{false};
    if(this->faults.flag("outage")) {
        response = make_error_response(core::reason::unavailable, "the object store has an outage");
    } else if(parts.segments.size() > 1u && parts.segments.front() == "objects") {
        const auto name = join_name(parts.segments);
        if(message.method == "GET") {
            response = this->get(name, message.headers);
        } else if(message.method == "PUT") {
            response = this->put(name, message);
            wrote = response.status == 200u;
        } else {
            response = make_error_response(core::reason::invalid_argument, "objects take GET and PUT");
        }
    } else if(parts.segments.size() == 1u && parts.segments.front() == "objects" && message.method == "GET") {
        response = this->list(parts.query.find("prefix").value_or(""));
    } else if(parts.segments.size() > 1u && parts.segments.front() == "watch" && message.method == "GET") {
        co_await this->watch(join_name(parts.segments), parts, writer);
        co_return;
    } else {
        response =
            make_error_response(core::reason::not_found, "unknown call " + message.method + " " + message.target);
    }
    if(wrote && this->faults.consume("drop_answers")) {
        writer.abort();
        co_return;
    }
    co_await send_response(writer, std::move(response));
}

nlohmann::json object_store::counters() const {
    const std::lock_guard lock{this->mutex};
    nlohmann::json values = nlohmann::json::object();
    values["reads"] = this->totals.reads;
    values["writes"] = this->totals.writes;
    values["watches"] = this->totals.watches;
    values["conflicts"] = this->totals.conflicts;
    values["unchanged"] = this->totals.unchanged;
    return values;
}

// Wakes all watches, so that an outage also ends pending ones.
void object_store::faults_changed() {
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, waiting] : this->watchers) {
        for(const auto& weak : waiting) {
            if(const auto watcher = weak.lock(); watcher) {
                watcher->notify();
            }
        }
    }
}

http::response object_store::get(const std::string& name, const http::fields& headers) {
    const std::lock_guard lock{this->mutex};
    ++this->totals.reads;
    const auto* object = this->objects.find(name);
    if(object == nullptr) {
        return make_error_response(core::reason::not_found, "'" + name + "' does not exist");
    }
    if(parse_number(headers.find("if-none-match").value_or("")) == object->version) {
        ++this->totals.unchanged;
        return not_modified(object->version);
    }
    return object_response(*object);
}

http::response object_store::put(const std::string& name, http::request& message) {
    std::optional<std::uint64_t> expected{};
    if(const auto match = message.headers.find("if-match"); match) {
        expected = parse_number(*match);
        if(!expected) {
            return make_error_response(core::reason::invalid_argument, "if-match must be a version in quotes");
        }
    } else if(message.headers.find("if-none-match") == "*") {
        expected = 0u;
    }
    const std::lock_guard lock{this->mutex};
    const auto written = this->objects.put(name, std::move(message.body), expected);
    if(!written) {
        auto response = http::error_response(written.error());
        if(written.error().cause == core::reason::conflict) {
            ++this->totals.conflicts;
            response.status = 412u;
        }
        return response;
    }
    ++this->totals.writes;
    if(const auto waiting = this->watchers.find(name); waiting != this->watchers.end()) {
        for(const auto& weak : waiting->second) {
            if(const auto watcher = weak.lock(); watcher) {
                watcher->notify();
            }
        }
    }
    nlohmann::json body = nlohmann::json::object();
    body["version"] = *written;
    auto response = http::json_response(200u, body);
    response.headers.set("etag", etag(*written));
    return response;
}

http::response object_store::list(std::string_view prefix) {
    const std::lock_guard lock{this->mutex};
    ++this->totals.reads;
    nlohmann::json found = nlohmann::json::array();
    for(const auto& [name, version] : this->objects.list(prefix)) {
        found.push_back(nlohmann::json{{"name", name}, {"version", version}});
    }
    nlohmann::json body = nlohmann::json::object();
    body["objects"] = std::move(found);
    return http::json_response(200u, body);
}

asio::awaitable<void> object_store::watch(
    std::string name, const http::target_parts& parts, http::response_writer& writer) {
    const auto known_version = parse_number(parts.query.find("known").value_or("0")).value_or(0u);
    const auto timeout = parse_number(parts.query.find("timeout_ms").value_or(""));
    const auto deadline = this->clock.now() + (timeout ? std::chrono::milliseconds{*timeout} : watch_timeout_default);
    const auto change = std::make_shared<wakeup>(co_await asio::this_coro::executor);
    // Ends the watch when the caller disconnects; it would otherwise stay until its timeout.
    const auto disconnected = std::make_shared<bool>(false);
    writer.on_disconnect([change, disconnected] {
        *disconnected = true;
        change->notify();
    });
    this->add_watcher(name, change);
    http::response response{};
    while(!*disconnected) {
        const auto now = this->clock.now();
        if(this->faults.flag("outage")) {
            response = make_error_response(core::reason::unavailable, "the object store has an outage");
            break;
        }
        {
            const std::lock_guard lock{this->mutex};
            const auto* object = this->objects.find(name);
            if(object != nullptr && object->version != known_version) {
                response = object_response(*object);
                break;
            }
            if(object == nullptr && known_version != 0u) {
                response = make_error_response(core::reason::not_found, "'" + name + "' does not exist");
                break;
            }
        }
        if(now >= deadline) {
            response = not_modified(known_version);
            break;
        }
        co_await change->wait(deadline - now);
    }
    co_await send_response(writer, std::move(response));
}

void object_store::add_watcher(const std::string& name, const std::shared_ptr<change_listener>& watcher) {
    const std::lock_guard lock{this->mutex};
    ++this->totals.watches;
    auto& waiting = this->watchers[name];
    std::erase_if(waiting, [](const std::weak_ptr<change_listener>& weak) { return weak.expired(); });
    waiting.push_back(watcher);
}

} // namespace lagoonsaddle::standins
