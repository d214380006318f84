#include <lagoonsaddle/gateway/upstream_directory.hpp>

namespace lagoonsaddle::gateway {

upstream_directory::upstream_directory(std::vector<upstream::description> configured_upstreams)
    : configured{std::move(configured_upstreams)}, current{std::make_shared<const description_map>()} {
    this->replace_vm_list_upstreams({});
}

void upstream_directory::replace_vm_list_upstreams(std::vector<upstream::description> listed) {
    auto next = std::make_shared<description_map>();
    for(auto& entry : listed) {
        auto name = entry.name;
        next->insert_or_assign(std::move(name), std::move(entry));
    }
    for(const auto& entry : this->configured) {
        next->insert_or_assign(entry.name, entry);
    }
    std::vector<change_callback> listeners{};
    {
        const std::lock_guard lock{this->mutex};
        if(*this->current == *next) {
            return;
        }
        this->current = std::move(next);
        listeners = this->callbacks;
    }
    for(const auto& callback : listeners) {
        callback();
    }
}

void upstream_directory::on_change(change_callback callback) {
    const std::lock_guard lock{this->mutex};
    this->callbacks.push_back(std::move(callback));
}

std::shared_ptr<const upstream_directory::description_map> upstream_directory::all() const {
    const std::lock_guard lock{this->mutex};
    return this->current;
}

std::optional<upstream::description> upstream_directory::find(std::string_view name) const {
    const auto known = this->all();
    const auto found = known->find(name);
    if(found == known->end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace lagoonsaddle::gateway
