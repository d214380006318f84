#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/configuration_difference.hpp>
#include <lagoonsaddle/edge/configuration_review.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief A field of an entry, as text that differs when the field does. */
struct field_text {
    std::string name{};
    std::string value{};
};

[[nodiscard]] std::string text_of(bool value) {
    return value ? "yes" : "no";
}

[[nodiscard]] std::string text_of(retry_mode value) {
    switch(value) {
    case retry_mode::idempotent:
        return "any number of times";
    case retry_mode::resumable:
        return "resumable";
    case retry_mode::at_most_once:
        break;
    }
    return "at most once";
}

[[nodiscard]] std::string text_of(double value) {
    return std::to_string(static_cast<std::uint64_t>(value));
}

[[nodiscard]] std::string text_of(std::chrono::milliseconds value) {
    return std::to_string(value.count()) + " ms";
}

[[nodiscard]] std::string join(const std::vector<std::string>& values) {
    std::string text{};
    for(const auto& value : values) {
        text += (text.empty() ? "" : ", ") + value;
    }
    return text;
}

[[nodiscard]] std::vector<field_text> fields_of(const route& entry) {
    std::vector<std::string> targets{};
    targets.reserve(entry.services.size());
    for(const auto& share : entry.services) {
        targets.push_back(share.name + ":" + std::to_string(share.weight));
    }
    return {{"host", entry.host}, {"prefix", entry.path_prefix}, {"runs", text_of(entry.retry)},
        {"streaming", text_of(entry.streaming)}, {"timeout", text_of(entry.timeout)},
        {"latency objective", text_of(entry.latency_objective)}, {"attempts", std::to_string(entry.attempts_max)},
        {"priority", std::to_string(entry.priority)}, {"anonymous", text_of(entry.anonymous)},
        {"services", join(targets)}};
}

[[nodiscard]] std::vector<field_text> fields_of(const service& entry) {
    return {{"adapter slots", std::to_string(entry.adapter_slots)}, {"models", join(entry.models)}};
}

[[nodiscard]] std::vector<field_text> fields_of(const tenant& entry) {
    const bool in_tokens = entry.quota.unit == quota_unit::tokens;
    return {{"priority", entry.priority ? std::to_string(*entry.priority) : "of the route"},
        {"rate", text_of(entry.quota.per_second)}, {"burst", text_of(entry.quota.burst)},
        {"unit", in_tokens ? "tokens" : "requests"},
        {"tokens of plain requests", std::to_string(entry.quota.default_tokens)}};
}

/*! @brief Collects the differences between the entries of one kind. */
class difference_list {
public:
    difference_list(std::string entry_kind, std::vector<configuration_finding>& found)
        : kind{std::move(entry_kind)}, findings{found} {}

    void add(const std::string& name, std::string message) {
        this->findings.push_back({.severity = finding_severity::change,
            .subject = this->kind + " '" + name + "'",
            .message = std::move(message)});
    }

    /*! @brief Compares the lists of an entry's kind; `compare_rest` gets the entries that both have. */
    template<typename Entry>
    void compare(const std::vector<Entry>& before, const std::vector<Entry>& after,
        const std::function<void(const Entry&, const Entry&)>& compare_rest) {
        for(const auto& entry : before) {
            if(find(after, entry.name) == nullptr) {
                this->add(entry.name, "is removed");
            }
        }
        std::set<std::string> seen{};
        for(const auto& entry : after) {
            if(!seen.insert(entry.name).second) {
                continue;
            }
            const auto* earlier = find(before, entry.name);
            if(earlier == nullptr) {
                this->add(entry.name, "is added");
                continue;
            }
            this->compare_fields(entry.name, fields_of(*earlier), fields_of(entry));
            compare_rest(*earlier, entry);
        }
    }

private:
    template<typename Entry>
    [[nodiscard]] static const Entry* find(const std::vector<Entry>& entries, const std::string& name) {
        const auto found = std::ranges::find(entries, name, &Entry::name);
        return found == entries.end() ? nullptr : &*found;
    }

    void compare_fields(
        const std::string& name, const std::vector<field_text>& before, const std::vector<field_text>& after) {
        for(std::size_t index{}; index < after.size(); ++index) {
            if(before[index].value != after[index].value) {
                this->add(
                    name, after[index].name + ": '" + before[index].value + "' becomes '" + after[index].value + "'");
            }
        }
    }

    std::string kind;
    std::vector<configuration_finding>& findings;
};

template<typename Entry>
void ignore_rest(const Entry&, const Entry&) {}

void compare_keys(difference_list& list, const tenant& before, const tenant& after) {
    const std::set<std::string> earlier{before.api_keys.begin(), before.api_keys.end()};
    const std::set<std::string> later{after.api_keys.begin(), after.api_keys.end()};
    for(const auto& key : earlier) {
        if(!later.contains(key)) {
            list.add(after.name, key_label(key) + " is removed");
        }
    }
    for(const auto& key : later) {
        if(!earlier.contains(key)) {
            list.add(after.name, key_label(key) + " is added");
        }
    }
}

} // namespace

std::vector<configuration_finding> find_differences(const configuration& before, const configuration& after) {
    std::vector<configuration_finding> found{};
    if(before.tenants.has_value() != after.tenants.has_value()) {
        found.push_back({.severity = finding_severity::change,
            .subject = "configuration",
            .message = after.tenants ? "requests need a key from now on" : "requests need no key any more"});
    }
    difference_list{"route", found}.compare<route>(before.routes, after.routes, &ignore_rest<route>);
    difference_list{"service", found}.compare<service>(before.services, after.services, &ignore_rest<service>);
    difference_list tenants{"tenant", found};
    const std::vector<tenant> none{};
    tenants.compare<tenant>(before.tenants ? *before.tenants : none, after.tenants ? *after.tenants : none,
        [&tenants](const tenant& earlier, const tenant& later) { compare_keys(tenants, earlier, later); });
    return found;
}

} // namespace lagoonsaddle::edge
