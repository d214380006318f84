#include <optional>
#include <string>
#include <utility>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/platform/http_vm_list.hpp>

namespace lagoonsaddle::platform {

namespace {

[[nodiscard]] std::optional<vm_state> parse_state(const std::string& text) {
    if(text == "live") {
        return vm_state::live;
    }
    if(text == "leaving") {
        return vm_state::leaving;
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<vm_kind> parse_kind(const std::string& text) {
    if(text == "entry") {
        return vm_kind::entry;
    }
    if(text == "engine") {
        return vm_kind::engine;
    }
    if(text == "service") {
        return vm_kind::service;
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<std::string> string_member(const nlohmann::json& row, const char* name) {
    const auto found = row.find(name);
    if(found == row.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

/*! @brief Returns a label's value as a string; values may also be booleans or numbers. */
[[nodiscard]] std::string label_to_string(const nlohmann::json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

[[nodiscard]] std::optional<vm> parse_row(const nlohmann::json& row) {
    if(!row.is_object()) {
        return std::nullopt;
    }
    const auto name = string_member(row, "name");
    const auto address = string_member(row, "address");
    const auto zone = string_member(row, "availability_zone");
    const auto state = parse_state(string_member(row, "state").value_or(""));
    const auto kind = parse_kind(string_member(row, "kind").value_or(""));
    const auto port = row.find("port");
    if(!name || name->empty() || !address || !zone || !state || !kind || port == row.end() ||
        !port->is_number_unsigned() || port->get<std::uint64_t>() > 65'535u) {
        return std::nullopt;
    }
    vm parsed{.name = *name,
        .endpoint = {.address = *address, .port = port->get<std::uint16_t>()},
        .availability_zone = *zone,
        .state = *state,
        .kind = *kind,
        .labels = {}};
    const auto labels = row.find("labels");
    if(labels != row.end() && labels->is_object()) {
        for(const auto& [label, value] : labels->items()) {
            parsed.labels.emplace(label, label_to_string(value));
        }
    }
    return parsed;
}

} // namespace

core::result<vm_snapshot> parse_vm_list(std::string_view body) {
    const auto document = http::parse_json(body);
    if(!document || !document->is_object() || !document->contains("vms") || !(*document)["vms"].is_array()) {
        return core::fail(core::reason::protocol_error, "the VM list is not an object with an array `vms`");
    }
    vm_snapshot snapshot{};
    for(const auto& row : (*document)["vms"]) {
        if(auto parsed = parse_row(row); parsed) {
            snapshot.vms.push_back(std::move(*parsed));
        } else {
            ++snapshot.invalid_rows;
        }
    }
    const auto age = document->find("age_ms");
    if(age != document->end() && age->is_number()) {
        snapshot.age = std::chrono::milliseconds{age->get<std::int64_t>()};
    }
    return snapshot;
}

http_vm_list::http_vm_list(http::client& client, http_vm_list_options options)
    : http_client{client}, settings{std::move(options)} {}

boost::asio::awaitable<core::result<vm_snapshot>> http_vm_list::read() {
    http::request request{};
    request.target = "/vms";
    auto server = this->settings.server;
    auto response = co_await this->http_client.send(std::move(server), std::move(request), this->settings.call_timeout);
    if(!response) {
        auto failure = std::move(response.error());
        failure.verdict = core::verdict::not_run;
        co_return tl::make_unexpected(std::move(failure));
    }
    if(response->status != 200u) {
        co_return core::fail(
            core::reason::unavailable, "the VM list responded with status " + std::to_string(response->status));
    }
    co_return parse_vm_list(response->body);
}

} // namespace lagoonsaddle::platform
