#ifndef LAGOONSADDLE_OPERATE_OPERATOR_BACKEND_HPP
#define LAGOONSADDLE_OPERATE_OPERATOR_BACKEND_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/rules/hit_counter.hpp>
#include <lagoonsaddle/rules/rule.hpp>

namespace lagoonsaddle::operate {

/*! @brief The rule set in force on a node. */
struct rules_state {
    // The declared constructor makes this type a non-aggregate: g++ 12 destroys aggregate temporaries in a co_await
    // expression twice.
    rules_state() = default;

    /*! @brief Version of the configuration object; 0 when there is none. */
    std::uint64_t version{};
    rules::rule_set set{};
    std::string changed_by{};
    /*! @brief Time of the change since the Unix epoch. */
    std::chrono::milliseconds changed_at{0};
    /*! @brief Number of live nodes that have this version in force. */
    std::size_t nodes_in_force{};
    /*! @brief Number of live nodes. */
    std::size_t nodes{};
};

/*! @brief A new rule set to save. */
struct rules_change {
    rules_change() = default;

    rules::rule_set set{};
    /*! @brief Version that the change is based on. */
    std::uint64_t expected_version{};
    std::string author{};
};

/*! @brief Node functions that the operator interface uses. Implementations must be thread-safe. */
class operator_backend {
public:
    operator_backend() = default;
    operator_backend(const operator_backend&) = delete;
    operator_backend& operator=(const operator_backend&) = delete;
    virtual ~operator_backend() = default;

    /*! @brief Returns a summary of this node and the cluster as a JSON object. */
    [[nodiscard]] virtual nlohmann::json status() const = 0;

    /*! @brief Returns the nodes as a JSON list of objects. */
    [[nodiscard]] virtual nlohmann::json nodes() const = 0;

    /*! @brief Returns the upstreams as a JSON list of objects. */
    [[nodiscard]] virtual nlohmann::json upstreams() const = 0;

    /*! @brief Returns the adapters as a JSON list of objects. */
    [[nodiscard]] virtual nlohmann::json adapters() const = 0;

    /*! @brief Returns the rule set in force. */
    [[nodiscard]] virtual rules_state current_rules() const = 0;

    /**
     * @brief Returns the hit count and the latest matches of a rule on this node.
     * @param rule Name of the rule.
     * @return The hits of the rule.
     */
    [[nodiscard]] virtual rules::rule_hits hits(const std::string& rule) const = 0;

    /*! @brief Returns the latest requests of this node, for previews. */
    [[nodiscard]] virtual std::vector<rules::request_attributes> recent_requests() const = 0;

    /**
     * @brief Saves a rule set by conditional update.
     * @param change The change.
     * @return The accepted state, `conflict` when another version is in force, or another error. After a conflict,
     * `current_rules` returns the version in force.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<rules_state>> save_rules(rules_change change) = 0;

    /**
     * @brief Saves the previous rule set as a new version.
     * @param expected_version Version to undo.
     * @param author Author of the change.
     * @return The accepted state, `conflict` when another version is in force, or another error.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<rules_state>> undo_rules(
        std::uint64_t expected_version, std::string author) = 0;

    /**
     * @brief Finds the explain records of a request, on this node or on another one.
     * @param request_id Identifier of the request.
     * @return A JSON list, newest first, or `not_found`.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<nlohmann::json>> explain(std::string request_id) = 0;

    /**
     * @brief Returns the events of this node.
     * @param after Sequence number of the last event already read; 0 for none.
     * @param limit Maximum number of events.
     * @return A JSON list, oldest first.
     */
    [[nodiscard]] virtual nlohmann::json events(std::uint64_t after, std::size_t limit) const = 0;

    /*! @brief Returns the full state of this node as JSON, for bug reports. */
    [[nodiscard]] virtual nlohmann::json dump() const = 0;

    /*! @brief Returns the metrics in Prometheus text format. */
    [[nodiscard]] virtual std::string metrics() const = 0;

    /*! @brief Returns whether the process is healthy; an unhealthy process should be restarted. */
    [[nodiscard]] virtual bool healthy() const = 0;

    /*! @brief Returns the reasons why the node accepts no requests, one sentence each; empty when it is ready. */
    [[nodiscard]] virtual std::vector<std::string> not_ready_reasons() const = 0;
};

} // namespace lagoonsaddle::operate

#endif
