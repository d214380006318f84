#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include <lagoonsaddle/core/connection_end.hpp>
#include <lagoonsaddle/core/tcp_options.hpp>
#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/connector.hpp>
#include <lagoonsaddle/http/internal_beast.hpp>
#include <lagoonsaddle/http/internal_body_reader.hpp>
#include <lagoonsaddle/http/internal_connection_pool.hpp>
#include <lagoonsaddle/http/request_framing.hpp>
#include <lagoonsaddle/http/response_framing.hpp>

namespace lagoonsaddle::http {

using namespace internal;

namespace {

/*! @brief Closes a socket when a time has passed. All handlers run on the executor of the calling coroutine. */
class expiry {
public:
    expiry(const asio::any_io_executor& executor, tcp::socket& guarded)
        : timer{executor}, shared{std::make_shared<flags>()} {
        this->shared->socket = &guarded;
    }

    expiry(const expiry&) = delete;
    expiry& operator=(const expiry&) = delete;

    ~expiry() {
        this->shared->socket = nullptr;
    }

    void start(std::chrono::milliseconds timeout) {
        this->timer.expires_after(timeout);
        this->timer.async_wait([state = this->shared](const boost::system::error_code& failure) {
            if(!failure && state->socket != nullptr) {
                state->expired = true;
                core::close_at_once(*state->socket);
            }
        });
    }

    void stop() {
        this->timer.cancel();
    }

    [[nodiscard]] bool expired() const noexcept {
        return this->shared->expired;
    }

private:
    struct flags {
        tcp::socket* socket{};
        bool expired{false};
    };

    asio::steady_timer timer;
    std::shared_ptr<flags> shared;
};

} // namespace

class client::stream final : public response_stream {
public:
    stream(std::shared_ptr<connection_pool> origin, core::endpoint peer, const asio::any_io_executor& executor)
        : connections{std::move(origin)},
          target{std::move(peer)},
          socket{std::make_shared<tcp::socket>(executor)},
          guard{executor, *this->socket} {}

    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    ~stream() override {
        this->guard.stop();
        this->detach();
        if(this->reusable()) {
            this->connections->give(this->target, std::move(*this->socket), keep_alive_timeout(this->head));
        } else if(this->answered()) {
            boost::system::error_code ignored{};
            this->socket->close(ignored);
        } else {
            this->close();
        }
    }

    [[nodiscard]] unsigned status() const noexcept override {
        return this->parser->get().result_int();
    }

    [[nodiscard]] const fields& headers() const noexcept override {
        return this->head;
    }

    [[nodiscard]] bool reused() const noexcept override {
        return this->from_pool;
    }

    [[nodiscard]] bool close_delimited() const noexcept override {
        return this->parser->need_eof();
    }

    void start_timer(std::chrono::milliseconds timeout) {
        this->guard.start(timeout);
    }

    /*! @brief Lets a control close this stream until the stream ends. */
    void attach(std::shared_ptr<exchange_control> value, std::function<void()> exchange_control::*hook) {
        this->control = std::move(value);
        this->control_hook = hook;
        (*this->control).*hook = [this] {
            this->close();
        };
    }

    asio::awaitable<core::result<void>> connect(
        std::chrono::milliseconds reuse_within, const exchange_options& options) {
        this->closes_after_refusal = options.close_after_refusal;
        if(reuse_within.count() > 0 && !options.via) {
            if(auto idle = this->connections->take(this->target, reuse_within); idle.has_value()) {
                *this->socket = std::move(*idle);
                this->from_pool = true;
                co_return core::result<void>{};
            }
        }
        if(options.reuse_only) {
            co_return core::fail(
                core::reason::connection_refused, "no idle connection to " + core::to_string(this->target));
        }
        this->single_use = options.via != nullptr;
        co_return co_await this->make_connection(options.via.get());
    }

    /*! @brief Keeps the connection idle for a later exchange. */
    void release() {
        this->guard.stop();
        this->connections->give(this->target, std::move(*this->socket), std::nullopt);
    }

    asio::awaitable<core::result<void>> exchange_heads(const request& message, const exchange_options& options) {
        if(message.method == "TRACE" && !message.body.empty()) {
            co_return core::fail(core::reason::invalid_argument, "a TRACE request must not have a body");
        }
        const auto outgoing = std::make_shared<beast_http::request<beast_http::string_body>>(
            beast_http::string_to_verb(message.method), beast_view(message.target), 11u);
        for(const auto& [name, value] : message.headers) {
            outgoing->set(beast_view(name), beast_view(value));
        }
        if(!options.keep_host || !message.headers.find("host")) {
            outgoing->set(beast_http::field::host, core::to_string(this->target));
        }
        outgoing->body() = message.body;
        outgoing->prepare_payload();

        boost::system::error_code failure{};
        if(message.body.size() <= small_body) {
            co_await beast_http::async_write(
                *this->socket, *outgoing, asio::redirect_error(asio::use_awaitable, failure));
        } else {
            this->write_beside(outgoing, co_await asio::this_coro::executor);
        }
        if(!failure) {
            failure = co_await this->read_head(message.method, options);
        }
        if(failure == beast_http::error::end_of_stream && options.control) {
            options.control->ended_unanswered = true;
        }
        if(failure) {
            co_return this->lost(failure);
        }
        co_return core::result<void>{};
    }

    asio::awaitable<core::result<std::string>> read() override {
        std::string piece{};
        while(piece.empty() && !this->parser->is_done()) {
            piece.resize(read_size);
            auto& body = this->parser->get().body();
            body.data = piece.data();
            body.size = piece.size();
            const auto failure = co_await read_body_part(*this->socket, this->buffer, *this->parser, this->progress);
            if(failure && failure != beast_http::error::need_buffer) {
                co_return this->lost(failure);
            }
            if(this->parser->is_done() && this->parser->need_eof() && !this->ended_orderly()) {
                co_return this->lost(asio::error::make_error_code(asio::error::connection_reset));
            }
            piece.resize(piece.size() - body.size);
            this->body_bytes += piece.size();
            if(has_excessive_framing(this->progress.parsed, this->body_bytes)) {
                this->close();
                co_return this->lost(asio::error::make_error_code(asio::error::message_size));
            }
        }
        co_return piece;
    }

    void close() noexcept override {
        this->failed = true;
        // An orderly end would wait behind the rest of the body, which the peer may never read.
        if(this->writing && !this->writing->done) {
            core::set_reset_on_close(*this->socket);
        }
        core::close_at_once(*this->socket);
    }

private:
    static constexpr std::size_t read_size{8u * 1024u};
    /*! @brief Largest head, chunk header or trailer, with what is read beyond it. */
    static constexpr std::size_t read_buffer_limit{64u * 1024u};
    /*! @brief A body up to this size is written before the response is read. A peer that responds before it has read a
     * larger one would block the writer. */
    static constexpr std::size_t small_body{4u * 1024u};
    /*! @brief Heads of other requests that are skipped on one connection. */
    static constexpr unsigned foreign_heads_max{16u};

    /*! @brief Outlives the stream while a body is written beside the reader. */
    struct pending_write {
        bool done{false};
        boost::system::error_code failure{};
    };

    /*! @brief Connects the socket, directly or by the given way. */
    asio::awaitable<core::result<void>> make_connection(connector* via) {
        expiry connect_guard{co_await asio::this_coro::executor, *this->socket};
        connect_guard.start(via != nullptr ? via->timeout() : this->connections->options().connect_timeout);
        core::result<void> connected{};
        if(via != nullptr) {
            connected = co_await via->connect(*this->socket, this->target);
        } else {
            connected = co_await this->connect_directly();
        }
        connect_guard.stop();
        if(connected && (connect_guard.expired() || this->guard.expired())) {
            co_return this->not_connected("timed out");
        }
        if(!connected) {
            co_return connected;
        }
        this->connections->count_connection();
        boost::system::error_code ignored{};
        this->socket->set_option(tcp::no_delay{true}, ignored);
        if(const auto timeout = this->connections->options().unacknowledged_timeout; timeout.count() > 0) {
            core::set_unacknowledged_timeout(*this->socket, timeout);
        }
        co_return core::result<void>{};
    }

    asio::awaitable<core::result<void>> connect_directly() {
        boost::system::error_code failure{};
        const auto address = asio::ip::make_address(this->target.address, failure);
        if(failure) {
            co_return core::fail(core::reason::invalid_argument, "'" + this->target.address + "' is no IP address");
        }
        const tcp::endpoint remote{address, this->target.port};
        co_await this->socket->async_connect(remote, asio::redirect_error(asio::use_awaitable, failure));
        if(failure) {
            co_return this->not_connected(failure.message());
        }
        co_return core::result<void>{};
    }

    [[nodiscard]] tl::unexpected<core::error> not_connected(const std::string& message) const {
        return core::fail(
            core::reason::connection_refused, "cannot connect to " + core::to_string(this->target) + ": " + message);
    }

    void detach() noexcept {
        if(this->control) {
            (*this->control).*(this->control_hook) = nullptr;
        }
    }

    /*! @brief Writes on the executor of the reader, as both use the socket: the socket's own has several threads. */
    void write_beside(const std::shared_ptr<beast_http::request<beast_http::string_body>>& outgoing,
        const asio::any_io_executor& executor) {
        this->writing = std::make_shared<pending_write>();
        // The write may continue after the stream has ended, until it finds the socket closed.
        auto finished = [outgoing, kept = this->socket, state = this->writing](
                            const boost::system::error_code& failure, std::size_t) {
            state->done = true;
            state->failure = failure;
        };
        beast_http::async_write(*this->socket, *outgoing, asio::bind_executor(executor, std::move(finished)));
    }

    /*! @brief Reads response heads until one belongs to the request, which has this method. */
    asio::awaitable<boost::system::error_code> read_head(std::string_view method, const exchange_options& options) {
        for(unsigned skipped{}; skipped <= foreign_heads_max; ++skipped) {
            this->parser.emplace();
            this->progress = {};
            this->body_bytes = 0u;
            // The fields of a response to HEAD describe a body that does not follow.
            this->parser->skip(method == head_method);
            this->parser->body_limit(options.body_limit_bytes.value_or(this->connections->options().body_limit_bytes));
            boost::system::error_code failure{};
            co_await beast_http::async_read_header(
                *this->socket, this->buffer, *this->parser, asio::redirect_error(asio::use_awaitable, failure));
            if(failure == beast_http::error::end_of_stream && !this->ended_orderly()) {
                failure = asio::error::make_error_code(asio::error::connection_reset);
            }
            if(failure) {
                co_return failure;
            }
            if(!is_valid_status(this->status())) {
                co_return beast_http::make_error_code(beast_http::error::bad_status);
            }
            this->head = copy_fields(this->parser->get());
            if(this->status() / 100u == 1u) {
                continue;
            }
            const auto framing = check_response_framing(this->head, this->parser->get().version());
            if(framing == response_framing::in_doubt) {
                co_return beast_http::make_error_code(beast_http::error::bad_transfer_encoding);
            }
            this->single_use = this->single_use || framing == response_framing::last_on_connection;
            if(!options.accepts || options.accepts(this->status(), this->head)) {
                co_return boost::system::error_code{};
            }
            while(!this->parser->is_done()) {
                if(const auto piece = co_await this->read(); !piece) {
                    co_return asio::error::make_error_code(asio::error::connection_aborted);
                }
            }
        }
        co_return asio::error::make_error_code(asio::error::connection_aborted);
    }

    /*! @brief Returns the idle time that the peer states, such as `timeout=5`. */
    [[nodiscard]] static std::optional<std::chrono::milliseconds> keep_alive_timeout(const fields& headers) {
        constexpr std::string_view key{"timeout="};
        const auto value = headers.find("keep-alive");
        const auto start = value ? value->find(key) : std::string_view::npos;
        if(start == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = value->substr(start + key.size());
        unsigned seconds{};
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if(parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        return std::chrono::seconds{seconds};
    }

    [[nodiscard]] tl::unexpected<core::error> lost(const boost::system::error_code& failure) {
        this->failed = true;
        if(this->connections->options().close_idle_after_loss) {
            this->connections->close_idle(this->target);
        }
        const auto cause = this->guard.expired()     ? core::reason::timeout
                           : is_no_response(failure) ? core::reason::protocol_error
                                                     : core::reason::connection_lost;
        auto message = core::to_string(this->target) + ": " + (this->guard.expired() ? "timed out" : failure.message());
        message += this->from_pool ? " on a reused connection" : "";
        return core::fail(cause, core::verdict::may_have_run, std::move(message));
    }

    /*! @brief Returns whether the end of the data that was read is an orderly end of the connection. */
    [[nodiscard]] bool ended_orderly() noexcept {
        return core::has_orderly_end(
            *this->socket, this->writing ? this->writing->failure : boost::system::error_code{});
    }

    /*! @brief Returns whether the peer has sent more than a response may have, one whose end is in doubt, or one with a
     * status that HTTP does not have. */
    [[nodiscard]] static bool is_no_response(const boost::system::error_code& failure) {
        return failure == beast_http::error::bad_transfer_encoding || failure == beast_http::error::buffer_overflow ||
               failure == beast_http::error::header_limit || failure == beast_http::error::body_limit ||
               failure == beast_http::error::bad_status || failure == asio::error::message_size;
    }

    /*! @brief Returns whether the whole response has been received. */
    [[nodiscard]] bool answered() const {
        return !this->failed && this->parser.has_value() && this->parser->is_done();
    }

    [[nodiscard]] bool reusable() const {
        const bool refused = this->parser.has_value() && this->status() >= 400u;
        return this->answered() && !this->single_use && !(this->closes_after_refusal && refused) &&
               !this->guard.expired() && this->socket->is_open() && this->parser->keep_alive() &&
               this->buffer.size() == 0u && (!this->writing || (this->writing->done && !this->writing->failure));
    }

    std::shared_ptr<connection_pool> connections;
    core::endpoint target;
    std::shared_ptr<tcp::socket> socket;
    expiry guard;
    /*! @brief Bounded: Beast looks for the end of a chunk header or a trailer without a limit of its own. */
    beast::flat_buffer buffer{read_buffer_limit};
    body_progress progress{};
    /*! @brief Bytes of the body read so far, without its framing. */
    std::size_t body_bytes{};
    std::optional<beast_http::response_parser<beast_http::buffer_body>> parser{};
    fields head{};
    std::shared_ptr<pending_write> writing{};
    std::shared_ptr<exchange_control> control{};
    std::function<void()> exchange_control::*control_hook{};
    bool from_pool{false};
    bool single_use{false};
    bool closes_after_refusal{false};
    bool failed{false};
};

client::client(client_options options) : connections{std::make_shared<connection_pool>(options)} {}

client::~client() = default;

void exchange_control::cancel() noexcept {
    this->stopped = true;
    if(this->close) {
        this->close();
    }
}

void client::close_stale_connections() {
    this->connections->close_stale();
}

std::size_t client::idle_connections() const {
    return this->connections->idle_connections();
}

std::uint64_t client::connections_made() const noexcept {
    return this->connections->connections_made();
}

asio::awaitable<core::result<std::unique_ptr<response_stream>>> client::open(
    core::endpoint target, request message, std::chrono::milliseconds timeout) {
    exchange_options options{};
    options.timeout = timeout;
    return this->open(std::move(target), std::move(message), std::move(options));
}

asio::awaitable<core::result<std::unique_ptr<response_stream>>> client::open(
    core::endpoint target, request message, exchange_options options) {
    if(!has_valid_head(message)) {
        co_return core::fail(core::reason::invalid_argument, "the target or a field of the request ends its line");
    }
    const auto executor = co_await asio::this_coro::executor;
    const bool safe = options.resend_safe && (message.method == "GET" || message.method == head_method);
    for(auto reuse_within = options.reuse_within;; reuse_within = {}) {
        auto opened = std::make_unique<stream>(this->connections, target, executor);
        if(options.control) {
            if(options.control->cancelled()) {
                co_return core::fail(core::reason::cancelled, "the exchange was cancelled before it was sent");
            }
            opened->attach(options.control, &exchange_control::close);
        }
        opened->start_timer(options.timeout);
        if(const auto connected = co_await opened->connect(reuse_within, options); !connected) {
            co_return tl::make_unexpected(connected.error());
        }
        const auto exchanged = co_await opened->exchange_heads(message, options);
        if(exchanged) {
            co_return std::unique_ptr<response_stream>{std::move(opened)};
        }
        if(!safe || !opened->reused() || exchanged.error().cause != core::reason::connection_lost) {
            co_return tl::make_unexpected(exchanged.error());
        }
    }
}

asio::awaitable<core::result<void>> client::preconnect(core::endpoint target) {
    const auto executor = co_await asio::this_coro::executor;
    stream opened{this->connections, std::move(target), executor};
    const exchange_options options{};
    auto connected = co_await opened.connect(std::chrono::milliseconds{0}, options);
    if(connected) {
        opened.release();
    }
    co_return connected;
}

asio::awaitable<core::result<response>> client::send(
    core::endpoint target, request message, std::chrono::milliseconds timeout) {
    exchange_options options{};
    options.timeout = timeout;
    return this->send(std::move(target), std::move(message), std::move(options));
}

asio::awaitable<core::result<response>> client::send(core::endpoint target, request message, exchange_options options) {
    auto opened = co_await this->open(std::move(target), std::move(message), std::move(options));
    if(!opened) {
        co_return tl::make_unexpected(std::move(opened.error()));
    }
    auto& source = **opened;
    response answer{.status = source.status(), .headers = source.headers()};
    while(true) {
        auto piece = co_await source.read();
        if(!piece) {
            co_return tl::make_unexpected(std::move(piece.error()));
        }
        if(piece->empty()) {
            co_return answer;
        }
        answer.body += *piece;
    }
}

} // namespace lagoonsaddle::http
