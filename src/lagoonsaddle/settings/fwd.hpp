#ifndef LAGOONSADDLE_SETTINGS_FWD_HPP
#define LAGOONSADDLE_SETTINGS_FWD_HPP

namespace lagoonsaddle::settings {

struct key;
struct node_settings;
struct settings_error;
struct upstream_settings;

enum class upstream_kind;

} // namespace lagoonsaddle::settings

#endif
