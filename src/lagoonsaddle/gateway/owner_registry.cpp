#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/gateway/owner_registry.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/cancel_signal.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

using frame_queue = wire::async_queue<core::result<wire::frame>>;

/*! @brief Responder that queues its frames for a `local_exchange` in the same process. */
class local_responder final : public wire::responder {
public:
    bool send(wire::message_type type, std::string body) override {
        wire::frame message{.type = type, .body = std::move(body)};
        this->frames->push(std::move(message));
        return true;
    }

    void on_cancel(std::function<void()> callback) override {
        this->signal.on_cancel(std::move(callback));
    }

    void cancel() {
        this->signal.cancel();
    }

    [[nodiscard]] frame_queue& queue() noexcept {
        return *this->frames;
    }

private:
    std::shared_ptr<frame_queue> frames{std::make_shared<frame_queue>()};
    wire::cancel_signal signal{};
};

/*! @brief Exchange with an owner in the same process. Cancelled on destruction if it has not ended. */
class local_exchange final : public wire::exchange {
public:
    explicit local_exchange(std::shared_ptr<local_responder> source) : answer{std::move(source)} {}

    local_exchange(const local_exchange&) = delete;
    local_exchange& operator=(const local_exchange&) = delete;

    ~local_exchange() override {
        this->cancel();
    }

    [[nodiscard]] asio::awaitable<core::result<wire::frame>> next(std::chrono::milliseconds timeout) override {
        auto item = co_await this->answer->queue().pop(timeout);
        if(!item) {
            co_return core::fail(
                core::reason::timeout, core::verdict::may_have_run, "the upstream's owner did not answer in time");
        }
        if(*item && (*item)->type == wire::message_type::answer_end) {
            this->ended = true;
        }
        co_return std::move(*item);
    }

    void cancel() override {
        if(!std::exchange(this->ended, true)) {
            this->answer->cancel();
        }
    }

private:
    std::shared_ptr<local_responder> answer;
    bool ended{false};
};

} // namespace

owner_registry::owner_registry(asio::io_context& io, cluster::peer_directory& connections)
    : context{io}, peers{connections} {}

void owner_registry::add(const std::string& upstream, std::shared_ptr<upstream_owner> owner) {
    const std::lock_guard lock{this->mutex};
    this->owners.insert_or_assign(upstream, std::move(owner));
}

std::shared_ptr<upstream_owner> owner_registry::remove(std::string_view upstream) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->owners.find(upstream);
    if(found == this->owners.end()) {
        return nullptr;
    }
    auto removed = std::move(found->second);
    this->owners.erase(found);
    return removed;
}

std::shared_ptr<upstream_owner> owner_registry::find(std::string_view upstream) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->owners.find(upstream);
    return found == this->owners.end() ? nullptr : found->second;
}

std::map<std::string, std::shared_ptr<upstream_owner>> owner_registry::all() const {
    const std::lock_guard lock{this->mutex};
    return {this->owners.begin(), this->owners.end()};
}

asio::awaitable<core::result<std::shared_ptr<wire::exchange>>> owner_registry::submit(
    std::string node, wire::submit request) {
    if(node != this->peers.local_node_name()) {
        const auto client = this->peers.find(node);
        if(!client) {
            co_return core::fail(core::reason::lease_expired, "node " + node + ", the upstream's owner, is not live");
        }
        co_return co_await client->open(wire::message_type::submit, wire::pack(request));
    }
    auto owner = this->find(request.upstream);
    if(!owner) {
        co_return core::fail(core::reason::lease_expired, "this node does not own upstream " + request.upstream);
    }
    auto answer = std::make_shared<local_responder>();
    asio::co_spawn(
        asio::make_strand(this->context),
        [owner = std::move(owner), answer, request = std::move(request)]() mutable -> asio::awaitable<void> {
            co_await owner->serve(std::move(request), answer);
        },
        core::task_end{"local_request"});
    co_return std::make_shared<local_exchange>(std::move(answer));
}

} // namespace lagoonsaddle::gateway
