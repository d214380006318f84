#ifndef LAGOONSADDLE_EDGE_PREFILL_GROUP_HPP
#define LAGOONSADDLE_EDGE_PREFILL_GROUP_HPP

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string_view>

#include <lagoonsaddle/edge/upstream_table.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `select_prefill_group`. */
struct prefill_group_options {
    /*! @brief Engines that an availability zone needs for a group: with few of them, a group has too little room for a
     * burst of its kind of request. */
    std::size_t engines_min{10u};
    /*! @brief Engines of an availability zone beyond which there is no group: the deployments of that size send more
     * long prompts than half of their engines can prefill in time. */
    std::size_t engines_max{40u};
    /*! @brief Share of the engines of an availability zone that belongs to the group, as a divisor. */
    std::size_t share_divisor{2u};
};

/*! @brief Returns whether a prompt is so long that its prefill takes several steps of an engine, each of which delays
 * the next event of all other streams there. */
[[nodiscard]] constexpr bool is_long_prompt(std::uint64_t prompt_tokens) noexcept {
    constexpr std::uint64_t long_prompt_tokens{4'096u};
    return prompt_tokens >= long_prompt_tokens;
}

/**
 * @brief Selects the engines that requests with long prompts prefer, and other requests avoid.
 *
 * Answers a mix of long prompts with long streams: where both share an engine, the pauses between the events of the
 * streams exceed what callers accept. Rendezvous hashing chooses the group in each availability zone, so that all nodes
 * choose nearly the same one and an engine that comes or goes moves one other engine at most.
 *
 * @param engines Engines of a service.
 * @param options Options.
 * @return Ids of the engines; empty when an availability zone has too few or too many. Valid as long as `engines`.
 */
[[nodiscard]] std::set<std::string_view> select_prefill_group(
    std::span<const upstream_state* const> engines, const prefill_group_options& options = {});

} // namespace lagoonsaddle::edge

#endif
