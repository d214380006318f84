#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/policy/crash_quarantine.hpp>

namespace lagoonsaddle::policy {

namespace {

/*! @brief Crash ids kept per digest. The smallest ones are kept, because the smallest of a union do not depend on the
 * order in which records are merged. */
constexpr std::size_t ids_max = 32u;

/*! @brief Share of the records that is dropped at a time when there are too many. */
constexpr std::size_t dropped_share = 8u;

void unite(std::vector<std::uint64_t>& ids, const std::vector<std::uint64_t>& others) {
    std::vector<std::uint64_t> united{};
    united.reserve(ids.size() + others.size());
    std::set_union(ids.begin(), ids.end(), others.begin(), others.end(), std::back_inserter(united));
    united.resize(std::min(united.size(), ids_max));
    ids = std::move(united);
}

[[nodiscard]] std::size_t uncleared(const quarantine_record& record) noexcept {
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

bool crash_quarantine::quarantined(const quarantine_record& record) const noexcept {
    return uncleared(record) >= this->options.crashes_until_quarantine;
}

std::chrono::milliseconds crash_quarantine::end(const quarantine_record& record) const noexcept {
    const auto extension = this->options.quarantine_duration - this->options.suspect_duration;
    return record.until + (this->quarantined(record) ? std::chrono::ceil<std::chrono::milliseconds>(extension)
                                                     : std::chrono::milliseconds{});
}

const quarantine_record* crash_quarantine::find(const std::string& digest, std::chrono::milliseconds now) const {
    const auto found = this->known.find(digest);
    return found == this->known.end() || this->end(found->second) <= now ? nullptr : &found->second;
}

void crash_quarantine::make_room(std::chrono::milliseconds now) {
    if(this->known.size() < this->options.records_max) {
        return;
    }
    this->expire(now);
    if(this->known.size() < this->options.records_max) {
        return;
    }
    std::vector<std::tuple<bool, std::chrono::milliseconds, std::string>> order{};
    order.reserve(this->known.size());
    for(const auto& [digest, record] : this->known) {
        order.emplace_back(this->quarantined(record), this->end(record), digest);
    }
    const auto count = this->known.size() / dropped_share + 1u;
    const auto last = std::next(order.begin(), static_cast<std::ptrdiff_t>(std::min(count, order.size())));
    std::partial_sort(order.begin(), last, order.end());
    std::for_each(order.begin(), last, [this](const auto& entry) { this->known.erase(std::get<2u>(entry)); });
}

std::vector<quarantine_record> crash_quarantine::crashed(
    std::uint64_t crash, std::span<const std::string> digests, std::chrono::milliseconds now) {
    std::vector<quarantine_record> changed{};
    for(const auto& digest : digests) {
        const quarantine_record update{.digest = digest,
            .crashes = {crash},
            .until = now + std::chrono::ceil<std::chrono::milliseconds>(this->options.suspect_duration)};
        const auto* record = this->find(digest, now);
        const auto repeated =
            record != nullptr && std::binary_search(record->crashes.begin(), record->crashes.end(), crash);
        // The same crash reported again must not move the end of the record.
        if(!repeated && this->merge(update, now)) {
            changed.push_back(this->known.at(digest));
        }
    }
    return changed;
}

std::optional<quarantine_record> crash_quarantine::clear(const std::string& digest, std::chrono::milliseconds now) {
    if(this->find(digest, now) == nullptr) {
        return std::nullopt;
    }
    auto& record = this->known.at(digest);
    unite(record.cleared, record.crashes);
    return record;
}

std::optional<quarantine_record> crash_quarantine::ran_alone(const std::string& digest, std::chrono::milliseconds now) {
    // A run that began before the quarantine does not end it.
    return this->classify(digest, now) == standing::suspect ? this->clear(digest, now) : std::nullopt;
}

bool crash_quarantine::merge(const quarantine_record& record, std::chrono::milliseconds now) {
    if(this->end(record) <= now) {
        return false;
    }
    auto position = this->known.find(record.digest);
    if(position != this->known.end() && this->end(position->second) <= now) {
        this->known.erase(position);
        position = this->known.end();
    }
    if(position == this->known.end()) {
        this->make_room(now);
        position = this->known.try_emplace(record.digest).first;
        position->second.digest = record.digest;
    }
    auto& own = position->second;
    const auto before = own;
    unite(own.crashes, record.crashes);
    unite(own.cleared, record.cleared);
    own.until = std::max(own.until, record.until);
    return own != before;
}

standing crash_quarantine::classify(const std::string& digest, std::chrono::milliseconds now) const {
    const auto* record = this->find(digest, now);
    if(record == nullptr || uncleared(*record) == 0u) {
        return standing::clear;
    }
    return this->quarantined(*record) ? standing::quarantined : standing::suspect;
}

std::optional<quarantine_record> crash_quarantine::pardon(const std::string& digest, std::chrono::milliseconds now) {
    return this->clear(digest, now);
}

std::size_t crash_quarantine::expire(std::chrono::milliseconds now) {
    return std::erase_if(this->known, [this, now](const auto& entry) { return this->end(entry.second) <= now; });
}

std::optional<quarantine_record> crash_quarantine::record_of(
    const std::string& digest, std::chrono::milliseconds now) const {
    const auto* record = this->find(digest, now);
    return record == nullptr ? std::nullopt : std::optional{*record};
}

std::vector<quarantine_record> crash_quarantine::records(std::chrono::milliseconds now) const {
    std::vector<quarantine_record> result{};
    for(const auto& [digest, record] : this->known) {
        if(this->end(record) > now) {
            result.push_back(record);
        }
    }
    std::sort(result.begin(), result.end(),
        [](const quarantine_record& left, const quarantine_record& right) { return left.digest < right.digest; });
    return result;
}

} // namespace lagoonsaddle::policy
