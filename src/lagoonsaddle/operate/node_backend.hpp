#ifndef LAGOONSADDLE_OPERATE_NODE_BACKEND_HPP
#define LAGOONSADDLE_OPERATE_NODE_BACKEND_HPP

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/gateway/node.hpp>
#include <lagoonsaddle/gateway/request_record.hpp>
#include <lagoonsaddle/operate/event_log.hpp>
#include <lagoonsaddle/operate/explain_store.hpp>
#include <lagoonsaddle/operate/metrics_registry.hpp>
#include <lagoonsaddle/operate/operator_backend.hpp>

namespace lagoonsaddle::operate {

/*! @brief Collects explain records, events and metrics of a node. Constructed before the node. Thread-safe. */
class node_recorder final : public gateway::request_observer, public gateway::explain_source {
public:
    /**
     * @brief Constructs an empty recorder.
     * @param clock Runtime clock; must outlive the recorder.
     * @param node Name of the node.
     */
    node_recorder(const core::clock& clock, std::string node);

    void on_request_finished(const gateway::request_record& record) override;
    void on_event(std::string kind, std::string subject, std::string reason) override;
    [[nodiscard]] std::string find_record(const std::string& request_id) const override;

    [[nodiscard]] const explain_store& records() const noexcept {
        return this->explain_records;
    }

    [[nodiscard]] const event_log& events() const noexcept {
        return this->event_history;
    }

    [[nodiscard]] metrics_registry& metrics() noexcept {
        return this->registry;
    }

private:
    void update_request_metrics(const gateway::request_record& record);

    std::string name;
    explain_store explain_records{};
    event_log event_history{};
    metrics_registry registry;
};

/*! @brief Implementation of the operator interface for a node. Thread-safe. */
class node_backend final : public operator_backend {
public:
    /**
     * @brief Constructs a backend.
     * @param node The node; must outlive the backend.
     * @param recorder Recorder of the node; must outlive the backend.
     */
    node_backend(gateway::node& node, node_recorder& recorder);

    [[nodiscard]] nlohmann::json status() const override;
    [[nodiscard]] nlohmann::json nodes() const override;
    [[nodiscard]] nlohmann::json upstreams() const override;
    [[nodiscard]] nlohmann::json adapters() const override;
    [[nodiscard]] rules_state current_rules() const override;
    [[nodiscard]] rules::rule_hits hits(const std::string& rule) const override;
    [[nodiscard]] std::vector<rules::request_attributes> recent_requests() const override;
    [[nodiscard]] boost::asio::awaitable<core::result<rules_state>> save_rules(rules_change change) override;
    [[nodiscard]] boost::asio::awaitable<core::result<rules_state>> undo_rules(
        std::uint64_t expected_version, std::string author) override;
    [[nodiscard]] boost::asio::awaitable<core::result<nlohmann::json>> explain(std::string request_id) override;
    [[nodiscard]] nlohmann::json events(std::uint64_t after, std::size_t limit) const override;
    [[nodiscard]] nlohmann::json dump() const override;
    [[nodiscard]] std::string metrics() const override;
    [[nodiscard]] bool healthy() const override;
    [[nodiscard]] std::vector<std::string> not_ready_reasons() const override;

private:
    [[nodiscard]] std::size_t live_nodes() const;
    void update_gauges() const;

    gateway::node& node;
    node_recorder& recorder;
};

} // namespace lagoonsaddle::operate

#endif
