// Execution of requests on the upstream: streams, resumption of broken streams, and crash detection.

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/gateway/internal_upstream_owner.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using namespace internal;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds boot_id_timeout{300};
// A crashing engine may still accept a connection and reset it, which tells neither that it is down nor that it is up.
constexpr unsigned boot_id_checks_max{16u};

/*! @brief Returns the number of tokens received up to and including an event; nothing if the event has no token. */
[[nodiscard]] std::optional<std::size_t> received_token_count(const std::string& event) {
    const auto parsed = http::parse_json(event);
    if(!parsed || !parsed->is_object() || !parsed->contains("offset") || !parsed->at("offset").is_number_unsigned()) {
        return std::nullopt;
    }
    const auto choices = parsed->find("choices");
    if(choices == parsed->end() || choices->empty() || !choices->front().is_object()) {
        return std::nullopt;
    }
    const auto& choice = choices->front();
    if(!choice.contains("text") && !choice.contains("delta")) {
        return std::nullopt;
    }
    return parsed->at("offset").get<std::size_t>() + 1u;
}

} // namespace

asio::awaitable<upstream_owner::run_outcome> upstream_owner::run_engine(const wire::submit& request,
    core::time_point deadline, wire::responder& answer, const std::shared_ptr<cancellation>& cancel_state) {
    const core::adapter_version adapter{.adapter = request.adapter, .version = request.version};
    const auto requested_adapter = core::to_string(adapter);
    upstream::engine_call call{.request_id = request.request_id,
        .adapter = adapter,
        .body = request.body,
        .priority = request.priority,
        .chat = request.kind == wire::call_kind::chat_completion,
        .timeout = time_left(deadline, this->context.clock.now())};
    run_outcome outcome{};
    auto stream = co_await this->engine.start(std::move(call));
    std::string stream_boot_id{};
    std::size_t received_tokens{};
    unsigned resume_count{};
    bool head_sent{false};
    while(true) {
        std::optional<core::error> failure{};
        if(!stream) {
            failure = stream.error();
        } else if((*stream)->served_adapter() != requested_adapter) {
            // Output of another adapter must not reach the caller.
            LOG(ERROR) << "event=wrong_adapter upstream=" << this->description.name
                       << " request_id=" << request.request_id << " wanted=" << requested_adapter
                       << " served=" << (*stream)->served_adapter();
            const std::lock_guard lock{this->mutex};
            ++this->counts.wrong_adapter;
            failure = make_error(core::reason::protocol_error, core::verdict::may_have_run,
                "the upstream served a different adapter than requested");
            resume_count = this->options.resume_attempts;
        } else {
            stream_boot_id = (*stream)->boot_id();
            cancel_state->stream = stream->get();
            while(!failure) {
                auto event = co_await (*stream)->next();
                if(!event) {
                    failure = std::move(event.error());
                    break;
                }
                if(!head_sent) {
                    head_sent = true;
                    const wire::answer_head head{.status = 200u,
                        .content_type = "text/event-stream",
                        .served = requested_adapter,
                        .upstream = this->description.name};
                    answer.send(wire::message_type::answer_head, wire::pack(head));
                }
                if(!event->has_value()) {
                    cancel_state->stream = nullptr;
                    outcome.completed = true;
                    outcome.end.verdict = core::verdict::ran;
                    co_return outcome;
                }
                received_tokens = received_token_count(**event).value_or(received_tokens);
                answer.send(
                    wire::message_type::answer_data, wire::pack(wire::answer_data{.bytes = std::move(**event)}));
            }
            cancel_state->stream = nullptr;
        }

        const bool expired = this->context.clock.now() >= deadline;
        if(cancel_state->cancelled || (failure && expired && failure->verdict != core::verdict::not_run)) {
            co_await this->engine.cancel(request.request_id);
        }
        if(cancel_state->cancelled) {
            failure = make_error(core::reason::cancelled, core::verdict::may_have_run, "the caller disconnected");
        } else if(expired && failure->verdict != core::verdict::not_run) {
            failure = make_error(core::reason::deadline_exceeded, core::verdict::may_have_run,
                "the deadline passed while the request was running");
        } else if(failure->verdict != core::verdict::not_run && resume_count < this->options.resume_attempts) {
            ++resume_count;
            stream = co_await this->resume(request, received_tokens, stream_boot_id, deadline, outcome.end.crash);
            if(stream) {
                continue;
            }
        } else if(failure->cause == core::reason::adapter_not_resident) {
            const std::lock_guard lock{this->mutex};
            ++this->counts.not_resident;
            this->next_poll = this->context.clock.now();
        } else if(failure->cause == core::reason::connection_refused) {
            const std::lock_guard lock{this->mutex};
            this->healthy = false;
            this->next_poll = this->context.clock.now();
        }
        outcome.end.verdict = failure->verdict;
        outcome.end.failure = wire::to_wire(*failure);
        co_return outcome;
    }
}

// Resumes a broken stream if the engine is still running. If it crashed, sets `crash_id` and returns an error.
asio::awaitable<core::result<std::unique_ptr<upstream::engine_stream>>> upstream_owner::resume(
    const wire::submit& request, std::size_t received_tokens, const std::string& stream_boot_id,
    core::time_point deadline, std::uint64_t& crash_id) {
    auto previous_boot_id = stream_boot_id;
    if(previous_boot_id.empty()) {
        const std::lock_guard lock{this->mutex};
        previous_boot_id = this->boot_id;
    }
    auto current_boot_id = co_await this->engine.fetch_boot_id(boot_id_timeout);
    for(unsigned checks{1u}; !current_boot_id && current_boot_id.error().cause == core::reason::connection_lost &&
                             checks < boot_id_checks_max;
        ++checks) {
        current_boot_id = co_await this->engine.fetch_boot_id(boot_id_timeout);
    }
    const bool is_down = !current_boot_id && current_boot_id.error().cause == core::reason::connection_refused;
    if(is_down || (current_boot_id && !previous_boot_id.empty() && *current_boot_id != previous_boot_id)) {
        crash_id = policy::crash_quarantine::crash_id(this->description.name, previous_boot_id);
        this->handle_crash(crash_id);
        co_return core::fail(core::reason::connection_lost, core::verdict::may_have_run, "the upstream crashed");
    }
    if(!current_boot_id) {
        co_return tl::make_unexpected(current_boot_id.error());
    }
    auto resumed = co_await this->engine.resume(
        request.request_id, received_tokens, time_left(deadline, this->context.clock.now()));
    if(resumed) {
        const std::lock_guard lock{this->mutex};
        ++this->counts.resumed;
    }
    co_return resumed;
}

void upstream_owner::handle_crash(std::uint64_t crash_id) {
    std::vector<std::string> digests{};
    {
        const std::lock_guard lock{this->mutex};
        if(this->last_crash_id != crash_id) {
            this->last_crash_id = crash_id;
            ++this->counts.crashes;
            this->context.observer.on_event("upstream_crashed", this->description.name,
                std::to_string(this->running.size()) + " requests were in flight");
            LOG(WARNING) << "event=upstream_crashed upstream=" << this->description.name
                         << " in_flight=" << this->running.size();
        }
        this->healthy = false;
        this->next_poll = this->context.clock.now();
        for(const auto& [id, pending] : this->running) {
            digests.push_back(pending->body_digest);
        }
    }
    this->context.quarantine.record_crash(crash_id, digests);
}

asio::awaitable<upstream_owner::run_outcome> upstream_owner::run_service(
    const wire::submit& request, core::time_point deadline, wire::responder& answer) {
    upstream::service_call call{.request_id = request.request_id,
        .method = request.method,
        .path = request.path,
        .content_type = request.content_type,
        .idempotency_key = request.idempotency_key,
        .body = request.body,
        .timeout = time_left(deadline, this->context.clock.now())};
    run_outcome outcome{};
    auto response = co_await this->service.send(std::move(call));
    if(!response) {
        outcome.end.verdict = response.error().verdict;
        outcome.end.failure = wire::to_wire(response.error());
        co_return outcome;
    }
    const wire::answer_head head{.status = response->status,
        .content_type = std::string{response->headers.find("content-type").value_or("application/octet-stream")},
        .upstream = this->description.name};
    answer.send(wire::message_type::answer_head, wire::pack(head));
    constexpr std::size_t chunk_size{256u * 1024u};
    for(std::size_t offset{}; offset < response->body.size(); offset += chunk_size) {
        const wire::answer_data chunk{.bytes = response->body.substr(offset, chunk_size)};
        answer.send(wire::message_type::answer_data, wire::pack(chunk));
    }
    outcome.completed = true;
    outcome.end.verdict = core::verdict::ran;
    co_return outcome;
}

} // namespace lagoonsaddle::gateway
