#include <chrono>
#include <utility>

#include <lagoonsaddle/standins/standin_handler.hpp>
#include <lagoonsaddle/standins/wakeup.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds hang_poll_interval{20};

[[nodiscard]] nlohmann::json with_hang(nlohmann::json faults) {
    faults["hang"] = false;
    return faults;
}

} // namespace

standin_handler::standin_handler(nlohmann::json defaults) : faults{with_hang(std::move(defaults))} {}

asio::awaitable<void> standin_handler::handle(http::request message, http::response_writer& writer) {
    const auto parts = http::split_target(message.target);
    if(parts.segments.size() == 1u && parts.segments.front() == "faults") {
        co_await this->serve_faults(message, writer);
        co_return;
    }
    if(parts.segments.size() == 1u && parts.segments.front() == "counters") {
        auto response = http::json_response(200u, this->counters());
        co_await send_response(writer, std::move(response));
        co_return;
    }
    // The request is served when the hang ends, as by a process that was paused and then resumed.
    core::duration hang_duration{};
    if(this->faults.flag("hang")) {
        const auto arrival = std::chrono::steady_clock::now();
        ++this->hung_request_count;
        do {
            co_await async_sleep(hang_poll_interval);
        } while(this->faults.flag("hang"));
        --this->hung_request_count;
        hang_duration = std::chrono::steady_clock::now() - arrival;
    }
    co_await this->serve(message, parts, hang_duration, writer);
}

std::size_t standin_handler::hung_requests() const noexcept {
    return this->hung_request_count.load();
}

void standin_handler::faults_changed() {}

asio::awaitable<void> standin_handler::send_response(http::response_writer& writer, http::response message) {
    static_cast<void>(co_await writer.send(std::move(message)));
}

asio::awaitable<void> standin_handler::serve_faults(const http::request& message, http::response_writer& writer) {
    core::result<void> applied{};
    if(message.method == "POST") {
        applied = this->faults.apply(http::parse_json(message.body).value_or(nullptr));
    }
    auto response =
        applied ? http::json_response(200u, this->faults.snapshot()) : http::error_response(applied.error());
    co_await send_response(writer, std::move(response));
    if(applied) {
        this->faults_changed();
    }
}

} // namespace lagoonsaddle::standins
