#ifndef LAGOONSADDLE_OPERATE_EXPLAIN_LOGS_HPP
#define LAGOONSADDLE_OPERATE_EXPLAIN_LOGS_HPP

#include <iosfwd>
#include <span>
#include <string>

#include <lagoonsaddle/operate/command_line.hpp>

namespace lagoonsaddle::operate {

/**
 * @brief Prints the timeline and the outcome of a request from the logs of several nodes.
 * @param request_id Identifier of the request.
 * @param files One or more log files; `-` reads `input`. The file name without its extension is the node name of
 * lines that have no field `node`.
 * @param as_json Print JSON instead of text.
 * @param input Stream that is read for `-`.
 * @param out Stream for the result.
 * @param error Stream for errors.
 * @return `success`, `usage` when a file cannot be read, or `not_found` when no line has the request id.
 */
[[nodiscard]] exit_code explain_logs(const std::string& request_id, std::span<const std::string> files, bool as_json,
    std::istream& input, std::ostream& out, std::ostream& error);

} // namespace lagoonsaddle::operate

#endif
