#ifndef LAGOONSADDLE_BIN_ENTRY_HPP
#define LAGOONSADDLE_BIN_ENTRY_HPP

#include <string>

#include <lagoonsaddle/core/signal_hold.hpp>
#include <lagoonsaddle/edge/entry_settings.hpp>

namespace lagoonsaddle {

/**
 * @brief Runs an entry node until a stop signal; does not return after a successful start, but ends the process.
 * @param settings Settings of the node.
 * @param settings_file Path of the settings file, which is checked again on SIGHUP.
 * @param held_signals Signals that are pending; released once their handlers are registered.
 * @return Exit status when the node cannot start.
 */
[[nodiscard]] int run_entry_node(
    edge::entry_settings settings, const std::string& settings_file, core::signal_hold& held_signals);

/**
 * @brief Reviews a configuration of the platform and writes what is found to the standard output, one finding a line.
 * @param file File with the JSON document of the configuration.
 * @param against File with the configuration in force; empty to leave it out.
 * @return Exit status: 0 without errors, 2 otherwise.
 */
[[nodiscard]] int check_configuration_file(const std::string& file, const std::string& against);

} // namespace lagoonsaddle

#endif
