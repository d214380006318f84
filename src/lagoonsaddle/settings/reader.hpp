#ifndef LAGOONSADDLE_SETTINGS_READER_HPP
#define LAGOONSADDLE_SETTINGS_READER_HPP

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <lagoonsaddle/settings/node_settings.hpp>

namespace lagoonsaddle::settings {

/*! @brief An error in a settings file. */
struct settings_error {
    std::string file{};
    /*! @brief Path of the key, such as `upstreams[2].port`; empty when the error concerns the whole file. */
    std::string path{};
    /*! @brief What is wrong and which values are accepted. */
    std::string message{};

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/**
 * @brief Formats an error.
 * @param error The error.
 * @return `FILE: PATH: MESSAGE`.
 */
[[nodiscard]] std::string to_string(const settings_error& error);

/*! @brief Settings, or all errors of the file. */
using read_result = tl::expected<node_settings, std::vector<settings_error>>;

/**
 * @brief Parses and validates the text of a settings file.
 * @param text JSON with comments.
 * @param file Name of the file for error messages.
 * @return The settings, or all errors.
 */
[[nodiscard]] read_result parse(std::string_view text, const std::string& file);

/**
 * @brief Reads and validates a settings file.
 * @param path Path of the file.
 * @return The settings, or all errors.
 */
[[nodiscard]] read_result read_file(const std::string& path);

/*! @brief Result of `--check-settings FILE`. */
struct check_report {
    bool valid{false};
    /*! @brief One line per error, or one line that says that the file is valid. */
    std::string text{};
};

/**
 * @brief Validates a settings file.
 * @param path Path of the file.
 * @return Whether the file is valid, with the text to print.
 */
[[nodiscard]] check_report check_file(const std::string& path);

} // namespace lagoonsaddle::settings

#endif
