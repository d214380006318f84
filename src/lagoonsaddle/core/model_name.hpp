#ifndef LAGOONSADDLE_CORE_MODEL_NAME_HPP
#define LAGOONSADDLE_CORE_MODEL_NAME_HPP

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::core {

/*! @brief An adapter at one version. */
struct adapter_version {
    std::string adapter{};
    std::string version{};

    friend bool operator==(const adapter_version&, const adapter_version&) = default;
    friend auto operator<=>(const adapter_version&, const adapter_version&) = default;
};

/**
 * @brief Formats an adapter version.
 * @param value An adapter version.
 * @return `adapter@version`.
 */
[[nodiscard]] std::string to_string(const adapter_version& value);

/**
 * @brief Parses `adapter@version`.
 * @param text Text to parse.
 * @return The adapter version, or nothing when the text has another form.
 */
[[nodiscard]] std::optional<adapter_version> parse_adapter_version(std::string_view text);

/*! @brief The `model` field of a request: `base/adapter@version` or `base/adapter:channel`. */
class model_name {
public:
    /**
     * @brief Parses the `model` field of a request.
     * @param text Text of the field.
     * @return The name, or `invalid_argument` with a message that says what is missing.
     */
    [[nodiscard]] static result<model_name> parse(std::string_view text);

    [[nodiscard]] const std::string& base_model() const noexcept {
        return this->base;
    }

    [[nodiscard]] const std::string& adapter() const noexcept {
        return this->name;
    }

    /*! @brief Returns the version, or nothing when a channel is named. */
    [[nodiscard]] const std::optional<std::string>& version() const noexcept {
        return this->fixed;
    }

    /*! @brief Returns the channel, or nothing when a version is named. */
    [[nodiscard]] const std::optional<std::string>& channel() const noexcept {
        return this->label;
    }

private:
    std::string base{};
    std::string name{};
    std::optional<std::string> fixed{};
    std::optional<std::string> label{};
};

} // namespace lagoonsaddle::core

/*! @brief Hash of an adapter version, for unordered containers. */
template<>
struct std::hash<lagoonsaddle::core::adapter_version> {
    [[nodiscard]] std::size_t operator()(const lagoonsaddle::core::adapter_version& value) const noexcept {
        const auto adapter = std::hash<std::string>{}(value.adapter);
        return adapter ^ (std::hash<std::string>{}(value.version) + 0x9e3779b97f4a7c15u + (adapter << 6u));
    }
};

#endif
