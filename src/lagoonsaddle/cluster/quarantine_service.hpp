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

/*! @brief Item kind under which quarantine records spread. */
inline constexpr std::string_view quarantine_item_kind{"quarantine"};

/**
 * @brief Suspects and quarantined request bodies of the whole fleet. Thread-safe.
 *
 * A change goes to all live nodes directly, so that a caller that repeats a request through another node finds it
 * known there; the membership items repair what is lost.
 */
class quarantine_service {
public:
    quarantine_service(policy::crash_quarantine_options options, membership_service& membership, peer_directory& peers);

    /**
     * @brief Records a crash and tells the other nodes.
     * @param crash Id of the crash.
     * @param digests Body digests of the requests that were in flight.
     */
    void crashed(std::uint64_t crash, std::span<const std::string> digests);

    /**
     * @brief Clears a suspect after a run alone without a crash, and tells the other nodes.
     * @param digest Body digest.
     */
    void ran_alone(const std::string& digest);

    /**
     * @brief Returns the standing of a body.
     * @param digest Body digest.
     * @return The standing.
     */
    [[nodiscard]] policy::quarantine_status classify(const std::string& digest) const;

    /*! @brief Returns what is known of a body, or nothing. */
    [[nodiscard]] std::optional<policy::quarantine_record> record_of(const std::string& digest) const;

    /**
     * @brief Applies a record that another node sent directly.
     * @param packed Packed `wire::quarantine_update`.
     */
    void receive(std::string_view packed);

    /**
     * @brief Applies a membership item of the kind `quarantine`.
     * @param value The item.
     */
    void receive(const fleet::gossip_item& value);

    [[nodiscard]] std::vector<policy::quarantine_record> records() const;

private:
    void spread(const policy::quarantine_record& record);

    membership_service& membership;
    peer_directory& peers;
    mutable std::mutex mutex{};
    policy::crash_quarantine quarantine;
};

} // namespace lagoonsaddle::cluster

#endif
