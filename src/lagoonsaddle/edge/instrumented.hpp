#ifndef LAGOONSADDLE_EDGE_INSTRUMENTED_HPP
#define LAGOONSADDLE_EDGE_INSTRUMENTED_HPP

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>

namespace lagoonsaddle::edge {

/*! @brief Counts log lines by event and outcome, including those that the wrapped log drops. */
class instrumented_log final : public log_sink {
public:
    instrumented_log(log_sink& log, operate::metrics_registry& registry) : wrapped{log}, metrics{registry} {}

    void write(const log_line& line) override;

private:
    log_sink& wrapped;
    operate::metrics_registry& metrics;
};

/*! @brief Counts calls to the platform's store and measures their duration. */
class instrumented_store final : public record_store {
public:
    instrumented_store(record_store& store, operate::metrics_registry& registry, const core::clock& runtime_clock)
        : wrapped{store}, metrics{registry}, clock{runtime_clock} {}

    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> list(record_kind kind) override;
    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> watch(
        record_kind kind, std::uint64_t revision, std::chrono::milliseconds timeout, freshness required) override;
    [[nodiscard]] boost::asio::awaitable<core::result<stored_lease>> read_lease(std::string zone) override;
    [[nodiscard]] boost::asio::awaitable<core::result<stored_lease>> write_lease(
        lease_record lease, std::uint64_t revision) override;
    [[nodiscard]] boost::asio::awaitable<core::result<std::uint64_t>> write_streams(
        stream_record record, std::uint64_t revision) override;
    [[nodiscard]] std::uint64_t epoch() const noexcept override;

private:
    void record_call(
        std::string_view operation, std::string_view kind, const core::error* failure, core::time_point begin);

    record_store& wrapped;
    operate::metrics_registry& metrics;
    const core::clock& clock;
};

} // namespace lagoonsaddle::edge

#endif
