#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/core/text.hpp>
#include <lagoonsaddle/edge/configuration_check.hpp>
#include <lagoonsaddle/edge/configuration_difference.hpp>
#include <lagoonsaddle/edge/configuration_review.hpp>

namespace lagoonsaddle::edge {

namespace {

using core::equals_ignoring_case;

constexpr finding_severity error{finding_severity::error};
constexpr finding_severity warning{finding_severity::warning};
/*! @brief Digits of a digest that tell the keys of a configuration apart. */
constexpr std::size_t key_label_digits{8u};
constexpr std::string_view whole{"configuration"};

[[nodiscard]] std::string subject(std::string_view kind, std::string_view name) {
    std::string text{kind};
    text += " '";
    text += name;
    text += '\'';
    return text;
}

[[nodiscard]] std::string in_ms(std::chrono::milliseconds value) {
    return std::to_string(value.count()) + " ms";
}

/*! @brief Returns whether a key can stand in a header field, after which nodes remove spaces around it. */
[[nodiscard]] bool can_be_sent(std::string_view key) {
    const auto is_control = [](char character) {
        const auto value = static_cast<unsigned char>(character);
        return value < ' ' || value == '\x7f';
    };
    return !key.empty() && core::trim(key) == key && std::ranges::none_of(key, is_control);
}

[[nodiscard]] bool is_same_match(const route& left, const route& right) {
    return left.path_prefix == right.path_prefix && equals_ignoring_case(left.host, right.host);
}

/*! @brief Returns the names that stand more than once in a list of entries. */
template<typename Entry>
[[nodiscard]] std::set<std::string> repeated_names(const std::vector<Entry>& entries) {
    std::set<std::string> seen{};
    std::set<std::string> repeated{};
    for(const auto& entry : entries) {
        if(!seen.insert(entry.name).second) {
            repeated.insert(entry.name);
        }
    }
    return repeated;
}

} // namespace

std::string key_label(std::string_view key) {
    return "key " + core::digest(key).substr(0u, key_label_digits);
}

configuration_review::configuration_review(const configuration& value) : reviewed{value} {
    if(const auto valid = check_configuration(value); !valid) {
        this->add(error, std::string{whole}, valid.error().message);
    }
    this->check_routes();
    this->check_services();
    this->check_tenants();
}

void configuration_review::add(finding_severity severity, std::string about, std::string message) {
    this->found.push_back({.severity = severity, .subject = std::move(about), .message = std::move(message)});
}

void configuration_review::check_routes() {
    for(const auto& name : repeated_names(this->reviewed.routes)) {
        this->add(error, subject("route", name), "the name stands more than once");
    }
    if(this->reviewed.routes.empty()) {
        this->add(warning, std::string{whole}, "there is no route: all requests get 404");
    }
    for(const auto& entry : this->reviewed.routes) {
        this->check_route(entry);
    }
}

void configuration_review::check_route(const route& entry) {
    if(entry.name.empty()) {
        this->add(warning, subject("route", entry.name), "the name is empty");
    }
    this->check_match(entry);
    this->check_times(entry);
    this->check_targets(entry);
}

void configuration_review::check_match(const route& entry) {
    const auto about = subject("route", entry.name);
    const auto& prefix = entry.path_prefix;
    if(!prefix.starts_with('/') || prefix.find('?') != std::string::npos) {
        this->add(
            warning, about, "the prefix '" + prefix + "' never matches: paths begin with a slash and hold no query");
    } else if(!prefix.ends_with('/')) {
        this->add(warning, about, "the prefix '" + prefix + "' also matches paths that go on without a slash");
    }
    if(entry.host.empty() || entry.host.find(':') != std::string::npos) {
        this->add(warning, about, "the host '" + entry.host + "' never matches: hosts are compared without port");
    }
    for(const auto& earlier : this->reviewed.routes) {
        if(&earlier == &entry) {
            break;
        }
        if(is_same_match(earlier, entry)) {
            this->add(warning, about, "never matches: route '" + earlier.name + "' has the same host and prefix");
            break;
        }
    }
}

void configuration_review::check_times(const route& entry) {
    const auto about = subject("route", entry.name);
    if(entry.timeout.count() == 0) {
        this->add(warning, about, "states no timeout: nodes use their own");
    } else if(entry.timeout < entry.latency_objective) {
        this->add(warning, about,
            "the timeout of " + in_ms(entry.timeout) + " is below the latency objective of " +
                in_ms(entry.latency_objective));
    }
}

void configuration_review::check_targets(const route& entry) {
    const auto about = subject("route", entry.name);
    std::uint64_t total{};
    for(const auto& share : entry.services) {
        total += share.weight;
        const bool known = std::ranges::any_of(
            this->reviewed.services, [&share](const service& other) { return other.name == share.name; });
        if(!known) {
            this->add(error, about, "leads to " + subject("service", share.name) + ", which does not exist");
        }
        if(share.weight == 0u) {
            this->add(warning, about, "sends nothing to " + subject("service", share.name) + ": its weight is 0");
        }
    }
    for(const auto& name : repeated_names(entry.services)) {
        this->add(warning, about, "names " + subject("service", name) + " more than once");
    }
    if(total == 0u) {
        this->add(error, about, entry.services.empty() ? "leads to no service" : "all weights are 0");
    }
}

void configuration_review::check_services() {
    for(const auto& name : repeated_names(this->reviewed.services)) {
        this->add(error, subject("service", name), "the name stands more than once");
    }
    for(const auto& entry : this->reviewed.services) {
        const auto about = subject("service", entry.name);
        if(entry.name.empty()) {
            this->add(error, about, "the name is empty");
        }
        if((entry.adapter_slots == 0u) != entry.models.empty()) {
            this->add(warning, about, entry.models.empty() ? "has adapter slots but no model" : "has no adapter slots");
        }
    }
}

void configuration_review::check_tenants() {
    if(!this->reviewed.tenants) {
        return;
    }
    const auto& tenants = *this->reviewed.tenants;
    const bool needs_key =
        std::ranges::any_of(this->reviewed.routes, [](const route& entry) { return !entry.anonymous; });
    if(tenants.empty() && needs_key) {
        this->add(error, std::string{whole}, "routes need a key, but there is no tenant: their requests get 401");
    }
    for(const auto& name : repeated_names(tenants)) {
        this->add(error, subject("tenant", name), "the name stands more than once");
    }
    for(const auto& entry : tenants) {
        if(entry.name.empty()) {
            this->add(
                error, subject("tenant", entry.name), "the name is empty: upstreams take its requests for anonymous");
        }
        this->check_keys(entry);
        this->check_quota(entry);
    }
    this->check_holders();
}

void configuration_review::check_keys(const tenant& entry) {
    const auto about = subject("tenant", entry.name);
    if(entry.api_keys.empty()) {
        this->add(warning, about, "has no key: no request can be its own");
    }
    std::set<std::string_view> seen{};
    for(const auto& key : entry.api_keys) {
        if(!can_be_sent(key)) {
            this->add(error, about, key_label(key) + " never matches: no header field can carry it");
        }
        if(!seen.insert(key).second) {
            this->add(warning, about, key_label(key) + " stands more than once");
        }
    }
}

void configuration_review::check_quota(const tenant& entry) {
    const auto about = subject("tenant", entry.name);
    const auto& quota = entry.quota;
    const bool in_tokens = quota.unit == quota_unit::tokens;
    const auto request_size = in_tokens ? static_cast<double>(quota.default_tokens) : 1.0;
    if(!quota.is_limited()) {
        if(quota.burst > 0.0) {
            this->add(warning, about, "the burst has no effect: there is no rate");
        }
        return;
    }
    if(quota.burst <= 0.0) {
        this->add(warning, about, "has a rate but no burst");
    } else if(quota.burst < request_size) {
        this->add(warning, about, "the burst is below the size of one request");
    }
    if(in_tokens && quota.default_tokens == 0u) {
        this->add(warning, about, "requests that state no token counts are not limited");
    }
    if(!in_tokens && quota.default_tokens > 0u) {
        this->add(warning, about, "the tokens of plain requests have no effect: the quota counts requests");
    }
}

void configuration_review::check_holders() {
    std::map<std::string_view, const tenant*> holders{};
    for(const auto& entry : *this->reviewed.tenants) {
        for(const auto& key : entry.api_keys) {
            const auto [holder, added] = holders.emplace(key, &entry);
            if(!added && holder->second != &entry) {
                this->add(error, subject("tenant", entry.name),
                    key_label(key) + " is also a key of " + subject("tenant", holder->second->name));
            }
        }
    }
}

void configuration_review::compare(const configuration& in_force) {
    if(this->reviewed.version <= in_force.version) {
        this->add(error, std::string{whole},
            "the version " + std::to_string(this->reviewed.version) + " does not rise from " +
                std::to_string(in_force.version) + ": nodes ignore it");
    }
    for(auto& difference : find_differences(in_force, this->reviewed)) {
        this->found.push_back(std::move(difference));
    }
}

} // namespace lagoonsaddle::edge
