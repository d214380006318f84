#ifndef LAGOONSADDLE_EDGE_VERSION_HISTORY_HPP
#define LAGOONSADDLE_EDGE_VERSION_HISTORY_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

/*! @brief Time for which an older version of an adapter may still be chosen after a newer one was announced. */
inline constexpr std::chrono::milliseconds replaced_version_grace{2'500};

/**
 * @brief Announced versions of one adapter, each with the time of its announcement.
 *
 * Each version replaces all older ones, whose time ends a fixed span after its own announcement, whatever is announced
 * since. Holds few versions: when there are more, the oldest ones are joined, so that their time ends earlier, never
 * later. Not thread-safe.
 */
class version_history {
public:
    /*! @brief Largest number of versions that are told apart. */
    static constexpr std::size_t versions_max{16u};

    /*! @brief Announcement of a version. */
    struct announcement {
        std::uint64_t version{};
        /*! @brief Its time; nothing when that is not known, so that it may be any earlier time. */
        std::optional<core::time_point> at{};
    };

    /**
     * @brief Records an announcement. Of two announcements of one version, the earlier one counts.
     * @param version The version, above 0.
     * @param announced_at Time of the announcement. Nothing when it is not known: it then counts as long ago, unless
     * the history has a time for the version.
     * @return True when the version is newer than all known ones.
     */
    bool announce(std::uint64_t version, std::optional<core::time_point> announced_at);

    /*! @brief Returns the newest version; 0 when none was announced. */
    [[nodiscard]] std::uint64_t newest() const noexcept;

    /**
     * @brief Returns the oldest version that may be used.
     * @param now Current time.
     * @param grace Time for which a version may be used after a newer one was announced.
     * @return The newest version whose announcement is as old as the grace; 0 when there is none, so that any may be
     * used.
     */
    [[nodiscard]] std::uint64_t oldest_allowed(core::time_point now, core::duration grace) const noexcept;

    /*! @brief Returns when a version was announced; nothing when that is not known. */
    [[nodiscard]] std::optional<core::time_point> time_of(std::uint64_t version) const;

    /*! @brief Returns the announcements in the order of versions and of times. */
    [[nodiscard]] std::span<const announcement> all() const noexcept {
        return this->announcements;
    }

private:
    [[nodiscard]] bool is_covered(std::uint64_t version, std::optional<core::time_point> announced_at) const;

    std::vector<announcement> announcements{};
};

} // namespace lagoonsaddle::edge

#endif
