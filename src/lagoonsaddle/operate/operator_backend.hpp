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
    // Declared constructors keep the type from being an aggregate: g++ 12 destroys aggregate temporaries of a co_await
    // expression twice.
    rules_state() = default;

    /*! @brief Version of the configuration object; 0 when there is none. */
    std::uint64_t version{};
    rules::rule_set set{};
    std::string changed_by{};
    /*! @brief Time of the change since the Unix epoch. */
    std::chrono::milliseconds changed_at{0};
    /*! @brief Live nodes that have this version in force, and all live nodes. */
    std::size_t nodes_in_force{};
    std::size_t nodes{};
};

/*! @brief A change of the rule set. */
struct rules_change {
    rules_change() = default;

    rules::rule_set set{};
    /*! @brief Version that the change is based on. */
    std::uint64_t expected_version{};
    std::string author{};
};

/*! @brief What the operator's interface needs from the node. Called from several threads at once. */
class operator_backend {
public:
    operator_backend() = default;
    operator_backend(const operator_backend&) = delete;
    operator_backend& operator=(const operator_backend&) = delete;
    virtual ~operator_backend() = default;

    /*! @brief Returns the state of this node and of the deployment in a few lines, as a JSON object. */
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
     * @brief Returns the hits of a rule on this node.
     * @param rule Name of the rule.
     * @return Its hits.
     */
    [[nodiscard]] virtual rules::rule_hits hits(const std::string& rule) const = 0;

    /*! @brief Returns the latest requests of this node, for previews. */
    [[nodiscard]] virtual std::vector<rules::request_attributes> recent_requests() const = 0;

    /**
     * @brief Saves a rule set by conditional update.
     * @param change The change.
     * @return The accepted state, `conflict` when another version is in force, or another error. After a conflict,
     * `current_rules` returns the version that won.
     */
    [[nodiscard]] virtual boost::asio::awaitable<core::result<rules_state>> save_rules(rules_change change) = 0;

    /**
     * @brief Saves the rule set before the current one as a new version.
     * @param expected_version Version that is to be undone.
     * @param author Who undoes it.
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
     * @brief Returns what the system did on its own.
     * @param after Number of the last known event; 0 for none.
     * @param limit Number of events to return.
     * @return A JSON list, oldest first.
     */
    [[nodiscard]] virtual nlohmann::json events(std::uint64_t after, std::size_t limit) const = 0;

    /*! @brief Returns the whole state of this node as JSON, for a fault report. */
    [[nodiscard]] virtual nlohmann::json dump() const = 0;

    /*! @brief Returns the metrics in Prometheus text format. */
    [[nodiscard]] virtual std::string metrics() const = 0;

    /*! @brief Tells whether the process works; a process that does not is to be restarted. */
    [[nodiscard]] virtual bool healthy() const = 0;

    /*! @brief Returns why the node takes no callers, one sentence each; empty when it does. */
    [[nodiscard]] virtual std::vector<std::string> not_ready_reasons() const = 0;
};

} // namespace lagoonsaddle::operate

#endif
