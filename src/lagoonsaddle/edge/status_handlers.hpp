#ifndef LAGOONSADDLE_EDGE_STATUS_HANDLERS_HPP
#define LAGOONSADDLE_EDGE_STATUS_HANDLERS_HPP

#include <string>

#include <nlohmann/json_fwd.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::edge {

/*! @brief Status of a node as shown to the load balancer and to operators. */
class node_status {
public:
    node_status() = default;
    node_status(const node_status&) = delete;
    node_status& operator=(const node_status&) = delete;
    virtual ~node_status() = default;

    /*! @brief Returns whether the node takes requests. */
    [[nodiscard]] virtual bool ready() const = 0;

    /*! @brief Returns the metrics in the Prometheus text format. */
    [[nodiscard]] virtual std::string metrics_text() = 0;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] virtual std::string state_json() const = 0;
};

/*! @brief Responds to readiness probes of the load balancer. */
class readiness_handler final : public http::handler {
public:
    /*! @brief Creates a handler; the status must outlive it. */
    explicit readiness_handler(const node_status& source) : status{source} {}

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override;

private:
    const node_status& status;
};

/*! @brief Serves `/metrics` and `/state`. */
class metrics_handler final : public http::handler {
public:
    /*! @brief Creates a handler; the status must outlive it. */
    explicit metrics_handler(node_status& source) : status{source} {}

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer) override;

private:
    node_status& status;
};

/*! @brief Returns the upstreams as JSON, for diagnosis. */
[[nodiscard]] nlohmann::json upstream_states(const upstream_table& upstreams, core::time_point now);

} // namespace lagoonsaddle::edge

#endif
