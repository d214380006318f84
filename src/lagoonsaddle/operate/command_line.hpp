#ifndef LAGOONSADDLE_OPERATE_COMMAND_LINE_HPP
#define LAGOONSADDLE_OPERATE_COMMAND_LINE_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonsaddle::operate {

/*! @brief Exit codes of the command line, for scripts. */
enum class exit_code {
    success = 0,
    /*! @brief The node answered with an error that no other code covers. */
    failed = 1,
    /*! @brief Wrong arguments or an unreadable file. */
    usage = 2,
    /*! @brief No answer from the node. */
    unreachable = 3,
    unauthorized = 4,
    /*! @brief Another operator saved a newer version of the rules. */
    conflict = 5,
    not_found = 6,
    invalid_rules = 7
};

/*! @brief The operator command `lagoonsaddle`, a client of the operator interface of one node. */
class command_line {
public:
    /**
     * @brief Constructs a command line.
     * @param out Stream for results; must outlive the command line.
     * @param error Stream for errors and warnings; must outlive the command line.
     */
    command_line(std::ostream& out, std::ostream& error) noexcept;

    /**
     * @brief Runs one command.
     * @param arguments Arguments without the name of the program.
     * @return The exit code of the process.
     */
    [[nodiscard]] exit_code run(const std::vector<std::string>& arguments);

private:
    std::ostream& out;
    std::ostream& error;
};

} // namespace lagoonsaddle::operate

#endif
