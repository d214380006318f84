#include <lagoonsaddle/standins/object_table.hpp>

namespace lagoonsaddle::standins {

const object_table::entry* object_table::find(std::string_view name) const {
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? nullptr : &found->second;
}

core::result<std::uint64_t> object_table::put(
    const std::string& name, std::string body, const std::optional<std::uint64_t>& expected) {
    if(body.size() > object_size_limit_bytes) {
        return core::fail(core::reason::payload_too_large, "an object has at most 1 MB");
    }
    const auto* current = this->find(name);
    const auto version = current == nullptr ? 0u : current->version;
    if(expected.has_value() && *expected != version) {
        return core::fail(core::reason::conflict, "'" + name + "' has version " + std::to_string(version));
    }
    auto& object = this->objects[name];
    object.body = std::move(body);
    return ++object.version;
}

std::vector<std::pair<std::string, std::uint64_t>> object_table::list(std::string_view prefix) const {
    std::vector<std::pair<std::string, std::uint64_t>> found{};
    for(auto next = this->objects.lower_bound(prefix); next != this->objects.end(); ++next) {
        if(!std::string_view{next->first}.starts_with(prefix)) {
            break;
        }
        found.emplace_back(next->first, next->second.version);
    }
    return found;
}

} // namespace lagoonsaddle::standins
