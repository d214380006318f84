#ifndef LAGOONSADDLE_EDGE_METERED_HPP
#define LAGOONSADDLE_EDGE_METERED_HPP

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>

namespace lagoonsaddle::edge {

/*! @brief Counts the lines of a log by event and outcome, also those that the log drops. */
class metered_log final : public log_sink {
public:
    metered_log(log_sink& log, operate::metrics_registry& registry) : next{log}, metrics{registry} {}

    void write(const log_line& line) override;

private:
    log_sink& next;
    operate::metrics_registry& metrics;
};

/*! @brief Counts and times the calls to the platform's store. */
class metered_store final : public record_store {
public:
    metered_store(record_store& store, operate::metrics_registry& registry, const core::clock& clock)
        : next{store}, metrics{registry}, time{clock} {}

    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> list(record_kind kind) override;
    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> watch(
        record_kind kind, std::uint64_t revision, std::chrono::milliseconds wait, freshness age) override;
    [[nodiscard]] boost::asio::awaitable<core::result<stored_lease>> read_lease(std::string zone) override;
    [[nodiscard]] boost::asio::awaitable<core::result<stored_lease>> write_lease(
        lease_record lease, std::uint64_t revision) override;

private:
    void record(std::string_view call, std::string_view kind, const core::error* failure, core::time_point begin);

    record_store& next;
    operate::metrics_registry& metrics;
    const core::clock& time;
};

} // namespace lagoonsaddle::edge

#endif
