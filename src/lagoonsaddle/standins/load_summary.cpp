#include <algorithm>
#include <chrono>
#include <cmath>

#include <lagoonsaddle/standins/load_summary.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

namespace {

[[nodiscard]] double to_milliseconds(core::duration value) noexcept {
    return std::chrono::duration<double, std::milli>{value}.count();
}

[[nodiscard]] nlohmann::json percentiles(std::vector<double> samples) {
    nlohmann::json values = nlohmann::json::object();
    values["count"] = samples.size();
    std::sort(samples.begin(), samples.end());
    for(const auto& [name, share] : {std::pair{"p50", .5}, std::pair{"p95", .95}, std::pair{"p99", .99}}) {
        if(samples.empty()) {
            values[name] = nullptr;
            continue;
        }
        // Nearest-rank percentile: the smallest sample for which at least this share of all samples is not greater.
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
        values[name] = samples[std::max<std::size_t>(rank, 1u) - 1u];
    }
    return values;
}

[[nodiscard]] std::uint64_t counter_increase(
    const nlohmann::json& before, const nlohmann::json& after, const char* key) {
    const auto old = member_or<std::uint64_t>(before, key, 0u);
    const auto current = member_or<std::uint64_t>(after, key, 0u);
    return current > old ? current - old : 0u;
}

void append_lines(std::string& out, const std::string& prefix, const nlohmann::json& value) {
    if(!value.is_object()) {
        out += prefix + ": " + value.dump() + "\n";
        return;
    }
    for(const auto& [name, member] : value.items()) {
        std::string path{prefix};
        path += path.empty() ? "" : ".";
        path += name;
        append_lines(out, path, member);
    }
}

} // namespace

void load_summary::add(const planned_call& call, const call_outcome& outcome, const timing& times) {
    ++this->totals.requests;
    ++this->by_verdict[outcome.verdict.empty() ? "none" : outcome.verdict];
    ++this->by_reason[outcome.reason];
    this->totals.wrong_adapters += outcome.wrong_adapter ? 1u : 0u;
    this->totals.wrong_prompts += outcome.wrong_prompt ? 1u : 0u;
    this->totals.incomplete += outcome.incomplete ? 1u : 0u;
    this->totals.past_deadline += times.past_deadline ? 1u : 0u;
    this->totals.failures_without_verdict += (!outcome.ok && outcome.verdict.empty()) ? 1u : 0u;
    if(!call.key.empty()) {
        this->keys.insert(call.key);
    }
    if(outcome.verdict == core::to_string(core::verdict::not_run)) {
        this->reported_not_run.insert(call.key.empty() ? call.request_id : call.key);
    }
    if(outcome.ok) {
        this->total_ms.push_back(to_milliseconds(times.total));
        if(times.first_token) {
            this->first_token_ms.push_back(to_milliseconds(*times.first_token));
        }
    }
    if(outcome.load_stall_ms) {
        this->load_stall_ms.push_back(*outcome.load_stall_ms);
    }
}

void load_summary::add_unsent() noexcept {
    ++this->totals.not_sent;
}

void load_summary::add_service_counters(const nlohmann::json& counters) {
    this->has_service_counters = true;
    this->totals.counters_missing += counters.is_object() ? 0u : 1u;
    if(counters.contains("executions")) {
        for(const auto& [key, count] : counters["executions"].items()) {
            if(this->keys.contains(key)) {
                this->executions[key] += count.get<std::uint64_t>();
            }
        }
    }
}

void load_summary::add_engine_counters(const nlohmann::json& before, const nlohmann::json& after) {
    this->has_engine_counters = true;
    this->totals.counters_missing += (before.is_object() && after.is_object()) ? 0u : 1u;
    const auto steps = counter_increase(before, after, "steps");
    this->totals.steps += steps;
    this->totals.batch_capacity += steps * member_or<std::uint64_t>(after, "batch_limit", 0u);
    this->totals.batched_requests += counter_increase(before, after, "batched");
    this->totals.loads += counter_increase(before, after, "loads");
    this->totals.load_failures += counter_increase(before, after, "load_failures");
    this->totals.evicted_in_use += counter_increase(before, after, "evicted_in_use");
    if(after.contains("executions")) {
        for(const auto& [id, count] : after["executions"].items()) {
            this->totals.false_not_run += this->reported_not_run.contains(id) ? 1u : 0u;
        }
    }
}

nlohmann::json load_summary::to_json(core::duration elapsed) const {
    const std::chrono::duration<double> seconds{elapsed};
    nlohmann::json values = nlohmann::json::object();
    values["requests"] = this->totals.requests;
    values["not_sent"] = this->totals.not_sent;
    values["elapsed_s"] = seconds.count();
    values["requests_per_s"] = seconds.count() > 0. ? static_cast<double>(this->totals.requests) / seconds.count() : 0.;
    values["by_verdict"] = this->by_verdict;
    values["by_reason"] = this->by_reason;
    values["wrong_adapters"] = this->totals.wrong_adapters;
    values["wrong_prompts"] = this->totals.wrong_prompts;
    values["incomplete_answers"] = this->totals.incomplete;
    values["failures_without_verdict"] = this->totals.failures_without_verdict;
    values["past_deadline"] = this->totals.past_deadline;
    values["first_token_ms"] = percentiles(this->first_token_ms);
    values["total_ms"] = percentiles(this->total_ms);
    if(!this->load_stall_ms.empty()) {
        values["load_stall_ms"] = percentiles(this->load_stall_ms);
    }
    if(this->has_service_counters) {
        values["duplicates"] = this->duplicates();
    }
    if(this->has_service_counters || this->has_engine_counters) {
        values["false_not_run"] = this->false_not_run();
        values["counters_missing"] = this->totals.counters_missing;
    }
    if(this->has_engine_counters) {
        nlohmann::json engines = nlohmann::json::object();
        engines["loads"] = this->totals.loads;
        engines["load_failures"] = this->totals.load_failures;
        engines["evicted_in_use"] = this->totals.evicted_in_use;
        engines["steps"] = this->totals.steps;
        engines["batch_fill"] = this->totals.batch_capacity > 0u ? static_cast<double>(this->totals.batched_requests) /
                                                                       static_cast<double>(this->totals.batch_capacity)
                                                                 : 0.;
        values["engines"] = std::move(engines);
    }
    return values;
}

bool load_summary::has_violations() const {
    return this->totals.wrong_adapters + this->totals.wrong_prompts + this->totals.incomplete +
               this->totals.failures_without_verdict + this->totals.evicted_in_use + this->duplicates() +
               this->false_not_run() >
           0u;
}

std::uint64_t load_summary::duplicates() const {
    std::uint64_t sum{};
    for(const auto& [key, count] : this->executions) {
        sum += count - 1u;
    }
    return sum;
}

std::uint64_t load_summary::false_not_run() const {
    auto sum = this->totals.false_not_run;
    for(const auto& [key, count] : this->executions) {
        sum += this->reported_not_run.contains(key) ? 1u : 0u;
    }
    return sum;
}

std::string summary_text(const nlohmann::json& summary) {
    std::string out{};
    append_lines(out, {}, summary);
    return out;
}

} // namespace lagoonsaddle::standins
