#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/task.hpp>

namespace lagoonsaddle::cluster {

namespace asio = boost::asio;

namespace {

/*! @brief Time in which the last frames of a node that has left are read. */
constexpr std::chrono::milliseconds left_node_read_time{2'000};

} // namespace

bool has_failed(const fleet::member_change& change) noexcept {
    return change.restarted || change.member.state == fleet::member_state::dead;
}

peer_directory::peer_directory(asio::io_context& io_context, const membership_service& members, wire::hello self)
    : context{io_context}, membership{members}, hello_message{std::move(self)} {}

std::shared_ptr<wire::peer_client> peer_directory::find(std::string_view node) {
    const auto member = this->membership.find_live_member(node);
    return member ? this->client_for(*member) : nullptr;
}

std::vector<std::shared_ptr<wire::peer_client>> peer_directory::live_peers() {
    std::vector<std::shared_ptr<wire::peer_client>> clients{};
    const auto members = this->membership.members();
    for(const auto& member : *members) {
        if(member.is_live() && member.info.name != this->hello_message.node) {
            clients.push_back(this->client_for(member));
        }
    }
    return clients;
}

std::vector<std::string> peer_directory::live_peer_names() const {
    std::vector<std::string> names{};
    const auto members = this->membership.members();
    for(const auto& member : *members) {
        if(member.is_live() && member.info.name != this->hello_message.node) {
            names.push_back(member.info.name);
        }
    }
    return names;
}

void peer_directory::end_connection(const fleet::member_change& change) {
    std::shared_ptr<wire::peer_client> removed{};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->connections.find(change.member.info.name);
        if(found == this->connections.end()) {
            return;
        }
        removed = std::move(found->second.client);
        this->connections.erase(found);
    }
    if(has_failed(change)) {
        removed->close();
        return;
    }
    // The process closes the connection when it ends; the timer is for one whose end does not arrive.
    asio::co_spawn(
        this->context,
        [client = std::move(removed)]() -> asio::awaitable<void> {
            asio::steady_timer timer{co_await asio::this_coro::executor, left_node_read_time};
            boost::system::error_code ignored{};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            client->close();
        },
        core::task_end{"left_node_connection"});
}

void peer_directory::broadcast(wire::message_type type, const std::string& body) {
    for(auto& client : this->live_peers()) {
        asio::co_spawn(
            asio::make_strand(this->context),
            [client, type, body]() -> asio::awaitable<void> { co_await client->notify(type, body); },
            core::task_end{"peer_broadcast"});
    }
}

std::shared_ptr<wire::peer_client> peer_directory::client_for(const fleet::member& node) {
    std::shared_ptr<wire::peer_client> replaced{};
    std::shared_ptr<wire::peer_client> current{};
    {
        const std::lock_guard lock{this->mutex};
        auto& connection = this->connections[node.info.name];
        if(!connection.client || connection.target != node.info.tcp || connection.boot_id != node.info.boot_id) {
            replaced = std::move(connection.client);
            connection.target = node.info.tcp;
            connection.boot_id = node.info.boot_id;
            connection.client = std::make_shared<wire::peer_client>(
                this->context, wire::peer_client_options{.target = node.info.tcp, .self = this->hello_message});
        }
        current = connection.client;
    }
    if(replaced) {
        replaced->close();
    }
    return current;
}

} // namespace lagoonsaddle::cluster
