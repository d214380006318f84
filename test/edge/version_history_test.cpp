#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "../policy/seeds.hpp"
#include <lagoonsaddle/edge/version_history.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

constexpr auto grace = 2'500ms;

struct version_history_fixture {
    [[nodiscard]] std::uint64_t oldest_allowed_after(core::duration elapsed) const {
        return this->history.oldest_allowed(this->start + elapsed, grace);
    }

    core::time_point start{1h};
    version_history history{};
};

using announcement = version_history::announcement;

/*! @brief Returns the oldest allowed version as the rule defines it, from all announcements. */
[[nodiscard]] std::uint64_t expected_oldest(const std::vector<announcement>& announced, core::time_point now) {
    std::uint64_t oldest{};
    for(const auto& known : announced) {
        const bool is_over = !known.at || *known.at + grace <= now;
        oldest = is_over ? std::max(oldest, known.version) : oldest;
    }
    return oldest;
}

/*! @brief Announces versions in a random order and compares each answer with the rule. */
[[nodiscard]] std::string check_random_history(policy::random_source& random) {
    version_history history{};
    std::vector<announcement> announced{};
    const bool in_order = random.below(2u) == 0u;
    const auto count = 1u + random.below(2u * version_history::versions_max);
    const std::chrono::milliseconds pace_max{random.below(5'000u)};
    core::time_point at{1h};
    for(std::size_t index{}; index < count; ++index) {
        at += std::chrono::milliseconds{random.below(static_cast<std::size_t>(pace_max.count()) + 1u)};
        const auto version = in_order ? index + 1u : 1u + random.below(count);
        std::optional known_at{in_order ? at : at - std::chrono::milliseconds{random.below(5'000u)}};
        if(!in_order && random.below(10u) == 0u &&
            std::ranges::find(announced, version, &announcement::version) == announced.end()) {
            known_at.reset();
        }
        announced.push_back({.version = version, .at = known_at});
        static_cast<void>(history.announce(version, known_at));
        const auto now = at + std::chrono::milliseconds{random.below(6'000u)};
        const auto expected = expected_oldest(announced, now);
        const auto oldest = history.oldest_allowed(now, grace);
        const bool is_exact = announced.size() <= version_history::versions_max;
        if(oldest < expected || (is_exact && oldest != expected) || oldest > history.newest()) {
            return "allowed " + std::to_string(oldest) + " instead of " + std::to_string(expected) + " after " +
                   std::to_string(announced.size()) + " announcements";
        }
    }
    const auto newest = std::ranges::max(announced, std::ranges::less{}, &announcement::version).version;
    return history.newest() == newest ? "" : "newest is " + std::to_string(history.newest());
}

} // namespace

// Guards against a version that is allowed again, or for longer, since a further one was announced.
TEST_CASE_FIXTURE(version_history_fixture, "oldest_allowed_further_version_does_not_extend_time_of_older_ones") {
    CHECK(this->history.announce(1u, this->start));
    CHECK(this->history.announce(2u, this->start + 10s));
    CHECK(this->history.announce(3u, this->start + 12s));
    CHECK(this->oldest_allowed_after(1s) == 0u);
    CHECK(this->oldest_allowed_after(12s) == 1u);
    CHECK(this->oldest_allowed_after(12'499ms) == 1u);
    CHECK(this->oldest_allowed_after(12'500ms) == 2u);
    CHECK(this->oldest_allowed_after(14'500ms) == 3u);
    CHECK(this->history.newest() == 3u);
}

// Guards against a version that is taken for newer than it is when it is heard of late or twice.
TEST_CASE_FIXTURE(version_history_fixture, "announce_known_or_older_version_changes_nothing") {
    CHECK(this->history.announce(5u, this->start));
    CHECK_FALSE(this->history.announce(5u, this->start + 2s));
    CHECK_FALSE(this->history.announce(4u, this->start + 2s));
    CHECK_FALSE(this->history.announce(0u, this->start));
    CHECK(this->oldest_allowed_after(2'500ms) == 5u);
    CHECK(this->history.newest() == 5u);
}

// Guards against a version of which only a list tells that is granted a time from when it was read, and against a list
// that ends the time of a version whose announcement was seen.
TEST_CASE_FIXTURE(version_history_fixture, "announce_at_unknown_time_allows_no_older_version") {
    CHECK(this->history.announce(3u, std::nullopt));
    CHECK(this->oldest_allowed_after(0s) == 3u);
    CHECK(this->history.announce(4u, this->start));
    CHECK_FALSE(this->history.announce(4u, std::nullopt));
    CHECK(this->oldest_allowed_after(2'499ms) == 3u);
    CHECK(this->oldest_allowed_after(2'500ms) == 4u);
    CHECK_FALSE(this->history.announce(3u, this->start));
    CHECK(this->oldest_allowed_after(0s) == 3u);
}

// Guards against memory that grows with the versions of an adapter, and against older versions that are allowed for
// longer when they no longer are told apart.
TEST_CASE_FIXTURE(version_history_fixture, "announce_many_versions_at_once_allows_none_for_longer") {
    for(std::uint64_t version{1u}; version <= 1'000u; ++version) {
        CHECK(this->history.announce(version, this->start + std::chrono::milliseconds{version}));
    }
    CHECK(this->oldest_allowed_after(2'501ms) >= 1u);
    CHECK(this->oldest_allowed_after(3'499ms) >= 999u);
    CHECK(this->oldest_allowed_after(3'500ms) == 1'000u);
}

// Guards against any other order, pace and number of announcements that allows a version for longer than its time, or
// refuses one within it.
TEST_CASE("oldest_allowed_random_announcements_follow_the_rule") {
    policy::for_each_seed([](policy::random_source& random) { return check_random_history(random); });
}

} // namespace lagoonsaddle::edge
