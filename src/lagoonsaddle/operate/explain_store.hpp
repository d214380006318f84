#ifndef LAGOONSADDLE_OPERATE_EXPLAIN_STORE_HPP
#define LAGOONSADDLE_OPERATE_EXPLAIN_STORE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/verdict.hpp>

namespace lagoonsaddle::operate {

/*! @brief An upstream that routing considered for a request. */
struct evaluated_upstream {
    std::string upstream{};
    std::string owner{};
    double cost{};
    /*! @brief Cost components by name, such as `queue_wait_ms`. */
    std::vector<std::pair<std::string, double>> parts{};
    bool chosen{false};
    /*! @brief Reason for the exclusion of the upstream; empty for a candidate. */
    std::string excluded{};
};

/*! @brief Time that a request spent waiting, such as `queue` or `load`. */
struct explain_wait {
    std::string name{};
    std::chrono::milliseconds duration{0};
};

/*! @brief The adapter load that a request waited for. */
struct explain_load {
    std::string adapter_version{};
    std::string upstream{};
    std::chrono::milliseconds duration{0};
    /*! @brief Error message; empty for a successful load. */
    std::string failure{};
};

/*! @brief One attempt to run a request on an upstream. */
struct explain_attempt {
    std::string upstream{};
    std::string owner{};
    core::verdict verdict{core::verdict::not_run};
    /*! @brief Name of the reason; empty for a success. */
    std::string reason{};
    std::chrono::milliseconds duration{0};
};

/*! @brief Decisions, waits and attempts that explain the outcome of a request. */
struct explain_record {
    std::string request_id{};
    /*! @brief Time of arrival since the Unix epoch. */
    std::chrono::milliseconds time{0};
    std::string node{};
    std::string caller{};
    /*! @brief `base/adapter@version`, `base/adapter:channel` or the name of the service. */
    std::string target{};
    /*! @brief Name of the rule that matched; empty for none. */
    std::string rule{};
    /*! @brief Decision of the rules, such as `allow` or `refuse: closed`. */
    std::string decision{};
    std::vector<evaluated_upstream> upstreams{};
    std::vector<explain_wait> waits{};
    std::optional<explain_load> load{};
    std::vector<explain_attempt> attempts{};
    /*! @brief No value while the request is in progress. */
    std::optional<core::verdict> verdict{};
    unsigned status{};
    std::string message{};
};

/**
 * @brief Encodes a record.
 * @param record The record.
 * @return A JSON object.
 */
[[nodiscard]] nlohmann::json encode(const explain_record& record);

/*! @brief Options of an explain store. */
struct explain_options {
    /*! @brief Maximum number of records, rounded up to a multiple of the number of shards. */
    std::size_t capacity{8'192u};
    /*! @brief Maximum number each of upstreams, waits and attempts in a record. */
    std::size_t max_entries_per_record{8u};
};

/*! @brief Ring buffers of the latest explain records. Thread-safe: sharded by request id, one mutex per shard. */
class explain_store {
public:
    explicit explain_store(explain_options options = {});

    /**
     * @brief Adds a record, or replaces the one of the same request that is still in progress.
     * @param record The record. Above the maximum number of entries, the chosen upstream and the first entries are
     * kept. Long strings are truncated.
     */
    void put(explain_record record);

    /**
     * @brief Finds the records of a request.
     * @param request_id Identifier of the request; callers may reuse it for several requests.
     * @return The records, newest first.
     */
    [[nodiscard]] std::vector<explain_record> find(const std::string& request_id) const;

    /*! @brief Returns the number of records. */
    [[nodiscard]] std::size_t size() const;

private:
    struct shard {
        mutable std::mutex mutex{};
        std::vector<explain_record> ring{};
        /*! @brief Slot that is overwritten next once the ring is full. */
        std::size_t next_slot{};
        std::unordered_multimap<std::string, std::size_t> slots_by_id{};
    };

    static constexpr std::size_t shard_count = 16u;

    [[nodiscard]] std::size_t shard_index(std::string_view request_id) const noexcept;

    explain_options options;
    std::size_t shard_capacity;
    std::array<shard, shard_count> shards{};
};

} // namespace lagoonsaddle::operate

#endif
