// Requests on the upstream: streams, their continuation after a broken connection, and crashes.

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <lagoonsaddle/gateway/internal_owner.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::gateway {

namespace asio = boost::asio;
using namespace internal;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds boot_check_timeout{300};
// An engine that is crashing may still accept a connection and reset it, which says neither that it is down nor up.
constexpr unsigned boot_checks_max{16u};

/*! @brief Returns the number of tokens received after an event, or nothing when the event carries no token. */
[[nodiscard]] std::optional<std::size_t> tokens_after(const std::string& event) {
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
    core::time_point deadline, wire::responder& answer, const std::shared_ptr<cancellation>& control) {
    const core::adapter_version adapter{.adapter = request.adapter, .version = request.version};
    const auto wanted = core::to_string(adapter);
    upstream::engine_call call{.request_id = request.request_id,
        .adapter = adapter,
        .body = request.body,
        .priority = request.priority,
        .chat = request.kind == wire::call_kind::chat_completion,
        .timeout = time_left(deadline, this->shared.clock.now())};
    run_outcome outcome{};
    auto stream = co_await this->engine.start(std::move(call));
    std::string boot{};
    std::size_t tokens{};
    unsigned resumes{};
    bool head_sent{false};
    while(true) {
        std::optional<core::error> failure{};
        if(!stream) {
            failure = stream.error();
        } else if((*stream)->served() != wanted) {
            // The engine served something else; nothing of it may reach the caller.
            LOG(ERROR) << "event=wrong_adapter upstream=" << this->description.name
                       << " request_id=" << request.request_id << " wanted=" << wanted
                       << " served=" << (*stream)->served();
            const std::lock_guard lock{this->mutex};
            ++this->counted.wrong_adapter;
            failure = make_error(
                core::reason::protocol_error, core::verdict::may_have_run, "the upstream served another adapter");
            resumes = this->options.resume_attempts;
        } else {
            boot = (*stream)->boot_id();
            control->stream = stream->get();
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
                        .served = wanted,
                        .upstream = this->description.name};
                    answer.send(wire::message_type::answer_head, wire::pack(head));
                }
                if(!event->has_value()) {
                    control->stream = nullptr;
                    outcome.completed = true;
                    outcome.end.verdict = core::verdict::ran;
                    co_return outcome;
                }
                tokens = tokens_after(**event).value_or(tokens);
                answer.send(
                    wire::message_type::answer_data, wire::pack(wire::answer_data{.bytes = std::move(**event)}));
            }
            control->stream = nullptr;
        }

        const bool expired = this->shared.clock.now() >= deadline;
        if(control->cancelled || (failure && expired && failure->verdict != core::verdict::not_run)) {
            co_await this->engine.cancel(request.request_id);
        }
        if(control->cancelled) {
            failure = make_error(core::reason::cancelled, core::verdict::may_have_run, "the caller has gone");
        } else if(expired && failure->verdict != core::verdict::not_run) {
            failure = make_error(core::reason::deadline_exceeded, core::verdict::may_have_run,
                "the deadline passed while the request was running");
        } else if(failure->verdict != core::verdict::not_run && resumes < this->options.resume_attempts) {
            ++resumes;
            stream = co_await this->resume(request, tokens, boot, deadline, outcome.end.crash);
            if(stream) {
                continue;
            }
        } else if(failure->cause == core::reason::adapter_not_resident) {
            const std::lock_guard lock{this->mutex};
            ++this->counted.not_resident;
            this->next_poll = this->shared.clock.now();
        } else if(failure->cause == core::reason::connection_refused) {
            const std::lock_guard lock{this->mutex};
            this->healthy = false;
            this->next_poll = this->shared.clock.now();
        }
        outcome.end.verdict = failure->verdict;
        outcome.end.failure = wire::to_wire(*failure);
        co_return outcome;
    }
}

// Continues a broken stream if the engine still runs the request. Otherwise sets the id of the crash.
asio::awaitable<core::result<std::unique_ptr<upstream::engine_stream>>> upstream_owner::resume(
    const wire::submit& request, std::size_t tokens, const std::string& known_boot, core::time_point deadline,
    std::uint64_t& crash) {
    auto boot = known_boot;
    if(boot.empty()) {
        const std::lock_guard lock{this->mutex};
        boot = this->boot_id;
    }
    auto current = co_await this->engine.boot_id(boot_check_timeout);
    for(unsigned checks{1u};
        !current && current.error().cause == core::reason::connection_lost && checks < boot_checks_max; ++checks) {
        current = co_await this->engine.boot_id(boot_check_timeout);
    }
    const bool dead = !current && current.error().cause == core::reason::connection_refused;
    if(dead || (current && !boot.empty() && *current != boot)) {
        crash = policy::crash_quarantine::crash_id(this->description.name, boot);
        this->crashed(crash);
        co_return core::fail(core::reason::connection_lost, core::verdict::may_have_run, "the upstream crashed");
    }
    if(!current) {
        co_return tl::make_unexpected(current.error());
    }
    auto resumed =
        co_await this->engine.resume(request.request_id, tokens, time_left(deadline, this->shared.clock.now()));
    if(resumed) {
        const std::lock_guard lock{this->mutex};
        ++this->counted.resumed;
    }
    co_return resumed;
}

void upstream_owner::crashed(std::uint64_t crash) {
    std::vector<std::string> digests{};
    {
        const std::lock_guard lock{this->mutex};
        if(this->last_crash != crash) {
            this->last_crash = crash;
            ++this->counted.crashes;
            this->shared.observer.on_event("upstream_crashed", this->description.name,
                std::to_string(this->running.size()) + " requests were in flight");
            LOG(WARNING) << "event=upstream_crashed upstream=" << this->description.name
                         << " in_flight=" << this->running.size();
        }
        this->healthy = false;
        this->next_poll = this->shared.clock.now();
        for(const auto& [id, entry] : this->running) {
            digests.push_back(entry->digest);
        }
    }
    this->shared.quarantine.record_crash(crash, digests);
}

asio::awaitable<upstream_owner::run_outcome> upstream_owner::run_service(
    const wire::submit& request, core::time_point deadline, wire::responder& answer) {
    upstream::service_call call{.request_id = request.request_id,
        .method = request.method,
        .path = request.path,
        .content_type = request.content_type,
        .idempotency_key = request.idempotency_key,
        .body = request.body,
        .timeout = time_left(deadline, this->shared.clock.now())};
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
    constexpr std::size_t piece_size{256u * 1024u};
    for(std::size_t offset{}; offset < response->body.size(); offset += piece_size) {
        const wire::answer_data piece{.bytes = response->body.substr(offset, piece_size)};
        answer.send(wire::message_type::answer_data, wire::pack(piece));
    }
    outcome.completed = true;
    outcome.end.verdict = core::verdict::ran;
    co_return outcome;
}

} // namespace lagoonsaddle::gateway
