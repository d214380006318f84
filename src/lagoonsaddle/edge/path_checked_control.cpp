#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/path_checked_control.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

void path_checked_control::check_paths(std::string suspect) {
    asio::co_spawn(
        this->context,
        [paths = this->checked_paths, suspect = std::move(suspect)]() -> asio::awaitable<void> {
            static_cast<void>(co_await paths->reaches_upstreams(suspect));
        },
        core::task_end{"path_check"});
}

asio::awaitable<core::result<order_outcome>> path_checked_control::send_order(upstream_order value) {
    auto upstream = value.upstream;
    auto outcome = co_await this->wrapped.send_order(std::move(value));
    if(!outcome) {
        this->check_paths(std::move(upstream));
    }
    co_return outcome;
}

asio::awaitable<core::result<upstream_report>> path_checked_control::fetch_report(core::endpoint address) {
    auto report = co_await this->wrapped.fetch_report(std::move(address));
    if(!report) {
        this->check_paths({});
    }
    co_return report;
}

} // namespace lagoonsaddle::edge
