#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/settings/keys.hpp>
#include <lagoonsaddle/settings/reader.hpp>

namespace lagoonsaddle::settings {

namespace {

using nlohmann::json;

[[nodiscard]] std::string join_path(const std::string& parent, const std::string& name) {
    return parent.empty() ? name : parent + "." + name;
}

/*! @brief Reads an object by its key definitions and collects all errors. */
template<typename Settings>
class object_reader {
public:
    object_reader(const std::vector<internal::key_binding<Settings>>& bindings, std::string parent_path,
        std::vector<std::pair<std::string, std::string>>& errors)
        : bindings{bindings}, parent_path{std::move(parent_path)}, errors{errors} {
        for(const auto& binding : bindings) {
            this->bindings_by_path.emplace(binding.definition.path, &binding);
        }
    }

    /*! @brief Ignores a member that is read separately, such as a list of objects. */
    void skip_member(const std::string& path) {
        this->skipped_paths.insert(path);
    }

    void read(const json& object, Settings& settings) {
        this->read_group(object, {}, settings);
        for(const auto& binding : this->bindings) {
            if(binding.definition.required && !this->present_paths.contains(binding.definition.path)) {
                this->add_error(binding.definition.path,
                    "required key is missing; accepted: " + binding.definition.accepted_values);
            }
        }
    }

private:
    void read_group(const json& object, const std::string& path, Settings& settings) {
        for(const auto& [name, value] : object.items()) {
            const auto child_path = join_path(path, name);
            if(this->skipped_paths.contains(child_path)) {
                continue;
            }
            if(const auto found = this->bindings_by_path.find(child_path); found != this->bindings_by_path.end()) {
                this->present_paths.insert(child_path);
                if(!found->second->assign(value, settings)) {
                    this->add_error(child_path, "value " + value.dump() + " is not accepted; accepted: " +
                                                    found->second->definition.accepted_values);
                }
            } else if(!this->is_group(child_path)) {
                this->add_error(child_path, "unknown key; accepted keys here: " + this->list_key_names(path));
            } else if(!value.is_object()) {
                this->add_error(child_path,
                    "value is not accepted; accepted: an object with the keys " + this->list_key_names(child_path));
            } else {
                this->read_group(value, child_path, settings);
            }
        }
    }

    [[nodiscard]] bool is_group(const std::string& path) const {
        const auto group_prefix = path + ".";
        const auto found = this->bindings_by_path.lower_bound(group_prefix);
        return found != this->bindings_by_path.end() && found->first.starts_with(group_prefix);
    }

    [[nodiscard]] std::string list_key_names(const std::string& path) const {
        const auto group_prefix = path.empty() ? std::string{} : path + ".";
        std::set<std::string> names{};
        for(const auto& [key_path, binding] : this->bindings_by_path) {
            if(key_path.starts_with(group_prefix)) {
                names.insert(key_path.substr(
                    group_prefix.size(), key_path.find('.', group_prefix.size()) - group_prefix.size()));
            }
        }
        if(path.empty()) {
            names.insert(this->skipped_paths.begin(), this->skipped_paths.end());
        }
        std::string text{};
        for(const auto& name : names) {
            text += (text.empty() ? "" : ", ") + name;
        }
        return text;
    }

    void add_error(const std::string& path, std::string message) {
        this->errors.emplace_back(join_path(this->parent_path, path), std::move(message));
    }

    const std::vector<internal::key_binding<Settings>>& bindings;
    std::string parent_path;
    std::vector<std::pair<std::string, std::string>>& errors;
    std::map<std::string, const internal::key_binding<Settings>*> bindings_by_path{};
    std::set<std::string> skipped_paths{};
    std::set<std::string> present_paths{};
};

/*! @brief Pairs of key path and message. */
using error_list = std::vector<std::pair<std::string, std::string>>;

void read_upstreams(const json& list, node_settings& settings, error_list& errors) {
    if(!list.is_array()) {
        errors.emplace_back("upstreams", "value is not accepted; accepted: a list of objects");
        return;
    }
    std::set<std::string> names{};
    for(std::size_t index{}; index < list.size(); ++index) {
        const auto path = "upstreams[" + std::to_string(index) + "]";
        if(!list[index].is_object()) {
            errors.emplace_back(path, "value is not accepted; accepted: an object");
            continue;
        }
        upstream_settings upstream{};
        const auto previous_errors = errors.size();
        object_reader<upstream_settings>{internal::upstream_keys(), path, errors}.read(list[index], upstream);
        if(errors.size() == previous_errors) {
            const bool is_engine = upstream.kind == upstream_kind::engine;
            if(is_engine == upstream.base_model.empty()) {
                errors.emplace_back(path + ".base_model",
                    is_engine ? "required key is missing; accepted: a non-empty string, because kind is \"engine\""
                              : "not accepted with kind \"service\"; accepted: only with kind \"engine\"");
            }
            if(is_engine != upstream.service.empty()) {
                errors.emplace_back(path + ".service",
                    is_engine ? "not accepted with kind \"engine\"; accepted: only with kind \"service\""
                              : "required key is missing; accepted: a non-empty string, because kind is \"service\"");
            }
        }
        if(!upstream.name.empty() && !names.insert(upstream.name).second) {
            errors.emplace_back(path + ".name", "\"" + upstream.name + "\" is used twice; accepted: a unique name");
        }
        settings.upstreams.push_back(std::move(upstream));
    }
}

/*! @brief Checks the constraints between keys. */
void check_cross_key_constraints(const node_settings& settings, error_list& errors) {
    const auto check_upper_bound = [&errors](const char* path, std::chrono::milliseconds value, const char* limit_path,
                                       std::chrono::milliseconds limit, bool equal_accepted) {
        if(value > limit || (value == limit && !equal_accepted)) {
            errors.emplace_back(path, "value " + std::to_string(value.count()) + " is not accepted; accepted: " +
                                          (equal_accepted ? "at most " : "less than ") + limit_path + " (" +
                                          std::to_string(limit.count()) + ")");
        }
    };
    check_upper_bound("caller_api.default_deadline_ms", settings.caller_api.default_deadline,
        "caller_api.max_deadline_ms", settings.caller_api.max_deadline, true);
    check_upper_bound("ownership.lease_refresh_ms", settings.ownership.lease_refresh, "ownership.lease_duration_ms",
        settings.ownership.lease_duration, false);
    check_upper_bound("membership.probe_timeout_ms", settings.membership.probe_timeout, "membership.probe_interval_ms",
        settings.membership.probe_interval, false);
    // A shorter stop timeout would abort requests that are still within their deadline.
    check_upper_bound(
        "caller_api.max_deadline_ms", settings.caller_api.max_deadline, "stop_timeout_ms", settings.stop_timeout, true);
}

/*! @brief Parser callback that reports repeated keys; nlohmann::json silently keeps the last one. */
class duplicate_key_detector {
public:
    explicit duplicate_key_detector(error_list& errors) noexcept : errors{errors} {}

    bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
        switch(event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            this->levels.push_back({.is_array = event == json::parse_event_t::array_start});
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            this->levels.pop_back();
            this->advance_index();
            break;
        case json::parse_event_t::key:
            this->levels.back().current_key = parsed.get<std::string>();
            if(!this->levels.back().names.insert(this->levels.back().current_key).second) {
                this->errors.emplace_back(this->path(), "key is repeated; accepted: each key once");
            }
            break;
        case json::parse_event_t::value:
            this->advance_index();
            break;
        }
        return true;
    }

private:
    struct nesting_level {
        bool is_array{false};
        std::size_t index{};
        std::string current_key{};
        std::set<std::string> names{};
    };

    void advance_index() {
        if(!this->levels.empty() && this->levels.back().is_array) {
            ++this->levels.back().index;
        }
    }

    [[nodiscard]] std::string path() const {
        std::string text{};
        for(const auto& level : this->levels) {
            if(level.is_array) {
                text.append("[").append(std::to_string(level.index)).append("]");
            } else {
                text = join_path(text, level.current_key);
            }
        }
        return text;
    }

    error_list& errors;
    std::vector<nesting_level> levels{};
};

} // namespace

std::string to_string(const settings_error& error) {
    return error.file + ": " + (error.path.empty() ? std::string{} : error.path + ": ") + error.message;
}

read_result parse(std::string_view text, const std::string& file) {
    error_list errors{};
    node_settings settings{};
    json document{};
    try {
        document = json::parse(text, duplicate_key_detector{errors}, true, true);
        if(!document.is_object()) {
            errors.emplace_back(std::string{}, "value is not accepted; accepted: a JSON object");
        }
    } catch(const json::exception& error) {
        errors.emplace_back(std::string{}, std::string{"not valid JSON: "} + error.what());
    }

    if(document.is_object()) {
        object_reader<node_settings> reader{internal::node_keys(), {}, errors};
        reader.skip_member("upstreams");
        reader.read(document, settings);
        if(document.contains("upstreams")) {
            read_upstreams(document["upstreams"], settings, errors);
        }
        check_cross_key_constraints(settings, errors);
    }
    if(errors.empty()) {
        return settings;
    }

    std::vector<settings_error> result{};
    std::transform(errors.begin(), errors.end(), std::back_inserter(result), [&file](const auto& entry) {
        return settings_error{.file = file, .path = entry.first, .message = entry.second};
    });
    return tl::make_unexpected(std::move(result));
}

read_result read_file(const std::string& path) {
    std::ifstream stream{path, std::ios::binary};
    std::ostringstream text{};
    if(stream) {
        text << stream.rdbuf();
    }
    // Opening a directory succeeds; the first read fails.
    if(!stream || stream.bad() || text.fail()) {
        return tl::make_unexpected(
            std::vector{settings_error{.file = path, .path = {}, .message = "file cannot be read or is empty"}});
    }
    return parse(std::move(text).str(), path);
}

check_report check_file(const std::string& path) {
    const auto outcome = read_file(path);
    if(outcome) {
        return {.valid = true, .text = path + ": valid\n"};
    }
    check_report check_result{};
    for(const auto& error : outcome.error()) {
        check_result.text += to_string(error) + "\n";
    }
    return check_result;
}

} // namespace lagoonsaddle::settings
