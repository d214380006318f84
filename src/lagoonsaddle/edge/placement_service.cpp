#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/edge/placement_service.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds lease_tick{100};
/*! @brief Time after the start in which an unknown holder may still appear in the membership. */
constexpr std::chrono::seconds membership_settle{3};
/*! @brief Shortest time between two reports of an upstream whose evictions are on their way. */
constexpr std::chrono::milliseconds report_interval{50};
/*! @brief Shortest time between two orders that confirm loads. */
constexpr std::chrono::milliseconds order_spacing{5};
constexpr std::chrono::milliseconds failed_order_delay{150};
constexpr std::chrono::milliseconds model_poll_interval{200};
/*! @brief Time between two orders to load the base model, in case the first was lost. */
constexpr std::chrono::milliseconds model_order_interval{1'000};
constexpr std::chrono::milliseconds idle_interval{1'000};

/*! @brief Expiry of a timer that only waits to be cancelled. */
constexpr std::chrono::hours core_clock_end{24 * 365};

[[nodiscard]] asio::awaitable<void> sleep(std::chrono::milliseconds time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

placement_service::placement_service(placement_context uses_of, placement_options options)
    : context{uses_of}, settings{std::move(options)}, started{this->context.time.now()} {}

void placement_service::start() {
    this->upstreams_changed();
}

lease_tracker& placement_service::tracker(const std::string& zone) {
    const auto found = this->leases.find(zone);
    if(found != this->leases.end()) {
        return found->second;
    }
    lease_options options{};
    options.self = this->settings.self;
    options.boot_id = this->settings.boot_id;
    options.fenced = this->settings.fenced;
    options.takeover_wait = this->settings.lease_time;
    if(!this->settings.fenced) {
        // Without tokens, only time separates the orders of two holders.
        options.takeover_wait = this->settings.lease_time + options.duration;
        options.vacant_wait = this->settings.lease_time;
    }
    return this->leases.emplace(zone, lease_tracker{std::move(options)}).first->second;
}

void placement_service::upstreams_changed() {
    for(const auto& [id, known] : this->context.upstreams.all()) {
        const auto* group = this->service_of(id);
        if(group == nullptr || group->models.empty()) {
            continue;
        }
        const auto& zone = known.entry.availability_zone;
        if(this->kept_zones.insert(zone).second) {
            asio::co_spawn(
                this->context.io, [self = this->shared_from_this(), zone] { return self->keep_lease(zone); },
                asio::detached);
        }
        if(this->drives(id)) {
            static_cast<void>(this->driver_of(id));
        }
    }
}

const service* placement_service::service_of(const std::string& upstream) const {
    const auto* known = this->context.upstreams.find(upstream);
    return known == nullptr ? nullptr : this->context.routes.find_service(known->entry.service);
}

bool placement_service::drives(const std::string& upstream) {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr || known->entry.leaving || this->releasing) {
        return false;
    }
    const auto* group = this->service_of(upstream);
    return group != nullptr && !group->models.empty() && this->tracker(known->entry.availability_zone).is_holder();
}

std::shared_ptr<placement_service::driver> placement_service::driver_of(const std::string& upstream) {
    const auto found = this->drivers.find(upstream);
    if(found != this->drivers.end()) {
        return found->second;
    }
    const auto* group = this->service_of(upstream);
    auto state =
        std::make_shared<driver>(driver{.ledger = slot_ledger{slot_ledger_options{.slots = group->adapter_slots}},
            .wake = asio::steady_timer{this->context.io},
            .progress = asio::steady_timer{this->context.io, core_clock_end},
            .started_ms = this->context.upstreams.find(upstream)->entry.started_ms});
    for(const auto& [key, value] : this->versions) {
        const auto slash = key.find('/');
        state->ledger.announce(key.substr(0u, slash), key.substr(slash + 1u), value.version);
    }
    this->drivers.emplace(upstream, state);
    asio::co_spawn(
        this->context.io, [self = this->shared_from_this(), upstream] { return self->drive(upstream); },
        asio::detached);
    return state;
}

holder_status placement_service::status_of(const lease_tracker& lease) const {
    if(!lease.current()) {
        return holder_status::ended;
    }
    const auto& holder = lease.current()->lease.holder;
    const auto members = this->context.membership.members();
    const auto found =
        std::ranges::find_if(*members, [&holder](const fleet::member& other) { return other.info.name == holder; });
    if(found == members->end()) {
        const bool settled = this->context.time.now() - this->started >= membership_settle;
        return settled ? holder_status::unreachable : holder_status::unknown;
    }
    const bool same_boot = found->info.boot_id == lease.current()->lease.holder_boot;
    const bool stopping = found->state == fleet::member_state::leaving || found->state == fleet::member_state::left;
    if(!same_boot || stopping) {
        return holder_status::ended;
    }
    return found->is_live() ? holder_status::live : holder_status::unreachable;
}

std::optional<std::size_t> placement_service::rank(const std::string& zone) const {
    const auto members = this->context.membership.members();
    std::vector<std::string> local{};
    std::vector<std::string> all{};
    for(const auto& other : *members) {
        if(!other.is_live() || other.state == fleet::member_state::leaving) {
            continue;
        }
        all.push_back(other.info.name);
        if(other.info.availability_zone == zone) {
            local.push_back(other.info.name);
        }
    }
    const auto& candidates = local.empty() ? all : local;
    const auto order = core::rendezvous_rank(zone, candidates);
    for(std::size_t position{}; position < order.size(); ++position) {
        if(candidates[order[position]] == this->settings.self) {
            return position;
        }
    }
    return std::nullopt;
}

asio::awaitable<void> placement_service::keep_lease(std::string zone) {
    while(!this->releasing) {
        auto& lease = this->tracker(zone);
        const auto now = this->context.time.now();
        const auto action = lease.next(this->status_of(lease), this->rank(zone), now);
        if(action == lease_action::read) {
            const auto record = co_await this->context.store.read_lease(zone);
            if(record) {
                lease.read_succeeded(*record, now, this->context.time.now());
            } else if(record.error().cause == core::reason::not_found) {
                lease.observe_absent(this->context.time.now());
            } else {
                lease.read_failed(now);
            }
        } else if(action == lease_action::acquire) {
            const auto next = lease.successor(zone);
            const auto previous = lease.current() ? lease.current()->lease.holder : std::string{};
            const auto written = co_await this->context.store.write_lease(next.lease, next.revision);
            if(written) {
                lease.acquired(*written, now, this->context.time.now());
                this->context.log.write(log_line{"lease_acquired"}
                                            .add("zone", zone)
                                            .add("previous", previous)
                                            .add("token", static_cast<std::int64_t>(written->lease.fencing_token)));
                this->upstreams_changed();
            } else if(!this->releasing) {
                this->context.log.write(log_line{"lease_not_acquired"}
                                            .add("zone", zone)
                                            .add("holder", previous)
                                            .add("reason", core::to_string(written.error().cause))
                                            .add("message", written.error().message));
                // A write without an answer may have taken effect: the record tells.
                const auto record = co_await this->context.store.read_lease(zone);
                if(record) {
                    lease.observe(*record, this->context.time.now());
                }
            }
        }
        co_await sleep(lease_tick);
    }
}

asio::awaitable<void> placement_service::release() {
    this->releasing = true;
    for(auto& [zone, lease] : this->leases) {
        if(!lease.is_holder()) {
            continue;
        }
        auto vacant = *lease.current();
        vacant.lease.holder.clear();
        vacant.lease.holder_boot = 0u;
        const auto written = co_await this->context.store.write_lease(vacant.lease, vacant.revision);
        this->context.log.write(log_line{"lease_released"}
                                    .add("zone", zone)
                                    .add("outcome", written ? "written" : core::to_string(written.error().cause)));
    }
    for(auto& [id, state] : this->drivers) {
        state->wake.cancel();
    }
}

void placement_service::lease_changed(const std::string& zone, const stored_lease* record) {
    auto& lease = this->tracker(zone);
    const bool held = lease.is_holder();
    if(record != nullptr) {
        lease.observe(*record, this->context.time.now());
    } else {
        lease.observe_absent(this->context.time.now());
    }
    if(held && !lease.is_holder()) {
        this->context.log.write(log_line{"lease_lost"}
                                    .add("zone", zone)
                                    .add("holder", record != nullptr ? record->lease.holder : std::string{}));
    }
}

bool placement_service::can_load(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    if(found == this->leases.end() || !found->second.current()) {
        return false;
    }
    if(found->second.is_holder()) {
        return found->second.may_order(this->context.time.now());
    }
    return this->status_of(found->second) == holder_status::live;
}

placement_service::announced placement_service::newest(std::string_view model, std::string_view adapter) const {
    const auto found = this->versions.find(adapter_key(model, adapter));
    return found == this->versions.end() ? announced{} : found->second;
}

bool placement_service::version_announced(const version_record& record) {
    if(record.adapter.empty()) {
        return false;
    }
    auto& known = this->versions[adapter_key(record.model, record.adapter)];
    if(record.version <= known.version) {
        return false;
    }
    known = announced{.version = record.version, .at = this->context.time.now()};
    this->context.log.write(log_line{"version_announced"}
                                .add("adapter", adapter_key(record.model, record.adapter))
                                .add("version", static_cast<std::int64_t>(record.version)));
    for(auto& [id, state] : this->drivers) {
        state->ledger.announce(record.model, record.adapter, record.version);
        state->wake.cancel();
    }
    return true;
}

void placement_service::touch(const std::string& upstream, std::string_view model, std::string_view adapter) {
    if(const auto found = this->drivers.find(upstream); found != this->drivers.end() && !adapter.empty()) {
        found->second->ledger.touch(model, adapter, this->context.time.now());
    }
}

std::optional<std::string> placement_service::holder_of(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    const bool held =
        found != this->leases.end() && found->second.current() && this->status_of(found->second) == holder_status::live;
    return held ? std::optional{found->second.current()->lease.holder} : std::nullopt;
}

bool placement_service::may_order(std::string_view zone) const {
    const auto found = this->leases.find(zone);
    return found != this->leases.end() && !this->releasing && found->second.may_order(this->context.time.now());
}

std::size_t placement_service::leases_held() const {
    const auto held = std::ranges::count_if(this->leases, [](const auto& entry) { return entry.second.is_holder(); });
    return static_cast<std::size_t>(held);
}

bool placement_service::can_place(const std::string& upstream, std::string_view model, std::string_view adapter) const {
    const auto found = this->drivers.find(upstream);
    return found == this->drivers.end() || found->second->ledger.can_place(model, adapter, this->context.time.now());
}

asio::awaitable<core::result<std::uint64_t>> placement_service::ensure(adapter_request wanted) {
    const auto begin = this->context.time.now();
    const auto deadline = begin + wanted.timeout;
    if(!this->drives(wanted.upstream)) {
        co_return core::fail(core::reason::lease_expired, "this node does not order loads of the upstream");
    }
    const auto state = this->driver_of(wanted.upstream);
    if(state->ledger.want(wanted.model, wanted.adapter, wanted.version_min, begin)) {
        state->wake.cancel();
    }
    const auto result = co_await this->wait_resident(wanted, state, deadline);
    state->ledger.unwant(wanted.model, wanted.adapter);
    co_return result;
}

asio::awaitable<core::result<std::uint64_t>> placement_service::wait_resident(
    const adapter_request& wanted, std::shared_ptr<driver> state, core::time_point deadline) {
    while(true) {
        const auto now = this->context.time.now();
        if(const auto version = state->ledger.resident(wanted.model, wanted.adapter);
            version && *version >= wanted.version_min) {
            co_return *version;
        }
        if(!this->drives(wanted.upstream)) {
            co_return core::fail(core::reason::lease_expired, "the upstream or the lease was lost");
        }
        if(now >= deadline) {
            co_return core::fail(core::reason::timeout, "the adapter was not loaded in time");
        }
        if(!wanted.may_wait && !state->ledger.can_place(wanted.model, wanted.adapter, now)) {
            co_return core::fail(core::reason::overloaded, "all adapter places of the upstream are in use");
        }
        // Without progress, the deadline and the loss of the lease are looked at again after the interval.
        asio::steady_timer limit{co_await asio::this_coro::executor, report_interval};
        limit.async_wait([state](const boost::system::error_code& failure) {
            if(!failure) {
                state->progress.cancel();
            }
        });
        boost::system::error_code ignored{};
        co_await state->progress.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> placement_service::pause(driver& state, core::duration time) {
    state.wake.expires_after(time);
    boost::system::error_code ignored{};
    co_await state.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> placement_service::synchronize(const std::string& upstream, driver& state) {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr) {
        co_return false;
    }
    const auto asked = this->context.time.now();
    const auto report = co_await this->context.control.fetch_report(known->entry.address);
    state.reported = asked;
    const bool taken = report && state.ledger.synchronize(*report, asked, this->context.time.now());
    state.progress.cancel();
    co_return taken;
}

asio::awaitable<bool> placement_service::load_missing_model(const std::string& upstream, driver& state) {
    const auto* group = this->service_of(upstream);
    const auto* known = this->context.upstreams.find(upstream);
    if(group == nullptr || known == nullptr || group->models.empty()) {
        co_return false;
    }
    const auto& model = group->models.front();
    auto& loader = this->model_loads[known->entry.availability_zone];
    if(state.ledger.holds_model(model)) {
        if(loader == upstream) {
            loader.clear();
        }
        co_return false;
    }
    // Loads of base models slow each other down; one at a time is back in service soonest.
    if(loader.empty() || !this->drives(loader)) {
        loader = upstream;
    }
    if(loader == upstream && this->context.time.now() >= state.model_ordered + model_order_interval) {
        state.model_ordered = this->context.time.now();
        const ledger_order order{.model = model};
        co_await this->give(upstream, state, order);
    }
    co_await this->pause(state, model_poll_interval);
    co_await this->synchronize(upstream, state);
    co_return true;
}

asio::awaitable<void> placement_service::give(const std::string& upstream, driver& state, const ledger_order& order) {
    const auto* known = this->context.upstreams.find(upstream);
    if(known == nullptr) {
        co_return;
    }
    auto& lease = this->tracker(known->entry.availability_zone);
    upstream_order message{.address = known->entry.address,
        .upstream = upstream,
        .load = order.load,
        .model = order.model,
        .adapter = order.adapter,
        .version = order.version,
        .expected_orders = state.ledger.orders_accepted(),
        .holder = this->settings.self,
        .fencing_token = lease.current()->lease.fencing_token};
    const auto outcome = co_await this->context.control.send_order(std::move(message));
    const auto now = this->context.time.now();
    log_line line{"order"};
    line.add("upstream", upstream)
        .add("operation", order.load ? "load" : "unload")
        .add("adapter", adapter_key(order.model, order.adapter))
        .add("orders", static_cast<std::int64_t>(state.ledger.orders_accepted()))
        .add("outcome", outcome ? to_string(*outcome) : core::to_string(outcome.error().cause));
    this->context.log.write(line);
    if(!outcome) {
        state.ledger.invalidate();
        state.progress.cancel();
        co_await this->pause(state, failed_order_delay);
        co_return;
    }
    if(*outcome == order_outcome::stale_token) {
        lease.superseded();
    }
    if(order.adapter.empty()) {
        // A base model appears in the next report.
        state.ledger.invalidate();
        co_return;
    }
    state.ledger.record(order, *outcome, now);
    state.progress.cancel();
    if(order.load && *outcome == order_outcome::done) {
        const auto version = state.ledger.resident(order.model, order.adapter).value_or(0u);
        this->context.upstreams.observe_adapter(upstream, order.model, order.adapter, true, version, now);
    }
    if(!order.load && (*outcome == order_outcome::accepted || *outcome == order_outcome::done)) {
        this->context.upstreams.observe_adapter(upstream, order.model, order.adapter, false, 0u, now);
    }
}

asio::awaitable<void> placement_service::drive(std::string upstream) {
    const auto state = this->drivers.at(upstream);
    while(this->drives(upstream)) {
        const auto* known = this->context.upstreams.find(upstream);
        if(known->entry.started_ms != state->started_ms) {
            break;
        }
        if(!this->tracker(known->entry.availability_zone).may_order(this->context.time.now())) {
            co_await this->pause(*state, lease_tick);
            continue;
        }
        if(!state->ledger.synchronized() && !co_await this->synchronize(upstream, *state)) {
            co_await this->pause(*state, failed_order_delay);
            continue;
        }
        if(co_await this->load_missing_model(upstream, *state) || !this->drives(upstream)) {
            continue;
        }
        const auto now = this->context.time.now();
        if(const auto order = state->ledger.next(now)) {
            co_await this->give(upstream, *state, *order);
        } else if(const auto due = state->ledger.next_confirmation()) {
            co_await this->pause(*state, std::max<core::duration>(*due - now, order_spacing));
        } else if(state->ledger.unloading()) {
            co_await this->pause(*state, report_interval);
            co_await this->synchronize(upstream, *state);
        } else {
            co_await this->pause(*state, state->ledger.has_wants() ? report_interval * 2 : idle_interval);
        }
    }
    this->drivers.erase(upstream);
    if(this->drives(upstream)) {
        static_cast<void>(this->driver_of(upstream));
    }
}

} // namespace lagoonsaddle::edge
