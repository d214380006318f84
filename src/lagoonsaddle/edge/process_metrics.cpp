#include <fstream>
#include <functional>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>

#include <lagoonsaddle/edge/process_metrics.hpp>

namespace lagoonsaddle::edge {

namespace {

constexpr double microseconds{1e-6};

[[nodiscard]] double seconds(const timeval& value) {
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) * microseconds;
}

void append_series(std::string& text, std::string_view name, std::string_view help, const upstream_table& upstreams,
    const std::function<double(const upstream_state&)>& value) {
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" gauge\n");
    for(const auto& [id, known] : upstreams.all()) {
        text.append(name).append("{service=\"").append(known.entry.service);
        text.append("\",upstream=\"").append(id).append("\"} ");
        text.append(std::to_string(value(known))).append("\n");
    }
}

} // namespace

process_usage read_process_usage() {
    process_usage usage{};
    rusage spent{};
    if(::getrusage(RUSAGE_SELF, &spent) == 0) {
        usage.processor_seconds = seconds(spent.ru_utime) + seconds(spent.ru_stime);
    }
    // The second number is the resident set in pages.
    std::ifstream pages{"/proc/self/statm"};
    double total{};
    double resident{};
    if(pages >> total >> resident) {
        usage.resident_bytes = resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
    }
    return usage;
}

std::string upstream_metrics(const upstream_table& upstreams, core::time_point now) {
    std::string text{};
    append_series(text, "lagoonsaddle_edge_upstream_in_flight", "Requests of this node on the upstream.", upstreams,
        [](const upstream_state& known) { return static_cast<double>(known.in_flight); });
    append_series(text, "lagoonsaddle_edge_upstream_failure_ratio", "Share of this node's requests that failed there.",
        upstreams, [now](const upstream_state& known) { return known.health.failure_ratio(now); });
    append_series(text, "lagoonsaddle_edge_upstream_leaving", "1 while the upstream takes no new requests.", upstreams,
        [](const upstream_state& known) { return known.entry.leaving ? 1.0 : 0.0; });
    return text;
}

} // namespace lagoonsaddle::edge
