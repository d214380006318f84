#include <array>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "seeds.hpp"
#include <lagoonsaddle/policy/crash_quarantine.hpp>

namespace lagoonsaddle::policy {

namespace {

using namespace std::chrono_literals;

struct crash_quarantine_fixture {
    static constexpr crash_quarantine_options options{.suspect_duration = 10s, .quarantine_duration = 60s};

    std::vector<quarantine_record> crash(
        crash_quarantine& node, std::uint64_t id, const std::string& digest, std::chrono::milliseconds now) {
        return node.record_crash(id, std::vector{digest}, now);
    }

    crash_quarantine first{options};
    crash_quarantine second{options};
};

} // namespace

// Guards against a request that crashes more than two upstreams, and against a quarantine without an end.
TEST_CASE_FIXTURE(crash_quarantine_fixture, "record_crash_twice_quarantines_until_expiry") {
    CHECK(this->first.classify("a", 0s) == quarantine_status::clear);
    CHECK(this->crash(this->first, 1u, "a", 0s).size() == 1u);
    CHECK(this->first.classify("a", 1s) == quarantine_status::suspect);
    this->crash(this->first, 2u, "a", 5s);
    CHECK(this->first.classify("a", 5s) == quarantine_status::quarantined);
    CHECK(this->first.classify("b", 5s) == quarantine_status::clear);
    CHECK(this->first.classify("a", 64s) == quarantine_status::quarantined);
    CHECK(this->first.classify("a", 65s) == quarantine_status::clear);
    CHECK(this->first.expire(65s) == 1u);
}

// Guards against a crash that counts twice because two nodes or two reports record it.
TEST_CASE_FIXTURE(crash_quarantine_fixture, "record_crash_same_id_counts_once") {
    const auto id = crash_quarantine::crash_id("engine", "boot");
    CHECK(id != crash_quarantine::crash_id("engine", "other"));
    CHECK(id != crash_quarantine::crash_id("other", "boot"));
    const auto record = this->crash(this->first, id, "a", 0s).at(0);
    CHECK(this->crash(this->first, id, "a", 9s).empty());
    this->crash(this->second, id, "a", 0s);
    CHECK_FALSE(this->second.merge(record, 1s));
    CHECK(this->second.classify("a", 1s) == quarantine_status::suspect);
    CHECK(this->first.classify("a", 10s) == quarantine_status::clear);
}

// Guards against a missing quarantine when each of two nodes records one crash.
TEST_CASE_FIXTURE(crash_quarantine_fixture, "merge_crashes_of_two_nodes_quarantines") {
    const auto record = this->crash(this->first, 1u, "a", 0s).at(0);
    this->crash(this->second, 2u, "a", 2s);
    CHECK(this->second.merge(record, 3s));
    CHECK(this->second.classify("a", 3s) == quarantine_status::quarantined);
    CHECK(this->second.classify("a", 62s - 1ms) == quarantine_status::quarantined);
    CHECK(this->second.classify("a", 62s) == quarantine_status::clear);
}

// Guards against a record that never expires because nodes keep exchanging it.
TEST_CASE_FIXTURE(crash_quarantine_fixture, "merge_expired_record_is_ignored") {
    const auto record = this->crash(this->first, 1u, "a", 0s).at(0);
    CHECK_FALSE(this->second.merge(record, 10s));
    CHECK(this->second.records(10s).empty());
    CHECK(this->first.records(10s).empty());
    CHECK(this->first.records(9s).size() == 1u);
}

// Guards against a harmless request that stays a suspect, or is quarantined because of one later crash caused by
// another request.
TEST_CASE_FIXTURE(crash_quarantine_fixture, "record_isolated_run_clears_suspect_on_all_nodes") {
    const auto suspect = this->crash(this->first, 1u, "a", 0s).at(0);
    this->second.merge(suspect, 0s);
    const auto cleared = this->first.record_isolated_run("a", 1s);
    REQUIRE(cleared);
    CHECK(this->first.classify("a", 1s) == quarantine_status::clear);
    this->second.merge(*cleared, 1s);
    this->second.merge(suspect, 1s);
    CHECK(this->second.classify("a", 1s) == quarantine_status::clear);
    this->crash(this->second, 2u, "a", 2s);
    CHECK(this->second.classify("a", 2s) == quarantine_status::suspect);
    CHECK_FALSE(this->first.record_isolated_run("b", 1s));
}

// Guards against an isolated run that ends late and lifts a quarantine, and an operator who cannot lift it.
TEST_CASE_FIXTURE(crash_quarantine_fixture, "lift_quarantine_ends_quarantine_and_isolated_run_does_not") {
    this->crash(this->first, 1u, "a", 0s);
    this->crash(this->first, 2u, "a", 0s);
    CHECK_FALSE(this->first.record_isolated_run("a", 1s));
    CHECK(this->first.classify("a", 1s) == quarantine_status::quarantined);
    CHECK(this->first.lift_quarantine("a", 1s));
    CHECK(this->first.classify("a", 1s) == quarantine_status::clear);
    CHECK_FALSE(this->first.lift_quarantine("b", 1s));
}

// Guards against an unbounded number of records, and quarantined records that are dropped before suspect ones.
TEST_CASE("record_crash_more_digests_than_limit_drops_suspects_first") {
    crash_quarantine node{{.records_max = 16u}};
    node.record_crash(1u, std::vector<std::string>{"bad"}, 0s);
    node.record_crash(2u, std::vector<std::string>{"bad"}, 0s);
    for(std::uint64_t id{10u}; id < 200u; ++id) {
        node.record_crash(id, std::vector<std::string>{std::to_string(id)}, 1s);
    }
    CHECK(node.records(1s).size() <= 16u);
    CHECK(node.classify("bad", 1s) == quarantine_status::quarantined);
    CHECK(node.classify("199", 1s) == quarantine_status::suspect);
}

// Guards against nodes whose records differ after all messages were exchanged in any order, repeatedly or late.
TEST_CASE("crash_quarantine_random_exchanges_converge") {
    for_each_seed([](random_source& random) -> std::string {
        constexpr std::size_t node_count = 3u;
        std::vector<crash_quarantine> nodes(
            node_count, crash_quarantine{{.suspect_duration = 1s, .quarantine_duration = 5s}});
        std::vector<quarantine_record> messages{};
        std::array<std::set<std::uint64_t>, 3u> crashes{};
        auto cleared = false;
        std::chrono::milliseconds now{};
        for(int step{}; step < 30; ++step) {
            now += std::chrono::milliseconds{random.below(30u)};
            auto& node = nodes[random.below(node_count)];
            const auto index = random.below(crashes.size());
            switch(random.below(4u)) {
            case 0u: {
                const std::uint64_t id = 1u + random.below(6u);
                for(const auto& record : node.record_crash(id, std::vector{std::to_string(index)}, now)) {
                    messages.push_back(record);
                }
                crashes[index].insert(id);
                break;
            }
            case 1u:
                if(const auto record = node.record_isolated_run(std::to_string(index), now)) {
                    messages.push_back(*record);
                    cleared = true;
                }
                break;
            default:
                if(!messages.empty()) {
                    node.merge(messages[random.below(messages.size())], now);
                }
                break;
            }
        }
        for(std::size_t receiver{}; receiver < node_count; ++receiver) {
            const auto offset = random.below(messages.size() + 1u);
            for(std::size_t index{}; index < messages.size(); ++index) {
                nodes[receiver].merge(messages[(index + offset) % messages.size()], now);
            }
        }
        for(std::size_t receiver{1u}; receiver < node_count; ++receiver) {
            if(nodes[receiver].records(now) != nodes[0].records(now)) {
                return "records differ";
            }
        }
        for(std::size_t index{}; index < crashes.size(); ++index) {
            const auto status = nodes[0].classify(std::to_string(index), now);
            if(!cleared && crashes[index].size() >= 2u && status != quarantine_status::quarantined) {
                return "two crashes without quarantine";
            }
            if(crashes[index].size() < 2u && status == quarantine_status::quarantined) {
                return "quarantine after one crash";
            }
        }
        return "";
    });
}

} // namespace lagoonsaddle::policy
