// Measures the evaluation of a rule set against trying each rule in turn. Prints one JSON line per size.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/rules/evaluator.hpp>
#include <lagoonsaddle/rules/validation.hpp>

namespace {

using namespace lagoonsaddle::rules;

constexpr std::size_t adapters = 3'000u;
constexpr std::size_t callers = 500u;
constexpr std::size_t requests = 20'000u;
constexpr std::uint64_t seed = 20'261'203u;

[[nodiscard]] rule_set make_rules(std::size_t count) {
    rule_set set{};
    for(std::size_t index{}; index < count; ++index) {
        rule one{};
        one.name = "rule-" + std::to_string(index);
        switch(index % 4u) {
        case 0u:
            one.when.adapter = {"adapter-" + std::to_string(index * 3u % adapters)};
            one.when.channel = {"stable"};
            one.then.resolve = {{.version = "1", .share = 9u}, {.version = "2", .share = 1u}};
            break;
        case 1u:
            one.when.caller = {"caller-" + std::to_string(index % callers)};
            one.when.priority = priority_range{.minimum = 0, .maximum = 3};
            one.then.rate_limit = rate_limit{.per_second = 10.0, .burst = 20.0};
            break;
        case 2u:
            one.when.adapter = {"adapter-" + std::to_string(index % adapters) + "*"};
            one.when.time = time_window{.days = 0x1fu, .start_minute = 480, .end_minute = 1'020};
            one.then.priority = 7;
            break;
        default:
            one.when.caller = {"caller-" + std::to_string(index % callers)};
            one.when.adapter = {"adapter-" + std::to_string(index * 7u % adapters)};
            one.then.action = action::refuse;
            one.then.reason = "maintenance";
            break;
        }
        set.rules.push_back(std::move(one));
    }
    return set;
}

[[nodiscard]] std::vector<request_attributes> make_requests() {
    std::mt19937_64 random{seed};
    std::vector<request_attributes> all(requests);
    for(auto& facts : all) {
        facts.request_id = std::to_string(random());
        facts.caller = "caller-" + std::to_string(random() % callers);
        facts.base_model = "base";
        facts.adapter = "adapter-" + std::to_string(random() % adapters);
        (random() % 2u == 0u ? facts.version : facts.channel) = "stable";
        facts.availability_zone = "kotte";
        facts.priority = static_cast<int>(random() % 10u);
        facts.time = std::chrono::milliseconds{static_cast<std::int64_t>(random() % 604'800'000u)};
    }
    return all;
}

[[nodiscard]] bool holds(const conditions& when, const request_attributes& facts) {
    const auto accepts = [](const pattern_list& patterns, const std::string& value) {
        return patterns.empty() || matches_any_pattern(patterns, value);
    };
    return accepts(when.caller, facts.caller) && accepts(when.adapter, facts.adapter) &&
           accepts(when.version, facts.version) && accepts(when.channel, facts.channel) &&
           (!when.priority || (facts.priority >= when.priority->minimum && facts.priority <= when.priority->maximum)) &&
           (!when.time || contains(*when.time, facts.time));
}

template<typename Function>
[[nodiscard]] double nanoseconds_per_request(const std::vector<request_attributes>& all, Function function) {
    const auto start = std::chrono::steady_clock::now();
    for(const auto& facts : all) {
        function(facts);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / static_cast<double>(all.size());
}

} // namespace

int main() {
    const auto all = make_requests();
    for(const std::size_t count : {10u, 100u, 1'000u, 4'000u}) {
        const auto set = make_rules(count);
        const auto build_start = std::chrono::steady_clock::now();
        const evaluator indexed{set};
        const std::chrono::duration<double, std::milli> build = std::chrono::steady_clock::now() - build_start;
        const auto check_start = std::chrono::steady_clock::now();
        const auto found = find_warnings(set).size();
        const std::chrono::duration<double, std::milli> check = std::chrono::steady_clock::now() - check_start;

        std::size_t indexed_matches{};
        const auto with_index =
            nanoseconds_per_request(all, [&indexed, &indexed_matches](const request_attributes& facts) {
                indexed_matches += indexed.evaluate(facts).rule_index.has_value() ? 1u : 0u;
            });
        std::size_t scanned_matches{};
        const auto with_scan = nanoseconds_per_request(all, [&set, &scanned_matches](const request_attributes& facts) {
            for(const auto& one : set.rules) {
                if(holds(one.when, facts)) {
                    ++scanned_matches;
                    break;
                }
            }
        });
        std::cout << nlohmann::json{{"rules", count}, {"requests", all.size()}, {"indexed_ns", with_index},
                         {"scan_ns", with_scan}, {"build_ms", build.count()}, {"warnings_ms", check.count()},
                         {"warnings", found}, {"matched", indexed_matches}, {"matched_by_scan", scanned_matches}}
                  << '\n';
    }
    return 0;
}
