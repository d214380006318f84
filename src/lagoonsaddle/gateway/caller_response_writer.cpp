#include <utility>

#include <lagoonsaddle/gateway/caller_response_writer.hpp>
#include <lagoonsaddle/http/json.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;

namespace {

constexpr double microseconds_per_millisecond{1'000.};

[[nodiscard]] std::string format_event(const nlohmann::json& data) {
    return "data: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

} // namespace

caller_response_writer::caller_response_writer(const caller_request& request, http::response_writer& output)
    : request{request}, output{output} {}

void caller_response_writer::begin_attempt(wire::answer_head head) {
    this->current_head = std::move(head);
    if(!this->started) {
        this->buffered_body.clear();
        this->finish_reason.clear();
        this->usage = nullptr;
    }
}

asio::awaitable<core::result<void>> caller_response_writer::append(std::string_view bytes) {
    if(this->request.kind == wire::call_kind::service) {
        this->buffered_body += bytes;
        co_return core::result<void>{};
    }
    if(!this->request.streamed) {
        this->buffer_event(bytes);
        co_return core::result<void>{};
    }
    if(!std::exchange(this->started, true)) {
        auto fields = this->response_headers(core::verdict::may_have_run);
        fields.set("content-type", "text/event-stream");
        fields.set("cache-control", "no-store");
        const auto begin_result = co_await this->output.begin(this->current_head.status, std::move(fields));
        if(!begin_result) {
            co_return begin_result;
        }
    }
    std::string text{"data: "};
    text += bytes;
    text += "\n\n";
    co_return co_await this->output.write(text);
}

asio::awaitable<core::result<void>> caller_response_writer::finish(core::verdict verdict, wire::timings timings) {
    if(this->request.kind != wire::call_kind::service && this->request.streamed) {
        if(!std::exchange(this->started, true)) {
            auto fields = this->response_headers(core::verdict::may_have_run);
            fields.set("content-type", "text/event-stream");
            static_cast<void>(co_await this->output.begin(this->current_head.status, std::move(fields)));
        }
        nlohmann::json metadata = nlohmann::json::object();
        metadata["request_id"] = this->request.request_id;
        metadata["upstream"] = this->current_head.upstream;
        metadata["adapter"] = this->current_head.served;
        metadata["verdict"] = core::to_string(verdict);
        metadata["queue_wait_ms"] = static_cast<double>(timings.queue_wait_us) / microseconds_per_millisecond;
        metadata["load_stall_ms"] = static_cast<double>(timings.load_stall_us) / microseconds_per_millisecond;
        nlohmann::json final_event = nlohmann::json::object();
        final_event["lagoonsaddle"] = std::move(metadata);
        const auto text = format_event(final_event) + "data: [DONE]\n\n";
        const auto write_result = co_await this->output.write(text);
        if(!write_result) {
            co_return write_result;
        }
        co_return co_await this->output.finish();
    }
    this->started = true;
    http::response response{.status = this->current_head.status, .headers = this->response_headers(verdict)};
    response.body = this->body();
    const bool is_service = this->request.kind == wire::call_kind::service;
    response.headers.set(
        "content-type", is_service ? this->current_head.content_type : std::string{"application/json"});
    co_return co_await this->output.send(std::move(response));
}

asio::awaitable<void> caller_response_writer::fail(core::error failure) {
    if(!this->started) {
        this->started = true;
        auto response = http::error_response(failure, this->request.request_id);
        static_cast<void>(co_await this->output.send(std::move(response)));
        co_return;
    }
    // A failed stream ends with an error event and without `[DONE]`, so that it cannot be taken for a complete one.
    const auto text = "event: error\n" + format_event(http::error_body(failure, this->request.request_id));
    static_cast<void>(co_await this->output.write(text));
    static_cast<void>(co_await this->output.finish());
}

std::string caller_response_writer::body() const {
    if(this->request.kind == wire::call_kind::service) {
        return this->buffered_body;
    }
    const bool is_chat = this->request.kind == wire::call_kind::chat_completion;
    nlohmann::json choice = nlohmann::json::object();
    choice["index"] = 0;
    choice["finish_reason"] = this->finish_reason;
    if(is_chat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = this->buffered_body;
    } else {
        choice["text"] = this->buffered_body;
    }
    nlohmann::json completion = nlohmann::json::object();
    completion["id"] = this->request.request_id;
    completion["object"] = is_chat ? "chat.completion" : "text_completion";
    completion["model"] = this->request.base_model + "/" + this->current_head.served;
    completion["choices"] = nlohmann::json::array();
    completion["choices"].push_back(std::move(choice));
    completion["usage"] = this->usage;
    return completion.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::fields caller_response_writer::response_headers(core::verdict verdict) const {
    http::fields fields{};
    fields.set("x-request-id", this->request.request_id);
    fields.set("x-upstream", this->current_head.upstream);
    if(!this->current_head.served.empty()) {
        fields.set("x-adapter", this->current_head.served);
    }
    fields.set("x-verdict", core::to_string(verdict));
    return fields;
}

void caller_response_writer::buffer_event(std::string_view event) {
    const auto parsed = http::parse_json(event);
    if(!parsed || !parsed->is_object()) {
        return;
    }
    if(const auto usage_field = parsed->find("usage"); usage_field != parsed->end() && !usage_field->is_null()) {
        this->usage = *usage_field;
    }
    const auto choices = parsed->find("choices");
    if(choices == parsed->end() || choices->empty() || !choices->front().is_object()) {
        return;
    }
    const auto& choice = choices->front();
    if(choice.contains("text") && choice.at("text").is_string()) {
        this->buffered_body += choice.at("text").get_ref<const std::string&>();
    } else if(choice.contains("delta") && choice.at("delta").is_object()) {
        this->buffered_body += choice.at("delta").value("content", "");
    }
    if(choice.contains("finish_reason") && choice.at("finish_reason").is_string()) {
        this->finish_reason = choice.at("finish_reason").get<std::string>();
    }
}

} // namespace lagoonsaddle::gateway
