#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/policy/crash_quarantine.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Crash ids kept per digest. Keeps the smallest ids, so that the result does not depend on the order in which
 * records are merged. */
constexpr std::size_t crash_ids_max = 32u;

/*! @brief One in this many records is dropped at a time above the limit. */
constexpr std::size_t eviction_divisor = 8u;

void merge_ids(std::vector<std::uint64_t>& ids, const std::vector<std::uint64_t>& other_ids) {
    std::vector<std::uint64_t> merged{};
    merged.reserve(ids.size() + other_ids.size());
    std::set_union(ids.begin(), ids.end(), other_ids.begin(), other_ids.end(), std::back_inserter(merged));
    merged.resize(std::min(merged.size(), crash_ids_max));
    ids = std::move(merged);
}

[[nodiscard]] std::size_t uncleared_crash_count(const quarantine_record& record) noexcept {
    return static_cast<std::size_t>(
        std::count_if(record.crashes.begin(), record.crashes.end(), [&record](std::uint64_t crash) {
            return !std::binary_search(record.cleared.begin(), record.cleared.end(), crash);
        }));
}

} // namespace

crash_quarantine::crash_quarantine(crash_quarantine_options options) : options{options} {}

std::uint64_t crash_quarantine::crash_id(std::string_view upstream, std::string_view boot_id) noexcept {
    return core::hash(boot_id, core::hash(upstream));
}

bool crash_quarantine::is_quarantined(const quarantine_record& record) const noexcept {
    return uncleared_crash_count(record) >= this->options.crashes_until_quarantine;
}

std::chrono::milliseconds crash_quarantine::expiry(const quarantine_record& record) const noexcept {
    const auto extension = this->options.quarantine_duration - this->options.suspect_duration;
    return record.suspect_until + (this->is_quarantined(record)
                                          ? std::chrono::ceil<std::chrono::milliseconds>(extension)
                                          : std::chrono::milliseconds{});
}

const quarantine_record* crash_quarantine::find_unexpired(
    const std::string& digest, std::chrono::milliseconds now) const {
    const auto found = this->records_by_digest.find(digest);
    return found == this->records_by_digest.end() || this->expiry(found->second) <= now ? nullptr : &found->second;
}

void crash_quarantine::evict_records_above_limit(std::chrono::milliseconds now) {
    if(this->records_by_digest.size() < this->options.records_max) {
        return;
    }
    this->expire(now);
    if(this->records_by_digest.size() < this->options.records_max) {
        return;
    }
    std::vector<std::tuple<bool, std::chrono::milliseconds, std::string>> eviction_order{};
    eviction_order.reserve(this->records_by_digest.size());
    for(const auto& [digest, record] : this->records_by_digest) {
        eviction_order.emplace_back(this->is_quarantined(record), this->expiry(record), digest);
    }
    const auto count = this->records_by_digest.size() / eviction_divisor + 1u;
    const auto last =
        std::next(eviction_order.begin(), static_cast<std::ptrdiff_t>(std::min(count, eviction_order.size())));
    std::partial_sort(eviction_order.begin(), last, eviction_order.end());
    std::for_each(eviction_order.begin(), last,
        [this](const auto& entry) { this->records_by_digest.erase(std::get<2u>(entry)); });
}

std::vector<quarantine_record> crash_quarantine::record_crash(
    std::uint64_t crash, std::span<const std::string> digests, std::chrono::milliseconds now) {
    std::vector<quarantine_record> changed{};
    for(const auto& digest : digests) {
        const quarantine_record update{.digest = digest,
            .crashes = {crash},
            .suspect_until = now + std::chrono::ceil<std::chrono::milliseconds>(this->options.suspect_duration)};
        const auto* record = this->find_unexpired(digest, now);
        const auto already_recorded =
            record != nullptr && std::binary_search(record->crashes.begin(), record->crashes.end(), crash);
        // A repeated report of the same crash must not extend the record.
        if(!already_recorded && this->merge(update, now)) {
            changed.push_back(this->records_by_digest.at(digest));
        }
    }
    return changed;
}

std::optional<quarantine_record> crash_quarantine::clear_crashes(
    const std::string& digest, std::chrono::milliseconds now) {
    if(this->find_unexpired(digest, now) == nullptr) {
        return std::nullopt;
    }
    auto& record = this->records_by_digest.at(digest);
    merge_ids(record.cleared, record.crashes);
    return record;
}

std::optional<quarantine_record> crash_quarantine::record_isolated_run(
    const std::string& digest, std::chrono::milliseconds now) {
    // An isolated run that began before the quarantine does not end it.
    return this->classify(digest, now) == quarantine_status::suspect ? this->clear_crashes(digest, now) : std::nullopt;
}

bool crash_quarantine::merge(const quarantine_record& record, std::chrono::milliseconds now) {
    if(this->expiry(record) <= now) {
        return false;
    }
    auto position = this->records_by_digest.find(record.digest);
    if(position != this->records_by_digest.end() && this->expiry(position->second) <= now) {
        this->records_by_digest.erase(position);
        position = this->records_by_digest.end();
    }
    if(position == this->records_by_digest.end()) {
        this->evict_records_above_limit(now);
        position = this->records_by_digest.try_emplace(record.digest).first;
        position->second.digest = record.digest;
    }
    auto& local = position->second;
    const auto before = local;
    merge_ids(local.crashes, record.crashes);
    merge_ids(local.cleared, record.cleared);
    local.suspect_until = std::max(local.suspect_until, record.suspect_until);
    return local != before;
}

quarantine_status crash_quarantine::classify(const std::string& digest, std::chrono::milliseconds now) const {
    const auto* record = this->find_unexpired(digest, now);
    if(record == nullptr || uncleared_crash_count(*record) == 0u) {
        return quarantine_status::clear;
    }
    return this->is_quarantined(*record) ? quarantine_status::quarantined : quarantine_status::suspect;
}

std::optional<quarantine_record> crash_quarantine::lift_quarantine(
    const std::string& digest, std::chrono::milliseconds now) {
    return this->clear_crashes(digest, now);
}

std::size_t crash_quarantine::expire(std::chrono::milliseconds now) {
    return std::erase_if(
        this->records_by_digest, [this, now](const auto& entry) { return this->expiry(entry.second) <= now; });
}

std::optional<quarantine_record> crash_quarantine::find_record(
    const std::string& digest, std::chrono::milliseconds now) const {
    const auto* record = this->find_unexpired(digest, now);
    return record == nullptr ? std::nullopt : std::optional{*record};
}

std::vector<quarantine_record> crash_quarantine::records(std::chrono::milliseconds now) const {
    std::vector<quarantine_record> result{};
    for(const auto& [digest, record] : this->records_by_digest) {
        if(this->expiry(record) > now) {
            result.push_back(record);
        }
    }
    std::sort(result.begin(), result.end(),
        [](const quarantine_record& left, const quarantine_record& right) { return left.digest < right.digest; });
    return result;
}

} // namespace lagoonsaddle::policy
