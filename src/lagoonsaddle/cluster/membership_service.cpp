#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/core/address_wait.hpp>
#include <lagoonsaddle/core/task.hpp>

namespace lagoonsaddle::cluster {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t receive_buffer_bytes{2'048u};
constexpr std::chrono::milliseconds tick_interval{40};

} // namespace

membership_service::membership_service(
    asio::io_context& context, const core::clock& clock, fleet::membership_settings protocol_settings)
    : clock_source{clock}, settings{protocol_settings}, strand{asio::make_strand(context)}, socket{this->strand} {}

core::result<core::endpoint> membership_service::bind(const core::endpoint& listen) {
    boost::system::error_code failure{};
    const auto address = asio::ip::make_address(listen.address, failure);
    if(!failure) {
        failure = core::bind_when_free(
            [this, local = udp::endpoint{address, listen.port}] { return this->open_socket(local); });
    }
    if(failure) {
        return core::fail(core::reason::unavailable,
            "cannot bind the membership UDP socket to " + core::to_string(listen) + ": " + failure.message());
    }
    return core::endpoint{.address = listen.address, .port = this->socket.local_endpoint(failure).port()};
}

boost::system::error_code membership_service::open_socket(const udp::endpoint& local) {
    boost::system::error_code failure{};
    this->socket.open(local.protocol(), failure);
    if(!failure) {
        this->socket.bind(local, failure);
    }
    if(failure) {
        boost::system::error_code ignored{};
        this->socket.close(ignored);
    }
    return failure;
}

void membership_service::start(fleet::member_info self, std::vector<core::endpoint> seeds) {
    {
        const std::lock_guard lock{this->mutex};
        this->protocol = std::make_unique<fleet::membership>(
            this->settings, std::move(self), std::move(seeds), std::random_device{}());
        this->current_members = std::make_shared<const std::vector<fleet::member>>(this->protocol->members());
    }
    core::start_service(this->strand, "membership_datagrams",
        [service = this->shared_from_this()]() -> asio::awaitable<void> { co_await service->receive_datagrams(); });
    core::start_service(this->strand, "membership_timers",
        [service = this->shared_from_this()]() -> asio::awaitable<void> { co_await service->run_timers(); });
}

void membership_service::on_item(item_callback callback) {
    const std::lock_guard lock{this->mutex};
    this->item_callbacks.push_back(std::move(callback));
}

void membership_service::on_member_change(member_change_callback callback) {
    const std::lock_guard lock{this->mutex};
    this->member_change_callbacks.push_back(std::move(callback));
}

bool membership_service::publish(fleet::gossip_item item) {
    const std::lock_guard lock{this->mutex};
    return this->protocol && this->protocol->publish(this->clock_source.now(), std::move(item));
}

void membership_service::add_seeds(std::span<const core::endpoint> endpoints) {
    const std::lock_guard lock{this->mutex};
    if(this->protocol) {
        this->protocol->add_seeds(endpoints);
    }
}

void membership_service::announce_leaving() {
    std::vector<fleet::datagram> datagrams{};
    {
        const std::lock_guard lock{this->mutex};
        if(this->protocol) {
            datagrams = this->protocol->announce_leaving(this->clock_source.now());
        }
    }
    this->send_datagrams(std::move(datagrams));
}

void membership_service::stop() {
    std::vector<fleet::datagram> datagrams{};
    {
        const std::lock_guard lock{this->mutex};
        if(this->protocol && !this->stopped) {
            datagrams = this->protocol->announce_left(this->clock_source.now());
        }
        this->stopped = true;
    }
    this->send_datagrams(std::move(datagrams));
    asio::post(this->strand, [service = this->shared_from_this()] {
        boost::system::error_code ignored{};
        service->socket.close(ignored);
    });
}

bool membership_service::joined() const {
    const std::lock_guard lock{this->mutex};
    return this->protocol && this->protocol->joined();
}

fleet::node_id membership_service::local_node() const {
    const std::lock_guard lock{this->mutex};
    const auto& info = this->protocol->self().info;
    return fleet::node_id{.name = info.name, .boot_id = info.boot_id};
}

membership_service::member_snapshot membership_service::members() const {
    const std::lock_guard lock{this->mutex};
    return this->current_members;
}

std::optional<fleet::member> membership_service::find_live_member(std::string_view name) const {
    const auto snapshot = this->members();
    const auto found = std::find_if(
        snapshot->begin(), snapshot->end(), [name](const fleet::member& other) { return other.info.name == name; });
    if(found == snapshot->end() || !found->is_live()) {
        return std::nullopt;
    }
    return *found;
}

std::vector<fleet::gossip_item> membership_service::items(std::string_view kind) const {
    const std::lock_guard lock{this->mutex};
    return this->protocol ? this->protocol->items(kind) : std::vector<fleet::gossip_item>{};
}

fleet::membership_counters membership_service::counters() const {
    const std::lock_guard lock{this->mutex};
    return this->protocol ? this->protocol->counters() : fleet::membership_counters{};
}

asio::awaitable<void> membership_service::receive_datagrams() {
    std::array<char, receive_buffer_bytes> buffer{};
    while(this->socket.is_open()) {
        udp::endpoint sender{};
        boost::system::error_code failure{};
        const auto count = co_await this->socket.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, failure));
        if(failure == asio::error::operation_aborted || failure == asio::error::bad_descriptor) {
            co_return;
        }
        // Any other error reports an unreachable peer of an earlier send.
        if(failure) {
            continue;
        }
        const core::endpoint sender_endpoint{.address = sender.address().to_string(), .port = sender.port()};
        std::vector<fleet::datagram> replies{};
        {
            const std::lock_guard lock{this->mutex};
            if(this->stopped) {
                co_return;
            }
            replies = this->protocol->receive(
                this->clock_source.now(), sender_endpoint, std::string_view{buffer.data(), count});
        }
        this->send_datagrams(std::move(replies));
        this->dispatch_events();
    }
}

asio::awaitable<void> membership_service::run_timers() {
    asio::steady_timer timer{this->strand};
    while(true) {
        std::vector<fleet::datagram> datagrams{};
        {
            const std::lock_guard lock{this->mutex};
            if(this->stopped) {
                co_return;
            }
            datagrams = this->protocol->tick(this->clock_source.now());
        }
        this->send_datagrams(std::move(datagrams));
        this->dispatch_events();
        timer.expires_after(tick_interval);
        boost::system::error_code ignored{};
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void membership_service::send_datagrams(std::vector<fleet::datagram> datagrams) {
    if(datagrams.empty()) {
        return;
    }
    asio::dispatch(this->strand, [service = this->shared_from_this(), datagrams = std::move(datagrams)] {
        for(const auto& datagram : datagrams) {
            boost::system::error_code failure{};
            const auto address = asio::ip::make_address(datagram.to.address, failure);
            if(!failure) {
                // A datagram that does not fit into the socket buffer is lost; the protocol tolerates lost datagrams.
                service->socket.send_to(
                    asio::buffer(datagram.bytes), udp::endpoint{address, datagram.to.port}, 0, failure);
            }
        }
    });
}

void membership_service::dispatch_events() {
    std::vector<fleet::gossip_item> items{};
    std::vector<fleet::member_change> changes{};
    std::vector<item_callback> registered_item_callbacks{};
    std::vector<member_change_callback> registered_change_callbacks{};
    {
        const std::lock_guard lock{this->mutex};
        items = this->protocol->take_items();
        changes = this->protocol->take_changes();
        if(!changes.empty()) {
            this->current_members = std::make_shared<const std::vector<fleet::member>>(this->protocol->members());
        }
        if(!items.empty()) {
            registered_item_callbacks = this->item_callbacks;
        }
        if(!changes.empty()) {
            registered_change_callbacks = this->member_change_callbacks;
        }
    }
    for(const auto& callback : registered_change_callbacks) {
        for(const auto& change : changes) {
            callback(change);
        }
    }
    for(const auto& callback : registered_item_callbacks) {
        for(const auto& item : items) {
            callback(item);
        }
    }
}

} // namespace lagoonsaddle::cluster
