#ifndef LAGOONSADDLE_EDGE_LOAD_GATE_HPP
#define LAGOONSADDLE_EDGE_LOAD_GATE_HPP

#include <cstddef>
#include <string_view>

namespace lagoonsaddle::edge {

/*! @brief Decides which of the missing adapters of one upstream is loaded next, and when. Adapters are named
 * `model/adapter`. */
class load_gate {
public:
    load_gate() = default;
    load_gate(const load_gate&) = delete;
    load_gate& operator=(const load_gate&) = delete;
    virtual ~load_gate() = default;

    /*! @brief Returns the position of a load in the order of all loads; the least is ordered first. */
    [[nodiscard]] virtual std::size_t position(std::string_view key) = 0;

    /*! @brief Returns whether a slot may be freed for an adapter now. */
    [[nodiscard]] virtual bool may_evict_for(std::string_view key) = 0;

    /*! @brief Called when the upstream could begin a load now. Returns whether it does; the load then counts as in
     * progress. */
    [[nodiscard]] virtual bool begin_load(std::string_view key) = 0;
};

} // namespace lagoonsaddle::edge

#endif
