#ifndef LAGOONSADDLE_OPERATE_EXPLAIN_LOGS_HPP
#define LAGOONSADDLE_OPERATE_EXPLAIN_LOGS_HPP

#include <iosfwd>
#include <span>
#include <string>

#include <lagoonsaddle/operate/command_line.hpp>

namespace lagoonsaddle::operate {

/**
 * @brief Prints the way of a request from the logs of several nodes.
 * @param request_id Identifier of the request.
 * @param files Log files, one or more; `-` is `input`. The name of a file, without its extension, stands for the node
 * where lines do not name one.
 * @param as_json Print JSON instead of text.
 * @param input Takes the place of `-`.
 * @param out Takes the result.
 * @param error Takes errors.
 * @return `success`, `usage` when a file cannot be read, or `not_found` when no line names the request.
 */
[[nodiscard]] exit_code explain_logs(const std::string& request_id, std::span<const std::string> files, bool as_json,
    std::istream& input, std::ostream& out, std::ostream& error);

} // namespace lagoonsaddle::operate

#endif
