#ifndef LAGOONSADDLE_STANDINS_OBJECT_TABLE_HPP
#define LAGOONSADDLE_STANDINS_OBJECT_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/error.hpp>

namespace lagoonsaddle::standins {

/*! @brief Maximum size of an object body, in bytes. */
inline constexpr std::size_t object_size_limit_bytes{1'000'000u};

/*! @brief Versioned objects of the object store. Not thread-safe. */
class object_table {
public:
    /*! @brief Body and version of an object; versions start at 1. */
    struct entry {
        std::string body{};
        std::uint64_t version{};
    };

    /**
     * @brief Looks up an object.
     * @param name Name of the object.
     * @return The object, valid until the next write, or null.
     */
    [[nodiscard]] const entry* find(std::string_view name) const;

    /**
     * @brief Writes an object.
     * @param name Name of the object.
     * @param body New body.
     * @param expected Version that the object must have, 0 if it must not exist; without a value the write is
     * unconditional.
     * @return The new version, `conflict` or `payload_too_large`.
     */
    core::result<std::uint64_t> put(
        const std::string& name, std::string body, const std::optional<std::uint64_t>& expected);

    /**
     * @brief Lists objects by name.
     * @param prefix Prefix of the names.
     * @return Names and versions, sorted by name.
     */
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> list(std::string_view prefix) const;

private:
    std::map<std::string, entry, std::less<>> objects{};
};

} // namespace lagoonsaddle::standins

#endif
