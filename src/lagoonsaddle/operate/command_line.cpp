#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/core/endpoint.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/percent_encoding.hpp>
#include <lagoonsaddle/operate/command_line.hpp>
#include <lagoonsaddle/operate/explain_logs.hpp>
#include <lagoonsaddle/operate/token_authenticator.hpp>

namespace lagoonsaddle::operate {

namespace {

using nlohmann::json;
using arguments_type = std::map<std::string, docopt::value>;

constexpr const char* usage_text = R"(Operates lagoonsaddle through the operator interface of one node.

Usage:
  lagoonsaddle rules list [options]
  lagoonsaddle rules show NAME [options]
  lagoonsaddle rules preview FILE [options]
  lagoonsaddle rules apply FILE [--expected-version=N] [options]
  lagoonsaddle rules undo [--expected-version=N] [options]
  lagoonsaddle status [options]
  lagoonsaddle nodes [options]
  lagoonsaddle upstreams [options]
  lagoonsaddle adapters [options]
  lagoonsaddle explain <request_id> [LOG ...] [options]
  lagoonsaddle events [--after=SEQUENCE] [--limit=N] [options]
  lagoonsaddle dump [options]
  lagoonsaddle drain UPSTREAM [--undo] [options]
  lagoonsaddle (-h | --help)
  lagoonsaddle --version

FILE is a rule set as in docs/rules.md or the output of `rules list --json`; `-` reads standard input. `rules apply`
takes the expected version from --expected-version or from the file. `drain` adds a rule that drains the upstream, and
`drain --undo` removes it. `explain` asks the node, or reads log files of entry nodes instead (`-` reads standard input).

Options:
  --node=ADDRESS:PORT     Operator interface of a node [default: 127.0.0.1:8081].
  --token-file=FILE       File whose first line is the token. Default: the value of LAGOONSADDLE_TOKEN_FILE.
  --json                  Print JSON instead of text.
  --author=NAME           Name that a change is recorded under [default: command line].
  --timeout-ms=N          Time to wait for the node [default: 10000].
  --expected-version=N    Version of the rules that the change is based on.
  --after=SEQUENCE        Show events after this number [default: 0].
  --limit=N               Number of events [default: 100].
  --undo                  End a drain.
  -h --help               Show this text.
  --version               Show the version.

Exit codes: 0 success, 1 error of the node, 2 wrong arguments or file, 3 no answer from the node, 4 token not accepted,
5 conflict with another operator, 6 not found, 7 invalid rules.
)";

// A drain is rebuilt from the rules in force on each attempt, so a conflicting save by another operator is retried.
constexpr int max_drain_attempts = 3;
constexpr std::string_view drain_rule_prefix{"drain-"};

/*! @brief Exception that aborts a command with an exit code and a message. */
struct command_error {
    exit_code code{exit_code::failed};
    std::string message{};
};

[[nodiscard]] std::uint64_t parse_number_argument(const arguments_type& arguments, const std::string& name) {
    const auto& text = arguments.at(name).asString();
    std::uint64_t value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if(parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        throw command_error{exit_code::usage, name + "=" + text + " is not accepted; accepted: a whole number"};
    }
    return value;
}

[[nodiscard]] core::endpoint parse_node_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    core::endpoint target{.address = text.substr(0u, colon), .port = 0u};
    if(target.address.starts_with('[') && target.address.ends_with(']')) {
        target.address = target.address.substr(1u, target.address.size() - 2u);
    }
    const auto* last = text.data() + text.size();
    if(colon == std::string::npos || std::from_chars(text.data() + colon + 1u, last, target.port).ptr != last ||
        target.port == 0u || target.address.empty()) {
        throw command_error{exit_code::usage, "--node=" + text + " is not accepted; accepted: ADDRESS:PORT"};
    }
    return target;
}

[[nodiscard]] json read_json_file(const std::string& path) {
    std::ostringstream text{};
    if(path == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream stream{path, std::ios::binary};
        if(!stream) {
            throw command_error{exit_code::usage, "file " + path + " cannot be read"};
        }
        text << stream.rdbuf();
    }
    auto value = json::parse(text.str(), nullptr, false, true);
    if(!value.is_object()) {
        throw command_error{exit_code::usage, "file " + path + " is not a JSON object"};
    }
    return value;
}

[[nodiscard]] std::string format_scalar(const json& value) {
    if(value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? "-" : value.dump();
}

/*! @brief Prints rows as a table with aligned columns. */
void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths{};
    for(const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for(std::size_t column{}; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for(const auto& row : rows) {
        std::string line{};
        for(std::size_t column{}; column < row.size(); ++column) {
            line += row[column];
            if(column + 1u < row.size()) {
                line.append(widths[column] - row[column].size() + 2u, ' ');
            }
        }
        out << line << '\n';
    }
}

[[nodiscard]] bool is_flat_object_list(const json& objects) {
    return !objects.empty() && std::all_of(objects.begin(), objects.end(), [](const json& object) {
        return object.is_object() && std::none_of(object.begin(), object.end(), [](const json& member) {
            return member.is_object() || (member.is_array() && !member.empty());
        });
    });
}

void print_flat_table(std::ostream& out, const json& objects) {
    std::vector<std::string> columns{};
    for(const auto& object : objects) {
        for(const auto& [name, member] : object.items()) {
            if(std::find(columns.begin(), columns.end(), name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    std::vector<std::vector<std::string>> rows{columns};
    for(const auto& object : objects) {
        auto& row = rows.emplace_back();
        for(const auto& name : columns) {
            row.push_back(object.contains(name) ? format_scalar(object[name]) : "-");
        }
    }
    print_table(out, rows);
}

/*! @brief Prints a JSON value as indented text; a list of flat objects is printed as a table. */
void print_text(std::ostream& out, const json& value, std::size_t indent = 0u) {
    const std::string indentation(indent, ' ');
    if(value.is_array() && indent == 0u && is_flat_object_list(value)) {
        print_flat_table(out, value);
        return;
    }
    for(const auto& [name, member] : value.items()) {
        out << indentation << (value.is_array() ? "-" : name + ":");
        if(member.is_structured() && !member.empty()) {
            out << '\n';
            print_text(out, member, indent + 2u);
        } else {
            out << ' ' << format_scalar(member) << '\n';
        }
    }
}

/*! @brief Runs one command against the operator interface of a node. */
class command_runner {
public:
    command_runner(const arguments_type& arguments, std::ostream& out, std::ostream& error)
        : arguments{arguments},
          out{out},
          error{error},
          node_endpoint{parse_node_endpoint(arguments.at("--node").asString())},
          timeout{parse_number_argument(arguments, "--timeout-ms")} {
        std::string path{};
        if(const auto& token_file = arguments.at("--token-file")) {
            path = token_file.asString();
        } else if(const char* variable = std::getenv("LAGOONSADDLE_TOKEN_FILE"); variable != nullptr) {
            path = variable;
        } else {
            throw command_error{exit_code::usage, "--token-file is missing, and LAGOONSADDLE_TOKEN_FILE is not set"};
        }
        auto token_result = read_token(path);
        if(!token_result) {
            throw command_error{exit_code::usage, token_result.error().message};
        }
        this->token = *std::move(token_result);
    }

    exit_code run() {
        if(this->has_argument("rules")) {
            return this->run_rules();
        }
        if(this->has_argument("drain")) {
            return this->drain(this->text_argument("UPSTREAM"), this->has_argument("--undo"));
        }
        if(this->has_argument("explain")) {
            this->print_response(
                this->get("/explain/" + http::percent_encode(this->text_argument("<request_id>"))), "records");
        } else if(this->has_argument("events")) {
            this->print_response(
                this->get("/events?after=" + std::to_string(parse_number_argument(this->arguments, "--after")) +
                          "&limit=" + std::to_string(parse_number_argument(this->arguments, "--limit"))),
                "events");
        } else if(this->has_argument("dump")) {
            // A dump is attached to bug reports and is always printed as JSON.
            this->out << this->get("/debug/state").dump(2) << '\n';
        } else {
            for(const char* name : {"status", "nodes", "upstreams", "adapters"}) {
                if(this->has_argument(name)) {
                    this->print_response(this->get(std::string{"/"} + name), name);
                }
            }
        }
        return exit_code::success;
    }

private:
    [[nodiscard]] bool has_argument(const std::string& name) const {
        return this->arguments.at(name).asBool();
    }

    [[nodiscard]] std::string text_argument(const std::string& name) const {
        return this->arguments.at(name).asString();
    }

    /*! @brief Prints a response; in text mode, only the named member if it exists. */
    void print_response(const json& body, const char* member_name) {
        if(this->has_argument("--json")) {
            this->out << body.dump(2) << '\n';
            return;
        }
        const auto& shown = body.contains(member_name) ? body[member_name] : body;
        if(shown.is_array() && shown.empty()) {
            this->out << "none\n";
        }
        print_text(this->out, shown);
    }

    struct node_response {
        unsigned status{};
        json body{};
    };

    [[nodiscard]] node_response send_request(std::string method, std::string path, const json& body) {
        http::request request{.method = std::move(method), .target = std::move(path)};
        request.headers.set("authorization", "Bearer " + this->token);
        if(!body.is_null()) {
            request.headers.set("content-type", "application/json");
            request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        }
        boost::asio::io_context context{};
        http::client client{{}};
        std::optional<core::result<http::response>> outcome{};
        boost::asio::co_spawn(context, client.send(this->node_endpoint, std::move(request), this->timeout),
            [&outcome](const std::exception_ptr& failure, core::result<http::response> response) {
                if(!failure) {
                    outcome = std::move(response);
                }
            });
        context.run();
        if(!outcome || !outcome->has_value()) {
            throw command_error{exit_code::unreachable,
                "no answer from node " + core::to_string(this->node_endpoint) + ": " +
                    (outcome ? outcome->error().message : "internal error") + "; check --node, or try another node"};
        }
        const auto& response = outcome->value();
        auto parsed = http::parse_json(response.body);
        if(!parsed) {
            throw command_error{exit_code::failed, core::to_string(this->node_endpoint) + " answered with status " +
                                                       std::to_string(response.status) +
                                                       " and no JSON; check that --node names the operator interface"};
        }
        return {.status = response.status, .body = *std::move(parsed)};
    }

    /*! @brief Returns the body of a response with status 200; otherwise throws `command_error`. */
    [[nodiscard]] json require_success(node_response response) {
        if(response.status == 200u) {
            return std::move(response.body);
        }
        const auto detail = response.body.value("error", json::object());
        const auto message = detail.value("message", "status " + std::to_string(response.status));
        if(response.status == 401u) {
            throw command_error{exit_code::unauthorized, "the node does not accept the token; check --token-file"};
        }
        if(response.status == 409u && response.body.contains("current")) {
            const auto& current = response.body["current"];
            throw command_error{exit_code::conflict,
                "conflict: " + message + "; version " + std::to_string(current.value("version", 0u)) + " by " +
                    current.value("changed_by", "unknown") +
                    " is in force. See it with `rules list --json`, repeat the change on it and apply it again"};
        }
        if(response.body.contains("errors")) {
            this->print_diagnostics("error", response.body["errors"]);
            throw command_error{exit_code::invalid_rules, "the rules were not saved"};
        }
        throw command_error{response.status == 404u ? exit_code::not_found : exit_code::failed, message};
    }

    [[nodiscard]] json get(std::string path) {
        return this->require_success(this->send_request("GET", std::move(path), nullptr));
    }

    void print_diagnostics(const char* kind, const json& diagnostics) {
        for(const auto& diagnostic : diagnostics) {
            this->error << kind << ": " << diagnostic.value("path", "") << ": " << diagnostic.value("message", "")
                        << '\n';
        }
    }

    exit_code run_rules() {
        if(this->has_argument("list")) {
            this->list_rules(this->get("/rules"));
            return exit_code::success;
        }
        if(this->has_argument("show")) {
            return this->show_rule(this->text_argument("NAME"));
        }
        if(this->has_argument("preview")) {
            return this->preview(read_json_file(this->text_argument("FILE")));
        }
        if(this->has_argument("apply")) {
            return this->apply(read_json_file(this->text_argument("FILE")));
        }
        json body = json::object();
        body["author"] = this->text_argument("--author");
        body["expected_version"] = this->arguments.at("--expected-version")
                                       ? json(parse_number_argument(this->arguments, "--expected-version"))
                                       : this->get("/rules")["version"];
        this->print_saved_rules(this->require_success(this->send_request("POST", "/rules/undo", body)));
        return exit_code::success;
    }

    static void append_rollout_status(std::string& text, const json& state) {
        text.append("version ").append(state.at("version").dump()).append(", in force on ");
        text.append(state.at("nodes_in_force").dump()).append(" of ").append(state.at("nodes").dump()).append(" nodes");
    }

    void list_rules(const json& state) {
        if(this->has_argument("--json")) {
            this->out << state.dump(2) << '\n';
            return;
        }
        std::string header_line{};
        append_rollout_status(header_line, state);
        this->out << header_line << ", changed by " << state.value("changed_by", "") << '\n';
        std::vector<std::vector<std::string>> rows{{"#", "name", "hits", "when", "then"}};
        const auto& rules = state.at("document").at("rules");
        for(std::size_t index{}; index < rules.size(); ++index) {
            const auto& rule = rules[index];
            rows.push_back({std::to_string(index),
                rule.at("name").get<std::string>() + (rule.value("enabled", true) ? "" : " (off)"),
                state.at("hits").at(index).at("count").dump(), rule.at("when").dump(), rule.at("then").dump()});
        }
        print_table(this->out, rows);
        this->print_diagnostics("warning", state.at("warnings"));
    }

    exit_code show_rule(const std::string& name) {
        const auto state = this->get("/rules");
        const auto& rules = state.at("document").at("rules");
        for(std::size_t index{}; index < rules.size(); ++index) {
            if(rules[index].at("name") == name) {
                json shown = json::object();
                shown["index"] = index;
                shown["rule"] = rules[index];
                shown["hits"] = state.at("hits").at(index);
                this->print_response(shown, "");
                return exit_code::success;
            }
        }
        throw command_error{exit_code::not_found, "there is no rule \"" + name + "\"; `rules list` shows the names"};
    }

    [[nodiscard]] static const json& rules_document(const json& file) {
        return file.contains("document") ? file["document"] : file;
    }

    exit_code preview(const json& file) {
        const auto response = this->require_success(this->send_request("POST", "/rules/preview", rules_document(file)));
        if(this->has_argument("--json")) {
            this->out << response.dump(2) << '\n';
        }
        this->print_diagnostics("error", response.at("errors"));
        this->print_diagnostics("warning", response.at("warnings"));
        if(!response.at("valid").get<bool>()) {
            throw command_error{exit_code::invalid_rules, "the rules are not valid"};
        }
        if(!this->has_argument("--json")) {
            const auto& report = response.at("preview");
            this->out << report.at("changed") << " of the " << report.at("requests")
                      << " latest requests would be decided differently, " << report.at("newly_refused")
                      << " newly refused, " << report.at("newly_allowed") << " newly allowed\n";
            for(const auto& difference : report.at("differences")) {
                this->out << difference.at("request_id").get<std::string>() << "  "
                          << difference.at("caller").get<std::string>() << "  "
                          << difference.at("target").get<std::string>() << '\n';
                for(const auto& change : difference.at("changes")) {
                    this->out << "  " << change.get<std::string>() << '\n';
                }
            }
        }
        return exit_code::success;
    }

    exit_code apply(const json& file) {
        json body = json::object();
        body["rules"] = rules_document(file).value("rules", json(nullptr));
        body["author"] = this->text_argument("--author");
        if(this->arguments.at("--expected-version")) {
            body["expected_version"] = parse_number_argument(this->arguments, "--expected-version");
        } else if(file.contains("version")) {
            body["expected_version"] = file["version"];
        } else {
            throw command_error{exit_code::usage,
                "the file has no version; pass --expected-version with the version that the change is based on, as "
                "`rules list` shows it"};
        }
        this->print_saved_rules(this->require_success(this->send_request("PUT", "/rules", body)));
        return exit_code::success;
    }

    void print_saved_rules(const json& state) {
        if(this->has_argument("--json")) {
            this->out << state.dump(2) << '\n';
            return;
        }
        std::string line{"saved "};
        append_rollout_status(line, state);
        this->out << line << '\n';
        this->print_diagnostics("warning", state.at("warnings"));
    }

    exit_code drain(const std::string& upstream, bool undo) {
        const auto name = std::string{drain_rule_prefix} + upstream;
        for(int attempt = 1;; ++attempt) {
            const auto state = this->get("/rules");
            auto rules = state.at("document").at("rules");
            const auto existing_rule =
                std::find_if(rules.begin(), rules.end(), [&name](const json& rule) { return rule.at("name") == name; });
            if(undo && existing_rule == rules.end()) {
                throw command_error{exit_code::not_found, "there is no rule \"" + name + "\" to remove"};
            }
            if(!undo && existing_rule != rules.end() && existing_rule->value("enabled", true)) {
                this->out << upstream << " is drained already\n";
                return exit_code::success;
            }
            if(existing_rule != rules.end()) {
                rules.erase(existing_rule);
            }
            if(!undo) {
                json rule = json::object();
                rule["name"] = name;
                rule["then"] = {{"action", "drain"}, {"upstreams", upstream}};
                rules.insert(rules.begin(), std::move(rule));
            }
            json body = json::object();
            body["rules"] = std::move(rules);
            body["author"] = this->text_argument("--author");
            body["expected_version"] = state.at("version");
            auto response = this->send_request("PUT", "/rules", body);
            if(response.status == 409u && attempt < max_drain_attempts) {
                continue;
            }
            this->print_saved_rules(this->require_success(std::move(response)));
            return exit_code::success;
        }
    }

    const arguments_type& arguments;
    std::ostream& out;
    std::ostream& error;
    core::endpoint node_endpoint;
    std::chrono::milliseconds timeout;
    std::string token{};
};

} // namespace

command_line::command_line(std::ostream& out, std::ostream& error) noexcept : out{out}, error{error} {}

exit_code command_line::run(const std::vector<std::string>& arguments) {
    try {
        const auto parsed = docopt::docopt_parse(usage_text, arguments, true, true);
        if(const auto& logs = parsed.at("LOG").asStringList(); !logs.empty()) {
            return explain_logs(parsed.at("<request_id>").asString(), logs, parsed.at("--json").asBool(), std::cin,
                this->out, this->error);
        }
        return command_runner{parsed, this->out, this->error}.run();
    } catch(const docopt::DocoptExitHelp&) {
        this->out << usage_text;
        return exit_code::success;
    } catch(const docopt::DocoptExitVersion&) {
        this->out << "lagoonsaddle " << LAGOONSADDLE_VERSION << '\n';
        return exit_code::success;
    } catch(const docopt::DocoptArgumentError&) {
        this->error << "lagoonsaddle: the arguments are not accepted; `lagoonsaddle --help` shows the commands\n";
        return exit_code::usage;
    } catch(const json::exception& failure) {
        this->error << "lagoonsaddle: the node's answer has an unexpected form: " << failure.what() << '\n';
        return exit_code::failed;
    } catch(const command_error& failure) {
        this->error << "lagoonsaddle: " << failure.message << '\n';
        return failure.code;
    }
}

} // namespace lagoonsaddle::operate
