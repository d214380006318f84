#include <algorithm>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/text.hpp>
#include <lagoonsaddle/edge/route_table.hpp>

namespace lagoonsaddle::edge {

namespace {

[[nodiscard]] std::string_view strip_port(std::string_view host) noexcept {
    return host.substr(0u, host.find(':'));
}

} // namespace

bool route_table::apply(configuration value) {
    if(this->config && value.version <= this->config->version) {
        return false;
    }
    this->config = std::make_shared<const configuration>(std::move(value));
    return true;
}

const route* route_table::find(std::string_view host, std::string_view target) const {
    if(!this->config) {
        return nullptr;
    }
    const auto path = target.substr(0u, target.find('?'));
    const auto name = strip_port(host);
    const route* best{};
    for(const auto& entry : this->config->routes) {
        const bool more_specific = best == nullptr || entry.path_prefix.size() > best->path_prefix.size();
        if(more_specific && path.starts_with(entry.path_prefix) && core::equals_ignoring_case(entry.host, name)) {
            best = &entry;
        }
    }
    return best;
}

std::chrono::milliseconds route_table::longest_resumable_timeout() const {
    std::chrono::milliseconds longest{0};
    if(!this->config) {
        return longest;
    }
    for(const auto& entry : this->config->routes) {
        if(entry.retry == retry_mode::resumable) {
            longest = std::max(longest, entry.timeout);
        }
    }
    return longest;
}

const service* route_table::find_service(std::string_view name) const {
    if(!this->config) {
        return nullptr;
    }
    const auto found =
        std::ranges::find_if(this->config->services, [name](const service& entry) { return entry.name == name; });
    return found == this->config->services.end() ? nullptr : &*found;
}

std::string_view route_table::pick_service(const route& entry, std::string_view key) {
    std::uint64_t total{};
    for(const auto& share : entry.services) {
        total += share.weight;
    }
    if(total == 0u) {
        return {};
    }
    auto position = core::hash(key) % total;
    for(const auto& share : entry.services) {
        if(position < share.weight) {
            return share.name;
        }
        position -= share.weight;
    }
    return {};
}

} // namespace lagoonsaddle::edge
