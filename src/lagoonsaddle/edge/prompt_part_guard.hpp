#ifndef LAGOONSADDLE_EDGE_PROMPT_PART_GUARD_HPP
#define LAGOONSADDLE_EDGE_PROMPT_PART_GUARD_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/policy/prompt_part_quarantine.hpp>

namespace lagoonsaddle::edge {

/*! @brief Dependencies of `prompt_part_guard`, all of which must outlive it. */
struct prompt_part_guard_context {
    log_sink& log;
    const upstream_table& upstreams;
    cluster::membership_service& membership;
    cluster::peer_directory& peers;
};

/*! @brief Whether a request may be sent, considering the parts of its prompt. */
enum class prompt_part_admission {
    admitted,
    /*! @brief The request is the one that finds out whether a quarantined part still crashes upstreams. */
    probe,
    refused
};

/*! @brief Decision on a request. */
struct prompt_part_decision {
    prompt_part_admission admission{prompt_part_admission::admitted};
    /*! @brief The quarantined part; empty when there is none. */
    std::string part{};
    /*! @brief Time until the request may be sent again. */
    std::chrono::milliseconds retry_after{};
};

/**
 * @brief Refuses requests with prompt parts that crash upstreams, on the evidence of all nodes.
 *
 * Changes of the evidence are sent to all live nodes. Parts with more than one crash are also published as membership
 * items, which reach nodes that start or missed the message. Must only be used from the thread that runs the
 * `io_context`.
 */
class prompt_part_guard {
public:
    prompt_part_guard(prompt_part_guard_context context, std::string node_name);

    /*! @brief Records that an upstream crashed before it answered a request with these parts. */
    void record_crash(const upstream_entry& upstream, std::span<const std::string> parts);

    /*! @brief Records that an upstream has begun to answer a request with these parts. */
    void record_answer(std::span<const std::string> parts);

    /*! @brief Decides on a new request. The caller has to send a request that becomes a probe. */
    [[nodiscard]] prompt_part_decision admit(std::span<const std::string> parts);

    /*! @brief Decides on a request that was admitted before and is about to be sent; it never becomes a probe. */
    [[nodiscard]] prompt_part_decision review(std::span<const std::string> parts) const;

    /*! @brief Merges the evidence that another node has sent. */
    void merge(std::string_view packed);

    /*! @brief Merges a membership item; ignores items of other kinds. */
    void apply(const fleet::gossip_item& item);

    /*! @brief Removes expired records. */
    void expire();

    /*! @brief Returns the number of parts with records, of cleared ones as well. */
    [[nodiscard]] std::size_t record_count() const noexcept {
        return this->quarantine.record_count();
    }

private:
    void merge(const policy::prompt_part_record& record, std::string_view source);
    void send(std::span<const policy::prompt_part_record> records);
    void publish(const policy::prompt_part_record& record);
    void log_record(const policy::prompt_part_record& record, std::string_view source);
    /*! @brief Returns the part for which a request is to be refused, or nothing. */
    [[nodiscard]] std::optional<policy::quarantined_prompt_part> find_quarantined(
        std::span<const std::string> parts) const;
    /*! @brief Returns whether it is this node's turn to send a request with a quarantined part. */
    [[nodiscard]] bool may_probe(const policy::quarantined_prompt_part& quarantined);

    prompt_part_guard_context context;
    std::string node_name;
    policy::prompt_part_quarantine quarantine{};
    /*! @brief Unix times of this node's last probes, by part. */
    std::map<std::string, std::chrono::milliseconds, std::less<>> probes{};
};

} // namespace lagoonsaddle::edge

#endif
