#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include <lagoonsaddle/gateway/adapter_catalogue.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::gateway {

void adapter_catalogue::apply(const platform::config_document& document) {
    if(!document.name.starts_with(catalogue_prefix)) {
        return;
    }
    const auto parsed = http::parse_json(document.current.value);
    if(!parsed || !parsed->is_object()) {
        LOG(ERROR) << "event=catalogue_rejected name=" << document.name << " version=" << document.current.version;
        return;
    }
    auto adapters = std::make_shared<versions_by_adapter>();
    for(const auto& [name, versions] : parsed->items()) {
        auto& listed = (*adapters)[name];
        for(const auto& version : versions) {
            if(version.is_string()) {
                listed.push_back(version.get<std::string>());
            }
        }
    }
    const std::lock_guard lock{this->mutex};
    this->adapters_by_model.insert_or_assign(document.name.substr(catalogue_prefix.size()), std::move(adapters));
}

catalogue_lookup adapter_catalogue::lookup(
    std::string_view base_model, const std::string& adapter, std::string_view version) const {
    std::shared_ptr<const versions_by_adapter> adapters{};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->adapters_by_model.find(base_model);
        if(found == this->adapters_by_model.end()) {
            return catalogue_lookup::no_catalogue;
        }
        adapters = found->second;
    }
    const auto found = adapters->find(adapter);
    if(found == adapters->end()) {
        return catalogue_lookup::not_found;
    }
    const auto& versions = found->second;
    const bool listed = version.empty() || std::find(versions.begin(), versions.end(), version) != versions.end();
    return listed ? catalogue_lookup::found : catalogue_lookup::not_found;
}

std::map<std::string, std::size_t> adapter_catalogue::adapter_counts() const {
    std::map<std::string, std::size_t> counts{};
    const std::lock_guard lock{this->mutex};
    for(const auto& [name, adapters] : this->adapters_by_model) {
        counts.emplace(name, adapters->size());
    }
    return counts;
}

} // namespace lagoonsaddle::gateway
