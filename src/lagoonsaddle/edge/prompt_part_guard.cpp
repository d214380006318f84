#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/crash_verifier.hpp>
#include <lagoonsaddle/edge/prompt_part_guard.hpp>
#include <lagoonsaddle/policy/crash_quarantine.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::edge {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view item_kind{"prompt_part"};
/*! @brief Time for which membership items about a part are kept. */
constexpr milliseconds item_lifetime{policy::prompt_part_quarantine_options{}.retention};
/*! @brief Crashes from which a part is published: parts with one crash are many, and most are cleared at once. */
constexpr std::size_t published_crashes_min{2u};
/*! @brief Time between the turns of two nodes to probe a part, and between two probes of one node. */
constexpr milliseconds probe_turn{3'000};
/*! @brief Number of nodes that get a turn. */
constexpr std::size_t probe_turns{8u};
/*! @brief Shortest time to return for a caller whose request is refused. */
constexpr milliseconds retry_after_min{1'000};

/*! @brief Returns a number that grows with each change of a record. */
[[nodiscard]] std::uint64_t item_version(const policy::prompt_part_record& record) {
    constexpr std::uint64_t versions_per_ms{16u};
    const auto at = record.crashes.empty() ? record.cleared_until : record.crashes.back().at;
    const auto state = record.crashes.empty() ? versions_per_ms - 1u : record.crashes.size();
    return static_cast<std::uint64_t>(at.count()) * versions_per_ms + state;
}

[[nodiscard]] wire::prompt_part_state to_wire(const policy::prompt_part_record& record) {
    wire::prompt_part_state state{.part = record.part, .cleared_until_unix_ms = record.cleared_until.count()};
    for(const auto& crash : record.crashes) {
        state.crashes.push_back({.id = crash.id, .at_unix_ms = crash.at.count()});
    }
    return state;
}

[[nodiscard]] policy::prompt_part_record from_wire(wire::prompt_part_state state) {
    policy::prompt_part_record record{
        .part = std::move(state.part), .cleared_until = milliseconds{state.cleared_until_unix_ms}};
    for(const auto& crash : state.crashes) {
        record.crashes.push_back({.id = crash.id, .at = milliseconds{crash.at_unix_ms}});
    }
    return record;
}

} // namespace

prompt_part_guard::prompt_part_guard(prompt_part_guard_context uses, std::string name)
    : context{uses}, node_name{std::move(name)} {}

void prompt_part_guard::record_crash(const upstream_entry& upstream, std::span<const std::string> parts) {
    const auto crash = policy::crash_quarantine::crash_id(upstream.id, std::to_string(upstream.started_ms));
    const auto changed = this->quarantine.record_crash(crash, parts, core::unix_time());
    this->send(changed);
    for(const auto& record : changed) {
        this->log_record(record, "local");
        if(record.crashes.size() >= published_crashes_min) {
            this->publish(record);
        }
    }
}

void prompt_part_guard::record_answer(std::span<const std::string> parts) {
    std::vector<std::string> published{};
    std::ranges::copy_if(parts, std::back_inserter(published), [this](const std::string& part) {
        const auto* record = this->quarantine.find(part);
        return record != nullptr && record->crashes.size() >= published_crashes_min;
    });
    const auto changed = this->quarantine.record_answer(parts);
    this->send(changed);
    for(const auto& record : changed) {
        this->log_record(record, "local");
        if(std::ranges::find(published, record.part) != published.end()) {
            this->publish(record);
        }
    }
}

std::optional<policy::quarantined_prompt_part> prompt_part_guard::find_quarantined(
    std::span<const std::string> parts) const {
    if(!this->quarantine.is_suspect(parts)) {
        return std::nullopt;
    }
    return this->quarantine.find_quarantined(parts, crash_ids_of_running(this->context.upstreams), core::unix_time());
}

prompt_part_decision prompt_part_guard::review(std::span<const std::string> parts) const {
    const auto found = this->find_quarantined(parts);
    if(!found) {
        return {};
    }
    return {.admission = prompt_part_admission::refused,
        .part = found->part,
        .retry_after = std::max(found->probe_at - core::unix_time(), retry_after_min)};
}

prompt_part_decision prompt_part_guard::admit(std::span<const std::string> parts) {
    const auto found = this->find_quarantined(parts);
    if(found && this->may_probe(*found)) {
        return {.admission = prompt_part_admission::probe, .part = found->part};
    }
    return this->review(parts);
}

bool prompt_part_guard::may_probe(const policy::quarantined_prompt_part& quarantined) {
    const auto now = core::unix_time();
    if(now < quarantined.probe_at) {
        return false;
    }
    std::vector<std::string> nodes{this->node_name};
    for(const auto& member : *this->context.membership.members()) {
        if(member.is_live() && member.info.name != this->node_name) {
            nodes.push_back(member.info.name);
        }
    }
    const auto ranking = core::rendezvous_rank(quarantined.part, nodes);
    const auto turn = static_cast<std::size_t>(std::distance(ranking.begin(), std::ranges::find(ranking, 0u)));
    auto& last_probe = this->probes[quarantined.part];
    if(turn >= probe_turns || now < quarantined.probe_at + probe_turn * turn || now < last_probe + probe_turn) {
        return false;
    }
    last_probe = now;
    this->context.log.write(log_line{"prompt_part"}.add("part", quarantined.part).add("outcome", "probed"));
    return true;
}

void prompt_part_guard::merge(std::string_view packed) {
    auto update = wire::unpack<wire::prompt_part_update>(packed);
    if(!update) {
        this->context.log.write(log_line{"prompt_part"}.add("outcome", "malformed"));
        return;
    }
    for(auto& state : update->parts) {
        this->merge(from_wire(std::move(state)), "peer");
    }
}

void prompt_part_guard::apply(const fleet::gossip_item& item) {
    if(item.kind != item_kind) {
        return;
    }
    auto state = wire::unpack<wire::prompt_part_state>(item.value);
    if(!state) {
        this->context.log.write(log_line{"prompt_part"}.add("part", item.key).add("outcome", "malformed"));
        return;
    }
    this->merge(from_wire(std::move(*state)), "membership");
}

void prompt_part_guard::merge(const policy::prompt_part_record& record, std::string_view source) {
    if(this->quarantine.merge(record, core::unix_time())) {
        this->log_record(*this->quarantine.find(record.part), source);
    }
}

void prompt_part_guard::expire() {
    const auto now = core::unix_time();
    this->quarantine.expire(now);
    std::erase_if(this->probes, [now](const auto& entry) { return now - entry.second >= item_lifetime; });
}

void prompt_part_guard::send(std::span<const policy::prompt_part_record> records) {
    if(records.empty()) {
        return;
    }
    wire::prompt_part_update update{};
    std::ranges::transform(records, std::back_inserter(update.parts), to_wire);
    this->context.peers.broadcast(wire::message_type::prompt_part_update, wire::pack(update));
}

void prompt_part_guard::publish(const policy::prompt_part_record& record) {
    this->context.membership.publish(fleet::gossip_item{.kind = std::string{item_kind},
        .key = record.part,
        .version = item_version(record),
        .value = wire::pack(to_wire(record)),
        .lifetime = item_lifetime});
}

void prompt_part_guard::log_record(const policy::prompt_part_record& record, std::string_view source) {
    this->context.log.write(log_line{"prompt_part"}
                                .add("part", record.part)
                                .add("outcome", record.crashes.empty() ? "cleared" : "suspected")
                                .add("crashes", static_cast<std::int64_t>(record.crashes.size()))
                                .add("source", source));
}

} // namespace lagoonsaddle::edge
