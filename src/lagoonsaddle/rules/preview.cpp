#include <utility>

#include <lagoonsaddle/rules/codec.hpp>
#include <lagoonsaddle/rules/hit_counter.hpp>
#include <lagoonsaddle/rules/preview.hpp>

namespace lagoonsaddle::rules {

namespace {

using nlohmann::json;

/*! @brief Returns name and value of each field of a decision that affects the caller or the placement. */
[[nodiscard]] std::vector<std::pair<std::string, std::string>> comparable_fields(
    const decision& evaluated, bool compare_outcome) {
    std::string verdict = "allow";
    if(!evaluated.allowed) {
        verdict = "refuse (" + evaluated.reason + ")";
    }
    std::vector<std::pair<std::string, std::string>> fields{{"action", verdict},
        {"retry_after_ms", evaluated.retry_after ? std::to_string(evaluated.retry_after->count()) : "none"}};
    if(!compare_outcome) {
        return fields;
    }
    const auto outcome_json = (evaluated.then == nullptr) ? json::object() : encode(*evaluated.then);
    fields.emplace_back("priority", std::to_string(evaluated.priority));
    fields.emplace_back("version", evaluated.version);
    for(const auto* name : {"rate_limit", "prefer", "avoid"}) {
        fields.emplace_back(name, outcome_json.contains(name) ? outcome_json[name].dump() : "none");
    }
    return fields;
}

[[nodiscard]] std::string rule_name(const evaluator& rule_evaluator, const decision& evaluated) {
    return evaluated.rule_index ? rule_evaluator.source_rules().rules[*evaluated.rule_index].name : std::string{};
}

} // namespace

preview_report preview(
    const evaluator& current, const evaluator& proposed, std::span<const request_attributes> requests) {
    preview_report report{.requests = requests.size()};
    report.hits.resize(proposed.source_rules().rules.size());
    for(const auto& attributes : requests) {
        const auto before = current.evaluate(attributes);
        const auto after = proposed.evaluate(attributes);
        if(after.rule_index) {
            ++report.hits[*after.rule_index];
        }
        // The other fields of an outcome have no effect on a refused request.
        const bool compare_outcome = before.allowed && after.allowed;
        const auto old_fields = comparable_fields(before, compare_outcome);
        const auto new_fields = comparable_fields(after, compare_outcome);
        std::vector<std::string> changes{};
        for(std::size_t index{}; index < old_fields.size(); ++index) {
            if(old_fields[index].second != new_fields[index].second) {
                changes.push_back(
                    old_fields[index].first + ": " + old_fields[index].second + " -> " + new_fields[index].second);
            }
        }
        if(changes.empty()) {
            continue;
        }
        ++report.changed;
        report.newly_refused += (before.allowed && !after.allowed) ? 1u : 0u;
        report.newly_allowed += (!before.allowed && after.allowed) ? 1u : 0u;
        if(report.differences.size() < preview_differences_max) {
            report.differences.push_back({.request_id = attributes.request_id,
                .caller = attributes.caller,
                .target = format_target(attributes),
                .rule_before = rule_name(current, before),
                .rule_after = rule_name(proposed, after),
                .changes = std::move(changes)});
        }
    }
    return report;
}

nlohmann::json encode(const preview_report& report) {
    json differences = json::array();
    for(const auto& difference : report.differences) {
        differences.push_back({{"request_id", difference.request_id}, {"caller", difference.caller},
            {"target", difference.target}, {"rule_before", difference.rule_before},
            {"rule_after", difference.rule_after}, {"changes", difference.changes}});
    }
    return {{"requests", report.requests}, {"changed", report.changed}, {"newly_refused", report.newly_refused},
        {"newly_allowed", report.newly_allowed}, {"differences", std::move(differences)}, {"hits", report.hits}};
}

} // namespace lagoonsaddle::rules
