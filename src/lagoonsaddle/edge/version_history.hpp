#ifndef LAGOONSADDLE_EDGE_VERSION_HISTORY_HPP
#define LAGOONSADDLE_EDGE_VERSION_HISTORY_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>

namespace lagoonsaddle::edge {

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

    /**
     * @brief Records an announcement. Of two announcements of one version, the earlier one counts.
     * @param version The version, above 0.
     * @param announced_at Time of the announcement.
     * @return True when the version is newer than all known ones.
     */
    bool announce(std::uint64_t version, core::time_point announced_at);

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

private:
    struct announcement {
        std::uint64_t version{};
        core::time_point at{};
    };

    /*! @brief In the order of versions and of times. A version without an entry of its own was announced no later than
     * the next newer one in the list. */
    std::vector<announcement> announcements{};
};

} // namespace lagoonsaddle::edge

#endif
