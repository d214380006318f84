#ifndef LAGOONSADDLE_FLEET_INTERNAL_MEMBERSHIP_HPP
#define LAGOONSADDLE_FLEET_INTERNAL_MEMBERSHIP_HPP

#include <cstddef>
#include <string_view>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/fleet/member.hpp>

namespace lagoonsaddle::fleet::internal {

/*! @brief Buckets of a digest. With 950 members, a bucket holds about 15 records, which is two pages; the digest itself
 * takes half a datagram. */
inline constexpr std::size_t bucket_count{64u};

[[nodiscard]] inline std::size_t bucket_of(std::string_view key) noexcept {
    return core::hash(key) % bucket_count;
}

/*! @brief Number of received records and items after which the next sync starts early. */
inline constexpr std::size_t early_sync_record_count{8u};

/*! @brief Orders states of one incarnation: news of a higher one replaces that of a lower one. */
[[nodiscard]] inline int state_precedence(member_state state) noexcept {
    switch(state) {
    case member_state::alive:
    case member_state::leaving:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::dead:
        return 2;
    case member_state::left:
        return 3;
    }
    return 0;
}

} // namespace lagoonsaddle::fleet::internal

#endif
