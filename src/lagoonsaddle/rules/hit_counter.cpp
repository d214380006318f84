#include <algorithm>
#include <set>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/rules/hit_counter.hpp>

namespace lagoonsaddle::rules {

void hit_counter::record(const std::string& rule, const request_attributes& attributes) {
    auto truncated = attributes;
    truncate_names(truncated);
    auto target = format_target(truncated);
    rule_match match{.request_id = std::move(truncated.request_id),
        .caller = std::move(truncated.caller),
        .target = std::move(target),
        .time = attributes.time};
    auto& shard = this->shards[core::hash(attributes.request_id) % this->shards.size()];
    const std::lock_guard lock{shard.mutex};
    auto& recorded = shard.hits_by_rule[rule];
    ++recorded.count;
    recorded.latest_matches.push_front(std::move(match));
    if(recorded.latest_matches.size() > latest_matches_max) {
        recorded.latest_matches.pop_back();
    }
}

rule_hits hit_counter::hits(const std::string& rule) const {
    rule_hits total{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        if(const auto found = shard.hits_by_rule.find(rule); found != shard.hits_by_rule.end()) {
            total.count += found->second.count;
            total.latest_matches.insert(
                total.latest_matches.end(), found->second.latest_matches.begin(), found->second.latest_matches.end());
        }
    }
    std::stable_sort(total.latest_matches.begin(), total.latest_matches.end(),
        [](const rule_match& left, const rule_match& right) { return left.time > right.time; });
    total.latest_matches.resize(std::min(total.latest_matches.size(), latest_matches_max));
    return total;
}

void hit_counter::retain_rules(const rule_set& set) {
    std::set<std::string> names{};
    for(const auto& active_rule : set.rules) {
        names.insert(active_rule.name);
    }
    for(auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        std::erase_if(shard.hits_by_rule, [&names](const auto& entry) { return !names.contains(entry.first); });
    }
}

std::string format_target(const request_attributes& attributes) {
    if(!attributes.service.empty()) {
        return attributes.service;
    }
    std::string result = attributes.base_model + "/" + attributes.adapter;
    if(!attributes.version.empty()) {
        result.append("@").append(attributes.version);
    } else if(!attributes.channel.empty()) {
        result.append(":").append(attributes.channel);
    }
    return result;
}

} // namespace lagoonsaddle::rules
