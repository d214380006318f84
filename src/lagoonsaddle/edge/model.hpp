#ifndef LAGOONSADDLE_EDGE_MODEL_HPP
#define LAGOONSADDLE_EDGE_MODEL_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonsaddle/core/endpoint.hpp>

/*! @brief Entry node of a deployment whose upstreams and configuration live in the platform's store. */
namespace lagoonsaddle::edge {

/*! @brief What may be done with a request that failed. */
enum class repeatability {
    /*! @brief May run on any number of upstreams. */
    idempotent,
    /*! @brief May run at most once. */
    once,
    /*! @brief A stream that may be continued on another upstream after the last event that was delivered. */
    resumable
};

/*! @brief Share of a route's requests that a service receives. */
struct weighted_service {
    std::string name{};
    std::uint32_t weight{1u};
};

/*! @brief Maps a host and a path prefix to services. */
struct route {
    std::string name{};
    std::string host{};
    std::string path_prefix{};
    repeatability repeat{repeatability::once};
    bool streaming{};
    /*! @brief Longest time that a caller may be kept waiting for the whole answer. */
    std::chrono::milliseconds timeout{};
    /*! @brief Latency objective: to the whole answer, or to the first event of a stream. */
    std::chrono::milliseconds objective{};
    unsigned attempts_max{1u};
    /*! @brief 0 is the most urgent. */
    unsigned priority{};
    std::vector<weighted_service> services{};
};

/*! @brief A group of upstreams that serve the same requests. */
struct service {
    std::string name{};
    /*! @brief Places for adapters per upstream; 0 for a plain service. */
    unsigned adapter_slots{};
    /*! @brief Names of the base models; empty for a plain service. */
    std::vector<std::string> models{};
};

/*! @brief One version of the operator's configuration. */
struct configuration {
    std::uint64_t version{};
    std::vector<route> routes{};
    std::vector<service> services{};
};

/*! @brief A base model held by an upstream. */
struct held_model {
    std::uint64_t version{};
    /*! @brief Version by adapter name. */
    std::map<std::string, std::uint64_t> adapters{};
};

/*! @brief An upstream as it describes itself. */
struct upstream_entry {
    std::string id{};
    std::string service{};
    std::string availability_zone{};
    core::endpoint address{};
    bool leaving{};
    unsigned slots{};
    /*! @brief Unix time of its start in milliseconds; 0 when not stated. Changes with each start, unlike the id. */
    std::uint64_t started_ms{};
    /*! @brief Orders that it has accepted since its start. */
    std::uint64_t orders_accepted{};
    std::map<std::string, held_model> models{};
};

/*! @brief An announced version of an adapter, or of a base model when `adapter` is empty. */
struct version_record {
    std::string model{};
    std::string adapter{};
    std::uint64_t version{};
};

/*! @brief Which node orders the loads of an availability zone's upstreams. */
struct lease_record {
    std::string availability_zone{};
    /*! @brief Name of the node; empty when the lease was released. */
    std::string holder{};
    /*! @brief Start of the holder's process, so that its successor under the same name has to acquire the lease anew.
     */
    std::uint64_t holder_boot{};
    std::uint64_t fencing_token{};
};

/*! @brief What a request says about itself. */
struct request_terms {
    std::string id{};
    std::optional<std::chrono::milliseconds> deadline{};
    std::string model{};
    std::string adapter{};
    std::uint64_t prompt_tokens{};
    std::uint64_t output_tokens{};
    /*! @brief Hash of the leading parts of the prompt that other requests share; 0 when nothing is shared. */
    std::uint64_t shared_prefix{};
    /*! @brief Tokens of these parts. */
    std::uint64_t shared_tokens{};
    std::optional<std::uint64_t> last_event{};
};

/*! @brief What a response head says about the request. */
struct answer_terms {
    std::string request_id{};
    /*! @brief True when the upstream signed the response. */
    bool signed_by_upstream{};
    /*! @brief True when the upstream states that it did not run the request. */
    bool not_run{};
    /*! @brief True when another upstream, or none with the requested model or version, has the address. */
    bool misdirected{};
    /*! @brief True when the body is encoded, so that it is not the upstream's own body. */
    bool encoded{};
    /*! @brief Version of the weights that serve the request; 0 when not stated. */
    std::string weight_versions{};
};

/*! @brief What the node adds to a request that it forwards. */
struct forward_terms {
    std::chrono::milliseconds deadline{};
    std::string expected_upstream{};
    std::optional<std::uint64_t> expected_version{};
    std::optional<std::uint64_t> resume_after{};
    std::optional<unsigned> urgency{};
};

} // namespace lagoonsaddle::edge

#endif
