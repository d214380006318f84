#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/percent_encoding.hpp>
#include <lagoonsaddle/upstream/engine_client.hpp>
#include <lagoonsaddle/upstream/internal_error.hpp>
#include <lagoonsaddle/upstream/sse_parser.hpp>

namespace lagoonsaddle::upstream {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok{200u};
constexpr std::chrono::milliseconds cancel_timeout{1'000};
constexpr std::string_view done_event{"[DONE]"};
/*! @brief Largest error response that is read, and largest answer to an order or a health check: they hold one JSON
 * object of a few fields. */
constexpr std::size_t short_body_limit_bytes{64u * 1024u};
/*! @brief Largest status report; it names each resident adapter. */
constexpr std::size_t report_limit_bytes{1024u * 1024u};
/*! @brief Largest event of a stream, which holds one token. */
constexpr std::size_t event_limit_bytes{256u * 1024u};

[[nodiscard]] std::string header_value(const http::fields& headers, std::string_view name) {
    return std::string{headers.find(name).value_or(std::string_view{})};
}

/*! @brief Reads an error response; what is longer than one may be is not read to its end. */
[[nodiscard]] asio::awaitable<std::string> read_error_body(http::response_stream& response) {
    std::string body{};
    while(body.size() < short_body_limit_bytes) {
        const auto chunk = co_await response.read();
        if(!chunk || chunk->empty()) {
            co_return body;
        }
        body += *chunk;
    }
    response.close();
    co_return body;
}

/*! @brief Returns the options of a call whose response is read as a whole. */
[[nodiscard]] http::exchange_options call_options(std::chrono::milliseconds timeout, std::size_t body_limit_bytes) {
    http::exchange_options options{};
    options.timeout = timeout;
    options.body_limit_bytes = body_limit_bytes;
    return options;
}

/*! @brief Returns false when an event names another request: a second copy of its response may arrive late. */
[[nodiscard]] bool names_request(const std::string& event, const std::string& request_id) {
    const auto parsed = http::parse_json(event);
    if(!parsed || !parsed->is_object() || !parsed->contains("id") || !parsed->at("id").is_string()) {
        return true;
    }
    return parsed->at("id").get<std::string>() == request_id;
}

[[nodiscard]] std::vector<core::adapter_version> parse_adapters(const nlohmann::json& list) {
    std::vector<core::adapter_version> adapters{};
    for(const auto& entry : list) {
        if(entry.is_object()) {
            adapters.push_back(
                core::adapter_version{.adapter = entry.value("adapter", ""), .version = entry.value("version", "")});
        }
    }
    return adapters;
}

} // namespace

class engine_client::http_stream final : public engine_stream {
public:
    http_stream(std::unique_ptr<http::response_stream> opened, std::string call)
        : response{std::move(opened)},
          request_id{std::move(call)},
          adapter{header_value(this->response->headers(), "x-adapter")},
          engine_boot_id{header_value(this->response->headers(), "x-boot-id")} {}

    [[nodiscard]] const std::string& served_adapter() const noexcept override {
        return this->adapter;
    }

    [[nodiscard]] const std::string& boot_id() const noexcept override {
        return this->engine_boot_id;
    }

    asio::awaitable<core::result<std::optional<std::string>>> next() override {
        while(true) {
            if(auto event = this->parser.next(); event.has_value()) {
                if(*event == done_event) {
                    // Reads the end of the body so that the connection can be reused.
                    static_cast<void>(co_await this->response->read());
                    co_return std::optional<std::string>{};
                }
                if(!this->verified && !names_request(*event, this->request_id)) {
                    this->response->close();
                    co_return core::fail(core::reason::protocol_error, core::verdict::may_have_run,
                        "the stream belongs to another request");
                }
                this->verified = true;
                co_return event;
            }
            auto chunk = co_await this->response->read();
            if(!chunk) {
                co_return tl::make_unexpected(std::move(chunk.error()));
            }
            if(chunk->empty()) {
                co_return core::fail(core::reason::connection_lost, core::verdict::may_have_run,
                    "the stream ended before its last event");
            }
            this->parser.feed(*chunk);
            if(this->parser.unfinished_bytes() > event_limit_bytes) {
                this->response->close();
                co_return core::fail(
                    core::reason::protocol_error, core::verdict::may_have_run, "an event of the stream is too long");
            }
        }
    }

    void close() noexcept override {
        this->response->close();
    }

private:
    std::unique_ptr<http::response_stream> response;
    std::string request_id;
    /*! @brief Whether the first event has shown that the stream belongs to the request. */
    bool verified{false};
    std::string adapter;
    std::string engine_boot_id;
    sse_parser parser{};
};

engine_client::engine_client(http::client& sender, core::endpoint engine)
    : client{sender}, endpoint{std::move(engine)} {}

asio::awaitable<core::result<std::unique_ptr<engine_stream>>> engine_client::start(engine_call call) {
    auto body = http::parse_json(call.body);
    if(!body || !body->is_object()) {
        co_return core::fail(core::reason::invalid_argument, "the body is not a JSON object");
    }
    (*body)["model"] = core::to_string(call.adapter);
    (*body)["request_id"] = call.request_id;
    (*body)["priority"] = call.priority;
    (*body)["stream"] = true;
    http::request request{.method = "POST", .target = call.chat ? "/v1/chat/completions" : "/v1/completions"};
    request.headers.set("content-type", "application/json");
    request.body = body->dump();
    auto response = co_await this->client.open(this->endpoint, std::move(request), call.timeout);
    if(!response) {
        co_return tl::make_unexpected(std::move(response.error()));
    }
    if((*response)->status() != status_ok) {
        const auto response_body = co_await read_error_body(**response);
        co_return tl::make_unexpected(internal::parse_error_response((*response)->status(), response_body));
    }
    co_return std::make_unique<http_stream>(std::move(*response), std::move(call.request_id));
}

asio::awaitable<core::result<std::unique_ptr<engine_stream>>> engine_client::resume(
    std::string request_id, std::size_t offset, std::chrono::milliseconds timeout) {
    http::request request{
        .target = "/v1/requests/" + http::percent_encode(request_id) + "?offset=" + std::to_string(offset)};
    auto response = co_await this->client.open(this->endpoint, std::move(request), timeout);
    if(!response) {
        co_return tl::make_unexpected(std::move(response.error()));
    }
    if((*response)->status() != status_ok) {
        const auto response_body = co_await read_error_body(**response);
        co_return tl::make_unexpected(internal::parse_error_response((*response)->status(), response_body));
    }
    co_return std::make_unique<http_stream>(std::move(*response), std::move(request_id));
}

asio::awaitable<void> engine_client::cancel(std::string request_id) {
    http::request request{.method = "DELETE", .target = "/v1/requests/" + http::percent_encode(request_id)};
    auto options = call_options(cancel_timeout, short_body_limit_bytes);
    static_cast<void>(co_await this->client.send(this->endpoint, std::move(request), std::move(options)));
}

asio::awaitable<core::result<void>> engine_client::send_order(order value, std::chrono::milliseconds timeout) {
    nlohmann::json body = nlohmann::json::object();
    body["order"] = value.kind == order_kind::load_adapter ? "load_adapter" : "evict_adapter";
    body["adapter"] = value.adapter.adapter;
    body["version"] = value.adapter.version;
    body["fencing_token"] = value.fencing_token;
    body["valid_for_ms"] = value.validity.count();
    http::request request{.method = "POST", .target = "/orders"};
    request.headers.set("content-type", "application/json");
    request.body = body.dump();
    auto options = call_options(timeout, short_body_limit_bytes);
    const auto response = co_await this->client.send(this->endpoint, std::move(request), std::move(options));
    if(!response) {
        co_return tl::make_unexpected(response.error());
    }
    if(response->status != status_ok) {
        co_return tl::make_unexpected(internal::parse_error_response(response->status, response->body));
    }
    co_return core::result<void>{};
}

asio::awaitable<core::result<engine_report>> engine_client::fetch_report(std::chrono::milliseconds timeout) {
    http::request request{.target = "/status"};
    auto options = call_options(timeout, report_limit_bytes);
    const auto response = co_await this->client.send(this->endpoint, std::move(request), std::move(options));
    if(!response) {
        co_return tl::make_unexpected(response.error());
    }
    const auto body = http::parse_json(response->body);
    if(response->status != status_ok || !body || !body->is_object()) {
        co_return core::fail(core::reason::protocol_error, "the engine's status cannot be read");
    }
    try {
        engine_report report{.boot_id = body->value("boot_id", ""),
            .slots = body->value("slots", std::size_t{}),
            .running = body->value("running", std::size_t{}),
            .waiting = body->value("waiting", std::size_t{}),
            .batch_limit = body->value("batch_limit", std::size_t{}),
            .batch_fill = body->value("batch_fill", 0.),
            .step = std::chrono::milliseconds{body->value("step_ms", std::int64_t{})},
            .age = std::chrono::milliseconds{body->value("age_ms", std::int64_t{})}};
        const auto empty = nlohmann::json::array();
        for(const auto& entry : body->value("resident", empty)) {
            report.resident.push_back(resident_adapter{
                .adapter = {.adapter = entry.value("adapter", ""), .version = entry.value("version", "")},
                .in_flight = entry.value("in_flight", std::size_t{})});
        }
        report.loading = parse_adapters(body->value("loading", empty));
        co_return report;
    } catch(const nlohmann::json::exception& exception) {
        co_return core::fail(
            core::reason::protocol_error, std::string{"the engine's status cannot be read: "} + exception.what());
    }
}

asio::awaitable<core::result<std::string>> engine_client::fetch_boot_id(std::chrono::milliseconds timeout) {
    http::request request{.target = "/healthz"};
    auto options = call_options(timeout, short_body_limit_bytes);
    const auto response = co_await this->client.send(this->endpoint, std::move(request), std::move(options));
    if(!response) {
        co_return tl::make_unexpected(response.error());
    }
    const auto body = http::parse_json(response->body);
    if(response->status != status_ok || !body || !body->is_object() || !body->contains("boot_id")) {
        co_return core::fail(core::reason::protocol_error, "the engine's health cannot be read");
    }
    co_return body->at("boot_id").is_string() ? body->at("boot_id").get<std::string>() : body->at("boot_id").dump();
}

} // namespace lagoonsaddle::upstream
