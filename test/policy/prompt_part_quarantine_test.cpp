#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/prompt_part_quarantine.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;
using part_list = std::vector<std::string>;

struct prompt_part_quarantine_fixture {
    /*! @brief Records three crashes one second apart on requests with the same parts. */
    void crash_three_times(const part_list& parts) {
        for(const std::uint64_t crash : {1u, 2u, 3u}) {
            this->node.record_crash(crash, parts, this->now);
            this->now += 1s;
        }
    }

    [[nodiscard]] bool refuses(const part_list& parts) const {
        return this->node.find_quarantined(parts, this->running, this->now).has_value();
    }

    std::chrono::milliseconds now{1'000s};
    std::vector<std::uint64_t> running{};
    prompt_part_quarantine node{};
};

} // namespace

// Guards against refusing sound requests that share all parts but one with those that crash upstreams.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "find_quarantined_parts_that_come_together_refuses_only_together") {
    this->crash_three_times({"first", "sound", "crashing"});
    CHECK(this->refuses({"first", "sound", "crashing"}));
    CHECK_FALSE(this->refuses({"first", "sound"}));
    CHECK_FALSE(this->refuses({"first"}));
    CHECK_FALSE(this->refuses({"other"}));
    this->node.record_answer(part_list{"first", "sound"});
    CHECK(this->refuses({"crashing"}));
    CHECK(this->refuses({"first", "other", "crashing"}));
    CHECK_FALSE(this->refuses({"first", "sound"}));
}

// Guards against blaming the parts of requests that were in flight beside the crashing one, and against missing the
// crashing part when its requests hold other parts each time.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "find_quarantined_bystanders_of_each_crash_are_served") {
    for(const std::uint64_t crash : {1u, 2u, 3u}) {
        const auto number = std::to_string(crash);
        this->node.record_crash(crash, part_list{"first", "a" + number, "crashing"}, this->now);
        this->node.record_crash(crash, part_list{"first", "b" + number}, this->now);
        this->node.record_answer(part_list{"first"});
        this->now += 1s;
    }
    CHECK(this->refuses({"first", "new", "crashing"}));
    CHECK_FALSE(this->refuses({"first", "b1"}));
    CHECK_FALSE(this->refuses({"first", "a3"}));
}

// Guards against a quarantine that outlasts a proof that the part is sound.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "record_answer_quarantined_part_clears_until_new_crashes") {
    this->crash_three_times({"part"});
    REQUIRE(this->refuses({"part"}));
    CHECK(this->node.record_answer(part_list{"part", "unknown"}).size() == 1u);
    CHECK_FALSE(this->refuses({"part"}));
    CHECK(this->node.record_answer(part_list{"part"}).empty());
    this->node.record_crash(4u, part_list{"part"}, this->now);
    CHECK_FALSE(this->refuses({"part"}));
}

// Guards against refusing all requests after upstreams ended together, and after connections to live ones were lost.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "find_quarantined_common_cause_or_live_upstreams_is_no_evidence") {
    for(const std::uint64_t crash : {11u, 12u, 13u, 14u}) {
        this->node.record_crash(crash, part_list{"power"}, this->now + std::chrono::milliseconds{crash});
    }
    CHECK_FALSE(this->refuses({"power"}));
    this->crash_three_times({"links"});
    this->running = {2u};
    CHECK(this->refuses({"links"}));
    this->now += 10s;
    CHECK_FALSE(this->refuses({"links"}));
}

// Guards against probes that crash an upstream again and again.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "find_quarantined_further_crashes_double_time_to_probe") {
    this->crash_three_times({"part"});
    auto last_crash = this->now - 1s;
    for(std::uint64_t crash = 4u; crash <= 7u; ++crash) {
        const auto found = this->node.find_quarantined(part_list{"part"}, this->running, this->now);
        REQUIRE(found.has_value());
        CHECK(found->probe_at - last_crash == 10s * (1u << (crash - 4u)));
        this->now = last_crash = found->probe_at;
        this->node.record_crash(crash, part_list{"part"}, this->now);
    }
}

// Guards against nodes that disagree, because they learned of the same crashes and answers in another order or twice.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "merge_any_order_gives_same_record") {
    for_each_seed([](random_source& random) -> std::string {
        std::chrono::milliseconds now{1'000s};
        std::vector<prompt_part_record> updates{};
        std::vector<prompt_part_quarantine> senders(3u);
        for(std::uint64_t crash = 1u; crash <= 6u; ++crash) {
            auto& sender = senders.at(random.below(senders.size()));
            const auto changed = random.below(4u) == 0u ? sender.record_answer(part_list{"part"})
                                                        : sender.record_crash(crash, part_list{"part"}, now);
            updates.insert(updates.end(), changed.begin(), changed.end());
            now += std::chrono::milliseconds{random.below(300u)};
        }
        prompt_part_quarantine in_order{};
        for(const auto& update : updates) {
            in_order.merge(update, now);
        }
        prompt_part_quarantine shuffled{};
        for(std::size_t merged{}; merged < 3u * updates.size(); ++merged) {
            shuffled.merge(updates.at(random.below(updates.size())), now);
        }
        for(const auto& update : updates) {
            shuffled.merge(update, now);
        }
        const auto* expected = in_order.find("part");
        return expected == nullptr || *expected == *shuffled.find("part") ? "" : "the records differ";
    });
}

// Guards against memory that grows with the parts of all requests ever lost.
TEST_CASE_FIXTURE(prompt_part_quarantine_fixture, "record_crash_many_parts_keeps_those_with_most_crashes") {
    prompt_part_quarantine bounded{{.records_max = 8u}};
    for(const std::uint64_t crash : {1u, 2u, 3u}) {
        bounded.record_crash(crash, part_list{"crashing"}, this->now);
        for(unsigned number{}; number < 20u; ++number) {
            bounded.record_crash(crash, part_list{std::to_string(crash * 100u + number)}, this->now);
        }
        this->now += 1s;
    }
    CHECK(bounded.record_count() == 8u);
    CHECK(bounded.find_quarantined(part_list{"crashing"}, this->running, this->now).has_value());
    CHECK(bounded.expire(this->now + 31min) == 8u);
}

} // namespace lagoonsaddle::policy
