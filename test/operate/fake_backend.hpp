#ifndef LAGOONSADDLE_TEST_OPERATE_FAKE_BACKEND_HPP
#define LAGOONSADDLE_TEST_OPERATE_FAKE_BACKEND_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/operate/operator_backend.hpp>

namespace lagoonsaddle::operate {

/*! @brief In-memory backend with a single rule set. */
class fake_backend final : public operator_backend {
public:
    [[nodiscard]] nlohmann::json status() const override {
        return {{"node", "n1"}};
    }

    [[nodiscard]] nlohmann::json nodes() const override {
        return nlohmann::json::array({"n1"});
    }

    [[nodiscard]] nlohmann::json upstreams() const override {
        return nlohmann::json::array({"e1"});
    }

    [[nodiscard]] nlohmann::json adapters() const override {
        return nlohmann::json::array({"a"});
    }

    [[nodiscard]] rules_state current_rules() const override {
        return this->state;
    }

    [[nodiscard]] rules::rule_hits hits(const std::string& rule) const override {
        return {.count = rule.size(), .latest_matches = {{.request_id = "r9", .caller = "depot"}}};
    }

    [[nodiscard]] std::vector<rules::request_attributes> recent_requests() const override {
        return {{.request_id = "r1", .caller = "depot", .base_model = "b", .adapter = "a", .version = "1"}};
    }

    boost::asio::awaitable<core::result<rules_state>> save_rules(rules_change change) override {
        if(this->conflicts > 0) {
            --this->conflicts;
            ++this->state.version;
        }
        if(change.expected_version != this->state.version) {
            co_return core::fail(
                core::reason::conflict, "version " + std::to_string(this->state.version) + " is in force");
        }
        ++this->state.version;
        this->state.set = std::move(change.set);
        this->state.changed_by = change.author;
        co_return this->state;
    }

    boost::asio::awaitable<core::result<rules_state>> undo_rules(
        std::uint64_t expected_version, std::string author) override {
        rules_change change{};
        change.expected_version = expected_version;
        change.author = std::move(author);
        co_return co_await this->save_rules(std::move(change));
    }

    boost::asio::awaitable<core::result<nlohmann::json>> explain(std::string request_id) override {
        if(request_id != "r/1") {
            co_return core::fail(core::reason::not_found, "no record of " + request_id);
        }
        co_return nlohmann::json::array({{{"request_id", request_id}}});
    }

    [[nodiscard]] nlohmann::json events(std::uint64_t after, std::size_t limit) const override {
        return nlohmann::json::array({after, limit});
    }

    [[nodiscard]] nlohmann::json dump() const override {
        return {{"upstreams", nlohmann::json::object()}};
    }

    [[nodiscard]] std::string metrics() const override {
        return "requests_total 1\n";
    }

    [[nodiscard]] bool healthy() const override {
        return this->alive;
    }

    [[nodiscard]] std::vector<std::string> not_ready_reasons() const override {
        return this->reasons;
    }

    rules_state state{};
    /*! @brief Number of saves that are preceded by a save of another operator. */
    int conflicts{0};
    bool alive{true};
    std::vector<std::string> reasons{};
};

} // namespace lagoonsaddle::operate

#endif
