#include <variant>

#include <lagoonsaddle/edge/configuration_check.hpp>
#include <lagoonsaddle/edge/stored_version.hpp>

namespace lagoonsaddle::edge {

void stored_version::begin_list(bool complete) noexcept {
    this->version = complete ? std::optional<std::uint64_t>{0u} : std::nullopt;
}

void stored_version::apply(const record_change& change, const configuration* in_force) {
    const auto* value = std::get_if<configuration>(&change.value);
    if(value == nullptr) {
        if(this->record.empty() || change.name == this->record) {
            this->version.reset();
        }
        return;
    }
    this->record = change.name;
    if(check_configuration(*value)) {
        this->version = value->version;
    } else if(in_force != nullptr && keeps_all_keys(*in_force, *value)) {
        this->version = in_force->version;
    } else {
        this->version.reset();
    }
}

} // namespace lagoonsaddle::edge
