#ifndef LAGOONSADDLE_EDGE_CRASH_REVIEW_HPP
#define LAGOONSADDLE_EDGE_CRASH_REVIEW_HPP

#include <chrono>
#include <cstddef>

#include <lagoonsaddle/edge/upstream_table.hpp>
#include <lagoonsaddle/policy/crash_quarantine.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `crash_review`; the first two are those of the quarantine. */
struct crash_review_options {
    std::size_t crashes_until_quarantine{3u};
    std::chrono::milliseconds suspect_duration{std::chrono::minutes{2}};
    /*! @brief Time after a crash in which the entry of an upstream may still stand in the store. */
    std::chrono::milliseconds lapse{6'000};
};

/**
 * @brief Tells whether a quarantine still holds, once the blamed upstreams have had time to vanish.
 *
 * A connection that breaks looks like a crash. An upstream that lives on in the same incarnation did not crash, so that
 * it no longer counts. Answers cut links, which would otherwise quarantine a request that many callers send.
 */
class crash_review {
public:
    explicit crash_review(crash_review_options options) : settings{options} {}

    /**
     * @brief Reviews a quarantined request.
     * @param record What is known of the request.
     * @param upstreams The upstreams.
     * @param now Unix time.
     * @return True when the request is to be refused.
     */
    [[nodiscard]] bool holds(
        const policy::quarantine_record& record, const upstream_table& upstreams, std::chrono::milliseconds now) const;

private:
    crash_review_options settings;
};

} // namespace lagoonsaddle::edge

#endif
