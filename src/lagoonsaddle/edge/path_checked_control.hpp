#ifndef LAGOONSADDLE_EDGE_PATH_CHECKED_CONTROL_HPP
#define LAGOONSADDLE_EDGE_PATH_CHECKED_CONTROL_HPP

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/upstream_paths.hpp>

namespace lagoonsaddle::edge {

/*! @brief Has the paths to the upstreams checked when an order or the fetch of a report fails. */
class path_checked_control final : public upstream_control {
public:
    /**
     * @brief Wraps the control of upstreams. All references must outlive this object.
     * @param io Executes the checks.
     * @param control Sends the orders.
     * @param paths Checks the paths.
     */
    path_checked_control(
        boost::asio::io_context& io, upstream_control& control, const std::shared_ptr<upstream_paths>& paths)
        : context{io}, wrapped{control}, checked_paths{paths} {}

    [[nodiscard]] boost::asio::awaitable<core::result<order_outcome>> send_order(upstream_order value) override;
    [[nodiscard]] boost::asio::awaitable<core::result<upstream_report>> fetch_report(core::endpoint address) override;

private:
    /*! @brief Starts a check. `suspect` may be empty. */
    void check_paths(std::string suspect);

    boost::asio::io_context& context;
    upstream_control& wrapped;
    const std::shared_ptr<upstream_paths>& checked_paths;
};

} // namespace lagoonsaddle::edge

#endif
