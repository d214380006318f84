#include <doctest/doctest.h>

#include <lagoonsaddle/core/byte_budget.hpp>

namespace lagoonsaddle::core {

// Guards against memory that is reserved beyond the limit, or that stays reserved after its use.
TEST_CASE("byte_reservation_beyond_limit_is_refused_and_released_at_its_end") {
    byte_budget budget{100u};
    {
        byte_reservation first{&budget};
        byte_reservation second{&budget};
        CHECK(first.add(60u));
        CHECK(second.add(40u));
        CHECK_FALSE(first.add(1u));
        CHECK(budget.reserved() == 100u);
    }
    CHECK(budget.reserved() == 0u);
    byte_reservation released{&budget};
    CHECK(released.add(100u));
    released.release();
    CHECK(budget.reserved() == 0u);
    byte_reservation unlimited{nullptr};
    CHECK(unlimited.add(1'000u));
}

} // namespace lagoonsaddle::core
