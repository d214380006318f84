#include <utility>

#include <lagoonsaddle/standins/fault_table.hpp>

namespace lagoonsaddle::standins {

fault_table::fault_table(nlohmann::json defaults) : values(std::move(defaults)) {}

core::result<void> fault_table::apply(const nlohmann::json& changes) {
    if(!changes.is_object()) {
        return core::fail(core::reason::invalid_argument, "faults must be a JSON object");
    }
    const std::lock_guard lock{this->mutex};
    for(const auto& [key, value] : changes.items()) {
        const auto known = this->values.find(key);
        if(known == this->values.end()) {
            return core::fail(core::reason::invalid_argument, "unknown fault '" + key + "'");
        }
        const bool same_type = known->is_number() ? value.is_number() : known->type() == value.type();
        if(!same_type || (value.is_number() && value.get<double>() < 0.)) {
            return core::fail(core::reason::invalid_argument, "fault '" + key + "' has a value of the wrong kind");
        }
    }
    this->values.update(changes);
    return {};
}

nlohmann::json fault_table::snapshot() const {
    const std::lock_guard lock{this->mutex};
    return this->values;
}

double fault_table::number(std::string_view key) const {
    const std::lock_guard lock{this->mutex};
    return this->values.at(key).get<double>();
}

bool fault_table::flag(std::string_view key) const {
    const std::lock_guard lock{this->mutex};
    return this->values.at(key).get<bool>();
}

std::string fault_table::text(std::string_view key) const {
    const std::lock_guard lock{this->mutex};
    return this->values.at(key).get<std::string>();
}

core::duration fault_table::milliseconds(std::string_view key) const {
    const std::chrono::duration<double, std::milli> value{this->number(key)};
    return std::chrono::duration_cast<core::duration>(value);
}

bool fault_table::consume(std::string_view key) {
    const std::lock_guard lock{this->mutex};
    auto& value = this->values.at(key);
    if(value.is_boolean()) {
        const bool applies = value.get<bool>();
        value = false;
        return applies;
    }
    const auto left = value.get<double>();
    if(left < 1.) {
        return false;
    }
    value = left - 1.;
    return true;
}

} // namespace lagoonsaddle::standins
