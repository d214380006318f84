#ifndef LAGOONSADDLE_EDGE_DECISION_LOG_HPP
#define LAGOONSADDLE_EDGE_DECISION_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief One structured log line: `key=value` fields, the first of which is `event`. */
class log_line {
public:
    explicit log_line(std::string_view event);

    /*! @brief Appends a field. An empty value, or one with blanks, quotes or equals signs, is quoted. */
    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, std::int64_t value);

    [[nodiscard]] const std::string& text() const noexcept {
        return this->content;
    }

    [[nodiscard]] const std::string& event() const noexcept {
        return this->event_name;
    }

    /*! @brief Returns the value of the field `outcome`, or an empty string. */
    [[nodiscard]] const std::string& outcome() const noexcept {
        return this->outcome_name;
    }

private:
    std::string content{};
    std::string event_name;
    std::string outcome_name{};
};

/*! @brief Destination of log lines. */
class log_sink {
public:
    log_sink() = default;
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
    virtual ~log_sink() = default;

    virtual void write(const log_line& line) = 0;
};

/*! @brief Options of `decision_log`. */
struct decision_log_options {
    /*! @brief Name of the node, added to each line unless it is empty. */
    std::string node{};
    /*! @brief Sustained rate of the token bucket. */
    double lines_per_second{150.0};
    /*! @brief Capacity of the token bucket. */
    double burst_lines{600.0};
    /*! @brief Limit of the lines that are buffered for the output. */
    std::size_t buffer_bytes{64u * 1024u};
};

/**
 * @brief Rate-limited log that writes to a file descriptor without blocking. Not thread-safe.
 *
 * Lines beyond the rate, or beyond the buffer while the reader is slow, are dropped and counted; the next line that is
 * written is preceded by one with their number.
 */
class decision_log final : public log_sink {
public:
    /**
     * @brief Creates a log.
     * @param descriptor File descriptor to write to; it is made non-blocking and is not closed.
     * @param runtime_clock Clock of the rate limit; must outlive the log.
     * @param options Options.
     */
    decision_log(int descriptor, const core::clock& runtime_clock, decision_log_options options = {});

    void write(const log_line& line) override;

    /*! @brief Writes as much of the buffer as the descriptor accepts at once. */
    void flush();

    /*! @brief Returns the number of lines dropped since the log was created. */
    [[nodiscard]] std::uint64_t dropped() const noexcept {
        return this->dropped_total;
    }

private:
    [[nodiscard]] bool take_token();
    void append(const std::string& text);

    int output_descriptor;
    const core::clock& clock;
    decision_log_options settings;
    std::string buffer{};
    double tokens{};
    core::time_point last_refill{};
    std::uint64_t dropped_unreported{};
    std::uint64_t dropped_total{};
};

} // namespace lagoonsaddle::edge

#endif
