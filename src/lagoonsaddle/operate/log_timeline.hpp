#ifndef LAGOONSADDLE_OPERATE_LOG_TIMELINE_HPP
#define LAGOONSADDLE_OPERATE_LOG_TIMELINE_HPP

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace lagoonsaddle::operate {

/*! @brief One parsed line of the log of an entry node. */
struct log_record {
    std::string node{};
    /*! @brief Unix time in milliseconds, from the clock of the node. */
    std::int64_t time_ms{};
    std::string event{};
    std::vector<std::pair<std::string, std::string>> fields{};

    /*! @brief Returns the value of a field, or an empty string. */
    [[nodiscard]] std::string_view find(std::string_view key) const;

    /*! @brief Returns a field as a number, or 0 when it is absent or not a number. */
    [[nodiscard]] std::int64_t number(std::string_view key) const;
};

/**
 * @brief Parses one line of the form `time_ms=... event=... key=value ...`, with an optional prefix.
 * @param line The line.
 * @param source Name of the node, if the line has no field `node`.
 * @return The record, or no value when the line has another form.
 */
[[nodiscard]] std::optional<log_record> parse_log_line(std::string_view line, std::string_view source);

/**
 * @brief Explains one request from the logs of several nodes.
 *
 * Lines of other requests are dropped while reading, so memory use depends only on the number of node events.
 */
class log_timeline {
public:
    explicit log_timeline(std::string request_id);

    /**
     * @brief Reads a log.
     * @param input Stream of log lines.
     * @param source Node name of lines that have no field `node`.
     */
    void read_log(std::istream& input, std::string_view source);

    /*! @brief Returns whether any line has the request id. */
    [[nodiscard]] bool contains_request() const noexcept {
        return !this->request_records.empty();
    }

    /**
     * @brief Returns the timeline and the outcome of the request.
     * @return An object with `request_id`, `complete` (its last line was found), `outcome`, `cause` (a sentence), and
     * `timeline`: the lines of the request and the node events that may explain it, ordered by time, each with
     * `offset_ms` from its arrival, `node`, `event`, and `fields`.
     */
    [[nodiscard]] nlohmann::json explain() const;

private:
    struct request_summary {
        std::int64_t arrival_ms{};
        std::int64_t end_ms{};
        std::string node{};
        std::string adapter{};
        bool waited_for_load{false};
        std::set<std::string, std::less<>> upstreams{};
    };

    [[nodiscard]] const log_record* final_record() const;
    [[nodiscard]] request_summary summarize_request() const;
    [[nodiscard]] static bool is_relevant(const log_record& record, const request_summary& request);

    std::string request_id;
    std::vector<log_record> request_records{};
    std::vector<log_record> other_records{};
};

} // namespace lagoonsaddle::operate

#endif
