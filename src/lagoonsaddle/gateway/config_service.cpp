#include <algorithm>
#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/gateway/config_service.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/messages.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::string_view config_prefix{"config/"};
constexpr std::string_view config_item_kind{"config"};
// Objects other than the rules are found by the list after each watch.
constexpr std::chrono::milliseconds watch_timeout{3'000};
constexpr std::chrono::milliseconds ask_interval{1'000};
constexpr std::chrono::milliseconds watch_retry{1'000};
constexpr std::chrono::milliseconds fetch_interval{50};
constexpr std::chrono::milliseconds peer_timeout{1'000};
// A node that does not watch reads the versions itself this often, in case the watching node is cut off unnoticed.
constexpr std::chrono::seconds list_interval{30};

[[nodiscard]] asio::awaitable<void> pause(std::chrono::milliseconds time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ignored{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

config_service::config_service(asio::io_context& io, const core::clock& clock, platform::object_store& store,
    cluster::membership_service& members, cluster::peer_directory& connections, std::string availability_zone)
    : context{io},
      time{clock},
      objects{store},
      store{store},
      membership{members},
      peers{connections},
      zone{std::move(availability_zone)} {}

void config_service::start() {
    const auto spawn = [this](asio::awaitable<void> (config_service::*task)()) {
        asio::co_spawn(
            asio::make_strand(this->context),
            [keep = this->shared_from_this(), task]() -> asio::awaitable<void> { co_await ((*keep).*task)(); },
            asio::detached);
    };
    spawn(&config_service::run_watch);
    spawn(&config_service::run_fetch);
}

void config_service::stop() {
    this->stopping = true;
}

void config_service::on_applied(applied_callback callback) {
    const std::lock_guard lock{this->mutex};
    this->callbacks.push_back(std::move(callback));
}

void config_service::receive(const fleet::gossip_item& value) {
    const std::lock_guard lock{this->mutex};
    if(value.kind == config_item_kind) {
        if(this->versions.observe_version(value.key, value.version)) {
            this->announcers.insert_or_assign(value.key, value.value);
        }
    }
}

std::optional<fleet::config_object> config_service::find(std::string_view name) const {
    const std::lock_guard lock{this->mutex};
    const auto* found = this->versions.find(name);
    return found == nullptr ? std::nullopt : std::optional{*found};
}

asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> config_service::save(
    platform::config_change change) {
    auto name = change.name;
    auto saved = co_await this->store.save(std::move(change));
    if(saved) {
        co_await this->refresh(std::move(name));
    }
    co_return saved;
}

asio::awaitable<tl::expected<platform::object_version, platform::save_failure>> config_service::undo(
    platform::config_change change, platform::object_version version) {
    auto name = change.name;
    auto saved = co_await this->store.undo(std::move(change), version);
    if(saved) {
        co_await this->refresh(std::move(name));
    }
    co_return saved;
}

bool config_service::ready() const {
    const std::lock_guard lock{this->mutex};
    return this->versions.ready();
}

std::map<std::uint64_t, std::size_t> config_service::reported(std::string_view name) {
    bool ask{};
    std::map<std::uint64_t, std::size_t> counts{};
    {
        const std::lock_guard lock{this->mutex};
        const auto now = this->time.now();
        ask = !this->asked_nodes_at || now - *this->asked_nodes_at >= ask_interval;
        if(ask) {
            this->asked_nodes_at = now;
        }
        counts = this->versions.count_nodes_by_version(name);
        if(const auto* own = this->versions.find(name); own != nullptr) {
            ++counts[own->version];
        }
    }
    if(ask) {
        for(const auto& node : this->peers.live_peer_names()) {
            asio::co_spawn(
                asio::make_strand(this->context),
                [keep = this->shared_from_this(), node, name = std::string{name}]() -> asio::awaitable<void> {
                    co_await keep->ask_version(node, name);
                },
                asio::detached);
        }
    }
    return counts;
}

asio::awaitable<void> config_service::ask_version(std::string node, std::string name) {
    const auto client = this->peers.find(node);
    if(!client) {
        const std::lock_guard lock{this->mutex};
        this->versions.forget_node(node);
        co_return;
    }
    const wire::config_get question{.name = name, .version_only = true};
    const auto answer = co_await client->call(wire::message_type::config_get, wire::pack(question), peer_timeout);
    if(!answer) {
        co_return;
    }
    const auto reply = wire::unpack<wire::config_reply>(answer->body);
    if(reply) {
        const std::lock_guard lock{this->mutex};
        this->versions.record_node_version(node, 0u, name, reply->version);
    }
}

void config_service::node_lost(std::string_view node) {
    const std::lock_guard lock{this->mutex};
    this->versions.forget_node(node);
}

std::vector<fleet::config_version> config_service::applied() const {
    const std::lock_guard lock{this->mutex};
    return this->versions.applied_versions();
}

bool config_service::watches() const {
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
    const auto order = core::rendezvous_rank("config-watch", names);
    return names[order.front()] == this->peers.local_node_name();
}

asio::awaitable<void> config_service::run_watch() {
    auto next_list = this->time.now();
    while(!this->stopping.load()) {
        if(this->watches() || this->time.now() >= next_list) {
            const bool listed = co_await this->list_versions();
            next_list = this->time.now() + list_interval;
            if(!listed) {
                co_await pause(watch_retry);
                next_list = this->time.now();
                continue;
            }
        }
        if(!this->watches()) {
            co_await pause(watch_retry);
            continue;
        }
        // Rules are what operators change under pressure; the other objects are found by the list after the watch.
        const std::string name{"rules"};
        std::uint64_t known{};
        {
            const std::lock_guard lock{this->mutex};
            const auto* current = this->versions.find(name);
            known = current == nullptr ? 0u : current->version;
        }
        auto seen = co_await this->objects.watch(platform::config_object_name(name), known, watch_timeout);
        if(!seen) {
            co_await pause(watch_retry);
        } else if(seen->has_value()) {
            this->apply(
                fleet::config_object{.name = name, .version = (*seen)->version, .body = std::move((*seen)->body)});
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
        this->versions.observe_version(name, entry.version);
        found.push_back(fleet::config_version{.name = std::move(name), .version = entry.version});
    }
    if(!std::exchange(this->seeds_asked, true)) {
        this->versions.require_versions(found);
    }
    co_return true;
}

asio::awaitable<void> config_service::run_fetch() {
    while(!this->stopping.load()) {
        // A node that joined through a live peer knows what that peer knows, also without the object API.
        if(this->membership.joined() && this->membership.members()->size() > 1u) {
            std::vector<fleet::config_version> known{};
            for(const auto& value : this->membership.items(config_item_kind)) {
                known.push_back(fleet::config_version{.name = value.key, .version = value.version});
            }
            const std::lock_guard lock{this->mutex};
            if(!std::exchange(this->seeds_asked, true)) {
                this->versions.require_versions(known);
            }
        }
        std::vector<fleet::config_version> wanted{};
        {
            const std::lock_guard lock{this->mutex};
            wanted = this->versions.begin_fetches(this->time.now());
        }
        for(const auto& version : wanted) {
            co_await this->fetch(version);
        }
        co_await pause(fetch_interval);
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
    if(const auto client = this->peers.find(announcer); client && announcer != this->peers.local_node_name()) {
        // Named first: g++ 12 destroys an aggregate in an expression with co_await twice.
        const wire::config_get question{.name = wanted.name};
        auto packed = wire::pack(question);
        const auto answer = co_await client->call(wire::message_type::config_get, std::move(packed), peer_timeout);
        if(answer) {
            auto reply = wire::unpack<wire::config_reply>(answer->body);
            if(reply && reply->version >= wanted.version) {
                this->apply(fleet::config_object{
                    .name = wanted.name, .version = reply->version, .body = std::move(reply->body)});
                co_return;
            }
        }
    }
    co_await this->refresh(wanted.name);
}

asio::awaitable<void> config_service::refresh(std::string name) {
    auto read = co_await this->objects.get(platform::config_object_name(name), 0u);
    if(read && read->has_value()) {
        this->apply(fleet::config_object{
            .name = std::move(name), .version = (*read)->version, .body = std::move((*read)->body)});
    } else {
        const std::lock_guard lock{this->mutex};
        this->versions.on_fetch_failed(name);
    }
}

void config_service::apply(const fleet::config_object& object) {
    const platform::object stored{
        .name = platform::config_object_name(object.name), .body = object.body, .version = object.version};
    const auto document = platform::decode_config(stored);
    if(!document) {
        LOG(ERROR) << "event=config_rejected name=" << object.name << " version=" << object.version
                   << " error=" << document.error().message;
    }
    std::vector<applied_callback> receivers{};
    bool fresh{};
    {
        const std::lock_guard lock{this->mutex};
        fresh = this->versions.apply(object);
        const auto* current = this->versions.find(object.name);
        if(!fresh && (current == nullptr || current->version != object.version)) {
            return;
        }
        receivers = this->callbacks;
    }
    if(fresh) {
        LOG(INFO) << "event=config_applied name=" << object.name << " version=" << object.version;
        this->membership.publish(fleet::gossip_item{.kind = std::string{config_item_kind},
            .key = object.name,
            .version = object.version,
            .value = this->peers.local_node_name()});
    }
    // Also when another thread has just applied this version and not yet delivered it, so that it is in force on
    // return.
    if(!document) {
        return;
    }
    const std::lock_guard lock{this->delivery};
    auto& last = this->delivered[object.name];
    if(object.version > last) {
        last = object.version;
        for(const auto& callback : receivers) {
            callback(*document);
        }
    }
}

} // namespace lagoonsaddle::gateway
