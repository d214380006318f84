#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <lagoonsaddle/cluster/peer_directory.hpp>

namespace lagoonsaddle::cluster {

namespace asio = boost::asio;

peer_directory::peer_directory(asio::io_context& io, const membership_service& members, wire::hello self)
    : context{io}, membership{members}, greeting{std::move(self)} {}

std::shared_ptr<wire::peer_client> peer_directory::find(std::string_view node) {
    const auto member = this->membership.find_live(node);
    return member ? this->connect(*member) : nullptr;
}

std::vector<std::shared_ptr<wire::peer_client>> peer_directory::all() {
    std::vector<std::shared_ptr<wire::peer_client>> clients{};
    const auto members = this->membership.members();
    for(const auto& member : *members) {
        if(member.is_live() && member.info.name != this->greeting.node) {
            clients.push_back(this->connect(member));
        }
    }
    return clients;
}

std::vector<std::string> peer_directory::live_names() const {
    std::vector<std::string> names{};
    const auto members = this->membership.members();
    for(const auto& member : *members) {
        if(member.is_live() && member.info.name != this->greeting.node) {
            names.push_back(member.info.name);
        }
    }
    return names;
}

void peer_directory::drop(std::string_view node) {
    std::shared_ptr<wire::peer_client> closed{};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->entries.find(node);
        if(found == this->entries.end()) {
            return;
        }
        closed = std::move(found->second.client);
        this->entries.erase(found);
    }
    closed->close();
}

void peer_directory::broadcast(wire::message_type type, const std::string& body) {
    for(auto& client : this->all()) {
        asio::co_spawn(
            asio::make_strand(this->context),
            [client, type, body]() -> asio::awaitable<void> { co_await client->notify(type, body); }, asio::detached);
    }
}

std::shared_ptr<wire::peer_client> peer_directory::connect(const fleet::member& node) {
    std::shared_ptr<wire::peer_client> replaced{};
    std::shared_ptr<wire::peer_client> current{};
    {
        const std::lock_guard lock{this->mutex};
        auto& known = this->entries[node.info.name];
        if(!known.client || known.target != node.info.tcp || known.boot_id != node.info.boot_id) {
            replaced = std::move(known.client);
            known.target = node.info.tcp;
            known.boot_id = node.info.boot_id;
            known.client = std::make_shared<wire::peer_client>(
                this->context, wire::peer_client_options{.target = node.info.tcp, .self = this->greeting});
        }
        current = known.client;
    }
    if(replaced) {
        replaced->close();
    }
    return current;
}

} // namespace lagoonsaddle::cluster
