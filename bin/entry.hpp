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

} // namespace lagoonsaddle

#endif
