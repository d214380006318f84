#include <algorithm>
#include <utility>

#include <lagoonsaddle/http/internal_beast.hpp>
#include <lagoonsaddle/http/internal_connection_pool.hpp>

namespace lagoonsaddle::http {

using namespace internal;

namespace {

/*! @brief Time before the peer closes an idle connection from which it is no longer used. */
constexpr std::chrono::milliseconds close_margin{1'000};

// A readable idle connection was closed by the peer or holds bytes that belong to no request.
[[nodiscard]] bool is_quiet(tcp::socket& socket) {
    char byte{};
    boost::system::error_code failure{};
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1u), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

} // namespace

std::optional<tcp::socket> connection_pool::take(const core::endpoint& target, std::chrono::milliseconds reuse_within) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->idle.find(target);
    while(found != this->idle.end() && !found->second.empty()) {
        auto entry = std::move(found->second.back());
        found->second.pop_back();
        const auto now = idle_clock::now();
        if(now < entry.expires && now - entry.since < reuse_within && is_quiet(entry.socket)) {
            return std::move(entry.socket);
        }
    }
    return std::nullopt;
}

void connection_pool::give(
    const core::endpoint& target, tcp::socket socket, std::optional<std::chrono::milliseconds> peer_timeout) {
    const auto now = idle_clock::now();
    // Well before the peer's own time: a request that crosses the peer's close would be lost.
    const auto stated = peer_timeout.value_or(this->settings.idle_timeout);
    const auto keep = std::min(this->settings.idle_timeout, std::max(stated / 2, stated - close_margin));
    const std::lock_guard lock{this->mutex};
    if(this->idle_count() >= this->settings.idle_connections_max) {
        this->close_oldest();
    }
    auto& entries = this->idle[target];
    if(entries.size() >= this->settings.idle_connections_per_endpoint) {
        entries.pop_front();
    }
    entries.push_back(entry{.socket = std::move(socket), .since = now, .expires = now + keep});
}

void connection_pool::close_stale() {
    const std::lock_guard lock{this->mutex};
    const auto now = idle_clock::now();
    for(auto& [target, entries] : this->idle) {
        std::erase_if(entries, [now](entry& value) { return now >= value.expires || !is_quiet(value.socket); });
    }
    std::erase_if(this->idle, [](const auto& value) { return value.second.empty(); });
}

std::size_t connection_pool::idle_connections() {
    const std::lock_guard lock{this->mutex};
    return this->idle_count();
}

void connection_pool::close_idle(const core::endpoint& target) {
    const std::lock_guard lock{this->mutex};
    this->idle.erase(target);
}

std::size_t connection_pool::idle_count() const noexcept {
    std::size_t count{};
    for(const auto& [target, entries] : this->idle) {
        count += entries.size();
    }
    return count;
}

void connection_pool::close_oldest() {
    auto oldest = this->idle.end();
    for(auto candidate = this->idle.begin(); candidate != this->idle.end(); ++candidate) {
        const bool has_entry = !candidate->second.empty();
        if(has_entry &&
            (oldest == this->idle.end() || candidate->second.front().since < oldest->second.front().since)) {
            oldest = candidate;
        }
    }
    if(oldest != this->idle.end()) {
        oldest->second.pop_front();
    }
}

} // namespace lagoonsaddle::http
