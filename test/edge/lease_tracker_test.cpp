#include <doctest/doctest.h>

#include <lagoonsaddle/edge/lease_tracker.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t own_boot{11u};
constexpr std::uint64_t other_boot{22u};

struct lease_tracker_fixture {
    [[nodiscard]] static lease_options make_options(bool fenced) {
        lease_options options{};
        options.self = "n1";
        options.boot_id = own_boot;
        options.fenced = fenced;
        return options;
    }

    [[nodiscard]] static stored_lease held_by(std::string holder, std::uint64_t boot, std::uint64_t revision) {
        return {.lease = {.availability_zone = "z",
                    .holder = std::move(holder),
                    .holder_boot = boot,
                    .fencing_token = revision},
            .revision = revision};
    }

    /*! @brief Asks until the tracker wants to acquire the lease, for at most 10 s. Returns the time, or nothing. */
    [[nodiscard]] std::optional<core::duration> time_to_acquire(holder_status status, std::optional<std::size_t> rank) {
        for(auto passed = core::duration{}; passed < 10s; passed += 50ms) {
            if(this->tracker.next(status, rank, this->now + passed) == lease_action::acquire) {
                return passed;
            }
        }
        return std::nullopt;
    }

    lease_tracker tracker{make_options(true)};
    core::time_point now{100s};
};

} // namespace

// Guards against two nodes that order the loads of one upstream.
TEST_CASE_FIXTURE(lease_tracker_fixture, "next_live_holder_never_acquires") {
    this->tracker.observe(held_by("n2", other_boot, 5u), this->now);
    CHECK_FALSE(this->time_to_acquire(holder_status::live, 0u));
    CHECK_FALSE(this->time_to_acquire(holder_status::unknown, 0u));
    CHECK_FALSE(this->time_to_acquire(holder_status::ended, std::nullopt));
    CHECK_FALSE(this->tracker.may_order(this->now));
}

// Guards against all candidates that write at once.
TEST_CASE_FIXTURE(lease_tracker_fixture, "next_ended_holder_acquires_later_for_lower_rank") {
    this->tracker.observe(held_by("n2", other_boot, 5u), this->now);
    const auto first = this->time_to_acquire(holder_status::ended, 0u);
    REQUIRE(first.has_value());
    lease_tracker_fixture second{};
    second.tracker.observe(held_by("n2", other_boot, 5u), second.now);
    const auto later = second.time_to_acquire(holder_status::ended, 2u);
    REQUIRE(later.has_value());
    CHECK(*first < *later);
}

// Guards against holders that take turns within the lease time: a node that does not answer may be alive and order.
TEST_CASE_FIXTURE(lease_tracker_fixture, "acquired_unreachable_holder_waits_before_first_order") {
    this->tracker.observe(held_by("n2", other_boot, 5u), this->now);
    REQUIRE(this->time_to_acquire(holder_status::unreachable, 0u));
    auto next = this->tracker.successor("z");
    CHECK(next.lease.fencing_token == 6u);
    CHECK(next.revision == 5u);
    next.revision = 6u;
    this->tracker.acquired(next, this->now, this->now);
    this->tracker.read_succeeded(next, this->now + 2'900ms, this->now + 2'900ms);
    CHECK_FALSE(this->tracker.may_order(this->now + 2'950ms));
    CHECK(this->tracker.may_order(this->now + 3'000ms));
}

// Guards against seconds without loads after a planned stop or a restart.
TEST_CASE_FIXTURE(lease_tracker_fixture, "acquired_ended_holder_orders_at_once") {
    this->tracker.observe(held_by("n2", other_boot, 5u), this->now);
    REQUIRE(this->time_to_acquire(holder_status::ended, 0u));
    auto next = this->tracker.successor("z");
    next.revision = 6u;
    this->tracker.acquired(next, this->now, this->now);
    CHECK(this->tracker.may_order(this->now));
}

// Guards against orders of a process under the lease of an earlier one with the same name.
TEST_CASE_FIXTURE(lease_tracker_fixture, "observe_own_name_with_other_boot_acquires_anew") {
    this->tracker.observe(held_by("n1", other_boot, 5u), this->now);
    CHECK_FALSE(this->tracker.is_holder());
    CHECK(this->time_to_acquire(holder_status::ended, 0u));
}

// Guards against orders on old knowledge after a pause: the lease has run out by the clock that counts the pause.
TEST_CASE_FIXTURE(lease_tracker_fixture, "may_order_after_pause_waits_for_read") {
    const auto own = held_by("n1", own_boot, 5u);
    this->tracker.read_succeeded(own, this->now, this->now);
    CHECK(this->tracker.may_order(this->now + 1'900ms));
    CHECK_FALSE(this->tracker.may_order(this->now + 5s));
    CHECK(this->tracker.next(holder_status::live, 0u, this->now + 5s) == lease_action::read);
    this->tracker.read_succeeded(own, this->now + 5s, this->now + 5s);
    CHECK(this->tracker.may_order(this->now + 5s));
}

// Guards against an outage of the store that stops all loads although upstreams refuse old tokens, and against orders
// in an outage where they do not.
TEST_CASE_FIXTURE(lease_tracker_fixture, "may_order_store_unreachable_goes_on_only_with_tokens") {
    const auto own = held_by("n1", own_boot, 5u);
    lease_tracker unfenced{make_options(false)};
    for(auto* tracker : {&this->tracker, &unfenced}) {
        tracker->read_succeeded(own, this->now, this->now);
        tracker->read_failed(this->now + 3s);
    }
    CHECK(this->tracker.may_order(this->now + 4s));
    CHECK_FALSE(unfenced.may_order(this->now + 4s));
}

// Guards against further orders with a token that an upstream has refused.
TEST_CASE_FIXTURE(lease_tracker_fixture, "superseded_holder_stops_until_read") {
    const auto own = held_by("n1", own_boot, 5u);
    this->tracker.read_succeeded(own, this->now, this->now);
    this->tracker.superseded();
    CHECK_FALSE(this->tracker.may_order(this->now));
    this->tracker.read_succeeded(held_by("n2", other_boot, 6u), this->now, this->now);
    CHECK_FALSE(this->tracker.is_holder());
}

} // namespace lagoonsaddle::edge
