#ifndef LAGOONSADDLE_SETTINGS_KEYS_HPP
#define LAGOONSADDLE_SETTINGS_KEYS_HPP

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/settings/node_settings.hpp>

namespace lagoonsaddle::settings {

/*! @brief Documentation and constraints of one key of the settings file. */
struct key {
    /*! @brief Dotted path, such as `policy.queue_limit`; `upstreams[].name` for a member of a list element. */
    std::string path{};
    /*! @brief Type name for the generated page, such as `integer`. */
    std::string type{};
    std::string unit{};
    /*! @brief Default as JSON text; empty when the key is required. */
    std::string default_value{};
    /*! @brief Phrase that completes "accepted:" in error messages, such as `an integer from 1 to 256`. */
    std::string accepted_values{};
    std::string description{};
    bool required{false};
};

namespace internal {

/*! @brief A key and the function that stores its value in `Settings`. */
template<typename Settings>
struct key_binding {
    key definition{};
    /*! @brief Stores a value; returns false and stores nothing when the value is invalid. */
    std::function<bool(const nlohmann::json&, Settings&)> assign{};
};

/*! @brief Returns the keys of the file, without the members of list elements. */
[[nodiscard]] const std::vector<key_binding<node_settings>>& node_keys();

/*! @brief Returns the keys of an element of `upstreams`, with paths relative to the element. */
[[nodiscard]] const std::vector<key_binding<upstream_settings>>& upstream_keys();

} // namespace internal

/**
 * @brief Returns the definition of every key, in the order of docs/settings.md.
 * @return The definitions; paths of list members begin with `upstreams[].`.
 */
[[nodiscard]] std::vector<key> keys();

/**
 * @brief Generates docs/settings.md from the key definitions.
 * @return Page in Markdown.
 */
[[nodiscard]] std::string render_documentation();

} // namespace lagoonsaddle::settings

#endif
