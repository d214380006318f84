#ifndef LAGOONSADDLE_HTTP_FIELDS_HPP
#define LAGOONSADDLE_HTTP_FIELDS_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonsaddle::http {

/*! @brief Header fields of a message. Names are compared without case. */
class fields {
public:
    using value_type = std::pair<std::string, std::string>;

    // A declared constructor keeps the class from being an aggregate: g++ 12 destroys aggregate temporaries of a
    // co_await expression twice.
    fields() = default;

    /**
     * @brief Looks up a field.
     * @param name Name of the field.
     * @return Its value, valid until the fields change, or nothing.
     */
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const noexcept;

    /**
     * @brief Sets a field and replaces an earlier value.
     * @param name Name of the field.
     * @param value Its value.
     */
    void set(std::string_view name, std::string_view value);

    /**
     * @brief Adds a line of a field. The lines of one field form one list (RFC 9110, 5.3).
     * @param name Name of the field.
     * @param value Value of the line.
     */
    void add(std::string_view name, std::string_view value);

    /*! @brief Returns whether `add` has joined several lines of a field. */
    [[nodiscard]] bool is_repeated(std::string_view name) const noexcept;

    [[nodiscard]] auto begin() const noexcept {
        return this->entries.begin();
    }

    [[nodiscard]] auto end() const noexcept {
        return this->entries.end();
    }

    [[nodiscard]] std::size_t size() const noexcept {
        return this->entries.size();
    }

private:
    std::vector<value_type> entries{};
    /*! @brief Names of fields with several lines. */
    std::vector<std::string> repeated{};
};

} // namespace lagoonsaddle::http

#endif
