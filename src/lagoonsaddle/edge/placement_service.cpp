#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>
#include <lagoonsaddle/edge/record_copies.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

/*! @brief Expiry of a timer that serves as a condition variable: its waiters are woken by cancelling it. */
constexpr std::chrono::hours change_timer_expiry{24 * 365};

[[nodiscard]] std::uint64_t to_milliseconds(core::duration age) {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

} // namespace

placement_service::placement_service(placement_context dependencies, placement_options options)
    : context{dependencies}, settings{std::move(options)}, started_at{this->context.clock.now()} {}

void placement_service::start() {
    this->on_upstreams_changed();
}

void placement_service::on_upstreams_changed() {
    for(const auto& [id, known] : this->context.upstreams.all()) {
        const auto* upstream_service = this->service_of(id);
        if(upstream_service == nullptr || upstream_service->models.empty()) {
            continue;
        }
        const auto& zone = known.entry.availability_zone;
        if(this->maintained_zones.insert(zone).second) {
            core::start_service(this->context.io, "lease",
                [self = this->shared_from_this(), zone] { return self->maintain_lease(zone); });
        }
        if(this->orders_loads_of(id)) {
            static_cast<void>(this->load_worker_of(id));
        }
    }
}

const service* placement_service::service_of(const std::string& upstream) const {
    const auto* known = this->context.upstreams.find(upstream);
    return known == nullptr ? nullptr : this->context.routes.find_service(known->entry.service);
}

bool placement_service::orders_loads_of(const std::string& upstream) {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr || known->is_ending() || this->releasing) {
        return false;
    }
    const auto* upstream_service = this->service_of(upstream);
    return upstream_service != nullptr && !upstream_service->models.empty() &&
           this->lease_of(known->entry.availability_zone).is_holder();
}

std::shared_ptr<placement_service::load_worker> placement_service::load_worker_of(const std::string& upstream) {
    const auto found = this->load_workers.find(upstream);
    if(found != this->load_workers.end()) {
        return found->second;
    }
    const auto* upstream_service = this->service_of(upstream);
    auto worker = std::make_shared<load_worker>(
        load_worker{.scheduler = slot_scheduler{slot_scheduler_options{.slots = upstream_service->adapter_slots}},
            .wake_timer = asio::steady_timer{this->context.io},
            .change_timer = asio::steady_timer{this->context.io, change_timer_expiry},
            .started_ms = this->context.upstreams.find(upstream)->entry.started_ms});
    for(const auto& [key, known] : this->announced_versions) {
        const auto name = split_adapter_key(key);
        worker->scheduler.set_newest_version(name.model, name.adapter, known.newest());
    }
    this->load_workers.emplace(upstream, worker);
    core::start_service(this->context.io, "load_worker",
        [self = this->shared_from_this(), upstream] { return self->run_load_worker(upstream); });
    return worker;
}

std::vector<wire::version_copy> placement_service::copy_versions(std::size_t count_max) const {
    std::vector<const versions_by_adapter::value_type*> adapters{};
    adapters.reserve(this->announced_versions.size());
    for(const auto& entry : this->announced_versions) {
        adapters.push_back(&entry);
    }
    // An older version that a peer may still use is one of an adapter that was announced lately.
    std::ranges::stable_sort(adapters, std::ranges::greater{},
        [](const auto* entry) { return entry->second.time_of(entry->second.newest()); });
    std::vector<wire::version_copy> copies{};
    std::size_t copied{};
    for(const auto* entry : adapters) {
        const auto& [key, known] = *entry;
        if(copies.size() + known.all().size() > count_max) {
            break;
        }
        const auto name = split_adapter_key(key);
        for(const auto& announcement : known.all()) {
            copies.push_back({.model = name.model, .adapter = name.adapter, .version = announcement.version});
        }
        ++copied;
    }
    if(copied < adapters.size()) {
        this->context.log.write(log_line{"versions_left_out"}
                                    .add("adapters", static_cast<std::int64_t>(adapters.size() - copied))
                                    .add("copied", static_cast<std::int64_t>(copied)));
    }
    return copies;
}

wire::version_ages_ms placement_service::version_ages(std::span<const wire::version_copy> versions) const {
    const auto now = this->context.clock.now();
    wire::version_ages_ms ages{};
    ages.reserve(versions.size());
    for(const auto& copy : versions) {
        const auto found = this->announced_versions.find(adapter_key(copy.model, copy.adapter));
        const auto at = found == this->announced_versions.end() ? std::nullopt : found->second.time_of(copy.version);
        ages.push_back(at ? std::optional{to_milliseconds(now - *at)} : std::nullopt);
    }
    return ages;
}

bool placement_service::zone_can_load(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    if(found == this->leases.end() || !found->second.current()) {
        return false;
    }
    if(found->second.is_holder()) {
        return found->second.may_order_loads(this->context.clock.now());
    }
    return this->holder_status_of(found->second) == holder_status::live;
}

std::uint64_t placement_service::newest_version(std::string_view model, std::string_view adapter) const {
    const auto found = this->announced_versions.find(adapter_key(model, adapter));
    return found == this->announced_versions.end() ? 0u : found->second.newest();
}

std::uint64_t placement_service::oldest_allowed_version(
    std::string_view model, std::string_view adapter, core::duration grace) const {
    const auto found = this->announced_versions.find(adapter_key(model, adapter));
    return found == this->announced_versions.end() ? 0u
                                                   : found->second.oldest_allowed(this->context.clock.now(), grace);
}

bool placement_service::on_version_announced(const version_record& record) {
    return this->on_version_learned(record, this->context.clock.now());
}

bool placement_service::on_version_learned(const version_record& record, std::optional<core::time_point> announced_at) {
    if(record.adapter.empty()) {
        return false;
    }
    auto& known = this->announced_versions[adapter_key(record.model, record.adapter)];
    const auto previous = known.newest();
    if(!known.announce(record.version, announced_at)) {
        return false;
    }
    if(previous != 0u) {
        this->announced_versions_digest ^=
            digest_of({.model = record.model, .adapter = record.adapter, .version = previous});
    }
    this->announced_versions_digest ^= digest_of(record);
    log_line line{"version_announced"};
    line.add("adapter", adapter_key(record.model, record.adapter))
        .add("version", static_cast<std::int64_t>(record.version));
    if(announced_at) {
        const auto age = to_milliseconds(this->context.clock.now() - *announced_at);
        line.add("age_ms", static_cast<std::int64_t>(age));
    }
    this->context.log.write(line);
    for(auto& [id, worker] : this->load_workers) {
        worker->scheduler.set_newest_version(record.model, record.adapter, record.version);
        worker->wake_timer.cancel();
    }
    return true;
}

void placement_service::record_use(const std::string& upstream, std::string_view model, std::string_view adapter) {
    if(const auto found = this->load_workers.find(upstream); found != this->load_workers.end() && !adapter.empty()) {
        found->second->scheduler.record_use(model, adapter, this->context.clock.now());
    }
}

std::optional<std::string> placement_service::lease_holder(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    const bool held = found != this->leases.end() && found->second.current() &&
                      this->holder_status_of(found->second) == holder_status::live;
    return held ? std::optional{found->second.current()->lease.holder} : std::nullopt;
}

bool placement_service::may_order_loads(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    return found != this->leases.end() && !this->releasing && found->second.may_order_loads(this->context.clock.now());
}

std::size_t placement_service::leases_held() const {
    const auto held = std::ranges::count_if(this->leases, [](const auto& entry) { return entry.second.is_holder(); });
    return static_cast<std::size_t>(held);
}

bool placement_service::is_resident(
    const std::string& upstream, std::string_view model, std::string_view adapter, std::uint64_t version_min) const {
    const auto found = this->load_workers.find(upstream);
    if(found == this->load_workers.end()) {
        return false;
    }
    const auto version = found->second->scheduler.resident_version(model, adapter);
    return version && *version >= version_min;
}

bool placement_service::has_adapter_slot(
    const std::string& upstream, std::string_view model, std::string_view adapter) const {
    const auto found = this->load_workers.find(upstream);
    return found == this->load_workers.end() ||
           found->second->scheduler.has_adapter_slot(model, adapter, this->context.clock.now());
}

} // namespace lagoonsaddle::edge
