#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

#include <lagoonsaddle/edge/process_metrics.hpp>
#include <lagoonsaddle/edge/speed_monitor.hpp>

namespace lagoonsaddle::edge {

namespace {

constexpr double seconds_per_microsecond{1e-6};

[[nodiscard]] double to_seconds(const timeval& value) {
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) * seconds_per_microsecond;
}

void append_gauge(std::string& text, std::string_view name, std::string_view help, const upstream_table& upstreams,
    const std::function<double(const upstream_state&)>& value) {
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" gauge\n");
    for(const auto& [id, known] : upstreams.all()) {
        text.append(name).append("{service=\"").append(known.entry.service);
        text.append("\",upstream=\"").append(id).append("\"} ");
        text.append(std::to_string(value(known))).append("\n");
    }
}

/*! @brief Appends the least and the greatest slowness of each service: the speeds of single upstreams are in the state.
 */
void append_slowness(std::string& text, const upstream_table& upstreams, core::time_point now) {
    std::map<std::string, std::pair<double, double>> ranges{};
    for(const auto& assessed : assess_slowness(upstreams, now)) {
        const auto [found, added] = ranges.try_emplace(assessed.service, assessed.factor, assessed.factor);
        auto& [least, greatest] = found->second;
        least = std::min(least, assessed.factor);
        greatest = std::max(greatest, assessed.factor);
    }
    constexpr std::string_view name{"lagoonsaddle_edge_upstream_slowness"};
    text.append("# HELP ").append(name).append(" Factor by which an upstream is slower than its service's mean.\n");
    text.append("# TYPE ").append(name).append(" gauge\n");
    const auto append = [&text, name](const std::string& service, std::string_view bound, double value) {
        text.append(name).append("{service=\"").append(service).append("\",bound=\"").append(bound).append("\"} ");
        text.append(std::to_string(value)).append("\n");
    };
    for(const auto& [service, range] : ranges) {
        append(service, "least", range.first);
        append(service, "greatest", range.second);
    }
}

} // namespace

process_usage read_process_usage() {
    process_usage usage{};
    rusage resources{};
    if(::getrusage(RUSAGE_SELF, &resources) == 0) {
        usage.processor_seconds = to_seconds(resources.ru_utime) + to_seconds(resources.ru_stime);
    }
    // The first two fields are the total program size and the resident set size, in pages.
    std::ifstream statm{"/proc/self/statm"};
    double total_pages{};
    double resident_pages{};
    if(statm >> total_pages >> resident_pages) {
        usage.resident_bytes = resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE));
    }
    return usage;
}

std::string format_upstream_metrics(const upstream_table& upstreams, core::time_point now) {
    std::string text{};
    append_gauge(text, "lagoonsaddle_edge_upstream_in_flight", "Requests of this node on the upstream.", upstreams,
        [](const upstream_state& known) { return static_cast<double>(known.in_flight); });
    append_gauge(text, "lagoonsaddle_edge_upstream_failure_ratio", "Share of this node's requests that failed there.",
        upstreams, [now](const upstream_state& known) { return known.health.failure_ratio(now); });
    append_gauge(text, "lagoonsaddle_edge_upstream_leaving", "1 while the upstream takes no new requests.", upstreams,
        [](const upstream_state& known) { return known.entry.leaving ? 1.0 : 0.0; });
    append_gauge(text, "lagoonsaddle_edge_upstream_rate_limit",
        "Requests per second that the upstream takes from all nodes together; -1 without a limit.", upstreams,
        [](const upstream_state& known) { return known.throttle.limit().value_or(-1.0); });
    append_slowness(text, upstreams, now);
    return text;
}

} // namespace lagoonsaddle::edge
