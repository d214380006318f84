#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/config_service.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::string_view config_prefix{"config/"};
constexpr std::string_view config_item_kind{"config"};
// Only the rules are watched; changes of other objects are found by the listing after each watch.
constexpr std::chrono::milliseconds watch_timeout{3'000};
constexpr std::chrono::milliseconds node_query_interval{1'000};
constexpr std::chrono::milliseconds watch_retry_delay{1'000};
constexpr std::chrono::milliseconds fetch_interval{50};
constexpr std::chrono::milliseconds peer_timeout{1'000};
/*! @brief Nodes asked after the announcer of a version and the store have failed to give it. */
constexpr std::size_t other_sources_max = 3u;
// Nodes that do not watch list the versions at this interval, in case the watcher is partitioned without being
// detected.
constexpr std::chrono::seconds list_interval{30};

[[nodiscard]] asio::awaitable<void> sleep_for(std::chrono::milliseconds delay) {
    asio::steady_timer timer{co_await asio::this_coro::executor, delay};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

config_service::config_service(asio::io_context& context, const core::clock& clock, platform::object_store& objects,
    cluster::membership_service& membership, cluster::peer_directory& peers, std::string zone)
    : context{context},
      clock{clock},
      objects{objects},
      store{objects},
      membership{membership},
      peers{peers},
      zone{std::move(zone)} {}

void config_service::start() {
    const auto spawn = [this](asio::awaitable<void> (config_service::*task)()) {
        asio::co_spawn(
            asio::make_strand(this->context),
            [self = this->shared_from_this(), task]() -> asio::awaitable<void> { co_await ((*self).*task)(); },
            core::task_end{"config_service"});
    };
    spawn(&config_service::run_watch_loop);
    spawn(&config_service::run_fetch_loop);
}

void config_service::stop() {
    this->stopping = true;
}

void config_service::on_applied(applied_callback callback) {
    const std::lock_guard lock{this->mutex};
    this->callbacks.push_back(std::move(callback));
}

void config_service::merge(const fleet::gossip_item& item) {
    const std::lock_guard lock{this->mutex};
    if(item.kind == config_item_kind) {
        if(this->replica.observe_version(item.key, item.version)) {
            this->announcers.insert_or_assign(item.key, item.value);
        }
    }
}

std::optional<fleet::config_object> config_service::find(std::string_view name) const {
    const std::lock_guard lock{this->mutex};
    const auto* found = this->replica.find(name);
    return found == nullptr ? std::nullopt : std::optional{*found};
}

asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> config_service::save(
    platform::config_change change) {
    auto name = change.name;
    auto saved = co_await this->store.save(std::move(change));
    if(saved) {
        co_await this->fetch_from_store(std::move(name));
    }
    co_return saved;
}

asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> config_service::undo(
    platform::config_change change, platform::object_version version) {
    auto name = change.name;
    auto saved = co_await this->store.undo(std::move(change), version);
    if(saved) {
        co_await this->fetch_from_store(std::move(name));
    }
    co_return saved;
}

bool config_service::ready() const {
    const std::lock_guard lock{this->mutex};
    return this->replica.ready();
}

std::map<std::uint64_t, std::size_t> config_service::count_nodes_by_version(std::string_view name) {
    bool query_due{};
    std::map<std::uint64_t, std::size_t> counts{};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->clock.now();
        query_due = !this->last_node_query_at || now - *this->last_node_query_at >= node_query_interval;
        if(query_due) {
            this->last_node_query_at = now;
        }
        counts = this->replica.count_nodes_by_version(name);
        if(const auto* local = this->replica.find(name); local != nullptr) {
            ++counts[local->version];
        }
    }
    if(query_due) {
        for(const auto& node : this->peers.live_peer_names()) {
            asio::co_spawn(
                asio::make_strand(this->context),
                [self = this->shared_from_this(), node, name = std::string{name}]() -> asio::awaitable<void> {
                    co_await self->query_node_version(node, name);
                },
                core::task_end{"config_version_query"});
        }
    }
    return counts;
}

asio::awaitable<void> config_service::query_node_version(std::string node, std::string name) {
    const auto client = this->peers.find(node);
    if(!client) {
        const std::lock_guard lock{this->mutex};
        this->replica.forget_node(node);
        co_return;
    }
    const wire::config_get request{.name = name, .version_only = true};
    const auto response = co_await client->call(wire::message_type::config_get, wire::pack(request), peer_timeout);
    if(!response) {
        co_return;
    }
    const auto reply = wire::unpack<wire::config_reply>(response->body);
    if(reply) {
        const std::lock_guard lock{this->mutex};
        this->replica.record_node_version(node, 0u, name, reply->version);
    }
}

void config_service::forget_node(std::string_view node) {
    const std::lock_guard lock{this->mutex};
    this->replica.forget_node(node);
}

std::vector<fleet::config_version> config_service::applied_versions() const {
    const std::lock_guard lock{this->mutex};
    return this->replica.applied_versions();
}

bool config_service::is_watcher() const {
    std::vector<std::string> names{};
    const auto members = this->membership.members();
    for(const auto& member : *members) {
        if(member.is_live() && member.info.availability_zone == this->zone) {
            names.push_back(member.info.name);
        }
    }
    if(names.empty()) {
        return false;
    }
    const auto ranking = core::rendezvous_rank("config-watch", names);
    return names[ranking.front()] == this->peers.local_node_name();
}

asio::awaitable<void> config_service::run_watch_loop() {
    auto next_list = this->clock.now();
    while(!this->stopping.load()) {
        if(this->is_watcher() || this->clock.now() >= next_list) {
            const bool listed = co_await this->list_versions();
            next_list = this->clock.now() + list_interval;
            if(!listed) {
                co_await sleep_for(watch_retry_delay);
                next_list = this->clock.now();
                continue;
            }
        }
        if(!this->is_watcher()) {
            co_await sleep_for(watch_retry_delay);
            continue;
        }
        // Rule changes are urgent, since operators use rules in incidents; other objects are found by the next listing.
        const std::string name{"rules"};
        std::uint64_t known{};
        {
            const std::lock_guard lock{this->mutex};
            const auto* current = this->replica.find(name);
            known = current == nullptr ? 0u : current->version;
        }
        auto watched = co_await this->objects.watch(platform::config_object_name(name), known, watch_timeout);
        if(!watched) {
            co_await sleep_for(watch_retry_delay);
        } else if(watched->has_value()) {
            this->apply(fleet::config_object{
                .name = name, .version = (*watched)->version, .body = std::move((*watched)->body)});
        }
    }
}

asio::awaitable<bool> config_service::list_versions() {
    const auto listed = co_await this->objects.list(std::string{config_prefix});
    if(!listed) {
        co_return false;
    }
    const std::lock_guard lock{this->mutex};
    std::vector<fleet::config_version> found{};
    for(const auto& entry : *listed) {
        auto name = entry.name.substr(config_prefix.size());
        this->replica.observe_version(name, entry.version);
        found.push_back(fleet::config_version{.name = std::move(name), .version = entry.version});
    }
    if(!std::exchange(this->required_versions_set, true)) {
        this->replica.require_versions(found);
    }
    co_return true;
}

asio::awaitable<void> config_service::run_fetch_loop() {
    while(!this->stopping.load()) {
        // A node that joined through a live peer has received its versions, so it can become ready without the object
        // API.
        if(this->membership.joined() && this->membership.members()->size() > 1u) {
            std::vector<fleet::config_version> known{};
            for(const auto& item : this->membership.items(config_item_kind)) {
                known.push_back(fleet::config_version{.name = item.key, .version = item.version});
            }
            const std::lock_guard lock{this->mutex};
            if(!std::exchange(this->required_versions_set, true)) {
                this->replica.require_versions(known);
            }
        }
        std::vector<fleet::config_version> wanted{};
        {
            const std::lock_guard lock{this->mutex};
            wanted = this->replica.begin_fetches(this->clock.now());
        }
        for(const auto& version : wanted) {
            co_await this->fetch(version);
        }
        co_await sleep_for(fetch_interval);
    }
}

asio::awaitable<void> config_service::fetch(fleet::config_version wanted) {
    std::string announcer{};
    {
        const std::lock_guard lock{this->mutex};
        if(const auto found = this->announcers.find(wanted.name); found != this->announcers.end()) {
            announcer = found->second;
        }
    }
    auto is_fetched = co_await this->fetch_from_node(announcer, wanted);
    if(!is_fetched) {
        is_fetched = co_await this->fetch_from_store(wanted.name);
    }
    if(!is_fetched) {
        is_fetched = co_await this->fetch_from_any_node(std::move(announcer), wanted);
    }
    if(!is_fetched) {
        const std::lock_guard lock{this->mutex};
        this->replica.on_fetch_failed(wanted.name);
    }
}

asio::awaitable<bool> config_service::fetch_from_node(std::string node, fleet::config_version wanted) {
    const auto client = this->peers.find(node);
    if(!client || node == this->peers.local_node_name()) {
        co_return false;
    }
    // A separate variable, since g++ 12 destroys an aggregate temporary in an expression with co_await twice.
    const wire::config_get request{.name = wanted.name};
    auto packed = wire::pack(request);
    const auto response = co_await client->call(wire::message_type::config_get, std::move(packed), peer_timeout);
    if(!response) {
        co_return false;
    }
    auto reply = wire::unpack<wire::config_reply>(response->body);
    if(!reply || reply->version < wanted.version) {
        co_return false;
    }
    this->apply(fleet::config_object{.name = wanted.name, .version = reply->version, .body = std::move(reply->body)});
    co_return true;
}

asio::awaitable<bool> config_service::fetch_from_any_node(std::string announcer, fleet::config_version wanted) {
    auto nodes = this->peers.live_peer_names();
    std::erase(nodes, announcer);
    std::shuffle(nodes.begin(), nodes.end(), std::mt19937_64{std::random_device{}()});
    nodes.resize(std::min(nodes.size(), other_sources_max));
    for(auto& node : nodes) {
        if(co_await this->fetch_from_node(std::move(node), wanted)) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<bool> config_service::fetch_from_store(std::string name) {
    auto object = co_await this->objects.get(platform::config_object_name(name), 0u);
    if(!object || !object->has_value()) {
        co_return false;
    }
    this->apply(fleet::config_object{
        .name = std::move(name), .version = (*object)->version, .body = std::move((*object)->body)});
    co_return true;
}

void config_service::apply(const fleet::config_object& object) {
    const platform::object stored{
        .name = platform::config_object_name(object.name), .body = object.body, .version = object.version};
    const auto document = platform::decode_config(stored);
    if(!document) {
        LOG(ERROR) << "event=config_rejected name=" << object.name << " version=" << object.version
                   << " error=" << document.error().message;
    }
    std::vector<applied_callback> callbacks_copy{};
    bool is_new_version{};
    {
        const std::lock_guard lock{this->mutex};
        is_new_version = this->replica.apply(object);
        const auto* current = this->replica.find(object.name);
        if(!is_new_version && (current == nullptr || current->version != object.version)) {
            return;
        }
        callbacks_copy = this->callbacks;
    }
    if(is_new_version) {
        LOG(INFO) << "event=config_applied name=" << object.name << " version=" << object.version;
        this->membership.publish(fleet::gossip_item{.kind = std::string{config_item_kind},
            .key = object.name,
            .version = object.version,
            .value = this->peers.local_node_name()});
    }
    // Runs also when another thread has applied this version but has not called the callbacks yet, so that they have
    // been called on return.
    if(!document) {
        return;
    }
    const std::lock_guard lock{this->delivery_mutex};
    auto& last_delivered = this->delivered_versions[object.name];
    if(object.version > last_delivered) {
        last_delivered = object.version;
        for(const auto& callback : callbacks_copy) {
            callback(*document);
        }
    }
}

} // namespace lagoonsaddle::gateway
