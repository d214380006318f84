#include <algorithm>
#include <tuple>
#include <utility>

#include <lagoonsaddle/policy/prompt_part_quarantine.hpp>

namespace lagoonsaddle::policy {

namespace {

using std::chrono::milliseconds;

/*! @brief Crashes kept per part; a packed record has to fit into a gossip item. */
constexpr std::size_t crashes_max{8u};

[[nodiscard]] bool is_earlier(const prompt_part_crash& left, const prompt_part_crash& right) noexcept {
    return std::tie(left.at, left.id) < std::tie(right.at, right.id);
}

[[nodiscard]] bool holds_crash(std::span<const prompt_part_crash> crashes, std::uint64_t id) noexcept {
    return std::ranges::find(crashes, id, &prompt_part_crash::id) != crashes.end();
}

/*! @brief Adds a crash, or takes its earlier time. */
void add_crash(std::vector<prompt_part_crash>& crashes, const prompt_part_crash& added) {
    const auto known = std::ranges::find(crashes, added.id, &prompt_part_crash::id);
    if(known == crashes.end()) {
        crashes.push_back(added);
    } else {
        known->at = std::min(known->at, added.at);
    }
}

/*! @brief Restores the order of the crashes and drops those that are cleared or too many. */
void normalize(prompt_part_record& record) {
    std::erase_if(record.crashes, [&record](const auto& crash) { return crash.at <= record.cleared_until; });
    std::ranges::sort(record.crashes, is_earlier);
    if(record.crashes.size() > crashes_max) {
        const auto surplus = static_cast<std::ptrdiff_t>(record.crashes.size() - crashes_max);
        record.crashes.erase(record.crashes.begin(), record.crashes.begin() + surplus);
    }
}

/*! @brief Returns the time of the last event of a record. */
[[nodiscard]] milliseconds last_event(const prompt_part_record& record) noexcept {
    return record.crashes.empty() ? record.cleared_until : std::max(record.crashes.back().at, record.cleared_until);
}

} // namespace

prompt_part_quarantine::prompt_part_quarantine(prompt_part_quarantine_options options) : options{options} {}

std::vector<prompt_part_record> prompt_part_quarantine::record_crash(
    std::uint64_t crash, std::span<const std::string> parts, milliseconds now) {
    std::vector<prompt_part_record> changed{};
    for(const auto& part : parts) {
        auto& record = this->find_or_add(part, now);
        if(holds_crash(record.crashes, crash)) {
            continue;
        }
        // The clock of the node that cleared the part may be ahead.
        const auto at = std::max(now, record.cleared_until + milliseconds{1});
        add_crash(record.crashes, prompt_part_crash{.id = crash, .at = at});
        normalize(record);
        changed.push_back(record);
    }
    return changed;
}

std::vector<prompt_part_record> prompt_part_quarantine::record_answer(std::span<const std::string> parts) {
    std::vector<prompt_part_record> changed{};
    for(const auto& part : parts) {
        const auto found = this->records.find(part);
        if(found == this->records.end() || found->second.crashes.empty()) {
            continue;
        }
        found->second.cleared_until = last_event(found->second);
        normalize(found->second);
        changed.push_back(found->second);
    }
    return changed;
}

bool prompt_part_quarantine::merge(const prompt_part_record& record, milliseconds now) {
    if(this->expiry(record) <= now) {
        return false;
    }
    auto& local = this->find_or_add(record.part, now);
    const auto before = local;
    for(const auto& crash : record.crashes) {
        add_crash(local.crashes, crash);
    }
    local.cleared_until = std::max(local.cleared_until, record.cleared_until);
    normalize(local);
    return local != before;
}

std::optional<quarantined_prompt_part> prompt_part_quarantine::find_quarantined(
    std::span<const std::string> parts, std::span<const std::uint64_t> running, milliseconds now) const {
    std::optional<quarantined_prompt_part> result{};
    for(const auto& part : parts) {
        const auto* record = this->find(part);
        if(record == nullptr || record->crashes.size() < this->options.crashes_until_quarantine) {
            continue;
        }
        const auto crashes = this->confirmed_crashes(*record, running, now);
        const auto count = this->separate_crash_count(crashes);
        if(count < this->options.crashes_until_quarantine || this->is_explained_without(parts, crashes)) {
            continue;
        }
        const auto further = count - this->options.crashes_until_quarantine;
        const auto probe_at = crashes.back().at + this->options.probe_delay * (1u << further);
        if(!result || probe_at > result->probe_at) {
            result = quarantined_prompt_part{.part = part, .crashes = count, .probe_at = probe_at};
        }
    }
    return result;
}

bool prompt_part_quarantine::is_suspect(std::span<const std::string> parts) const {
    return std::ranges::any_of(parts, [this](const std::string& part) {
        const auto* record = this->find(part);
        return record != nullptr && record->crashes.size() >= this->options.crashes_until_quarantine;
    });
}

const prompt_part_record* prompt_part_quarantine::find(const std::string& part) const {
    const auto found = this->records.find(part);
    return found == this->records.end() ? nullptr : &found->second;
}

std::size_t prompt_part_quarantine::expire(milliseconds now) {
    return std::erase_if(this->records, [this, now](const auto& entry) { return this->expiry(entry.second) <= now; });
}

milliseconds prompt_part_quarantine::expiry(const prompt_part_record& record) const noexcept {
    return last_event(record) + this->options.retention;
}

prompt_part_quarantine::crash_list prompt_part_quarantine::confirmed_crashes(
    const prompt_part_record& record, std::span<const std::uint64_t> running, milliseconds now) const {
    auto crashes = record.crashes;
    std::erase_if(crashes, [this, running, now](const auto& crash) {
        return now - crash.at >= this->options.confirmation_delay && std::ranges::binary_search(running, crash.id);
    });
    return crashes;
}

std::size_t prompt_part_quarantine::separate_crash_count(const crash_list& crashes) const noexcept {
    std::size_t count{};
    std::optional<milliseconds> last_counted{};
    for(const auto& crash : crashes) {
        if(!last_counted || crash.at - *last_counted >= this->options.crash_spacing) {
            last_counted = crash.at;
            ++count;
        }
    }
    return count;
}

bool prompt_part_quarantine::is_explained_without(std::span<const std::string> parts, const crash_list& crashes) const {
    return std::ranges::any_of(this->records, [parts, &crashes](const auto& entry) {
        const auto& [part, record] = entry;
        const auto explains = [&others = record.crashes](const auto& crash) {
            return holds_crash(others, crash.id);
        };
        return record.crashes.size() >= crashes.size() && std::ranges::find(parts, part) == parts.end() &&
               std::ranges::all_of(crashes, explains);
    });
}

prompt_part_record& prompt_part_quarantine::find_or_add(const std::string& part, milliseconds now) {
    const auto found = this->records.find(part);
    if(found != this->records.end()) {
        return found->second;
    }
    if(this->records.size() >= this->options.records_max && this->expire(now) == 0u) {
        this->records.erase(std::ranges::min_element(this->records, {}, [](const auto& entry) {
            return std::pair{entry.second.crashes.size(), last_event(entry.second)};
        }));
    }
    auto& added = this->records[part];
    added.part = part;
    return added;
}

} // namespace lagoonsaddle::policy
