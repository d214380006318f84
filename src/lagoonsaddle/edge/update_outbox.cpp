#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/update_outbox.hpp>

namespace lagoonsaddle::edge {

namespace {

using incarnations = std::vector<wire::store_news::upstream_incarnation>;

void erase_told(incarnations& own, const incarnations& told) {
    for(const auto& entry : told) {
        std::erase_if(own, [&entry](const auto& pending) {
            return pending.upstream == entry.upstream && pending.started_ms == entry.started_ms;
        });
    }
}

} // namespace

update_outbox::update_outbox(update_outbox_options options) : settings{options}, random{options.seed} {}

void update_outbox::add_configuration(std::uint64_t version) {
    this->pending.configuration_version = std::max(this->pending.configuration_version, version);
}

void update_outbox::add_leaving(const std::string& upstream, std::uint64_t started_ms) {
    this->pending.leaving.push_back({.upstream = upstream, .started_ms = started_ms});
}

void update_outbox::add_removed(const std::string& upstream, std::uint64_t started_ms) {
    this->pending.removed.push_back({.upstream = upstream, .started_ms = started_ms});
}

void update_outbox::add_version(const version_record& record) {
    this->pending.versions.push_back({.model = record.model, .adapter = record.adapter, .version = record.version});
}

void update_outbox::remove_told(const wire::store_news& told) {
    if(told.configuration_version >= this->pending.configuration_version) {
        this->pending.configuration_version = 0u;
    }
    erase_told(this->pending.leaving, told.leaving);
    erase_told(this->pending.removed, told.removed);
    for(const auto& entry : told.versions) {
        std::erase_if(this->pending.versions, [&entry](const auto& own) {
            return own.model == entry.model && own.adapter == entry.adapter && own.version <= entry.version;
        });
    }
    if(this->empty()) {
        this->due.reset();
    }
}

void update_outbox::clear() noexcept {
    this->pending = {};
    this->due.reset();
}

bool update_outbox::empty() const noexcept {
    return this->pending.configuration_version == 0u && this->pending.leaving.empty() &&
           this->pending.versions.empty() && this->pending.removed.empty();
}

core::duration update_outbox::draw_delay() {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution{
        this->settings.delay_min.count(), this->settings.delay_max.count()};
    return std::chrono::milliseconds{distribution(this->random)};
}

std::optional<wire::store_news> update_outbox::take(bool is_chosen_reader, core::time_point now) {
    if(this->empty()) {
        return std::nullopt;
    }
    if(!this->due) {
        this->due = now + this->draw_delay();
    }
    if(!is_chosen_reader && now < *this->due) {
        return std::nullopt;
    }
    this->due.reset();
    return std::exchange(this->pending, {});
}

} // namespace lagoonsaddle::edge
