#ifndef LAGOONSADDLE_PLATFORM_CALL_COUNTS_HPP
#define LAGOONSADDLE_PLATFORM_CALL_COUNTS_HPP

#include <cstdint>

namespace lagoonsaddle::platform {

/*! @brief Call counts of an object store since its construction. `reads` to `lists` count the calls that were sent. */
struct call_counts {
    std::uint64_t reads{};
    std::uint64_t writes{};
    std::uint64_t watches{};
    std::uint64_t lists{};
    /*! @brief Reads and watches that returned an unchanged object. */
    std::uint64_t unchanged{};
    /*! @brief Writes that failed because the object had another version. */
    std::uint64_t conflicts{};
    /*! @brief Calls that failed for a reason other than a conflict or a missing object. */
    std::uint64_t failures{};
    /*! @brief Calls that the circuit breaker rejected without sending them. */
    std::uint64_t rejected{};

    friend bool operator==(const call_counts&, const call_counts&) = default;
};

} // namespace lagoonsaddle::platform

#endif
