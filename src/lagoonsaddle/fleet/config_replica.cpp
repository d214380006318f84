#include <algorithm>
#include <functional>
#include <utility>

#include <lagoonsaddle/fleet/config_replica.hpp>

namespace lagoonsaddle::fleet {

namespace {

[[nodiscard]] std::uint64_t version_or_zero(const std::optional<config_object>& value) noexcept {
    return value ? value->version : 0u;
}

} // namespace

config_replica::config_replica(config_replica_settings settings) : options{settings} {}

config_replica::object_state& config_replica::find_or_create(std::string_view name) {
    const auto found = this->objects.find(name);
    return found != this->objects.end() ? found->second : this->objects[std::string{name}];
}

bool config_replica::observe_version(std::string_view name, std::uint64_t version) {
    auto& state = this->find_or_create(name);
    if(version <= state.highest_known) {
        return false;
    }
    state.highest_known = version;
    // The new version may be available from other sources than a fetch in progress uses, so it is fetched at once.
    state.fetch_started.reset();
    return true;
}

void config_replica::require_versions(const std::vector<config_version>& versions) {
    this->seed_versions_received = true;
    for(const auto& value : versions) {
        this->observe_version(value.name, value.version);
        auto& state = this->find_or_create(value.name);
        state.required_version = std::max(state.required_version, value.version);
    }
}

bool config_replica::apply(config_object object) {
    auto& state = this->find_or_create(object.name);
    if(object.version <= version_or_zero(state.applied)) {
        return false;
    }
    state.highest_known = std::max(state.highest_known, object.version);
    state.applied = std::move(object);
    state.fetch_started.reset();
    return true;
}

std::vector<config_version> config_replica::begin_fetches(core::time_point now) {
    std::vector<config_version> result{};
    for(auto& [name, state] : this->objects) {
        if(state.highest_known <= version_or_zero(state.applied) ||
            (state.fetch_started && now < *state.fetch_started + this->options.fetch_retry)) {
            continue;
        }
        state.fetch_started = now;
        result.push_back({name, state.highest_known});
    }
    return result;
}

void config_replica::on_fetch_failed(std::string_view name) {
    if(const auto found = this->objects.find(name); found != this->objects.end()) {
        found->second.fetch_started.reset();
    }
}

const config_object* config_replica::find(std::string_view name) const {
    const auto found = this->objects.find(name);
    return found == this->objects.end() || !found->second.applied ? nullptr : &*found->second.applied;
}

std::vector<config_version> config_replica::applied_versions() const {
    std::vector<config_version> result{};
    for(const auto& [name, state] : this->objects) {
        if(state.applied) {
            result.push_back({name, state.applied->version});
        }
    }
    return result;
}

std::vector<config_version> config_replica::known_versions() const {
    std::vector<config_version> result{};
    result.reserve(this->objects.size());
    for(const auto& [name, state] : this->objects) {
        result.push_back({name, state.highest_known});
    }
    return result;
}

bool config_replica::ready() const {
    return this->seed_versions_received &&
           std::all_of(this->objects.begin(), this->objects.end(),
               [](const auto& pair) { return version_or_zero(pair.second.applied) >= pair.second.required_version; });
}

void config_replica::record_node_version(
    std::string_view node, std::uint64_t boot_id, std::string_view name, std::uint64_t version) {
    const auto found = this->node_versions.find(node);
    auto& state = found != this->node_versions.end() ? found->second : this->node_versions[std::string{node}];
    if(state.boot_id != boot_id) {
        state = {boot_id, {}};
    }
    auto& last = state.versions[std::string{name}];
    last = std::max(last, version);
}

void config_replica::forget_node(std::string_view node) {
    if(const auto found = this->node_versions.find(node); found != this->node_versions.end()) {
        this->node_versions.erase(found);
    }
}

std::map<std::uint64_t, std::size_t> config_replica::count_nodes_by_version(std::string_view name) const {
    std::map<std::uint64_t, std::size_t> result{};
    for(const auto& [node, state] : this->node_versions) {
        if(const auto found = state.versions.find(name); found != state.versions.end()) {
            ++result[found->second];
        }
    }
    return result;
}

} // namespace lagoonsaddle::fleet
