#ifndef LAGOONSADDLE_EDGE_CRASH_VERIFIER_HPP
#define LAGOONSADDLE_EDGE_CRASH_VERIFIER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/policy/crash_quarantine.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `crash_verifier`; the first two must equal those of the quarantine. */
struct crash_verifier_options {
    std::size_t crashes_until_quarantine{3u};
    std::chrono::milliseconds suspect_duration{std::chrono::minutes{2}};
    /*! @brief Time after a crash until the entry of the crashed upstream has expired in the store. */
    std::chrono::milliseconds entry_ttl{6'000};
};

/*! @brief Returns the crash ids that the registered incarnations of upstreams would have, sorted; none while the table
 * is not current. */
[[nodiscard]] std::vector<std::uint64_t> crash_ids_of_running(const upstream_table& upstreams);

/**
 * @brief Verifies a quarantine by checking which of the recorded crashes really ended an upstream.
 *
 * A broken connection is recorded as a crash. Once entries of crashed upstreams have expired, an upstream that is still
 * registered with the same incarnation did not crash, and its crash is not counted. Without this check, network
 * failures would quarantine a request that many callers send.
 */
class crash_verifier {
public:
    explicit crash_verifier(crash_verifier_options options) : settings{options} {}

    /**
     * @brief Returns whether a quarantined request is to be refused.
     * @param record Quarantine record of the request.
     * @param upstreams The known upstreams.
     * @param now Unix time.
     * @return True while entries of crashed upstreams may not have expired yet, or when enough crashes are confirmed.
     */
    [[nodiscard]] bool confirms_quarantine(
        const policy::quarantine_record& record, const upstream_table& upstreams, std::chrono::milliseconds now) const;

private:
    crash_verifier_options settings;
};

} // namespace lagoonsaddle::edge

#endif
