#include <algorithm>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/operate/explain_store.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::operate {

namespace {

using nlohmann::json;

[[nodiscard]] json encode(const evaluated_upstream& upstream) {
    json parts = json::object();
    for(const auto& [name, amount] : upstream.parts) {
        parts[name] = amount;
    }
    json encoded{{"upstream", upstream.upstream}, {"owner", upstream.owner}, {"cost", upstream.cost},
        {"parts", std::move(parts)}, {"chosen", upstream.chosen}};
    if(!upstream.excluded.empty()) {
        encoded["excluded"] = upstream.excluded;
    }
    return encoded;
}

} // namespace

nlohmann::json encode(const explain_record& record) {
    json upstreams = json::array();
    for(const auto& upstream : record.upstreams) {
        upstreams.push_back(encode(upstream));
    }
    json waits = json::array();
    for(const auto& wait : record.waits) {
        waits.push_back({{"name", wait.name}, {"duration_ms", wait.duration.count()}});
    }
    json attempts = json::array();
    for(const auto& attempt : record.attempts) {
        attempts.push_back(
            {{"upstream", attempt.upstream}, {"owner", attempt.owner}, {"verdict", core::to_string(attempt.verdict)},
                {"reason", attempt.reason}, {"duration_ms", attempt.duration.count()}});
    }
    json encoded = json::object();
    encoded["request_id"] = record.request_id;
    encoded["time_ms"] = record.time.count();
    encoded["node"] = record.node;
    encoded["caller"] = record.caller;
    encoded["target"] = record.target;
    encoded["rule"] = record.rule.empty() ? json(nullptr) : json(record.rule);
    encoded["decision"] = record.decision;
    encoded["upstreams"] = std::move(upstreams);
    encoded["waits"] = std::move(waits);
    encoded["load"] = nullptr;
    if(record.load) {
        encoded["load"] = {{"adapter_version", record.load->adapter_version}, {"upstream", record.load->upstream},
            {"duration_ms", record.load->duration.count()}, {"failure", record.load->failure}};
    }
    encoded["attempts"] = std::move(attempts);
    encoded["verdict"] = record.verdict ? json(core::to_string(*record.verdict)) : json("in_progress");
    encoded["status"] = record.status;
    encoded["message"] = record.message;
    return encoded;
}

explain_store::explain_store(explain_options options)
    : options{options},
      shard_capacity{std::max<std::size_t>(1u, (options.capacity + shard_count - 1u) / shard_count)} {}

void explain_store::put(explain_record record) {
    for(auto* text : {&record.request_id, &record.caller, &record.target, &record.decision, &record.message}) {
        text->resize(std::min(text->size(), rules::stored_text_bytes_max));
    }
    std::stable_partition(record.upstreams.begin(), record.upstreams.end(),
        [](const evaluated_upstream& upstream) { return upstream.chosen; });
    record.upstreams.resize(std::min(record.upstreams.size(), this->options.max_entries_per_record));
    record.waits.resize(std::min(record.waits.size(), this->options.max_entries_per_record));
    record.attempts.resize(std::min(record.attempts.size(), this->options.max_entries_per_record));

    auto& target_shard = this->shards[this->shard_index(record.request_id)];
    const std::lock_guard lock{target_shard.mutex};
    const auto [first, last] = target_shard.slots_by_id.equal_range(record.request_id);
    const auto in_progress = std::find_if(
        first, last, [&target_shard](const auto& slot) { return !target_shard.ring[slot.second].verdict.has_value(); });
    if(in_progress != last) {
        target_shard.ring[in_progress->second] = std::move(record);
        return;
    }
    if(target_shard.ring.size() < this->shard_capacity) {
        target_shard.slots_by_id.emplace(record.request_id, target_shard.ring.size());
        target_shard.ring.push_back(std::move(record));
        return;
    }
    const auto slot = target_shard.next_slot;
    target_shard.next_slot = (slot + 1u) % this->shard_capacity;
    const auto [replaced_first, replaced_last] =
        target_shard.slots_by_id.equal_range(target_shard.ring[slot].request_id);
    target_shard.slots_by_id.erase(
        std::find_if(replaced_first, replaced_last, [slot](const auto& entry) { return entry.second == slot; }));
    target_shard.slots_by_id.emplace(record.request_id, slot);
    target_shard.ring[slot] = std::move(record);
}

std::vector<explain_record> explain_store::find(const std::string& request_id) const {
    std::vector<explain_record> found{};
    const auto truncated_id = request_id.substr(0u, rules::stored_text_bytes_max);
    const auto& target_shard = this->shards[this->shard_index(truncated_id)];
    const std::lock_guard lock{target_shard.mutex};
    const auto [first, last] = target_shard.slots_by_id.equal_range(truncated_id);
    for(auto slot = first; slot != last; ++slot) {
        found.push_back(target_shard.ring[slot->second]);
    }
    std::stable_sort(found.begin(), found.end(),
        [](const explain_record& left, const explain_record& right) { return left.time > right.time; });
    return found;
}

std::size_t explain_store::size() const {
    std::size_t total{};
    for(const auto& shard : this->shards) {
        const std::lock_guard lock{shard.mutex};
        total += shard.ring.size();
    }
    return total;
}

std::size_t explain_store::shard_index(std::string_view request_id) const noexcept {
    return core::hash(request_id) % shard_count;
}

} // namespace lagoonsaddle::operate
