#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include <lagoonsaddle/core/accept_loop.hpp>
#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/core/tcp_listener.hpp>
#include <lagoonsaddle/http/internal_beast.hpp>
#include <lagoonsaddle/http/internal_body_reader.hpp>
#include <lagoonsaddle/http/internal_growing_body.hpp>
#include <lagoonsaddle/http/internal_peer_state.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/request_framing.hpp>
#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::http {

using namespace internal;

struct server::state : std::enable_shared_from_this<server::state> {
    state(asio::io_context& io, handler& receiver, server_options values)
        : context{io}, target{receiver}, options{std::move(values)}, acceptor{asio::make_strand(io)} {}

    asio::io_context& context;
    handler& target;
    server_options options;
    tcp::acceptor acceptor;
    core::accept_status accepting{"http"};
    std::uint16_t bound_port{};
    std::atomic<bool> closing{false};
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> active{0u};

    std::mutex mutex{};
    std::unordered_map<const connection*, std::weak_ptr<connection>> connections{};
};

class server::connection final : public response_writer, public std::enable_shared_from_this<server::connection> {
public:
    connection(std::shared_ptr<state> server, tcp::socket socket)
        : owner{std::move(server)},
          stream{std::move(socket)},
          peer_check{this->stream.get_executor()},
          buffer{this->owner->options.header_limit_bytes + framing_allowance} {}

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    ~connection() override {
        const std::lock_guard lock{this->owner->mutex};
        this->owner->connections.erase(this);
    }

    asio::awaitable<void> run() {
        boost::system::error_code ignored{};
        this->stream.socket().set_option(tcp::no_delay{true}, ignored);
        while(co_await this->serve_one()) {
        }
        if(this->answered_last) {
            co_await this->end_after_response();
        }
        this->close();
    }

    void close() noexcept {
        this->open = false;
        this->peer_check.cancel();
        boost::system::error_code ignored{};
        if(this->close_delimited && this->body_unfinished) {
            // An orderly end would complete the body: the connection is reset instead.
            this->stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
        } else {
            this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        }
        this->stream.socket().close(ignored);
    }

    /*! @brief Closes the connection unless a request is being received or handled. */
    void close_if_idle() noexcept {
        if(!this->busy) {
            this->close();
        }
    }

    [[nodiscard]] auto executor() {
        return this->stream.get_executor();
    }

    asio::awaitable<core::result<void>> send(response message) override {
        this->has_started = true;
        beast_http::response<beast_http::string_body> reply{
            static_cast<beast_http::status>(message.status), this->http_version};
        for(const auto& [name, value] : message.headers) {
            reply.set(beast_view(name), beast_view(value));
        }
        reply.body() = std::move(message.body);
        reply.keep_alive(this->keeps_alive());
        // The length of a body that another server left out of its response to HEAD is not known.
        if(!this->head_only || !reply.body().empty()) {
            reply.prepare_payload();
        }
        boost::system::error_code failure{};
        if(this->head_only) {
            beast_http::response_serializer<beast_http::string_body> serializer{reply};
            co_await beast_http::async_write_header(
                this->stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
        } else {
            co_await beast_http::async_write(this->stream, reply, asio::redirect_error(asio::use_awaitable, failure));
        }
        co_return this->outcome(failure);
    }

    asio::awaitable<core::result<void>> begin(unsigned status, fields headers) override {
        this->has_started = true;
        this->body_unfinished = true;
        // HTTP/1.0 has no chunks: the end of the connection ends the body.
        this->close_delimited = this->http_version < http_1_1;
        this->keep_alive = this->keep_alive && !this->close_delimited;
        beast_http::response<beast_http::empty_body> head{static_cast<beast_http::status>(status), this->http_version};
        for(const auto& [name, value] : headers) {
            head.set(beast_view(name), beast_view(value));
        }
        head.keep_alive(this->keeps_alive());
        head.chunked(!this->close_delimited);
        beast_http::response_serializer<beast_http::empty_body> serializer{head};
        boost::system::error_code failure{};
        co_await beast_http::async_write_header(
            this->stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
        co_return this->outcome(failure);
    }

    asio::awaitable<core::result<void>> write(std::string_view data) override {
        boost::system::error_code failure{};
        if(!this->open) {
            failure = asio::error::not_connected;
        } else if(this->head_only) {
            co_return core::result<void>{};
        } else if(this->close_delimited) {
            co_await asio::async_write(this->stream, asio::buffer(data.data(), data.size()),
                asio::redirect_error(asio::use_awaitable, failure));
        } else {
            co_await asio::async_write(this->stream, beast_http::make_chunk(asio::buffer(data.data(), data.size())),
                asio::redirect_error(asio::use_awaitable, failure));
        }
        co_return this->outcome(failure);
    }

    asio::awaitable<core::result<void>> finish() override {
        boost::system::error_code failure{};
        if(!this->close_delimited && !this->head_only) {
            co_await asio::async_write(
                this->stream, beast_http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, failure));
        }
        this->body_unfinished = false;
        co_return this->outcome(failure);
    }

    void abort() noexcept override {
        this->has_started = true;
        this->close();
    }

    [[nodiscard]] bool started() const noexcept override {
        return this->has_started;
    }

    void on_disconnect(std::function<void()> callback) override {
        this->disconnect_callback = std::move(callback);
        this->watch_peer();
    }

private:
    [[nodiscard]] bool keeps_alive() const noexcept {
        return this->keep_alive && !this->owner->closing.load() && !this->owner->draining.load();
    }

    core::result<void> outcome(const boost::system::error_code& failure) {
        if(failure) {
            this->open = false;
            return core::fail(core::reason::connection_lost, core::verdict::may_have_run, failure.message());
        }
        return {};
    }

    // At most one wait or check is pending per connection; a wait stays pending between requests and is not cancelled,
    // since cancelling would also cancel a read or write of the same socket.
    void watch_peer() {
        if(this->watching) {
            return;
        }
        this->watching = true;
        this->stream.socket().async_wait(tcp::socket::wait_read,
            [self = this->shared_from_this()](const boost::system::error_code&) { self->check_peer(); });
    }

    void check_peer() {
        this->watching = false;
        if(!this->handling) {
            return;
        }
        switch(inspect_peer(this->stream.socket())) {
        case peer_state::closed:
            this->open = false;
            if(const auto callback = std::exchange(this->disconnect_callback, nullptr); callback) {
                callback();
            }
            break;
        case peer_state::silent:
            // The wait was ended by the bytes of the request that is now handled.
            this->watch_peer();
            break;
        case peer_state::has_sent:
            this->check_peer_later();
            break;
        }
    }

    // A wait would complete at once, over and over, as long as bytes of a next request are unread.
    void check_peer_later() {
        this->watching = true;
        this->peer_check.expires_after(peer_check_interval);
        this->peer_check.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code&) { self->check_peer(); });
    }

    using body_parser = beast_http::request_parser<growing_body>;

    /*! @brief Response to a request that is not handled. */
    struct rejection {
        unsigned status{};
        core::error failure{};
    };

    /*! @brief Waits for the first bytes of a request; returns false when the connection has ended. */
    asio::awaitable<bool> wait_for_request() {
        boost::system::error_code failure{};
        auto ignored = this->skip_line_ends(line_ends_max);
        // An idle connection may wait long for its next request; a started request may not.
        this->stream.expires_after(this->owner->options.idle_timeout);
        while(this->buffer.size() == 0u && !failure) {
            const auto count = co_await this->stream.async_read_some(
                this->buffer.prepare(read_size), asio::redirect_error(asio::use_awaitable, failure));
            this->buffer.commit(count);
            ignored += this->skip_line_ends(line_ends_max - ignored);
        }
        // The connection may have been closed as idle after its request was read and before this coroutine went on.
        co_return !failure && this->open;
    }

    /*! @brief Drops up to `limit` line ends before a request, which old clients send after a body (RFC 9112, 2.2).
     * Returns their number. */
    std::size_t skip_line_ends(std::size_t limit) {
        const auto* const text = static_cast<const char*>(this->buffer.data().data());
        std::size_t count{};
        while(count < std::min(limit, this->buffer.size()) && (text[count] == '\r' || text[count] == '\n')) {
            ++count;
        }
        this->buffer.consume(count);
        return count;
    }

    asio::awaitable<bool> serve_one() {
        this->busy = false;
        if(!co_await this->wait_for_request()) {
            co_return false;
        }
        this->busy = true;
        this->head_only = false;
        const activity counted{this->owner->active};
        core::byte_reservation reserved{this->owner->options.body_memory.get()};
        request message{};
        this->stream.expires_after(this->owner->options.request_timeout);
        const auto failure = co_await this->receive(message, reserved);
        this->stream.expires_never();
        this->release_buffer();
        if(failure) {
            // The rejected body must not take memory while the connection lingers; an assignment would keep its room.
            std::string{}.swap(message.body);
            reserved.release();
            co_await this->reject(message, *failure);
            co_return false;
        }
        if(inspect_peer(this->stream.socket()) == peer_state::closed) {
            co_return false;
        }
        this->has_started = false;
        this->body_unfinished = false;
        this->close_delimited = false;
        this->handling = true;
        co_await this->handle(std::move(message));
        this->handling = false;
        const bool answered = this->open && !this->body_unfinished;
        const bool goes_on = this->keeps_alive();
        this->answered_last = answered && !goes_on;
        co_return answered&& goes_on;
    }

    /*! @brief Gives back the room that a body took in the buffer, which the connection would keep while it is idle. */
    void release_buffer() {
        if(this->buffer.capacity() > read_size) {
            this->buffer.shrink_to_fit();
        }
    }

    /*! @brief Receives a whole request. Fields of a trailer are dropped: they must not replace those of the head. */
    asio::awaitable<std::optional<rejection>> receive(request& message, core::byte_reservation& reserved) {
        boost::system::error_code failure{};
        body_parser parser{};
        parser.header_limit(this->owner->options.header_limit_bytes);
        parser.body_limit(this->owner->options.body_limit_bytes);
        co_await beast_http::async_read_header(
            this->stream, this->buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        if(failure) {
            co_return make_rejection(failure);
        }
        this->keep_alive = parser.get().keep_alive();
        this->http_version = parser.get().version();
        this->head_only = parser.get().method() == beast_http::verb::head;
        if(auto rejected = copy_head(parser, message)) {
            co_return rejected;
        }
        if(beast::iequals(parser.get()[beast_http::field::expect], "100-continue")) {
            co_await asio::async_write(this->stream, asio::buffer(continue_head.data(), continue_head.size()),
                asio::redirect_error(asio::use_awaitable, failure));
        }
        if(failure) {
            co_return make_rejection(failure);
        }
        auto rejected = co_await this->receive_body(parser, reserved);
        message.body = std::move(parser.get().body());
        co_return rejected;
    }

    [[nodiscard]] static std::optional<rejection> copy_head(const body_parser& parser, request& message) {
        const auto& head = parser.get();
        auto target = parse_target({head.target().data(), head.target().size()});
        message.method = std::string{head.method_string()};
        message.headers = copy_fields(head);
        message.target = std::move(target.path);
        if(!target.host.empty()) {
            message.headers.set("host", target.host);
        }
        auto framing = check_framing(message.headers, head.version());
        if(!framing) {
            return std::nullopt;
        }
        return rejection{.status = framing->status,
            .failure = core::error{.cause = core::reason::invalid_argument, .message = std::move(framing->message)}};
    }

    asio::awaitable<std::optional<rejection>> receive_body(body_parser& parser, core::byte_reservation& reserved) {
        const auto& body = parser.get().body();
        body_progress progress{};
        while(!parser.is_done()) {
            const auto before = body.capacity();
            if(const auto failure = co_await read_body_part(this->stream, this->buffer, parser, progress); failure) {
                co_return make_rejection(failure);
            }
            if(has_excessive_framing(progress.parsed, body.size())) {
                co_return rejection{.status = 400u,
                    .failure = core::error{
                        .cause = core::reason::invalid_argument, .message = "the chunks of the body are too small"}};
            }
            if(!reserved.add(body.capacity() - before)) {
                co_return rejection{.status = 503u,
                    .failure = core::error{.cause = core::reason::overloaded,
                        .message = "the node holds too many request bodies",
                        .retry_after = body_memory_retry_after}};
            }
        }
        co_return std::nullopt;
    }

    asio::awaitable<void> handle(request message) {
        std::optional<std::string> fault{};
        try {
            co_await this->owner->target.handle(std::move(message), *this);
        } catch(const std::exception& exception) {
            fault = exception.what();
        }
        // The callback may use what the handler has destroyed.
        this->disconnect_callback = nullptr;
        if(!this->has_started && this->open) {
            const core::error failure{.cause = core::reason::internal,
                .verdict = core::verdict::may_have_run,
                .message = fault.value_or("the handler sent no response")};
            auto answer = error_response(failure);
            static_cast<void>(co_await this->send(std::move(answer)));
        } else if(fault.has_value()) {
            this->abort();
        }
    }

    /*! @brief Returns the response to a request that could not be read; status 0 if there is nobody to answer. */
    [[nodiscard]] static rejection make_rejection(const boost::system::error_code& failure) {
        const bool ended = failure == beast_http::error::end_of_stream || failure == asio::error::operation_aborted ||
                           failure == asio::error::connection_reset || failure == beast_http::error::partial_message ||
                           failure == asio::error::eof || failure == beast::error::timeout;
        rejection result{.status = ended ? 0u : 400u,
            .failure = core::error{.cause = core::reason::invalid_argument, .message = failure.message()}};
        if(failure == boost::system::errc::not_enough_memory) {
            result.status = 503u;
            result.failure.cause = core::reason::overloaded;
            result.failure.retry_after = body_memory_retry_after;
        } else if(failure == beast_http::error::body_limit) {
            result.status = 413u;
        } else if(failure == beast_http::error::header_limit) {
            result.status = 431u;
        }
        return result;
    }

    asio::awaitable<void> reject(const request& message, const rejection& rejected) {
        if(rejected.status == 0u) {
            co_return;
        }
        auto refusal = this->owner->target.make_rejection(message, rejected.status, rejected.failure);
        this->keep_alive = false;
        static_cast<void>(co_await this->send(std::move(refusal)));
        co_await this->end_after_response();
    }

    /*! @brief Ends the connection after a response, and reads what the peer still sends: closing a socket with unread
     * bytes resets the connection, and the peer loses what it has not read of the response. */
    asio::awaitable<void> end_after_response() {
        boost::system::error_code ignored{};
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->stream.expires_after(linger_time);
        // A small buffer: many connections may linger at once.
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        for(std::size_t total{}; total < linger_drain_limit && !ignored;) {
            total += co_await this->stream.async_read_some(
                this->buffer.prepare(linger_read_size), asio::redirect_error(asio::use_awaitable, ignored));
            total += this->discard_available();
        }
    }

    /*! @brief Reads what has arrived and drops it; returns the number of bytes. */
    std::size_t discard_available() {
        std::array<char, drain_read_size> dropped{};
        boost::system::error_code failure{};
        this->stream.socket().non_blocking(true, failure);
        std::size_t total{};
        while(!failure && total < drain_turn_limit) {
            total += this->stream.socket().read_some(asio::buffer(dropped), failure);
        }
        return total;
    }

    /*! @brief Counts a request from its first byte until its response has been sent. */
    class activity {
    public:
        explicit activity(std::atomic<std::size_t>& counter) : count{counter} {
            ++this->count;
        }

        activity(const activity&) = delete;
        activity& operator=(const activity&) = delete;

        ~activity() {
            --this->count;
        }

    private:
        std::atomic<std::size_t>& count;
    };

    static constexpr std::string_view continue_head{"HTTP/1.1 100 Continue\r\n\r\n"};
    static constexpr std::size_t read_size{4'096u};
    static constexpr std::size_t line_ends_max{16u};
    static constexpr std::size_t linger_read_size{512u};
    static constexpr std::size_t drain_read_size{16u * 1024u};
    /*! @brief Bytes that are dropped in one turn, so that other connections get theirs. */
    static constexpr std::size_t drain_turn_limit{256u * 1024u};
    static constexpr std::size_t linger_drain_limit{16u * 1024u * 1024u};
    static constexpr std::chrono::milliseconds linger_time{1'000};
    static constexpr std::chrono::milliseconds body_memory_retry_after{500};
    /*! @brief Time between checks for an end behind unread bytes; it adds to the work for a caller that has left. */
    static constexpr std::chrono::milliseconds peer_check_interval{100};

    std::shared_ptr<state> owner;
    beast::tcp_stream stream;
    asio::steady_timer peer_check;
    /*! @brief Bounded: Beast looks for the end of a chunk header or a trailer without a limit of its own. */
    beast::flat_buffer buffer;
    std::function<void()> disconnect_callback{};
    unsigned http_version{http_1_1};
    bool open{true};
    bool keep_alive{true};
    bool has_started{false};
    /*! @brief Whether a body that `begin` has started lacks its end. */
    bool body_unfinished{false};
    /*! @brief Whether the end of the connection ends the body that `begin` has started. */
    bool close_delimited{false};
    /*! @brief Whether the response ends with its head, as the request is a HEAD. */
    bool head_only{false};
    /*! @brief Whether a request is being received or handled. */
    bool busy{false};
    bool handling{false};
    bool watching{false};
    /*! @brief Whether the last response of the connection has been sent whole. */
    bool answered_last{false};
};

response handler::make_rejection(const request&, unsigned status, const core::error& failure) {
    auto rejected = error_response(failure);
    rejected.status = status;
    return rejected;
}

server::server(asio::io_context& context, handler& target, server_options options)
    : shared{std::make_shared<state>(context, target, std::move(options))} {}

server::~server() {
    this->close();
}

core::result<void> server::start() {
    auto& acceptor = this->shared->acceptor;
    const auto port = core::listen(acceptor, this->shared->options.listen);
    if(!port) {
        return tl::make_unexpected(port.error());
    }
    this->shared->bound_port = *port;

    core::start_service(acceptor.get_executor(), "http_listener", [shared = this->shared]() -> asio::awaitable<void> {
        while(!shared->closing.load()) {
            auto socket =
                co_await core::accept_next(shared->acceptor, asio::make_strand(shared->context), shared->accepting);
            if(!socket || shared->closing.load()) {
                co_return;
            }
            const auto accepted = std::make_shared<connection>(shared, *std::move(socket));
            {
                const std::lock_guard lock{shared->mutex};
                if(shared->connections.size() >= shared->options.connection_limit) {
                    accepted->close();
                    continue;
                }
                shared->connections.emplace(accepted.get(), accepted);
            }
            core::start_task(accepted->executor(), "http_connection",
                [accepted]() -> asio::awaitable<void> { co_await accepted->run(); });
        }
    });
    return {};
}

std::uint16_t server::port() const noexcept {
    return this->shared->bound_port;
}

bool server::is_accepting() const noexcept {
    return !this->shared->accepting.is_failing();
}

std::size_t server::active_requests() const noexcept {
    return this->shared->active.load();
}

void server::begin_drain() noexcept {
    this->shared->draining.store(true);
}

void server::stop_accepting() {
    if(!this->shared->closing.exchange(true)) {
        asio::post(this->shared->acceptor.get_executor(), [shared = this->shared] {
            boost::system::error_code ignored{};
            shared->acceptor.close(ignored);
        });
    }
}

template<typename Function>
void server::for_each_connection(Function function) {
    // The destructor of a connection takes the mutex, so that no last reference may be dropped while it is held.
    std::vector<std::shared_ptr<connection>> open{};
    {
        const std::lock_guard lock{this->shared->mutex};
        for(const auto& [key, weak] : this->shared->connections) {
            open.push_back(weak.lock());
        }
    }
    for(auto& entry : open) {
        if(entry) {
            const auto executor = entry->executor();
            asio::post(executor, [function, target = std::move(entry)] { function(*target); });
        }
    }
}

void server::close_idle_connections() {
    this->stop_accepting();
    this->for_each_connection([](connection& target) { target.close_if_idle(); });
}

void server::close() {
    this->stop_accepting();
    this->for_each_connection([](connection& target) { target.close(); });
}

} // namespace lagoonsaddle::http
