#include <algorithm>
#include <ranges>

#include <lagoonsaddle/edge/stream_archive.hpp>

namespace lagoonsaddle::edge {

namespace {

using std::chrono::milliseconds;

} // namespace

stream_archive::stream_archive(stream_archive_options options) : settings{std::move(options)} {}

void stream_archive::add(const std::string& request, const stream_origin& origin, unix_time_type expires) {
    this->streams.insert_or_assign(request, archived_stream{.origin = origin, .expires = expires});
    this->changed = this->changed || this->has_several_versions(origin.service);
}

bool stream_archive::has_several_versions(std::string_view service) const {
    return std::ranges::count(this->version_ends, service, [](const auto& entry) { return entry.first.first; }) > 1;
}

void stream_archive::add_version(const service_version& value) {
    const auto [known, added] = this->version_ends.try_emplace({value.service, value.software_version}, value.until);
    auto& until = known->second;
    const bool returned = until != service_version::in_sight && value.until == service_version::in_sight;
    if(returned) {
        until = service_version::in_sight;
    } else if(until != service_version::in_sight) {
        until = std::max(until, value.until);
    }
    this->changed = this->changed || added || returned;
}

std::vector<resumable_stream> stream_archive::load(
    std::span<const stream_record> records, std::uint64_t epoch, unix_time_type now, core::time_point steady_now) {
    std::vector<resumable_stream> resumable{};
    for(const auto& record : records) {
        const bool own = record.node == this->settings.node_name;
        for(auto version : record.versions) {
            if(version.until == service_version::in_sight) {
                // This node saw it until its process ended; another node may have seen its end since.
                version.until = own ? now : record.written;
            }
            this->add_version(version);
        }
        if(own && record.epoch == epoch && record.complete_from) {
            this->complete_from = std::min(this->complete_from.value_or(now), *record.complete_from);
            this->observed_until = std::max(this->observed_until.value_or(steady_now), steady_now);
        }
        for(const auto& stream : record.streams) {
            if(stream.expires + this->settings.clock_error_max <= now) {
                continue;
            }
            resumable.push_back(stream);
            if(own) {
                this->streams.try_emplace(stream.request,
                    archived_stream{.origin = {.service = stream.service, .software_version = stream.software_version},
                        .expires = stream.expires});
            }
        }
    }
    return resumable;
}

void stream_archive::end_versions(const version_observation& seen, unix_time_type now) {
    for(auto& [key, until] : this->version_ends) {
        const auto found = seen.versions.find(key.first);
        const bool in_sight = found != seen.versions.end() && found->second.contains(key.second);
        if(until == service_version::in_sight && !in_sight) {
            until = now;
            this->changed = true;
        }
    }
}

void stream_archive::observe(const version_observation& seen, unix_time_type now, core::time_point steady_now) {
    for(const auto& [service, names] : seen.versions) {
        for(const auto& name : names) {
            this->add_version({.service = service, .software_version = name, .until = service_version::in_sight});
        }
    }
    this->end_versions(seen, now);
    this->stream_time = seen.stream_time;
    if(now - this->pruned_at >= this->settings.prune_interval) {
        this->prune(now);
    }
    if(!seen.seen_since) {
        return;
    }
    const bool goes_on =
        this->observed_until && *seen.seen_since <= *this->observed_until + this->settings.observation_gap_max;
    if(!this->complete_from || !goes_on) {
        this->complete_from = now - std::chrono::duration_cast<milliseconds>(steady_now - *seen.seen_since);
        this->changed = true;
    }
    this->observed_until = steady_now;
}

std::set<std::string, std::less<>> stream_archive::versions(
    std::string_view service, milliseconds time, unix_time_type now) const {
    const auto since = now - time - this->settings.clock_error_max;
    std::set<std::string, std::less<>> found{};
    for(const auto& [key, until] : this->version_ends) {
        if(key.first == service && (until == service_version::in_sight || until >= since)) {
            found.insert(key.second);
        }
    }
    return found;
}

bool stream_archive::is_complete(milliseconds time, unix_time_type now) const {
    return this->complete_from && *this->complete_from <= now - time - this->settings.clock_error_max;
}

bool stream_archive::is_outdated(std::uint64_t epoch) const noexcept {
    return this->complete_from && !this->version_ends.empty() && (this->changed || this->written_epoch != epoch);
}

stream_record stream_archive::make_record(std::uint64_t epoch, unix_time_type now) {
    this->prune(now);
    stream_record record{
        .node = this->settings.node_name, .epoch = epoch, .written = now, .complete_from = this->complete_from};
    for(const auto& [key, until] : this->version_ends) {
        record.versions.push_back({.service = key.first, .software_version = key.second, .until = until});
    }
    for(const auto& [request, stream] : this->streams) {
        if(this->has_several_versions(stream.origin.service)) {
            record.streams.push_back({.request = request,
                .service = stream.origin.service,
                .software_version = stream.origin.software_version,
                .expires = stream.expires});
        }
    }
    if(record.streams.size() > this->settings.streams_max) {
        std::ranges::sort(record.streams, std::greater{}, &resumable_stream::expires);
        record.streams.resize(this->settings.streams_max);
    }
    this->changed = false;
    this->written_epoch = epoch;
    return record;
}

void stream_archive::write_failed() noexcept {
    this->changed = true;
}

void stream_archive::prune(unix_time_type now) {
    this->pruned_at = now;
    const auto oldest = now - this->stream_time - this->settings.clock_error_max;
    std::erase_if(this->version_ends,
        [&](const auto& entry) { return entry.second != service_version::in_sight && entry.second < oldest; });
    std::erase_if(
        this->streams, [&](const auto& entry) { return entry.second.expires + this->settings.clock_error_max <= now; });
}

} // namespace lagoonsaddle::edge
