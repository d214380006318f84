#ifndef LAGOONSADDLE_EDGE_CONFIGURATION_CONFIRMATION_HPP
#define LAGOONSADDLE_EDGE_CONFIGURATION_CONFIRMATION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `configuration_confirmation`. */
struct confirmation_options {
    /*! @brief Time after a configuration has removed a key in which the key may still be served; 0 for no bound. */
    std::chrono::milliseconds bound{0};
    /*! @brief Part of the bound that is not used, for clocks of nodes that run at different rates; a quarter of a short
     * bound at most. */
    std::chrono::milliseconds margin{250};
};

/*! @brief Knowledge that no configuration newer than a version had been stored at a moment. */
struct confirmed_read {
    /*! @brief Begin of an exact read of the store; for one by a peer, no later than that. */
    core::time_point moment{};
    std::uint64_t version{};
    /*! @brief Name of the node that has read the store. */
    std::string reader{};
};

/**
 * @brief The latest moment at which the configuration of this node was known to be the newest one.
 *
 * A configuration that removes a key was stored after this moment unless this node has it. Requests with a key may
 * therefore be served for the time of the bound after it. Not thread-safe.
 */
class configuration_confirmation {
public:
    explicit configuration_confirmation(confirmation_options options = {});

    /**
     * @brief Records an exact read, by this node or a peer.
     * @param read The read. One that shows a version newer than this node's counts once the node has that version.
     * @param own_version Version in force at this node; 0 when there is none.
     */
    void record(confirmed_read read, std::uint64_t own_version);

    /*! @brief Counts a read that waits for a version which this node has now. */
    void apply_version(std::uint64_t own_version);

    /*! @brief Returns whether requests with a key need a confirmation. */
    [[nodiscard]] bool is_required() const noexcept {
        return this->settings.bound.count() > 0;
    }

    /*! @brief Returns the latest read that counts, or nothing before the first one. */
    [[nodiscard]] const std::optional<confirmed_read>& latest() const noexcept {
        return this->confirmed;
    }

    /*! @brief Returns the time since the confirmed moment, or nothing when there is none. */
    [[nodiscard]] std::optional<core::duration> age(core::time_point now) const noexcept;

    /*! @brief Returns the age from which on a confirmation is too old. */
    [[nodiscard]] std::chrono::milliseconds age_limit() const noexcept;

    /*! @brief Returns whether requests with a key may be served: the confirmation is young enough, or not required. */
    [[nodiscard]] bool permits(core::time_point now) const noexcept;

private:
    confirmation_options settings;
    std::optional<confirmed_read> confirmed{};
    /*! @brief Latest read of a version that this node does not have yet. */
    std::optional<confirmed_read> pending{};
};

} // namespace lagoonsaddle::edge

#endif
