#include <lagoonsaddle/edge/tenant_directory.hpp>

namespace lagoonsaddle::edge {

void tenant_directory::index(const route_table::configuration_type& config) {
    this->holders.clear();
    this->indexed = config;
    if(!config || !config->tenants) {
        return;
    }
    for(const auto& entry : *config->tenants) {
        for(const auto& key : entry.api_keys) {
            this->holders.emplace(key, &entry);
        }
    }
}

const tenant* tenant_directory::find(const route_table::configuration_type& config, std::string_view key) {
    if(config != this->indexed) {
        this->index(config);
    }
    // An empty entry in a list of keys must not admit callers that state none.
    const auto found = key.empty() ? this->holders.end() : this->holders.find(key);
    return found == this->holders.end() ? nullptr : found->second;
}

} // namespace lagoonsaddle::edge
