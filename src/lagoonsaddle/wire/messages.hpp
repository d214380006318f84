#ifndef LAGOONSADDLE_WIRE_MESSAGES_HPP
#define LAGOONSADDLE_WIRE_MESSAGES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/core/verdict.hpp>
#include <lagoonsaddle/wire/frame.hpp>

MSGPACK_ADD_ENUM(lagoonsaddle::core::verdict)
MSGPACK_ADD_ENUM(lagoonsaddle::core::reason)

namespace lagoonsaddle::wire {

/*! @brief Version of the protocol between nodes. */
inline constexpr unsigned protocol_version{1u};

/*! @brief First message of a connection, in both directions. */
struct hello {
    std::string node{};
    std::string availability_zone{};
    unsigned protocol{protocol_version};
    /*! @brief Newest type of message that the node knows; 0 when it does not state it. */
    unsigned newest_message{};

    MSGPACK_DEFINE_ARRAY(node, availability_zone, protocol, newest_message)
};

/*! @brief Returns a greeting that states which messages this node knows, unless it states so already. */
[[nodiscard]] inline hello with_newest_message(hello greeting) {
    if(greeting.newest_message == 0u) {
        greeting.newest_message = static_cast<unsigned>(newest_message_type);
    }
    return greeting;
}

/*! @brief Kind of call that a request makes on its upstream. */
enum class call_kind : unsigned char { completion = 0, chat_completion = 1, service = 2 };

/*! @brief A caller's request on its way from the entry node to the owner of an upstream. */
struct submit {
    std::string request_id{};
    std::string upstream{};
    call_kind kind{call_kind::completion};
    std::string caller{};
    /*! @brief Adapter and version; empty for plain services. */
    std::string adapter{};
    std::string version{};
    /*! @brief Path below the service; empty for model calls. */
    std::string path{};
    std::string method{};
    std::string content_type{};
    std::string body{};
    std::string idempotency_key{};
    std::uint64_t deadline_left_ms{};
    unsigned priority{};
    bool streamed{};
    bool non_idempotent{};
    /*! @brief The upstream may run nothing else beside this request, since it may crash the upstream. */
    bool isolated{};
    /*! @brief The owner may answer `adapter_not_resident` when other cold adapters already need all its slots. */
    bool may_decline{};

    MSGPACK_DEFINE_ARRAY(request_id, upstream, kind, caller, adapter, version, path, method, content_type, body,
        idempotency_key, deadline_left_ms, priority, streamed, non_idempotent, isolated, may_decline)
};

/*! @brief Start of an answer. */
struct answer_head {
    unsigned status{};
    std::string content_type{};
    /*! @brief `adapter@version` that served, as the upstream reported it; empty for plain services. */
    std::string served{};
    std::string upstream{};

    MSGPACK_DEFINE_ARRAY(status, content_type, served, upstream)
};

/*! @brief Part of the body of an answer. */
struct answer_data {
    std::string bytes{};

    MSGPACK_DEFINE_ARRAY(bytes)
};

/*! @brief Error of an answer or a reply, as `core::error`. */
struct wire_error {
    core::reason cause{core::reason::internal};
    core::verdict verdict{core::verdict::may_have_run};
    std::string message{};
    std::int64_t retry_after_ms{-1};

    MSGPACK_DEFINE_ARRAY(cause, verdict, message, retry_after_ms)
};

/*! @brief Times of a request at the owner of its upstream. */
struct timings {
    std::uint64_t queue_wait_us{};
    std::uint64_t load_stall_us{};
    std::uint64_t upstream_us{};

    MSGPACK_DEFINE_ARRAY(queue_wait_us, load_stall_us, upstream_us)
};

/*! @brief Asks for the body of a configuration object. */
struct config_get {
    std::string name{};
    /*! @brief Asks for the version alone. */
    bool version_only{};

    MSGPACK_DEFINE_ARRAY(name, version_only)
};

/*! @brief A configuration object; version 0 when the node does not have it. */
struct config_reply {
    std::string name{};
    std::uint64_t version{};
    std::string body{};

    MSGPACK_DEFINE_ARRAY(name, version, body)
};

/*! @brief Asks the owner of the weight store for a permit to load an adapter. */
struct load_request {
    std::string upstream{};
    std::string adapter{};
    std::string version{};
    std::uint64_t waiting{};
    std::uint64_t nearest_deadline_ms{};

    MSGPACK_DEFINE_ARRAY(upstream, adapter, version, waiting, nearest_deadline_ms)
};

/*! @brief Permit to load an adapter now. */
struct load_permit {
    std::uint64_t permit{};
    std::uint64_t valid_for_ms{};
    std::optional<wire_error> refusal{};

    MSGPACK_DEFINE_ARRAY(permit, valid_for_ms, refusal)
};

/*! @brief Returns a permit. */
struct load_done {
    std::uint64_t permit{};
    bool succeeded{};

    MSGPACK_DEFINE_ARRAY(permit, succeeded)
};

/*! @brief State of an upstream, sent by its owner to the other nodes. */
struct upstream_report {
    std::string upstream{};
    std::uint64_t fencing_token{};
    std::uint64_t sequence{};
    bool healthy{};
    bool leaving{};
    std::uint64_t queued{};
    std::uint64_t running{};
    std::uint64_t batch_limit{};
    double batch_fill{};
    /*! @brief Mean time that a request occupies a place in the batch. */
    std::uint64_t service_us{};
    std::uint64_t free_slots{};
    std::uint64_t evictable_slots{};
    /*! @brief Requests per second of the adapter that a load would evict. */
    double victim_rate{};
    /*! @brief Resident adapters as `adapter@version`. */
    std::vector<std::string> resident{};
    std::vector<std::string> loading{};

    MSGPACK_DEFINE_ARRAY(upstream, fencing_token, sequence, healthy, leaving, queued, running, batch_limit, batch_fill,
        service_us, free_slots, evictable_slots, victim_rate, resident, loading)
};

/*! @brief End of an answer, with its verdict. Without an error the answer is complete. */
struct answer_end {
    core::verdict verdict{core::verdict::may_have_run};
    std::optional<wire_error> failure{};
    timings times{};
    /*! @brief Identifies the crash of the upstream while it ran this request; 0 when it did not crash. */
    std::uint64_t crash{};
    /*! @brief State of the upstream, so that entry nodes which use it know it without waiting for the next report. */
    std::optional<upstream_report> state{};

    MSGPACK_DEFINE_ARRAY(verdict, failure, times, crash, state)
};

/*! @brief Asks for the ownership object of an availability zone. */
struct ownership_get {
    std::string zone{};

    MSGPACK_DEFINE_ARRAY(zone)
};

/*! @brief Ownership object as the node knows it; version 0 when it knows none. */
struct ownership_reply {
    std::uint64_t version{};
    std::string body{};

    MSGPACK_DEFINE_ARRAY(version, body)
};

/*! @brief What a node knows of a request body that was in flight in a crash. */
struct quarantine_update {
    std::string digest{};
    std::vector<std::uint64_t> crashes{};
    std::vector<std::uint64_t> cleared{};
    std::int64_t until_unix_ms{};

    MSGPACK_DEFINE_ARRAY(digest, crashes, cleared, until_unix_ms)
};

/*! @brief A crash of an upstream during which a request with a prompt part was in flight. */
struct prompt_part_crash {
    std::uint64_t id{};
    std::int64_t at_unix_ms{};

    MSGPACK_DEFINE_ARRAY(id, at_unix_ms)
};

/*! @brief What a node knows of a prompt part that may crash upstreams. */
struct prompt_part_state {
    std::string part{};
    std::vector<prompt_part_crash> crashes{};
    std::int64_t cleared_until_unix_ms{};

    MSGPACK_DEFINE_ARRAY(part, crashes, cleared_until_unix_ms)
};

/*! @brief Changes of what a node knows of prompt parts. */
struct prompt_part_update {
    std::vector<prompt_part_state> parts{};

    MSGPACK_DEFINE_ARRAY(parts)
};

/*! @brief Asks the node that orders the loads of an availability zone's upstreams to place a request on one of them. */
struct place_request {
    /*! @brief Number of the request at its sender, for `request_progress`. */
    std::uint64_t ticket{};
    std::string zone{};
    std::string service{};
    std::string model{};
    std::string adapter{};
    /*! @brief Oldest version of the adapter that may serve; 0 for any. */
    std::uint64_t version_min{};
    std::uint64_t prompt_tokens{};
    /*! @brief Hash of the leading parts of the prompt that other requests share; 0 when nothing is shared. */
    std::uint64_t shared_prefix{};
    /*! @brief Tokens of these parts. */
    std::uint64_t shared_tokens{};
    /*! @brief Upstreams that have failed the request. */
    std::vector<std::string> excluded{};
    /*! @brief Longest time to wait for the load of the adapter. */
    std::uint64_t timeout_ms{};
    /*! @brief Time after which the request has ended in any case. */
    std::uint64_t lifetime_ms{};
    /*! @brief Wait for a place instead of answering `overloaded` when all are in use. */
    bool may_wait{};
    /*! @brief Version that the software of the upstream must have; any when not set. Earlier releases ignore it. */
    std::optional<std::string> software_version{};
    /*! @brief Whether `placement_pending` may come before the answer. Earlier releases ignore it. */
    bool knows_pending{};
    /*! @brief Priority of the request, 0 being the most urgent. Earlier releases ignore this field and the next ones,
     * and do not set them. */
    std::optional<std::uint32_t> priority{};
    /*! @brief Time left to the latency objective; 0 when it has passed, nothing when there is none. */
    std::optional<std::uint64_t> objective_ms{};
    /*! @brief Time left to the deadline. When set, the load is waited for beyond `timeout_ms` while other loads delay
     * it, and `placement_pending` is repeated meanwhile. */
    std::optional<std::uint64_t> deadline_ms{};
    std::uint64_t output_tokens{};

    MSGPACK_DEFINE_ARRAY(ticket, zone, service, model, adapter, version_min, prompt_tokens, shared_prefix,
        shared_tokens, excluded, timeout_ms, lifetime_ms, may_wait, software_version, knows_pending, priority,
        objective_ms, deadline_ms, output_tokens)
};

/*! @brief Comes before the answer to `place_request` when the adapter has to be loaded first; repeated while a load is
 * waited for. */
struct placement_pending {
    /*! @brief Upstream that loads the adapter. */
    std::string upstream{};

    MSGPACK_DEFINE_ARRAY(upstream)
};

/*! @brief Response times of a service without models, as observed by nodes of the fleet. */
struct response_times {
    std::string upstream{};
    /*! @brief Identifies the incarnation of the upstream. */
    std::uint64_t started_ms{};
    /*! @brief Mean response time in microseconds. */
    std::uint64_t mean_us{};
    /*! @brief Number of observations in thousandths, decayed by their age. */
    std::uint64_t weight_milli{};

    MSGPACK_DEFINE_ARRAY(upstream, started_ms, mean_us, weight_milli)
};

/*! @brief Answer to `place_request`. */
struct placement {
    /*! @brief Where the request goes, or which upstream was tried last. */
    std::string upstream{};
    /*! @brief Resident version of the adapter. */
    std::uint64_t version{};
    /*! @brief Prompt tokens that the upstream has to read. */
    std::uint64_t cold_tokens{};
    /*! @brief Mean delay at the upstreams of the availability zone, as estimated. */
    std::uint64_t delay_ms{};
    std::optional<wire_error> failure{};
    /*! @brief Whether the upstream seems to have started again, which its entry does not show yet. */
    bool restart_suspected{};
    /*! @brief Mean duration of prefills in the availability zone, in percent of the nominal one; 0 when not known.
     * Earlier releases ignore it, and do not send it. */
    std::uint64_t slowness_percent{};
    /*! @brief What the lease holder knows of services without models. Earlier releases ignore it. */
    std::vector<response_times> services{};
    /*! @brief Time for which a new load of the availability zone is delayed by others. Earlier releases do not set this
     * field and the next one. */
    std::uint64_t load_wait_ms{};
    /*! @brief Whether the adapter cannot be loaded before the deadline, so that other upstreams of the availability
     * zone need not be tried. */
    bool unservable{};

    MSGPACK_DEFINE_ARRAY(upstream, version, cold_tokens, delay_ms, failure, restart_suspected, slowness_percent,
        services, load_wait_ms, unservable)
};

/*! @brief What became of requests that were placed; numbers are those of `place_request`. Has no answer. */
struct request_progress {
    /*! @brief The upstream has begun to answer. */
    std::vector<std::uint64_t> started{};
    /*! @brief The request has ended. */
    std::vector<std::uint64_t> ended{};
    /*! @brief What the sender has observed of services without models since it last told a lease holder. Earlier
     * releases ignore it. */
    std::vector<response_times> services{};

    MSGPACK_DEFINE_ARRAY(started, ended, services)
};

/*! @brief Announced version of an adapter. */
struct version_copy {
    std::string model{};
    std::string adapter{};
    std::uint64_t version{};

    MSGPACK_DEFINE_ARRAY(model, adapter, version)
};

/*! @brief Times since versions were announced, in the order of the versions; nothing for those whose time the sender
 * does not know. A node of an earlier build sends none. */
using version_ages_ms = std::vector<std::optional<std::uint64_t>>;

/*! @brief What a node has just read in the platform's store, for nodes that read it later or cannot reach it. */
struct store_news {
    /*! @brief One start of an upstream. */
    struct upstream_incarnation {
        std::string upstream{};
        std::uint64_t started_ms{};

        MSGPACK_DEFINE_ARRAY(upstream, started_ms)
    };

    std::uint64_t configuration_version{};
    std::vector<upstream_incarnation> leaving{};
    std::vector<version_copy> versions{};
    /*! @brief Upstreams whose entries were removed without having been marked as leaving. */
    std::vector<upstream_incarnation> removed{};
    version_ages_ms version_ages{};

    MSGPACK_DEFINE_ARRAY(configuration_version, leaving, versions, removed, version_ages)
};

/*! @brief A node that the store has answered. */
struct store_reader {
    std::string node{};
    /*! @brief Time since the node itself has said so. */
    std::uint64_t age_ms{};

    MSGPACK_DEFINE_ARRAY(node, age_ms)
};

/**
 * @brief What a node knows of the platform's store, in brief, so that a peer can tell what either of them lacks.
 *
 * Sent as `records_get` by a node that the store does not answer, and as `records_notice`, which has no answer, by one
 * that has received something from a peer.
 */
struct records_summary {
    std::uint64_t configuration_version{};
    /*! @brief Whether the node knows all upstreams. */
    bool upstreams_known{};
    /*! @brief Digest of the upstreams; equal ones need not be sent. The same holds for the other kinds. */
    std::uint64_t upstreams{};
    std::uint64_t versions{};
    std::uint64_t leases{};
    /*! @brief Nodes that the store has answered lately, as far as this node knows. */
    std::vector<store_reader> readers{};

    MSGPACK_DEFINE_ARRAY(configuration_version, upstreams_known, upstreams, versions, leases, readers)
};

/*! @brief Entry of an upstream as a node knows it, without what changes with each load. */
struct upstream_copy {
    std::string id{};
    std::string service{};
    std::string availability_zone{};
    std::string address{};
    unsigned port{};
    bool leaving{};
    unsigned request_slots{};
    std::uint64_t started_ms{};
    std::string software_version{};
    /*! @brief Resident base models. */
    std::vector<std::string> models{};

    MSGPACK_DEFINE_ARRAY(
        id, service, availability_zone, address, port, leaving, request_slots, started_ms, software_version, models)
};

/*! @brief Lease of an availability zone with the position of its record in the store. */
struct lease_copy {
    std::string availability_zone{};
    std::string holder{};
    std::uint64_t holder_boot_id{};
    std::uint64_t fencing_token{};
    std::uint64_t revision{};
    std::uint64_t epoch{};

    MSGPACK_DEFINE_ARRAY(availability_zone, holder, holder_boot_id, fencing_token, revision, epoch)
};

/*! @brief Answer to `records_get`: the kinds of records whose digest differs. */
struct records_reply {
    std::uint64_t configuration_version{};
    bool upstreams_known{};
    /*! @brief Nodes that the store has answered lately, as far as this node knows. */
    std::vector<store_reader> readers{};
    std::optional<std::vector<upstream_copy>> upstreams{};
    std::optional<std::vector<version_copy>> versions{};
    std::optional<std::vector<lease_copy>> leases{};
    version_ages_ms version_ages{};

    MSGPACK_DEFINE_ARRAY(configuration_version, upstreams_known, readers, upstreams, versions, leases, version_ages)
};

/*! @brief Service and software version that began a stream, so that it can be resumed on any node. Has no answer. */
struct stream_origin_update {
    /*! @brief Id of the request that brought the first event. */
    std::string request{};
    std::string service{};
    /*! @brief Nothing when it could not be told. */
    std::optional<std::string> software_version{};
    /*! @brief Time for which the stream may still be resumed. */
    std::uint64_t lifetime_ms{};

    MSGPACK_DEFINE_ARRAY(request, service, software_version, lifetime_ms)
};

/*! @brief Asks a node where a stream began. */
struct stream_origin_get {
    std::string request{};
    /*! @brief Service to tell the software versions of. */
    std::string service{};

    MSGPACK_DEFINE_ARRAY(request, service)
};

/*! @brief Answer to `stream_origin_get`. */
struct stream_origin_reply {
    /*! @brief Nothing when the node does not know the stream. */
    std::optional<stream_origin_update> origin{};
    /*! @brief Software versions that the service has had for as long as a stream can last; two at most. */
    std::vector<std::string> versions{};
    /*! @brief Whether the node has seen all upstreams for that long. */
    bool versions_complete{};

    MSGPACK_DEFINE_ARRAY(origin, versions, versions_complete)
};

/*! @brief An upstream that falls over after many refusals has refused a request for want of room. Has no answer. */
struct upstream_full {
    std::string upstream{};
    /*! @brief Identifies the incarnation of the upstream. */
    std::uint64_t started_ms{};
    /*! @brief Whether the request only asked whether there is more room. */
    bool growth{};

    MSGPACK_DEFINE_ARRAY(upstream, started_ms, growth)
};

/*! @brief Asks a node when its configuration was last known to be the newest one. */
struct confirmation_get {
    /*! @brief Version in force at the sender; 0 when it has none. */
    std::uint64_t version{};

    MSGPACK_DEFINE_ARRAY(version)
};

/*! @brief Answer to `confirmation_get`. */
struct confirmation_reply {
    /*! @brief Version in force at the node; 0 when it has none. */
    std::uint64_t version{};
    /*! @brief Time since this version was known to be the newest one. */
    std::uint64_t age_ms{};
    /*! @brief Whether the node knows such a moment; the other fields have no meaning otherwise. */
    bool confirmed{};
    /*! @brief Name of the node that has read this in the store. */
    std::string reader{};

    MSGPACK_DEFINE_ARRAY(version, age_ms, confirmed, reader)
};

/*! @brief What a node needs of the quota of one tenant, in the unit of the quota. */
struct quota_demand {
    std::string tenant{};
    /*! @brief Availability zone as the holder of whose lease the peer is asked. */
    std::string zone{};
    /*! @brief Fencing token of that lease as the node knows it; a higher one tells a holder that it was replaced. */
    std::uint64_t fencing_token{};
    /*! @brief Whether the peer is asked as the deputy of a node that does not answer or cannot grant enough. */
    bool as_deputy{};
    /*! @brief Units that waiting requests need. */
    std::uint64_t needed{};
    /*! @brief Units that will be needed soon at the current rate. */
    std::uint64_t ahead{};
    /*! @brief A smaller grant is of no use. */
    std::uint64_t least{};

    MSGPACK_DEFINE_ARRAY(tenant, zone, fencing_token, as_deputy, needed, ahead, least)
};

/*! @brief Asks the node that grants the quotas of tenants for units. */
struct quota_request {
    std::uint64_t configuration_version{};
    std::vector<quota_demand> demands{};

    MSGPACK_DEFINE_ARRAY(configuration_version, demands)
};

/*! @brief Answer to one `quota_demand`. */
struct quota_share {
    std::string tenant{};
    std::uint64_t granted{};
    /*! @brief When more can be expected; only with `is_final`. */
    std::uint64_t retry_after_ms{};
    /*! @brief Whether the peer may grant units of the quota as it was asked to. */
    bool is_authority{};
    /*! @brief Whether no other node can grant more now. */
    bool is_final{};

    MSGPACK_DEFINE_ARRAY(tenant, granted, retry_after_ms, is_authority, is_final)
};

/*! @brief Answer to `quota_request`: the shares in the order of the demands. */
struct quota_grant {
    std::vector<quota_share> shares{};

    MSGPACK_DEFINE_ARRAY(shares)
};

/*! @brief Asks a node for the explain record of a request. */
struct explain_get {
    std::string request_id{};

    MSGPACK_DEFINE_ARRAY(request_id)
};

/*! @brief Explain record as JSON; empty when the node has none. */
struct explain_reply {
    std::string record{};

    MSGPACK_DEFINE_ARRAY(record)
};

/**
 * @brief Converts an error for the wire.
 * @param failure An error.
 * @return The same error.
 */
[[nodiscard]] inline wire_error to_wire(const core::error& failure) {
    return wire_error{.cause = failure.cause,
        .verdict = failure.verdict,
        .message = failure.message,
        .retry_after_ms = failure.retry_after ? failure.retry_after->count() : -1};
}

/**
 * @brief Converts an error from the wire.
 * @param failure An error.
 * @return The same error.
 */
[[nodiscard]] inline core::error from_wire(const wire_error& failure) {
    core::error converted{.cause = failure.cause, .verdict = failure.verdict, .message = failure.message};
    if(failure.retry_after_ms >= 0) {
        converted.retry_after = std::chrono::milliseconds{failure.retry_after_ms};
    }
    return converted;
}

} // namespace lagoonsaddle::wire

MSGPACK_ADD_ENUM(lagoonsaddle::wire::call_kind)

#endif
