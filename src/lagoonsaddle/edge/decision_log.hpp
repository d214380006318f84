#ifndef LAGOONSADDLE_EDGE_DECISION_LOG_HPP
#define LAGOONSADDLE_EDGE_DECISION_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief One line of a log: `key=value` pairs that begin with the event. */
class log_line {
public:
    explicit log_line(std::string_view event);

    /*! @brief Adds a field. A value with other than plain characters is quoted. */
    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, std::int64_t value);

    [[nodiscard]] const std::string& text() const noexcept {
        return this->content;
    }

    [[nodiscard]] const std::string& event() const noexcept {
        return this->event_name;
    }

    /*! @brief Returns the value of the field `outcome`, or an empty text. */
    [[nodiscard]] const std::string& outcome() const noexcept {
        return this->outcome_name;
    }

private:
    std::string content{};
    std::string event_name;
    std::string outcome_name{};
};

/*! @brief Takes log lines. */
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
    /*! @brief Name of the node; stands in each line unless it is empty. */
    std::string node{};
    /*! @brief Lines per second, averaged over the burst. */
    double lines_per_second{150.0};
    double burst{600.0};
    /*! @brief Lines that wait for the output, in bytes. */
    std::size_t buffer_bytes{64u * 1024u};
};

/**
 * @brief Writes decisions to a file descriptor without blocking. Not thread-safe.
 *
 * Lines beyond the rate, or beyond the buffer while the reader is slow, are dropped and counted; the next line that is
 * written says how many.
 */
class decision_log final : public log_sink {
public:
    /**
     * @brief Makes a log.
     * @param descriptor File descriptor to write to; it is made non-blocking.
     * @param clock Runtime clock; must outlive the log.
     * @param options Options.
     */
    decision_log(int descriptor, const core::clock& clock, decision_log_options options = {});

    void write(const log_line& line) override;

    /*! @brief Writes what is buffered as far as the output takes it. */
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept {
        return this->dropped_total;
    }

private:
    [[nodiscard]] bool admit();
    void append(const std::string& text);

    int output;
    const core::clock& time;
    decision_log_options settings;
    std::string buffer{};
    double tokens{};
    core::time_point refilled{};
    std::uint64_t dropped_since{};
    std::uint64_t dropped_total{};
};

} // namespace lagoonsaddle::edge

#endif
