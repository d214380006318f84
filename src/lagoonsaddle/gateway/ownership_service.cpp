#include <algorithm>
#include <chrono>
#include <set>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/ownership_service.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds timer_interval{50};
constexpr std::chrono::milliseconds peer_timeout{1'000};
constexpr std::size_t peers_queried_max{3u};

} // namespace

// Calls a function with the protocol of the upstream's zone. Returns an empty value for an unknown upstream.
template<typename Function>
auto ownership_service::call_protocol(std::string_view upstream, Function function) const {
    using result_type = decltype(function(std::declval<const fleet::ownership&>()));
    const auto zone = this->find_zone(upstream);
    if(!zone) {
        return result_type{};
    }
    const std::lock_guard lock{zone->mutex};
    return function(zone->protocol);
}

ownership_service::ownership_service(asio::io_context& io, const core::clock& clock,
    fleet::ownership_settings protocol_settings, platform::object_store& store, cluster::membership_service& members,
    upstream_directory& directory, cluster::peer_directory& connections)
    : context{io},
      clock{clock},
      settings{protocol_settings},
      objects{store},
      membership{members},
      upstreams{directory},
      peers{connections} {}

void ownership_service::start() {
    asio::co_spawn(
        asio::make_strand(this->context),
        [self = this->shared_from_this()]() -> asio::awaitable<void> { co_await self->run_timers(); },
        core::task_end{"ownership_timers"});
}

void ownership_service::stop() {
    this->stopping = true;
}

void ownership_service::on_change(change_callback callback) {
    const std::lock_guard lock{this->mutex};
    this->callbacks.push_back(std::move(callback));
}

std::optional<fleet::assignment> ownership_service::owner(std::string_view upstream) const {
    return this->call_protocol(
        upstream, [upstream](const fleet::ownership& protocol) { return protocol.owner(upstream); });
}

std::vector<std::string> ownership_service::owned_upstreams() const {
    std::vector<std::string> names{};
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, zone] : this->zones) {
        const std::lock_guard zone_lock{zone->mutex};
        for(auto& upstream : zone->protocol.owned_upstreams()) {
            names.push_back(std::move(upstream));
        }
    }
    return names;
}

void ownership_service::refresh(std::string_view upstream) {
    const auto zone = this->find_zone(upstream);
    if(zone) {
        std::vector<fleet::ownership_action> actions{};
        {
            const std::lock_guard lock{zone->mutex};
            actions = zone->protocol.refresh(this->clock.now());
        }
        this->execute_actions(zone, std::move(actions));
    }
}

fleet::ownership_snapshot ownership_service::snapshot(std::string_view zone) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->zones.find(zone);
    if(found == this->zones.end()) {
        return {};
    }
    const std::lock_guard zone_lock{found->second->mutex};
    return found->second->protocol.snapshot();
}

void ownership_service::step_all_zones(
    const std::function<std::vector<fleet::ownership_action>(fleet::ownership&)>& step) {
    std::map<std::string, zone_pointer, std::less<>> all{};
    {
        const std::lock_guard lock{this->mutex};
        all = this->zones;
    }
    for(const auto& [name, zone] : all) {
        std::vector<fleet::ownership_action> actions{};
        {
            const std::lock_guard lock{zone->mutex};
            actions = step(zone->protocol);
        }
        this->execute_actions(zone, std::move(actions));
    }
}

void ownership_service::release_all() {
    this->step_all_zones([this](fleet::ownership& protocol) { return protocol.release_all(this->clock.now()); });
}

bool ownership_service::released() const {
    const std::lock_guard lock{this->mutex};
    return std::all_of(this->zones.begin(), this->zones.end(), [](const auto& entry) {
        const std::lock_guard zone_lock{entry.second->mutex};
        return entry.second->protocol.released();
    });
}

bool ownership_service::object_api_down() const {
    const std::lock_guard lock{this->mutex};
    return std::any_of(this->zones.begin(), this->zones.end(), [this](const auto& entry) {
        const std::lock_guard zone_lock{entry.second->mutex};
        return entry.second->protocol.object_api_down(this->clock.now());
    });
}

std::map<std::string, fleet::ownership_counters> ownership_service::counters() const {
    std::map<std::string, fleet::ownership_counters> counts{};
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, zone] : this->zones) {
        const std::lock_guard zone_lock{zone->mutex};
        counts.emplace(name, zone->protocol.counters());
    }
    return counts;
}

bool ownership_service::may_evict(std::string_view upstream) const {
    return this->call_protocol(upstream,
        [this, upstream](const fleet::ownership& protocol) { return protocol.may_evict(upstream, this->clock.now()); });
}

bool ownership_service::may_load(std::string_view upstream) const {
    return this->call_protocol(upstream,
        [this, upstream](const fleet::ownership& protocol) { return protocol.may_load(upstream, this->clock.now()); });
}

bool ownership_service::may_route(std::string_view upstream) const {
    return this->call_protocol(upstream,
        [this, upstream](const fleet::ownership& protocol) { return protocol.may_route(upstream, this->clock.now()); });
}

std::optional<std::uint64_t> ownership_service::fencing_token(std::string_view upstream) const {
    return this->call_protocol(
        upstream, [upstream](const fleet::ownership& protocol) { return protocol.fencing_token(upstream); });
}

std::optional<core::time_point> ownership_service::owner_since(std::string_view upstream) const {
    return this->call_protocol(
        upstream, [upstream](const fleet::ownership& protocol) { return protocol.owner_since(upstream); });
}

core::duration ownership_service::takeover_eviction_delay(std::string_view upstream) const {
    const auto current = this->owner(upstream);
    if(current && current->released) {
        return core::duration::zero();
    }
    return this->settings.lease_duration + this->settings.order_validity;
}

ownership_service::zone_pointer ownership_service::find_zone(std::string_view upstream) const {
    const auto description = this->upstreams.find(upstream);
    if(!description) {
        return nullptr;
    }
    const std::lock_guard lock{this->mutex};
    const auto found = this->zones.find(description->availability_zone);
    return found == this->zones.end() ? nullptr : found->second;
}

// Passes the current members and upstreams to the protocol of each zone, and adds new zones. Both lists are
// replaced as a whole when they change, so equal pointers mean equal lists.
void ownership_service::update_zones() {
    const auto members = this->membership.members();
    const auto known = this->upstreams.all();
    if(members == this->last_members && known == this->last_upstreams) {
        return;
    }
    this->last_members = members;
    this->last_upstreams = known;
    std::map<std::string, fleet::zone_view, std::less<>> views{};
    for(const auto& [name, description] : *known) {
        views[description.availability_zone].upstreams.push_back(
            fleet::zone_upstream{.name = name, .checks_fencing_token = description.checks_fencing_token});
    }
    for(auto& [name, view] : views) {
        view.candidates = fleet::ownership_candidates(*members, name);
        view.live_nodes = fleet::live_node_ids(*members);
        zone_pointer zone{};
        {
            const std::lock_guard lock{this->mutex};
            auto& existing = this->zones[name];
            if(!existing) {
                existing =
                    std::make_shared<zone_state>(fleet::ownership{this->settings, this->membership.local_node(), name});
            }
            zone = existing;
        }
        std::vector<fleet::ownership_action> actions{};
        bool fetch{};
        {
            const std::lock_guard lock{zone->mutex};
            fetch = !std::exchange(zone->peers_queried, true);
            actions = zone->protocol.on_view(this->clock.now(), std::move(view));
        }
        if(fetch) {
            asio::co_spawn(
                asio::make_strand(this->context),
                [self = this->shared_from_this(), zone, name = name]() -> asio::awaitable<void> {
                    co_await self->fetch_snapshot_from_peers(zone, name);
                },
                core::task_end{"ownership_snapshot"});
        }
        this->execute_actions(zone, std::move(actions));
    }
}

asio::awaitable<void> ownership_service::run_timers() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while(!this->stopping.load()) {
        if(this->membership.joined()) {
            this->update_zones();
        }
        this->step_all_zones([this](fleet::ownership& protocol) { return protocol.tick(this->clock.now()); });
        timer.expires_after(timer_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ownership_service::fetch_snapshot_from_peers(zone_pointer zone, std::string name) {
    auto clients = this->peers.live_peers();
    clients.resize(std::min(clients.size(), peers_queried_max));
    const auto body = wire::pack(wire::ownership_get{.zone = name});
    for(const auto& client : clients) {
        const auto answer = co_await client->call(wire::message_type::ownership_get, body, peer_timeout);
        if(!answer) {
            continue;
        }
        auto reply = wire::unpack<wire::ownership_reply>(answer->body);
        if(!reply || reply->version == 0u) {
            continue;
        }
        {
            const std::lock_guard lock{zone->mutex};
            zone->protocol.on_snapshot(this->clock.now(),
                fleet::ownership_snapshot{.version = reply->version, .body = std::move(reply->body)});
        }
        this->notify_change();
    }
}

void ownership_service::execute_actions(const zone_pointer& zone, std::vector<fleet::ownership_action> actions) {
    for(auto& action : actions) {
        asio::co_spawn(
            asio::make_strand(this->context),
            [self = this->shared_from_this(), zone, action = std::move(action)]() -> asio::awaitable<void> {
                if(const auto* read_action = std::get_if<fleet::read_object>(&action); read_action != nullptr) {
                    co_await self->read_object(zone, *read_action);
                } else {
                    co_await self->write_object(zone, std::get<fleet::write_object>(action));
                }
            },
            core::task_end{"ownership_action"});
    }
}

asio::awaitable<void> ownership_service::read_object(zone_pointer zone, fleet::read_object action) {
    fleet::read_result result{.operation = action.operation, .started = this->clock.now()};
    auto answer = co_await this->objects.get(zone->protocol.object_name(), action.known_version);
    if(!answer) {
        const bool missing = answer.error().cause == core::reason::not_found;
        result.status = missing ? fleet::read_status::missing : fleet::read_status::failed;
    } else if(!answer->has_value()) {
        result.status = fleet::read_status::unchanged;
        result.version = action.known_version;
    } else {
        result.status = fleet::read_status::changed;
        result.version = (*answer)->version;
        result.body = std::move((*answer)->body);
    }
    std::vector<fleet::ownership_action> actions{};
    {
        const std::lock_guard lock{zone->mutex};
        actions = zone->protocol.on_read(this->clock.now(), result);
    }
    this->execute_actions(zone, std::move(actions));
    if(result.status == fleet::read_status::changed) {
        this->notify_change();
    }
}

asio::awaitable<void> ownership_service::write_object(zone_pointer zone, fleet::write_object action) {
    const auto answer =
        co_await this->objects.put(zone->protocol.object_name(), std::move(action.body), action.expected_version);
    fleet::write_result result{.operation = action.operation};
    if(answer) {
        result.status = fleet::write_status::ok;
        result.version = *answer;
    } else if(answer.error().cause == core::reason::conflict) {
        result.status = fleet::write_status::conflict;
    } else {
        const bool not_applied = answer.error().verdict == core::verdict::not_run;
        result.status = not_applied ? fleet::write_status::failed : fleet::write_status::unknown;
    }
    std::vector<fleet::ownership_action> actions{};
    {
        const std::lock_guard lock{zone->mutex};
        actions = zone->protocol.on_write(this->clock.now(), result);
    }
    this->execute_actions(zone, std::move(actions));
    this->notify_change();
}

void ownership_service::notify_change() {
    std::vector<change_callback> listeners{};
    {
        const std::lock_guard lock{this->mutex};
        listeners = this->callbacks;
    }
    for(const auto& callback : listeners) {
        callback();
    }
}

} // namespace lagoonsaddle::gateway
