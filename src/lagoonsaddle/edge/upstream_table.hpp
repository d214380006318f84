#ifndef LAGOONSADDLE_EDGE_UPSTREAM_TABLE_HPP
#define LAGOONSADDLE_EDGE_UPSTREAM_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/model.hpp>
#include <lagoonsaddle/edge/upstream_health.hpp>

namespace lagoonsaddle::edge {

/*! @brief What one node knows about an upstream. */
struct known_upstream {
    upstream_entry entry{};
    upstream_health health{};
    /*! @brief Requests of this node that the upstream works on. */
    unsigned in_flight{};
    /*! @brief Prompt tokens of this node's requests that have not had their first event yet. */
    std::uint64_t pending_tokens{};

    /*! @brief When the upstream last refused a request because it was full. */
    core::time_point refused_at{core::time_point::min()};
    /*! @brief Set while the entry is missing after an outage of the store, until it counts as gone. */
    std::optional<core::time_point> missing_until{};

    /*! @brief What requests and orders showed about an adapter since the entry was written. */
    struct observation {
        bool resident{};
        std::uint64_t version{};
        core::time_point at{};
    };

    std::map<std::string, observation, std::less<>> observed{};

    /*! @brief Returns the version of an adapter that the upstream holds as far as known, or nothing. */
    [[nodiscard]] std::optional<std::uint64_t> adapter_version(
        std::string_view model, std::string_view adapter, core::time_point now) const;

    /*! @brief Returns whether the upstream holds a base model, as far as known. */
    [[nodiscard]] bool holds_model(std::string_view model) const;
};

/*! @brief Upstreams of the deployment as one node knows them. Not thread-safe. */
class upstream_table {
public:
    /**
     * @brief Takes over a complete list from the store.
     * @param entries The upstreams.
     * @param now Current time.
     * @return Names of the upstreams that have begun to leave or are gone.
     */
    std::vector<std::string> replace(std::span<const upstream_entry> entries, core::time_point now);

    /**
     * @brief Takes over one upstream that was added or changed.
     * @param entry The upstream.
     * @param now Current time.
     * @return True when it has begun to leave.
     */
    bool update(const upstream_entry& entry, core::time_point now);

    /**
     * @brief Removes an upstream whose entry was removed or cannot be read.
     *
     * Within the grace time after an outage of the store the entry may have lapsed although the upstream lives, so
     * that it is kept until the grace time ends.
     *
     * @param id Name of the upstream.
     * @param now Current time.
     * @return True when the upstream is gone.
     */
    bool remove(std::string_view id, core::time_point now);

    /*! @brief Marks an upstream as leaving because a peer says so. `started_ms` tells the incarnation. */
    bool mark_leaving(std::string_view id, std::uint64_t started_ms);

    /*! @brief Notes that the store answers again after an outage. */
    void store_returned(core::time_point now) noexcept;

    /*! @brief Removes upstreams whose entries are still missing after the grace time. */
    std::vector<std::string> expire(core::time_point now);

    [[nodiscard]] known_upstream* find(std::string_view id);
    [[nodiscard]] const known_upstream* find(std::string_view id) const;

    /*! @brief Returns all upstreams by name. */
    [[nodiscard]] const std::map<std::string, known_upstream, std::less<>>& all() const noexcept {
        return this->upstreams;
    }

    /*! @brief Returns the upstreams of a service that take new requests. */
    [[nodiscard]] std::vector<const known_upstream*> usable(std::string_view service) const;

    /*! @brief Records what a request or an order showed about an adapter. */
    void observe_adapter(std::string_view id, std::string_view model, std::string_view adapter, bool resident,
        std::uint64_t version, core::time_point now);

    /*! @brief Records that an upstream does not hold a base model. */
    void observe_model_missing(std::string_view id, std::string_view model);

private:
    std::map<std::string, known_upstream, std::less<>> upstreams{};
    core::time_point grace_until{core::time_point::min()};
};

/*! @brief Joins the names of a model and an adapter of it. */
[[nodiscard]] std::string adapter_key(std::string_view model, std::string_view adapter);

} // namespace lagoonsaddle::edge

#endif
