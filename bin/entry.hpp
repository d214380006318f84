#ifndef LAGOONSADDLE_BIN_ENTRY_HPP
#define LAGOONSADDLE_BIN_ENTRY_HPP

#include <string>

#include <lagoonsaddle/edge/entry_settings.hpp>

namespace lagoonsaddle {

/**
 * @brief Runs an entry node of a platform until it is told to stop.
 * @param settings Settings of the node.
 * @param settings_file Path of the settings file, which is read again on SIGHUP.
 * @return Exit status.
 */
[[nodiscard]] int run_entry(edge::entry_settings settings, const std::string& settings_file);

} // namespace lagoonsaddle

#endif
