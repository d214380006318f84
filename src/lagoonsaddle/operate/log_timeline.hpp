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

/*! @brief One line of the log of an entry node. */
struct log_record {
    std::string node{};
    /*! @brief Unix time in milliseconds, by the clock of the node. */
    std::int64_t time_ms{};
    std::string event{};
    std::vector<std::pair<std::string, std::string>> fields{};

    /*! @brief Returns the value of a field, or an empty text. */
    [[nodiscard]] std::string_view find(std::string_view key) const;

    /*! @brief Returns a field as a number, or 0 when it is absent or no number. */
    [[nodiscard]] std::int64_t number(std::string_view key) const;
};

/**
 * @brief Reads one line: `time_ms=... event=... key=value ...`, with any text before it.
 * @param line The line.
 * @param source Name of the node, if the line has no field `node`.
 * @return The record, or nothing when the line has another form.
 */
[[nodiscard]] std::optional<log_record> parse_log_line(std::string_view line, std::string_view source);

/**
 * @brief Explains one request from the logs of several nodes.
 *
 * Lines of other requests are dropped while reading, so that memory grows with the decisions of the nodes only.
 */
class log_timeline {
public:
    explicit log_timeline(std::string request_id);

    /**
     * @brief Reads a log.
     * @param input Lines.
     * @param source Name of the node for lines that do not have one.
     */
    void read(std::istream& input, std::string_view source);

    /*! @brief Returns whether any line names the request. */
    [[nodiscard]] bool found() const noexcept {
        return !this->own.empty();
    }

    /**
     * @brief Returns the way of the request.
     * @return An object with `request_id`, `complete` (its last line was found), `outcome`, `cause` (a text), and
     * `timeline`: the lines that touch the request or explain it, in the order of time, each with `offset_ms` from its
     * arrival, `node`, `event`, and `fields`.
     */
    [[nodiscard]] nlohmann::json explain() const;

private:
    struct scope {
        std::int64_t arrival_ms{};
        std::int64_t end_ms{};
        std::string node{};
        std::string adapter{};
        bool loaded{false};
        std::set<std::string, std::less<>> upstreams{};
    };

    [[nodiscard]] const log_record* final_line() const;
    [[nodiscard]] scope scope_of() const;
    [[nodiscard]] static bool explains(const log_record& record, const scope& request);

    std::string id;
    std::vector<log_record> own{};
    std::vector<log_record> others{};
};

} // namespace lagoonsaddle::operate

#endif
