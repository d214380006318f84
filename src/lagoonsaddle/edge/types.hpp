#ifndef LAGOONSADDLE_EDGE_TYPES_HPP
#define LAGOONSADDLE_EDGE_TYPES_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonsaddle/core/endpoint.hpp>

/*! @brief Entry node of a deployment whose upstreams and configuration are read from the platform's store. */
namespace lagoonsaddle::edge {

/*! @brief How often a request may be executed, which decides whether a failed attempt is retried. */
enum class retry_mode {
    /*! @brief May be executed any number of times. */
    idempotent,
    /*! @brief May be executed at most once. */
    at_most_once,
    /*! @brief A stream that can be continued on another upstream after the last delivered event. */
    resumable
};

/*! @brief A service and its weight in the traffic split of a route. */
struct weighted_service {
    std::string name{};
    std::uint32_t weight{1u};

    [[nodiscard]] friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/*! @brief Maps a host and a path prefix to services. */
struct route {
    std::string name{};
    std::string host{};
    std::string path_prefix{};
    retry_mode retry{retry_mode::at_most_once};
    bool streaming{};
    /*! @brief Longest time until the caller has received the complete response. */
    std::chrono::milliseconds timeout{};
    /*! @brief Latency objective: time to the complete response, or to the first event of a stream. */
    std::chrono::milliseconds latency_objective{};
    unsigned attempts_max{1u};
    /*! @brief 0 is the most urgent. */
    unsigned priority{};
    /*! @brief True when callers need no key of a tenant. */
    bool anonymous{};
    std::vector<weighted_service> services{};

    [[nodiscard]] friend bool operator==(const route&, const route&) = default;
};

/*! @brief A group of interchangeable upstreams. */
struct service {
    std::string name{};
    /*! @brief Adapter slots per upstream; 0 for a service without models. */
    unsigned adapter_slots{};
    /*! @brief Names of the base models; empty for a service without models. */
    std::vector<std::string> models{};

    [[nodiscard]] friend bool operator==(const service&, const service&) = default;
};

/*! @brief What the rate and the burst of a quota count. */
enum class quota_unit { requests, tokens };

/*! @brief Token-bucket limit on what a tenant may send over all nodes. */
struct tenant_quota {
    /*! @brief Units per second; 0 for no limit. */
    double per_second{};
    /*! @brief Capacity of the bucket in units. */
    double burst{};
    quota_unit unit{quota_unit::requests};
    /*! @brief Units of a request that states no token counts, for a quota in tokens. */
    std::uint64_t default_tokens{};

    /*! @brief Returns whether the quota limits anything. */
    [[nodiscard]] bool is_limited() const noexcept {
        return this->per_second > 0.0;
    }

    [[nodiscard]] friend bool operator==(const tenant_quota&, const tenant_quota&) = default;
};

/*! @brief A tenant, whose callers are known by their API keys. */
struct tenant {
    std::string name{};
    std::vector<std::string> api_keys{};
    /*! @brief Takes precedence over the priority of the route; 0 is the most urgent. */
    std::optional<unsigned> priority{};
    tenant_quota quota{};

    [[nodiscard]] friend bool operator==(const tenant&, const tenant&) = default;
};

/*! @brief One version of the operator's configuration. */
struct configuration {
    std::uint64_t version{};
    std::vector<route> routes{};
    std::vector<service> services{};
    /*! @brief Nothing when requests carry no keys. */
    std::optional<std::vector<tenant>> tenants{};

    [[nodiscard]] friend bool operator==(const configuration&, const configuration&) = default;
};

/*! @brief A base model that is resident on an upstream. */
struct resident_model {
    std::uint64_t version{};
    /*! @brief Resident adapters: version by adapter name. */
    std::map<std::string, std::uint64_t> adapters{};
};

/*! @brief Record of an upstream in the store, written by the upstream itself. */
struct upstream_entry {
    std::string id{};
    std::string service{};
    std::string availability_zone{};
    core::endpoint address{};
    bool leaving{};
    unsigned request_slots{};
    /*! @brief Start time as Unix time in milliseconds; 0 when not stated. Identifies the incarnation, as it changes
     * with each start while the id does not. */
    std::uint64_t started_ms{};
    /*! @brief Version of the upstream's software; empty when not stated. */
    std::string software_version{};
    /*! @brief Load and unload orders accepted since the start. */
    std::uint64_t orders_accepted{};
    std::map<std::string, resident_model> models{};
};

/*! @brief An announced version of an adapter, or of a base model when `adapter` is empty. */
struct version_record {
    std::string model{};
    std::string adapter{};
    std::uint64_t version{};
};

/*! @brief Lease on an availability zone: its holder alone orders the upstreams there to load and unload adapters. */
struct lease_record {
    std::string availability_zone{};
    /*! @brief Name of the node that holds the lease; empty when the lease was released. */
    std::string holder{};
    /*! @brief Boot id of the holder's process: a restarted process of the same name has to acquire the lease again. */
    std::uint64_t holder_boot_id{};
    std::uint64_t fencing_token{};
    /*! @brief IP address of the holder, through which a node that does not know it can join the fleet; empty in records
     * of earlier releases. */
    std::string holder_address{};
};

/*! @brief A software version that upstreams of a service have or had. */
struct service_version {
    /*! @brief Value of `until` while there is an upstream of the version. */
    static constexpr std::chrono::milliseconds in_sight{0};

    std::string service{};
    std::string software_version{};
    /*! @brief Unix time at which the last upstream of the version was removed, or `in_sight`. */
    std::chrono::milliseconds until{in_sight};
};

/*! @brief A stream that its caller may resume, and where it began. */
struct resumable_stream {
    /*! @brief Id of the request that brought the first event. */
    std::string request{};
    std::string service{};
    /*! @brief Nothing when it could not be told. */
    std::optional<std::string> software_version{};
    /*! @brief Unix time from which the stream can no longer be resumed. */
    std::chrono::milliseconds expires{};
};

/*! @brief Record in the store of what is needed to resume the streams of a node after all nodes have stopped. */
struct stream_record {
    std::string node{};
    /*! @brief Epoch of the store in which the record was written. */
    std::uint64_t epoch{};
    /*! @brief Unix time at which the record was written. */
    std::chrono::milliseconds written{};
    /*! @brief Unix time from which `versions` is complete; nothing when it is not. */
    std::optional<std::chrono::milliseconds> complete_from{};
    std::vector<service_version> versions{};
    std::vector<resumable_stream> streams{};
};

/*! @brief Fields of a caller's request that routing and scheduling depend on. */
struct request_metadata {
    std::string id{};
    std::optional<std::chrono::milliseconds> deadline{};
    std::string model{};
    std::string adapter{};
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};
    /*! @brief Whether the request states these numbers. */
    bool tokens_stated{};
    /*! @brief Hash of the prompt prefix that other requests share; 0 when there is none. */
    std::uint64_t shared_prefix{};
    /*! @brief Length of the shared prefix in tokens. */
    std::uint64_t shared_tokens{};
    /*! @brief Ids of the prompt parts that other requests may hold as well, without repetition. */
    std::vector<std::string> shared_parts{};
    /*! @brief Last event that the caller has of a stream that it resumes. */
    std::optional<std::uint64_t> last_event_id{};
    /*! @brief Id of the request that brought the first event of a stream which the caller resumes; empty when not
     * stated.
     */
    std::string resumed_request{};
    /*! @brief API key of the caller; empty when it states none. Must not be logged. */
    std::string api_key{};
};

/*! @brief Fields of an upstream's response head that describe how the request was handled. */
struct response_metadata {
    std::string request_id{};
    /*! @brief True when the upstream signed the response. */
    bool signed_by_upstream{};
    /*! @brief True when the upstream states that it did not execute the request. */
    bool not_run{};
    /*! @brief True when another upstream, or one without the requested model or version, answered at the address. */
    bool misdirected{};
    /*! @brief True when the body has a content encoding, which the upstream does not apply itself. */
    bool content_encoded{};
    /*! @brief Time for which an upstream that refused the request wants none from this node; nothing when not stated.
     */
    std::optional<std::chrono::milliseconds> retry_after{};
    /*! @brief True when the upstream is leaving and takes no new requests. */
    bool leaving{};
    /*! @brief Requests per second that the upstream takes from all nodes together; nothing when it names no limit. */
    std::optional<double> rate_limit{};
    /*! @brief Refusals per second for want of room that the upstream tolerates from all nodes together, beyond which it
     * falls over; nothing when it states none. */
    std::optional<unsigned> refusal_limit{};
    /*! @brief Versions of the weights that served the request; empty when not stated. */
    std::string weight_versions{};
};

/*! @brief Fields that the node adds to a request when it forwards it. */
struct forwarding_metadata {
    std::chrono::milliseconds deadline{};
    std::string expected_upstream{};
    std::optional<std::uint64_t> expected_version{};
    std::optional<std::uint64_t> resume_after{};
    std::optional<unsigned> urgency{};

    /*! @brief How the tenant of a request is passed on. */
    struct tenant_field {
        /*! @brief Empty for an anonymous request, whose field is removed. */
        std::string name{};
    };

    /*! @brief Replaces the caller's key; nothing when the configuration has no tenants, and its fields are passed on.
     */
    std::optional<tenant_field> tenant{};
};

} // namespace lagoonsaddle::edge

#endif
