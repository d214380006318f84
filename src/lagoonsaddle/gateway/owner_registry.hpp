#ifndef LAGOONSADDLE_GATEWAY_OWNER_REGISTRY_HPP
#define LAGOONSADDLE_GATEWAY_OWNER_REGISTRY_HPP

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/cluster/peer_directory.hpp>
#include <lagoonsaddle/core/error.hpp>
#include <lagoonsaddle/gateway/upstream_owner.hpp>
#include <lagoonsaddle/wire/peer_client.hpp>

namespace lagoonsaddle::gateway {

/*! @brief Holds the upstream owners of this node, and forwards requests to those of other nodes. Thread-safe. */
class owner_registry {
public:
    owner_registry(boost::asio::io_context& context, cluster::peer_directory& peers);

    /**
     * @brief Adds an owner.
     * @param upstream Name of the upstream.
     * @param owner A started owner.
     */
    void add(const std::string& upstream, std::shared_ptr<upstream_owner> owner);

    /**
     * @brief Removes an owner. Requests in flight continue until it is idle.
     * @param upstream Name of the upstream.
     * @return The removed owner, or null if there is none.
     */
    std::shared_ptr<upstream_owner> remove(std::string_view upstream);

    [[nodiscard]] std::shared_ptr<upstream_owner> find(std::string_view upstream) const;
    [[nodiscard]] std::map<std::string, std::shared_ptr<upstream_owner>> all() const;

    /**
     * @brief Sends a request to the owner of its upstream, on this node or another.
     * @param node Name of the node that owns the upstream.
     * @param request The request.
     * @return The exchange with the answer, or an error with the verdict `not_run`.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<std::shared_ptr<wire::exchange>>> submit(
        std::string node, wire::submit request);

private:
    boost::asio::io_context& context;
    cluster::peer_directory& peers;
    mutable std::mutex mutex{};
    std::map<std::string, std::shared_ptr<upstream_owner>, std::less<>> owners{};
};

} // namespace lagoonsaddle::gateway

#endif
