#include <charconv>
#include <mutex>
#include <string_view>
#include <utility>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/partial_json.hpp>
#include <lagoonsaddle/http/percent_encoding.hpp>
#include <lagoonsaddle/platform/http_object_store.hpp>

namespace lagoonsaddle::platform {

namespace {

constexpr std::size_t body_limit_bytes{1'000'000u};

[[nodiscard]] std::string format_etag(object_version version) {
    return '"' + std::to_string(version) + '"';
}

[[nodiscard]] std::optional<object_version> parse_etag(std::string_view text) noexcept {
    if(text.size() < 3u || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    text = text.substr(1u, text.size() - 2u);
    object_version version{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if(parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || version == 0u) {
        return std::nullopt;
    }
    return version;
}

/*! @brief Returns the verdict in an error body, or nothing if it has none. */
[[nodiscard]] std::optional<core::verdict> parse_error_verdict(const http::response& response) {
    const auto body = http::parse_json(response.body);
    if(!body || !body->is_object() || !body->contains("error") || !(*body)["error"].is_object()) {
        return std::nullopt;
    }
    const auto& detail = (*body)["error"];
    const auto found = detail.find("verdict");
    if(found == detail.end() || !found->is_string()) {
        return std::nullopt;
    }
    return core::parse_verdict(found->get<std::string>());
}

[[nodiscard]] core::error status_error(const http::response& response) {
    core::error failure{};
    failure.message = "the object API responded with status " + std::to_string(response.status);
    switch(response.status) {
    case 400u:
        failure.cause = core::reason::invalid_argument;
        break;
    case 401u:
    case 403u:
        failure.cause = core::reason::unauthorized;
        break;
    case 404u:
        failure.cause = core::reason::not_found;
        break;
    case 409u:
    case 412u:
        failure.cause = core::reason::conflict;
        break;
    case 413u:
        failure.cause = core::reason::payload_too_large;
        break;
    case 429u:
        failure.cause = core::reason::rate_limited;
        break;
    default:
        failure.cause = response.status >= 500u ? core::reason::unavailable : core::reason::protocol_error;
        // A gateway in front of the object API can return 5xx for a write that took effect.
        failure.verdict = parse_error_verdict(response).value_or(core::verdict::may_have_run);
        break;
    }
    return failure;
}

[[nodiscard]] core::error as_not_run(core::error failure) {
    failure.verdict = core::verdict::not_run;
    return failure;
}

/*! @brief Returns whether an error counts as a failure of the object API rather than of the call. */
[[nodiscard]] bool is_outage(core::reason cause) noexcept {
    switch(cause) {
    case core::reason::unavailable:
    case core::reason::connection_refused:
    case core::reason::connection_lost:
    case core::reason::timeout:
    case core::reason::protocol_error:
        return true;
    default:
        return false;
    }
}

[[nodiscard]] core::result<std::optional<object>> parse_object(
    std::string name, object_version known, http::response response) {
    if(response.status == 304u) {
        return std::optional<object>{};
    }
    if(response.status != 200u) {
        return tl::make_unexpected(as_not_run(status_error(response)));
    }
    const auto etag = response.headers.find("etag");
    const auto version = etag ? parse_etag(*etag) : std::nullopt;
    if(!version) {
        return core::fail(core::reason::protocol_error, "the object API responded without a valid etag");
    }
    if(*version == known) {
        return std::optional<object>{};
    }
    return std::optional<object>{
        object{.name = std::move(name), .body = std::move(response.body), .version = *version}};
}

/*! @brief Levels above the members of a row in the response to a list: the response, the array of rows and the row. */
constexpr unsigned list_levels{3u};

[[nodiscard]] bool has_prefix(const nlohmann::json& row, std::string_view prefix) {
    const auto name = row.is_object() ? row.find("name") : row.end();
    return name != row.end() && name->is_string() && name->get_ref<const std::string&>().starts_with(prefix);
}

/*! @brief Parses a list. Rows without a readable name, or with another one than was asked for, are left out: they hold
 * no object of the caller. */
[[nodiscard]] core::result<std::vector<object>> parse_list(const http::response& response, std::string_view prefix) {
    const auto body = http::parse_partial_json(response.body, list_levels);
    if(!body || !body->is_object() || !body->contains("objects") || !(*body)["objects"].is_array()) {
        return core::fail(core::reason::protocol_error, "the object API responded without a list of objects");
    }
    std::vector<object> objects{};
    for(const auto& row : (*body)["objects"]) {
        if(!has_prefix(row, prefix)) {
            continue;
        }
        if(!row.contains("version") || !row["version"].is_number_unsigned()) {
            return core::fail(core::reason::protocol_error, "the object API listed an object without version");
        }
        objects.push_back(object{
            .name = row["name"].get<std::string>(), .body = {}, .version = row["version"].get<object_version>()});
    }
    return objects;
}

[[nodiscard]] core::result<object_version> parse_write_response(const http::response& response) {
    if(response.status != 200u && response.status != 201u) {
        auto failure = status_error(response);
        if(failure.cause == core::reason::not_found) {
            // A conditional write to a missing object is a conflict, also if the object API responds with 404.
            failure.cause = core::reason::conflict;
        }
        return tl::make_unexpected(std::move(failure));
    }
    const auto body = http::parse_json(response.body);
    if(!body || !body->is_object() || !body->contains("version") || !(*body)["version"].is_number_unsigned()) {
        return core::fail(core::reason::protocol_error, core::verdict::may_have_run,
            "the object API's response to a write has no valid version");
    }
    return (*body)["version"].get<object_version>();
}

} // namespace

/*! @brief Circuit breaker and call counters. */
class http_object_store::circuit_breaker {
public:
    circuit_breaker(const core::clock& time_source, const http_object_store_options& options)
        : clock{time_source}, failure_limit{options.breaker_failures}, open_time{options.breaker_open_time} {}

    /*! @brief Returns nothing if a call may be sent, else the time until the next trial call. */
    [[nodiscard]] std::optional<std::chrono::milliseconds> check_admission() {
        const std::lock_guard lock{this->mutex};
        if(this->failures_in_row < this->failure_limit) {
            return std::nullopt;
        }
        const auto now = this->clock.now();
        if(now >= this->next_trial) {
            // The next trial is scheduled now, since this one may hang.
            this->next_trial = now + this->open_time;
            return std::nullopt;
        }
        ++this->calls.rejected;
        return std::chrono::ceil<std::chrono::milliseconds>(this->next_trial - now);
    }

    void increment(std::uint64_t call_counts::*counter) {
        const std::lock_guard lock{this->mutex};
        ++(this->calls.*counter);
    }

    void record_success() {
        const std::lock_guard lock{this->mutex};
        this->failures_in_row = 0u;
    }

    void record_failure() {
        const std::lock_guard lock{this->mutex};
        ++this->calls.failures;
        if(++this->failures_in_row >= this->failure_limit) {
            this->next_trial = this->clock.now() + this->open_time;
        }
    }

    [[nodiscard]] call_counts counts() const {
        const std::lock_guard lock{this->mutex};
        return this->calls;
    }

    [[nodiscard]] bool is_open() const {
        const std::lock_guard lock{this->mutex};
        return this->failures_in_row >= this->failure_limit;
    }

    /*! @brief Records the result of a call that was sent. */
    template<typename Type>
    void record_result(const core::result<Type>& value) {
        if(value || !is_outage(value.error().cause)) {
            this->record_success();
        } else {
            this->record_failure();
        }
    }

private:
    const core::clock& clock;
    unsigned failure_limit;
    core::duration open_time;
    mutable std::mutex mutex{};
    unsigned failures_in_row{};
    core::time_point next_trial{};
    call_counts calls{};
};

http_object_store::http_object_store(http::client& client, const core::clock& clock, http_object_store_options options)
    : http_client{client},
      settings{std::move(options)},
      breaker{std::make_unique<circuit_breaker>(clock, this->settings)} {}

http_object_store::~http_object_store() = default;

boost::asio::awaitable<core::result<http::response>> http_object_store::send_request(
    http::request request, std::uint64_t call_counts::*counter, std::chrono::milliseconds timeout) {
    if(const auto wait = this->breaker->check_admission(); wait) {
        core::error failure{.cause = core::reason::unavailable,
            .verdict = core::verdict::not_run,
            .message = "the circuit breaker is open: the object API failed repeatedly",
            .retry_after = *wait};
        co_return tl::make_unexpected(std::move(failure));
    }
    this->breaker->increment(counter);
    auto target = this->settings.server;
    auto response = co_await this->http_client.send(std::move(target), std::move(request), timeout);
    if(!response) {
        this->breaker->record_failure();
    }
    co_return response;
}

boost::asio::awaitable<core::result<std::optional<object>>> http_object_store::get(
    std::string name, object_version known) {
    http::request request{};
    request.target = "/objects/" + http::percent_encode_path(name);
    if(known != 0u) {
        request.headers.set("if-none-match", format_etag(known));
    }
    auto response = co_await this->send_request(std::move(request), &call_counts::reads, this->settings.call_timeout);
    if(!response) {
        co_return tl::make_unexpected(as_not_run(std::move(response.error())));
    }
    auto value = parse_object(std::move(name), known, std::move(*response));
    this->breaker->record_result(value);
    if(value && !*value) {
        this->breaker->increment(&call_counts::unchanged);
    }
    co_return value;
}

boost::asio::awaitable<core::result<object_version>> http_object_store::put(
    std::string name, std::string body, object_version expected) {
    if(body.size() > body_limit_bytes) {
        co_return core::fail(core::reason::payload_too_large, "the object is larger than one megabyte");
    }
    http::request request{};
    request.method = "PUT";
    request.target = "/objects/" + http::percent_encode_path(name);
    if(expected == 0u) {
        request.headers.set("if-none-match", "*");
    } else {
        request.headers.set("if-match", format_etag(expected));
    }
    request.body = std::move(body);
    auto response = co_await this->send_request(std::move(request), &call_counts::writes, this->settings.call_timeout);
    if(!response) {
        co_return tl::make_unexpected(std::move(response.error()));
    }
    auto value = parse_write_response(*response);
    this->breaker->record_result(value);
    if(!value && value.error().cause == core::reason::conflict) {
        this->breaker->increment(&call_counts::conflicts);
    }
    co_return value;
}

boost::asio::awaitable<core::result<std::optional<object>>> http_object_store::watch(
    std::string name, object_version known, std::chrono::milliseconds timeout) {
    http::request request{};
    request.target = "/watch/" + http::percent_encode_path(name) + "?known=" + std::to_string(known) +
                     "&timeout_ms=" + std::to_string(timeout.count());
    auto response =
        co_await this->send_request(std::move(request), &call_counts::watches, timeout + this->settings.watch_margin);
    if(!response) {
        co_return tl::make_unexpected(as_not_run(std::move(response.error())));
    }
    auto value = parse_object(std::move(name), known, std::move(*response));
    this->breaker->record_result(value);
    if(value && !*value) {
        this->breaker->increment(&call_counts::unchanged);
    }
    co_return value;
}

boost::asio::awaitable<core::result<std::vector<object>>> http_object_store::list(std::string prefix) {
    http::request request{};
    request.target = "/objects?prefix=" + http::percent_encode_path(prefix);
    auto response = co_await this->send_request(std::move(request), &call_counts::lists, this->settings.call_timeout);
    if(!response) {
        co_return tl::make_unexpected(as_not_run(std::move(response.error())));
    }
    if(response->status != 200u) {
        core::result<std::vector<object>> failed{tl::make_unexpected(as_not_run(status_error(*response)))};
        this->breaker->record_result(failed);
        co_return failed;
    }
    auto value = parse_list(*response, prefix);
    this->breaker->record_result(value);
    co_return value;
}

call_counts http_object_store::counts() const {
    return this->breaker->counts();
}

bool http_object_store::breaker_open() const {
    return this->breaker->is_open();
}

} // namespace lagoonsaddle::platform
