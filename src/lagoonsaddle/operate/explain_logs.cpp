#include <filesystem>
#include <fstream>
#include <istream>
#include <ostream>

#include <lagoonsaddle/operate/explain_logs.hpp>
#include <lagoonsaddle/operate/log_timeline.hpp>

namespace lagoonsaddle::operate {

namespace {

constexpr std::size_t offset_width{9u};

void print_timeline_entry(std::ostream& out, const nlohmann::json& entry) {
    const auto offset = entry.at("offset_ms").dump() + " ms";
    out << std::string(offset.size() < offset_width ? offset_width - offset.size() : 0u, ' ') << offset << "  "
        << entry.at("node").get<std::string>() << "  " << entry.at("event").get<std::string>();
    for(const auto& [key, value] : entry.at("fields").items()) {
        out << ' ' << key << '=' << value.get<std::string>();
    }
    out << '\n';
}

} // namespace

exit_code explain_logs(const std::string& request_id, std::span<const std::string> files, bool as_json,
    std::istream& input, std::ostream& out, std::ostream& error) {
    log_timeline timeline{request_id};
    for(const auto& file : files) {
        if(file == "-") {
            timeline.read_log(input, "-");
            continue;
        }
        std::ifstream stream{file, std::ios::binary};
        if(!stream) {
            error << "lagoonsaddle: file " << file << " cannot be read\n";
            return exit_code::usage;
        }
        timeline.read_log(stream, std::filesystem::path{file}.stem().string());
    }
    if(!timeline.contains_request()) {
        error << "lagoonsaddle: no line names request " << request_id
              << "; give the logs of all nodes, and look for event=log_lines_dropped\n";
        return exit_code::not_found;
    }
    const auto explanation = timeline.explain();
    if(as_json) {
        out << explanation.dump(2) << '\n';
        return exit_code::success;
    }
    const auto outcome = explanation.at("outcome").get<std::string>();
    out << "request " << request_id << ": " << (outcome.empty() ? "outcome unknown" : outcome) << '\n'
        << "cause: " << explanation.at("cause").get<std::string>() << '\n';
    for(const auto& entry : explanation.at("timeline")) {
        print_timeline_entry(out, entry);
    }
    return exit_code::success;
}

} // namespace lagoonsaddle::operate
