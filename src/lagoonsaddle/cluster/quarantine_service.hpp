#ifndef LAGOONSADDLE_CLUSTER_QUARANTINE_SERVICE_HPP
#define LAGOONSADDLE_CLUSTER_QUARANTINE_SERVICE_HPP

#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/cluster/membership_service.hpp>
#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/fleet/member.hpp>
#include <lagoonsaddle/policy/crash_quarantine.hpp>

namespace lagoonsaddle::cluster {

/*! @brief Kind of the membership items that carry quarantine records. */
inline constexpr std::string_view quarantine_item_kind{"quarantine"};

/**
 * @brief Fleet-wide record of request bodies that are suspected of crashing engines or quarantined. Thread-safe.
 *
 * Each change is sent directly to all live nodes, so that a request that a caller repeats through another node is
 * recognized there. Membership items carry the same records to nodes that missed the direct message.
 */
class quarantine_service {
public:
    quarantine_service(policy::crash_quarantine_options options, membership_service& membership, peer_directory& peers);

    /**
     * @brief Records an engine crash and sends the changed records to the other nodes.
     * @param crash_id Id of the crash, equal on all nodes.
     * @param digests Digests of the request bodies that were in flight.
     */
    void record_crash(std::uint64_t crash_id, std::span<const std::string> digests);

    /**
     * @brief Clears a suspect that ran in isolation without a crash, and sends the record to the other nodes.
     * @param digest Digest of the request body.
     */
    void record_isolated_run(const std::string& digest);

    /**
     * @brief Returns whether a request body is clear, suspect or quarantined.
     * @param digest Digest of the request body.
     * @return The classification.
     */
    [[nodiscard]] policy::quarantine_status classify(const std::string& digest) const;

    /*! @brief Returns the record of a body digest, or nothing when none exists or it has expired. */
    [[nodiscard]] std::optional<policy::quarantine_record> find_record(const std::string& digest) const;

    /**
     * @brief Merges a record that another node sent directly. Malformed input is ignored.
     * @param packed Packed `wire::quarantine_update`.
     */
    void merge(std::string_view packed);

    /**
     * @brief Merges a membership item of kind `quarantine`; other kinds are ignored.
     * @param item The item.
     */
    void merge(const fleet::gossip_item& item);

    /*! @brief Returns all records that have not expired. */
    [[nodiscard]] std::vector<policy::quarantine_record> records() const;

private:
    void publish(const policy::quarantine_record& record);

    membership_service& membership;
    peer_directory& peers;
    mutable std::mutex mutex{};
    policy::crash_quarantine quarantine;
};

} // namespace lagoonsaddle::cluster

#endif
