#include <algorithm>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/operate/explain_store.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::operate {

namespace {

using nlohmann::json;

[[nodiscard]] json encode(const weighed_upstream& one) {
    json parts = json::object();
    for(const auto& [name, amount] : one.parts) {
        parts[name] = amount;
    }
    json target{{"upstream", one.upstream}, {"owner", one.owner}, {"cost", one.cost}, {"parts", std::move(parts)},
        {"chosen", one.chosen}};
    if(!one.excluded.empty()) {
        target["excluded"] = one.excluded;
    }
    return target;
}

} // namespace

nlohmann::json encode(const explain_record& record) {
    json upstreams = json::array();
    for(const auto& one : record.upstreams) {
        upstreams.push_back(encode(one));
    }
    json waits = json::array();
    for(const auto& one : record.waits) {
        waits.push_back({{"name", one.name}, {"duration_ms", one.duration.count()}});
    }
    json attempts = json::array();
    for(const auto& one : record.attempts) {
        attempts.push_back({{"upstream", one.upstream}, {"owner", one.owner}, {"verdict", core::to_string(one.verdict)},
            {"reason", one.reason}, {"duration_ms", one.duration.count()}});
    }
    json target = json::object();
    target["request_id"] = record.request_id;
    target["time_ms"] = record.time.count();
    target["node"] = record.node;
    target["caller"] = record.caller;
    target["target"] = record.target;
    target["rule"] = record.rule.empty() ? json(nullptr) : json(record.rule);
    target["decision"] = record.decision;
    target["upstreams"] = std::move(upstreams);
    target["waits"] = std::move(waits);
    target["load"] = nullptr;
    if(record.load) {
        target["load"] = {{"adapter_version", record.load->adapter_version}, {"upstream", record.load->upstream},
            {"duration_ms", record.load->duration.count()}, {"failure", record.load->failure}};
    }
    target["attempts"] = std::move(attempts);
    target["verdict"] = record.verdict ? json(core::to_string(*record.verdict)) : json("in_progress");
    target["status"] = record.status;
    target["message"] = record.message;
    return target;
}

explain_store::explain_store(explain_options options)
    : options{options},
      shard_capacity{std::max<std::size_t>(1u, (options.capacity + shard_count - 1u) / shard_count)} {}

void explain_store::put(explain_record record) {
    for(auto* text : {&record.request_id, &record.caller, &record.target, &record.decision, &record.message}) {
        text->resize(std::min(text->size(), rules::stored_text_bytes_max));
    }
    std::stable_partition(
        record.upstreams.begin(), record.upstreams.end(), [](const weighed_upstream& one) { return one.chosen; });
    record.upstreams.resize(std::min(record.upstreams.size(), this->options.entries_max));
    record.waits.resize(std::min(record.waits.size(), this->options.entries_max));
    record.attempts.resize(std::min(record.attempts.size(), this->options.entries_max));

    auto& owner = this->shards[this->shard_of(record.request_id)];
    const std::lock_guard lock{owner.mutex};
    const auto [first, last] = owner.slots.equal_range(record.request_id);
    const auto open =
        std::find_if(first, last, [&owner](const auto& slot) { return !owner.ring[slot.second].verdict.has_value(); });
    if(open != last) {
        owner.ring[open->second] = std::move(record);
        return;
    }
    if(owner.ring.size() < this->shard_capacity) {
        owner.slots.emplace(record.request_id, owner.ring.size());
        owner.ring.push_back(std::move(record));
        return;
    }
    const auto slot = owner.next;
    owner.next = (slot + 1u) % this->shard_capacity;
    const auto [old_first, old_last] = owner.slots.equal_range(owner.ring[slot].request_id);
    owner.slots.erase(std::find_if(old_first, old_last, [slot](const auto& known) { return known.second == slot; }));
    owner.slots.emplace(record.request_id, slot);
    owner.ring[slot] = std::move(record);
}

std::vector<explain_record> explain_store::find(const std::string& request_id) const {
    std::vector<explain_record> found{};
    const auto kept_id = request_id.substr(0u, rules::stored_text_bytes_max);
    const auto& owner = this->shards[this->shard_of(kept_id)];
    const std::lock_guard lock{owner.mutex};
    const auto [first, last] = owner.slots.equal_range(kept_id);
    for(auto slot = first; slot != last; ++slot) {
        found.push_back(owner.ring[slot->second]);
    }
    std::stable_sort(found.begin(), found.end(),
        [](const explain_record& left, const explain_record& right) { return left.time > right.time; });
    return found;
}

std::size_t explain_store::size() const {
    std::size_t total{};
    for(const auto& one : this->shards) {
        const std::lock_guard lock{one.mutex};
        total += one.ring.size();
    }
    return total;
}

std::size_t explain_store::shard_of(std::string_view request_id) const noexcept {
    return core::hash(request_id) % shard_count;
}

} // namespace lagoonsaddle::operate
