#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/standins/load_check.hpp>
#include <lagoonsaddle/standins/standin_handler.hpp>

namespace lagoonsaddle::standins {

namespace {

constexpr unsigned status_success_min{200u};
constexpr unsigned status_success_max{299u};

// Text of the first choice, in any of the four formats: completion or chat, streamed or not.
[[nodiscard]] std::string choice_text(const nlohmann::json& body) {
    const auto choices = body.find("choices");
    if(choices == body.end() || !choices->is_array() || choices->empty()) {
        return {};
    }
    const auto& choice = choices->front();
    for(const auto* key : {"delta", "message"}) {
        if(const auto found = choice.find(key); found != choice.end()) {
            return member_or<std::string>(*found, "content", {});
        }
    }
    return member_or<std::string>(choice, "text", {});
}

} // namespace

void response_check::on_headers(unsigned code, const http::fields& headers) {
    this->status = code;
    this->streamed = headers.find("content-type").value_or("").starts_with("text/event-stream");
    this->outcome.verdict = headers.find("x-verdict").value_or("");
    if(const auto adapter = headers.find("x-adapter"); adapter) {
        this->check_adapter(*adapter);
    }
}

void response_check::on_data(std::string_view data) {
    this->buffer += data;
    if(!this->streamed) {
        return;
    }
    std::size_t begin{};
    for(auto end = this->buffer.find('\n'); end != std::string::npos; end = this->buffer.find('\n', begin)) {
        constexpr std::string_view data_prefix{"data:"};
        auto line = std::string_view{this->buffer}.substr(begin, end - begin);
        begin = end + 1u;
        if(line.starts_with(data_prefix)) {
            line.remove_prefix(data_prefix.size());
            this->on_event(line);
        }
    }
    this->buffer.erase(0u, begin);
}

bool response_check::has_token() const noexcept {
    return !this->text.empty();
}

call_outcome response_check::finish() {
    const bool success = this->status >= status_success_min && this->status <= status_success_max;
    const auto body = this->streamed ? nlohmann::json{} : http::parse_json(this->buffer).value_or(nullptr);
    if(body.is_object() && body.contains("error")) {
        this->record_error(body["error"]);
    } else if(!success && !this->error_received) {
        this->error_received = true;
        this->outcome.reason = "status_" + std::to_string(this->status);
    }
    if(this->error_received) {
        return this->outcome;
    }
    this->outcome.ok = true;
    this->outcome.reason = "ok";
    if(this->call.kind != call_kind::service) {
        if(!this->streamed) {
            this->text = choice_text(body);
        }
        this->check_tokens();
        this->outcome.wrong_adapter = this->outcome.wrong_adapter || !this->adapter_seen;
        this->outcome.incomplete = this->outcome.incomplete || this->streamed != this->call.streamed ||
                                   (this->streamed && !this->done_received);
    }
    return this->outcome;
}

call_outcome response_check::fail(const core::error& failure) {
    if(!this->error_received) {
        this->outcome.verdict = core::to_string(failure.verdict);
        this->outcome.reason = "client_" + std::string{core::to_string(failure.cause)};
    }
    return this->outcome;
}

void response_check::on_event(std::string_view text_of_event) {
    while(!text_of_event.empty() && text_of_event.front() == ' ') {
        text_of_event.remove_prefix(1u);
    }
    while(!text_of_event.empty() && text_of_event.back() == '\r') {
        text_of_event.remove_suffix(1u);
    }
    if(text_of_event == "[DONE]") {
        this->done_received = true;
        return;
    }
    const auto body = http::parse_json(text_of_event).value_or(nullptr);
    if(!body.is_object() || this->done_received) {
        this->outcome.incomplete = true;
        return;
    }
    if(const auto error = body.find("error"); error != body.end()) {
        this->record_error(*error);
    }
    if(const auto closing = body.find("lagoonsaddle"); closing != body.end()) {
        for(const auto* key : {"x-verdict", "verdict"}) {
            this->outcome.verdict = member_or<std::string>(*closing, key, this->outcome.verdict);
        }
        for(const auto* key : {"x-adapter", "adapter"}) {
            if(const auto adapter = member_or<std::string>(*closing, key, {}); !adapter.empty()) {
                this->check_adapter(adapter);
            }
        }
        if(closing->contains("load_stall_ms")) {
            this->outcome.load_stall_ms = member_or<double>(*closing, "load_stall_ms", 0.);
        }
    }
    this->text += choice_text(body);
}

void response_check::record_error(const nlohmann::json& error) {
    this->error_received = true;
    this->outcome.reason = member_or<std::string>(error, "reason", "unknown");
    this->outcome.verdict = member_or<std::string>(error, "verdict", this->outcome.verdict);
}

void response_check::check_adapter(std::string_view name) {
    this->adapter_seen = true;
    if(this->call.kind != call_kind::service && name != core::to_string(this->call.target)) {
        this->outcome.wrong_adapter = true;
    }
}

void response_check::check_tokens() {
    const auto adapter = core::to_string(this->call.target);
    std::string_view rest{this->text};
    for(std::size_t index{}; index < this->call.tokens || !rest.empty(); ++index) {
        const auto space = rest.find(' ');
        const auto token = rest.substr(0u, space);
        const auto first = token.find('/');
        const auto second = token.rfind('/');
        if(space == std::string_view::npos || first == std::string_view::npos || first == second) {
            this->outcome.incomplete = true;
            return;
        }
        this->outcome.wrong_adapter = this->outcome.wrong_adapter || token.substr(0u, first) != adapter;
        this->outcome.wrong_prompt =
            this->outcome.wrong_prompt || token.substr(first + 1u, second - first - 1u) != this->call.prompt_digest;
        if(index >= this->call.tokens || token.substr(second + 1u) != std::to_string(index)) {
            this->outcome.incomplete = true;
            return;
        }
        rest.remove_prefix(space + 1u);
    }
}

} // namespace lagoonsaddle::standins
