#include <chrono>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/instrumented.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

template<typename Value>
[[nodiscard]] const core::error* error_of(const core::result<Value>& result) {
    return result ? nullptr : &result.error();
}

} // namespace

void instrumented_log::write(const log_line& line) {
    this->metrics
        .counter("lagoonsaddle_edge_events_total", "Decisions by event and outcome.",
            {{"event", line.event()}, {"outcome", line.outcome()}})
        .add();
    this->wrapped.write(line);
}

void instrumented_store::record_call(
    std::string_view operation, std::string_view kind, const core::error* failure, core::time_point begin) {
    const std::string outcome{failure == nullptr ? std::string_view{"answered"} : core::to_string(failure->cause)};
    this->metrics
        .counter("lagoonsaddle_edge_store_calls_total", "Calls to the platform's store by kind of record and outcome.",
            {{"call", std::string{operation}}, {"kind", std::string{kind}}, {"outcome", outcome}})
        .add();
    this->metrics
        .summary("lagoonsaddle_edge_store_call_seconds",
            "Time of a call to the platform's store; a watch waits for changes.", {{"call", std::string{operation}}})
        .record(std::chrono::duration<double>{this->clock.now() - begin}.count());
}

asio::awaitable<core::result<record_page>> instrumented_store::list(record_kind kind) {
    const auto begin = this->clock.now();
    auto page = co_await this->wrapped.list(kind);
    this->record_call("list", to_string(kind), error_of(page), begin);
    co_return page;
}

asio::awaitable<core::result<record_page>> instrumented_store::watch(
    record_kind kind, std::uint64_t revision, std::chrono::milliseconds timeout, freshness required) {
    const auto begin = this->clock.now();
    auto page = co_await this->wrapped.watch(kind, revision, timeout, required);
    this->record_call(required == freshness::stale ? "stale_watch" : "watch", to_string(kind), error_of(page), begin);
    co_return page;
}

asio::awaitable<core::result<stored_lease>> instrumented_store::read_lease(std::string zone) {
    const auto begin = this->clock.now();
    auto lease = co_await this->wrapped.read_lease(std::move(zone));
    this->record_call("read", to_string(record_kind::leases), error_of(lease), begin);
    co_return lease;
}

asio::awaitable<core::result<stored_lease>> instrumented_store::write_lease(
    lease_record lease, std::uint64_t revision) {
    const auto begin = this->clock.now();
    auto written = co_await this->wrapped.write_lease(std::move(lease), revision);
    this->record_call("write", to_string(record_kind::leases), error_of(written), begin);
    co_return written;
}

asio::awaitable<core::result<std::uint64_t>> instrumented_store::write_streams(
    stream_record record, std::uint64_t revision) {
    const auto begin = this->clock.now();
    auto written = co_await this->wrapped.write_streams(std::move(record), revision);
    this->record_call("write", to_string(record_kind::streams), error_of(written), begin);
    co_return written;
}

std::uint64_t instrumented_store::epoch() const noexcept {
    return this->wrapped.epoch();
}

} // namespace lagoonsaddle::edge
