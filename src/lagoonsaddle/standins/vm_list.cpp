#include <lagoonsaddle/standins/vm_list.hpp>

namespace lagoonsaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::minutes lag_max{10};

[[nodiscard]] bool is_one_of(const std::string& text, std::initializer_list<std::string_view> choices) noexcept {
    for(const auto choice : choices) {
        if(text == choice) {
            return true;
        }
    }
    return false;
}

} // namespace

vm_table::vm_table(core::time_point now) : row_history{lag_max} {
    this->row_history.record(now, this->rows);
}

core::result<void> vm_table::put(const std::string& name, nlohmann::json row, core::time_point now) {
    if(!row.is_object() || member_or<std::string>(row, "address", {}).empty() ||
        member_or<std::uint64_t>(row, "port", 0u) == 0u ||
        !is_one_of(member_or<std::string>(row, "state", {}), {"live", "leaving"}) ||
        !is_one_of(member_or<std::string>(row, "kind", {}), {"entry", "engine", "service"})) {
        return core::fail(core::reason::invalid_argument, "a row needs address, port, state and kind");
    }
    row["name"] = name;
    if(!row.contains("labels")) {
        row["labels"] = nlohmann::json::object();
    }
    this->rows[name] = std::move(row);
    this->row_history.record(now, this->rows);
    return {};
}

bool vm_table::remove(const std::string& name, core::time_point now) {
    const bool existed = this->rows.erase(name) > 0u;
    if(existed) {
        this->row_history.record(now, this->rows);
    }
    return existed;
}

vm_table::view vm_table::rows_at(core::time_point now, core::duration lag) const {
    view found{.rows = nlohmann::json::array(), .age = lag};
    for(const auto& [name, row] : this->row_history.entry_at(now - lag)->value) {
        found.rows.push_back(row);
    }
    return found;
}

vm_list::vm_list(const core::clock& source, std::chrono::milliseconds lag)
    : standin_handler{nlohmann::json{{"lag_ms", lag.count()}, {"outage", false}}}, clock{source}, table{source.now()} {}

asio::awaitable<void> vm_list::serve(http::request& message, const http::target_parts& parts,
    core::duration /*hang_duration*/, http::response_writer& writer) {
    const auto& path = parts.segments;
    http::response response{};
    core::result<void> done = core::fail(core::reason::not_found, "unknown call " + message.target);
    if(path.empty() || path[0] != "vms" || path.size() > 2u) {
        response = http::error_response(done.error());
    } else if(path.size() == 1u) {
        if(this->faults.flag("outage")) {
            done = core::fail(core::reason::unavailable, "the VM list has an outage");
            response = http::error_response(done.error());
        } else {
            const auto lag = this->faults.milliseconds("lag_ms");
            const std::lock_guard lock{this->mutex};
            ++this->reads;
            auto found = this->table.rows_at(this->clock.now(), lag);
            nlohmann::json body = nlohmann::json::object();
            body["vms"] = std::move(found.rows);
            body["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(found.age).count();
            response = http::json_response(200u, body);
        }
    } else {
        const std::lock_guard lock{this->mutex};
        if(message.method == "PUT") {
            done = this->table.put(path[1], http::parse_json(message.body).value_or(nullptr), this->clock.now());
        } else if(message.method == "DELETE" && this->table.remove(path[1], this->clock.now())) {
            done = {};
        }
        this->writes += done ? 1u : 0u;
        response =
            done ? http::json_response(200u, nlohmann::json{{"name", path[1]}}) : http::error_response(done.error());
    }
    co_await send_response(writer, std::move(response));
}

nlohmann::json vm_list::counters() const {
    const std::lock_guard lock{this->mutex};
    nlohmann::json values = nlohmann::json::object();
    values["reads"] = this->reads;
    values["writes"] = this->writes;
    return values;
}

} // namespace lagoonsaddle::standins
