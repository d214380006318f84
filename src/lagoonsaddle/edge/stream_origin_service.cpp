#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/edge/replica_selection.hpp>
#include <lagoonsaddle/edge/stream_origin_service.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/codec.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/*! @brief Number of nodes that keep the origin of a stream, beside the one that began it. */
constexpr std::size_t replica_count{3u};
/*! @brief Maximum wait for the answers of the replicas. */
constexpr milliseconds lookup_timeout{200};
/*! @brief Time for which an origin from the store is kept beyond its end, as the times of day of nodes differ. */
constexpr milliseconds clock_error_max{5'000};
/*! @brief Longest time for which an origin is kept, whatever the deadline of its request is. */
constexpr milliseconds lifetime_max{120'000};
/*! @brief Longest time for which a question waits until the records of the store have been read. */
constexpr milliseconds archive_wait_max{300};
/*! @brief Software versions that an answer names; more of them tell no more. */
constexpr std::size_t reply_versions_max{2u};

using reply_queue = wire::async_queue<core::result<wire::stream_origin_reply>>;

asio::awaitable<void> ask(
    std::shared_ptr<wire::peer_client> peer, std::string question, std::shared_ptr<reply_queue> replies) {
    const auto reply = co_await peer->call(wire::message_type::stream_origin_get, std::move(question), lookup_timeout);
    if(reply) {
        replies->push(wire::unpack<wire::stream_origin_reply>(reply->body));
    } else {
        replies->push(tl::make_unexpected(reply.error()));
    }
}

} // namespace

stream_origin_service::stream_origin_service(stream_origin_context uses, std::string name)
    : context{uses}, node_name{std::move(name)} {}

std::vector<std::string> stream_origin_service::replicas_of(std::string_view request) const {
    auto names = select_replicas(request, *this->context.membership.members(), replica_count);
    std::erase(names, this->node_name);
    return names;
}

void stream_origin_service::record(const std::string& request, const stream_origin& origin, milliseconds lifetime) {
    const auto kept = std::min(lifetime, lifetime_max);
    this->origins.record(request, origin, this->context.clock.now() + kept);
    this->context.archive.add(request, origin, core::unix_time() + kept);
    const wire::stream_origin_update update{.request = request,
        .service = origin.service,
        .software_version = origin.software_version,
        .lifetime_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(kept.count(), 0))};
    const auto body = wire::pack(update);
    for(const auto& name : this->replicas_of(request)) {
        if(const auto peer = this->context.peers.find(name)) {
            asio::co_spawn(
                this->context.io,
                [peer, body]() -> asio::awaitable<void> {
                    co_await peer->notify(wire::message_type::stream_origin_update, body);
                },
                core::task_end{"stream_origin_update"});
        }
    }
}

void stream_origin_service::merge(std::string_view packed) {
    auto update = wire::unpack<wire::stream_origin_update>(packed);
    if(!update) {
        this->context.log.write(log_line{"stream_origin"}.add("outcome", "malformed"));
        return;
    }
    const auto lifetime =
        std::min<std::uint64_t>(update->lifetime_ms, static_cast<std::uint64_t>(lifetime_max.count()));
    stream_origin origin{
        .service = std::move(update->service), .software_version = std::move(update->software_version)};
    this->origins.record(update->request, std::move(origin),
        this->context.clock.now() + milliseconds{static_cast<std::int64_t>(lifetime)});
}

void stream_origin_service::adopt(const std::vector<resumable_stream>& streams) {
    const auto unix_now = core::unix_time();
    const auto now = this->context.clock.now();
    for(const auto& stream : streams) {
        const auto left = std::clamp(stream.expires - unix_now, milliseconds{0}, lifetime_max);
        this->origins.record(stream.request, {.service = stream.service, .software_version = stream.software_version},
            now + left + clock_error_max);
    }
}

stream_origin_service::findings stream_origin_service::look_up(
    std::string_view request, std::string_view service) const {
    const auto longest = longest_stream_time(this->context.routes);
    const auto since = this->context.clock.now() - longest;
    const auto unix_now = core::unix_time();
    const auto& upstreams = this->context.upstreams;
    const auto& archive = this->context.archive;
    // The history ends with the former process, so that this one must see all upstreams as well.
    const bool history_complete = upstreams.complete_from() && archive.is_complete(longest, unix_now);
    findings found{.versions = upstreams.software_versions(service, since),
        .versions_complete = history_complete || upstreams.complete_since(since)};
    found.versions.merge(archive.versions(service, longest, unix_now));
    if(const auto* origin = this->origins.find(request)) {
        found.origin = *origin;
    }
    return found;
}

wire::stream_origin_reply stream_origin_service::make_reply(const wire::stream_origin_get& question) const {
    const auto found = this->look_up(question.request, question.service);
    wire::stream_origin_reply reply{.versions_complete = found.versions_complete};
    if(found.origin) {
        reply.origin = wire::stream_origin_update{.request = question.request,
            .service = found.origin->service,
            .software_version = found.origin->software_version};
    }
    for(const auto& version : found.versions) {
        if(reply.versions.size() < reply_versions_max) {
            reply.versions.push_back(version);
        }
    }
    return reply;
}

asio::awaitable<void> stream_origin_service::ask_replicas(wire::stream_origin_get question, findings& found) {
    const auto replies = std::make_shared<reply_queue>();
    const auto body = wire::pack(question);
    std::size_t asked{};
    for(const auto& name : this->replicas_of(question.request)) {
        if(auto peer = this->context.peers.find(name)) {
            asio::co_spawn(
                this->context.io, ask(std::move(peer), body, replies), core::task_end{"stream_origin_question"});
            ++asked;
        }
    }
    const auto end = this->context.clock.now() + lookup_timeout;
    for(std::size_t answered{}; answered < asked && !found.origin; ++answered) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - this->context.clock.now());
        const auto reply = co_await replies->pop(std::max(left, milliseconds{1}));
        if(!reply) {
            co_return;
        }
        if(!*reply) {
            continue;
        }
        const auto& answer = **reply;
        found.versions.insert(answer.versions.begin(), answer.versions.end());
        found.versions_complete = found.versions_complete || answer.versions_complete;
        if(answer.origin) {
            found.origin =
                stream_origin{.service = answer.origin->service, .software_version = answer.origin->software_version};
        }
    }
}

asio::awaitable<std::optional<stream_origin>> stream_origin_service::resolve(std::string request, std::string service) {
    auto found = this->look_up(request, service);
    if(!found.origin && this->archived_records) {
        co_await this->archived_records->wait_until_loaded(archive_wait_max);
        found = this->look_up(request, service);
    }
    const std::string_view source = found.origin ? "local" : "peer";
    if(!found.origin && (!request.empty() || !found.versions_complete)) {
        wire::stream_origin_get question{.request = request, .service = service};
        co_await this->ask_replicas(std::move(question), found);
    }
    if(found.origin) {
        const bool known = found.origin->software_version.has_value();
        this->log_result(request, &*found.origin, source);
        co_return known ? found.origin : std::nullopt;
    }
    auto only_version = co_await this->find_only_version(service, found);
    if(!only_version) {
        this->log_result(request, nullptr, "none");
        co_return std::nullopt;
    }
    stream_origin only{.service = std::move(service), .software_version = std::move(*only_version)};
    this->log_result(request, &only, "only_version");
    co_return only;
}

asio::awaitable<std::optional<std::string>> stream_origin_service::find_only_version(
    const std::string& service, findings& found) {
    if(!found.versions_complete || found.versions.size() != 1u) {
        co_return std::nullopt;
    }
    // Upstreams of another version may have joined since the last answer of the store, and begun the stream.
    const auto joined = co_await this->context.unseen.read(service);
    if(!joined) {
        co_return std::nullopt;
    }
    found.versions.insert(joined->begin(), joined->end());
    found.versions.merge(this->look_up({}, service).versions);
    co_return found.versions.size() == 1u ? std::optional{*found.versions.begin()} : std::nullopt;
}

void stream_origin_service::log_result(std::string_view request, const stream_origin* origin, std::string_view source) {
    const bool known = origin != nullptr && origin->software_version;
    log_line line{"stream_origin"};
    line.add("id", request).add("outcome", known ? "known" : "unknown").add("source", source);
    if(known) {
        line.add("service", origin->service).add("software_version", *origin->software_version);
    }
    this->context.log.write(line);
}

void stream_origin_service::expire() {
    this->origins.remove_expired(this->context.clock.now());
}

} // namespace lagoonsaddle::edge
