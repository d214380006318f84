#include <chrono>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/metered.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

template<typename Value>
[[nodiscard]] const core::error* failure_of(const core::result<Value>& result) {
    return result ? nullptr : &result.error();
}

} // namespace

void metered_log::write(const log_line& line) {
    this->metrics
        .counter("lagoonsaddle_edge_events_total", "Decisions by event and outcome.",
            {{"event", line.event()}, {"outcome", line.outcome()}})
        .add();
    this->next.write(line);
}

void metered_store::record(
    std::string_view call, std::string_view kind, const core::error* failure, core::time_point begin) {
    const std::string outcome{failure == nullptr ? std::string_view{"answered"} : core::to_string(failure->cause)};
    this->metrics
        .counter("lagoonsaddle_edge_store_calls_total", "Calls to the platform's store by kind of record and outcome.",
            {{"call", std::string{call}}, {"kind", std::string{kind}}, {"outcome", outcome}})
        .add();
    this->metrics
        .summary("lagoonsaddle_edge_store_call_seconds",
            "Time of a call to the platform's store; a watch waits for changes.", {{"call", std::string{call}}})
        .record(std::chrono::duration<double>{this->time.now() - begin}.count());
}

asio::awaitable<core::result<record_page>> metered_store::list(record_kind kind) {
    const auto begin = this->time.now();
    auto page = co_await this->next.list(kind);
    this->record("list", to_string(kind), failure_of(page), begin);
    co_return page;
}

asio::awaitable<core::result<record_page>> metered_store::watch(
    record_kind kind, std::uint64_t revision, std::chrono::milliseconds wait, freshness age) {
    const auto begin = this->time.now();
    auto page = co_await this->next.watch(kind, revision, wait, age);
    this->record(age == freshness::stale ? "stale_watch" : "watch", to_string(kind), failure_of(page), begin);
    co_return page;
}

asio::awaitable<core::result<stored_lease>> metered_store::read_lease(std::string zone) {
    const auto begin = this->time.now();
    auto lease = co_await this->next.read_lease(std::move(zone));
    this->record("read", to_string(record_kind::leases), failure_of(lease), begin);
    co_return lease;
}

asio::awaitable<core::result<stored_lease>> metered_store::write_lease(lease_record lease, std::uint64_t revision) {
    const auto begin = this->time.now();
    auto written = co_await this->next.write_lease(std::move(lease), revision);
    this->record("write", to_string(record_kind::leases), failure_of(written), begin);
    co_return written;
}

} // namespace lagoonsaddle::edge
