#ifndef LAGOONSADDLE_SETTINGS_NODE_SETTINGS_HPP
#define LAGOONSADDLE_SETTINGS_NODE_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <lagoonsaddle/core/endpoint.hpp>

namespace lagoonsaddle::settings {

/*! @brief Name, availability zone and thread count of the node. */
struct identity_settings {
    std::string name{};
    std::string availability_zone{};
    std::size_t threads{4u};
};

/*! @brief HTTP interface for callers. */
struct caller_api_settings {
    core::endpoint listen{.address = "127.0.0.1", .port = 8080u};
    std::size_t body_limit_bytes{8u * 1024u * 1024u};
    /*! @brief Limit of all request bodies that the node holds at a time. */
    std::size_t body_memory_bytes{64u * 1024u * 1024u};
    std::uint32_t header_limit_bytes{16u * 1024u};
    std::chrono::milliseconds request_timeout{15'000};
    std::chrono::milliseconds default_deadline{30'000};
    std::chrono::milliseconds max_deadline{120'000};
    std::uint32_t max_output_tokens{16'384u};
};

/*! @brief HTTP interface for operators. */
struct operator_api_settings {
    core::endpoint listen{.address = "127.0.0.1", .port = 8081u};
    std::string token_file{};
};

/*! @brief TCP interface for other nodes. */
struct peer_settings {
    core::endpoint listen{.address = "127.0.0.1", .port = 8082u};
};

/*! @brief UDP endpoint and timing of the membership protocol. */
struct membership_settings {
    core::endpoint listen{.address = "127.0.0.1", .port = 8083u};
    std::chrono::milliseconds probe_interval{400};
    std::chrono::milliseconds probe_timeout{120};
    std::chrono::milliseconds suspicion{1'000};
    std::chrono::milliseconds anti_entropy_interval{10'000};
};

/*! @brief Platform services. An endpoint with port 0 is not used. */
struct platform_settings {
    core::endpoint object_store{};
    core::endpoint vm_list{};
    std::chrono::milliseconds timeout{1'000};
    std::chrono::milliseconds vm_list_refresh{1'000};
    /*! @brief Name of the upstream that represents the weight store. */
    std::string weight_store{"weight_store"};
};

enum class upstream_kind { engine, service };

/*! @brief An upstream that is configured statically instead of through the VM list. */
struct upstream_settings {
    std::string name{};
    upstream_kind kind{upstream_kind::engine};
    core::endpoint endpoint{};
    std::string availability_zone{};
    /*! @brief Name of the plain service; empty for an engine. */
    std::string service{};
    /*! @brief Base model of an engine; empty for a service. */
    std::string base_model{};
    bool checks_fencing_token{false};
};

/*! @brief Lease and order validity times of upstream ownership. */
struct ownership_settings {
    std::chrono::milliseconds lease_duration{6'000};
    std::chrono::milliseconds lease_refresh{2'000};
    std::chrono::milliseconds order_validity{1'000};
};

/*! @brief Routing weights, queue limit, retry budget and limits of adapter loads. */
struct policy_settings {
    double stall_weight{1.0};
    double batch_weight{1.0};
    std::size_t queue_limit{256u};
    double retry_budget_ratio{0.1};
    std::chrono::milliseconds minimum_residency{2'000};
    std::chrono::milliseconds quarantine_duration{600'000};
    std::chrono::milliseconds leaving_grace{2'000};
    std::size_t load_permits{1u};
    double loads_per_second{3.0};
    std::chrono::milliseconds load_estimate{350};
};

/*! @brief Journal of claimed non-idempotent requests. */
struct journal_settings {
    std::size_t shards{64u};
    std::chrono::milliseconds retention{3'600'000};
    std::size_t object_limit_bytes{900'000u};
};

/*! @brief Log level and destination. */
struct log_settings {
    std::string level{"info"};
    /*! @brief Directory of the log files; empty for standard error. */
    std::string directory{};
};

/*! @brief All settings of a node. The initialisers are the defaults. */
struct node_settings {
    identity_settings node{};
    caller_api_settings caller_api{};
    operator_api_settings operator_api{};
    peer_settings peer{};
    membership_settings membership{};
    std::vector<core::endpoint> seeds{};
    platform_settings platform{};
    std::vector<upstream_settings> upstreams{};
    ownership_settings ownership{};
    policy_settings policy{};
    journal_settings journal{};
    std::chrono::milliseconds stop_timeout{130'000};
    log_settings log{};
};

} // namespace lagoonsaddle::settings

#endif
