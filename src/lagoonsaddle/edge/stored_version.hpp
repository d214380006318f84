#ifndef LAGOONSADDLE_EDGE_STORED_VERSION_HPP
#define LAGOONSADDLE_EDGE_STORED_VERSION_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/types.hpp>

namespace lagoonsaddle::edge {

/**
 * @brief Newest version of the configuration that the records of the store have shown. Not thread-safe.
 *
 * A configuration that is refused does not come into force, but its author may have meant it to remove keys. It shows
 * the version in force when it holds all keys of that one, and no version otherwise; neither does a record of which
 * nothing can be read.
 */
class stored_version {
public:
    /**
     * @brief Prepares for the records of a list, which may hold no configuration.
     * @param complete Whether the list holds all records, so that one that is missing does not exist.
     */
    void begin_list(bool complete) noexcept;

    /**
     * @brief Applies a record, after the configuration in it has come into force or was refused.
     * @param change The record.
     * @param in_force Configuration in force; null when there is none.
     */
    void apply(const record_change& change, const configuration* in_force);

    /*! @brief Returns the version; 0 when no configuration is stored, nothing when it cannot be told. */
    [[nodiscard]] std::optional<std::uint64_t> shown() const noexcept {
        return this->version;
    }

private:
    std::optional<std::uint64_t> version{};
    /*! @brief Name of the record that holds the configuration; others of its kind are ignored. */
    std::string record{};
};

} // namespace lagoonsaddle::edge

#endif
