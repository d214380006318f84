#include <algorithm>
#include <optional>

#include <lagoonsaddle/standins/wakeup.hpp>
#include <lagoonsaddle/standins/weight_store.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

// Upper bound on the delay until a change of the faults or of the number of active loads takes effect.
constexpr std::chrono::milliseconds recheck_interval{10};

} // namespace

weight_store::weight_store(const core::clock& source, weight_store_options values)
    : standin_handler{nlohmann::json{{"rate_factor", 1.}, {"outage", false}}}, clock{source}, model{values} {}

asio::awaitable<void> weight_store::serve(http::request& message, const http::target_parts& parts,
    core::duration /*hang_duration*/, http::response_writer& writer) {
    const auto body = http::parse_json(message.body).value_or(nullptr);
    const auto adapter = member_or<std::string>(body, "adapter", {});
    const auto version = member_or<std::string>(body, "version", {});
    core::result<void> done{};
    if(message.method != "POST" || parts.segments.size() != 1u || parts.segments.front() != "loads") {
        done = core::fail(core::reason::not_found, "unknown call " + message.target);
    } else if(adapter.empty() || version.empty()) {
        done = core::fail(core::reason::invalid_argument, "a load names an adapter and a version");
    } else {
        done = co_await this->load(adapter + "@" + version);
    }
    auto response = done ? http::json_response(200u, body) : http::error_response(done.error());
    co_await send_response(writer, std::move(response));
}

nlohmann::json weight_store::counters() const {
    const std::lock_guard lock{this->mutex};
    nlohmann::json values = nlohmann::json::object();
    values["loads"] = this->model.loads();
    values["concurrent_max"] = this->model.concurrent_max();
    values["rejected"] = this->model.rejected();
    return values;
}

asio::awaitable<core::result<void>> weight_store::load(std::string name) {
    std::optional<std::uint64_t> load_id{};
    while(true) {
        core::duration left{};
        {
            const auto rate = this->faults.number("rate_factor");
            const std::lock_guard lock{this->mutex};
            const auto now = this->clock.now();
            this->model.advance(now, rate);
            if(this->faults.flag("outage")) {
                if(load_id) {
                    this->model.cancel(*load_id);
                }
                co_return core::fail(core::reason::unavailable, "the weight store has an outage");
            }
            if(!load_id) {
                const auto started = this->model.start(name, now);
                if(!started) {
                    co_return tl::make_unexpected(started.error());
                }
                load_id = *started;
            }
            const auto needed = this->model.remaining(*load_id, rate);
            if(!needed) {
                co_return core::result<void>{};
            }
            left = *needed;
        }
        co_await async_sleep(std::min<core::duration>(left, recheck_interval));
    }
}

} // namespace lagoonsaddle::standins
