#include <lagoonsaddle/standins/service.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

std::uint64_t execution_counter::execute(const std::string& key) {
    ++this->total_count;
    return ++this->executions[key];
}

std::uint64_t execution_counter::total() const noexcept {
    return this->total_count;
}

const std::map<std::string, std::uint64_t>& execution_counter::by_key() const noexcept {
    return this->executions;
}

service::service() : standin_handler{nlohmann::json{{"delay_ms", 0}, {"drop_answers", 0}, {"refuse", false}}} {}

asio::awaitable<void> service::serve(http::request& message, const http::target_parts& /*parts*/,
    core::duration /*hang_duration*/, http::response_writer& writer) {
    if(this->faults.flag("refuse")) {
        const core::error refusal{
            .cause = core::reason::overloaded, .verdict = core::verdict::not_run, .message = "the service is busy"};
        auto response = http::error_response(refusal);
        co_await send_response(writer, std::move(response));
        co_return;
    }
    const std::string key{message.headers.find("idempotency-key").value_or("")};
    nlohmann::json body = nlohmann::json::object();
    body["key"] = key;
    {
        // Counted before the delay, because a call whose caller disconnects during the delay is still executed.
        const std::lock_guard lock{this->mutex};
        body["execution"] = this->executions.execute(key);
    }
    co_await async_sleep(this->faults.milliseconds("delay_ms"));
    if(this->faults.consume("drop_answers")) {
        writer.abort();
        co_return;
    }
    auto response = http::json_response(200u, body);
    co_await send_response(writer, std::move(response));
}

nlohmann::json service::counters() const {
    const std::lock_guard lock{this->mutex};
    nlohmann::json values = nlohmann::json::object();
    values["executions"] = this->executions.by_key();
    values["total"] = this->executions.total();
    return values;
}

} // namespace lagoonsaddle::standins
