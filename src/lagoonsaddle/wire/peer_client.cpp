#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>
#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/internal_link.hpp>
#include <lagoonsaddle/wire/peer_client.hpp>

namespace lagoonsaddle::wire {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/*! @brief Frame of an exchange or the error that ends it. */
using answer_item = core::result<frame>;
using answer_queue = async_queue<answer_item>;
using link_pointer = std::shared_ptr<internal::link>;
using link_queue = async_queue<core::result<link_pointer>>;

constexpr std::size_t answer_queue_limit{65'536u};

struct open_answer {
    std::shared_ptr<answer_queue> queue{};
    std::uint64_t expected{};
};

[[nodiscard]] answer_item lost_answer(const char* message) {
    return core::fail(core::reason::connection_lost, core::verdict::may_have_run, message);
}

} // namespace

/*! @brief Time for all steps of one operation together. */
class peer_client::time_limit {
public:
    explicit time_limit(std::chrono::milliseconds timeout) : end{clock_type::now() + timeout} {}

    [[nodiscard]] std::chrono::milliseconds remaining() const {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(this->end - clock_type::now());
        return std::max(left, std::chrono::milliseconds{0});
    }

private:
    using clock_type = asio::steady_timer::clock_type;

    clock_type::time_point end;
};

class peer_client::state : public std::enable_shared_from_this<peer_client::state> {
public:
    state(asio::io_context& io, peer_client_options values) : context{io}, options{std::move(values)} {}

    /*! @brief Returns the open connection; makes it, or waits for the one that is being made, for `timeout` at most. */
    asio::awaitable<core::result<link_pointer>> connected(std::chrono::milliseconds timeout) {
        const auto self = this->shared_from_this();
        auto made = std::make_shared<link_queue>();
        bool is_first{};
        {
            const std::lock_guard lock{this->mutex};
            if(this->current && this->current->is_open()) {
                co_return this->current;
            }
            if(this->closed) {
                co_return core::fail(core::reason::connection_refused, "the connection was closed");
            }
            is_first = !std::exchange(this->connecting, true);
            this->waiting.push_back(made);
        }
        if(is_first) {
            // A task of its own: who asked first may give up before the connection is there, and others wait for it.
            asio::co_spawn(
                asio::make_strand(this->context), [self] { return self->make_connection(); },
                core::task_end{"peer_connect"});
        }
        auto outcome = co_await made->pop(timeout);
        if(!outcome) {
            co_return core::fail(core::reason::connection_refused,
                "no connection to " + core::to_string(this->options.target) + " in time");
        }
        co_return std::move(*outcome);
    }

    /**
     * @brief Checks that the peer knows a type of message, and waits for its greeting where that decides.
     * @param type Type of the message.
     * @param timeout Longest time to wait for the greeting.
     * @return Nothing; `unavailable` when the peer does not know the type, `timeout` when it has not greeted.
     */
    asio::awaitable<core::result<void>> check_known(message_type type, std::chrono::milliseconds timeout) {
        if(type <= baseline_message_type) {
            co_return core::result<void>{};
        }
        const auto self = this->shared_from_this();
        auto greeted = std::make_shared<async_queue<bool>>();
        {
            const std::lock_guard lock{this->mutex};
            if(this->newest_message) {
                co_return this->compare_newest(type);
            }
            this->waiting_for_greeting.push_back(greeted);
        }
        static_cast<void>(co_await greeted->pop(timeout));
        const std::lock_guard lock{this->mutex};
        co_return this->compare_newest(type);
    }

    [[nodiscard]] std::uint64_t add(const std::shared_ptr<answer_queue>& queue) {
        const std::lock_guard lock{this->mutex};
        const auto id = ++this->last_exchange;
        this->answers.emplace(id, open_answer{.queue = queue});
        return id;
    }

    void remove(std::uint64_t id) {
        const std::lock_guard lock{this->mutex};
        this->answers.erase(id);
    }

    void close() {
        std::shared_ptr<internal::link> open{};
        {
            const std::lock_guard lock{this->mutex};
            this->closed = true;
            open = this->current;
        }
        if(open) {
            open->stop();
        }
    }

    [[nodiscard]] peer_counters counters() const {
        const std::lock_guard lock{this->mutex};
        return this->counted;
    }

    [[nodiscard]] const peer_client_options& settings() const noexcept {
        return this->options;
    }

private:
    /*! @brief Must be called with the mutex locked. */
    [[nodiscard]] core::result<void> compare_newest(message_type type) const {
        if(!this->newest_message) {
            return core::fail(core::reason::timeout, "the peer has not greeted in time");
        }
        if(type > *this->newest_message) {
            return core::fail(core::reason::unavailable, "the peer does not know this type of message");
        }
        return {};
    }

    asio::awaitable<void> make_connection() {
        const auto outcome = co_await this->connect();
        std::vector<std::shared_ptr<link_queue>> resumed{};
        {
            const std::lock_guard lock{this->mutex};
            this->connecting = false;
            if(outcome) {
                this->current = *outcome;
                ++this->counted.connects;
            }
            resumed.swap(this->waiting);
        }
        for(const auto& other : resumed) {
            other->push(outcome);
        }
    }

    asio::awaitable<core::result<link_pointer>> connect() {
        boost::system::error_code failure{};
        const auto address = asio::ip::make_address(this->options.target.address, failure);
        if(failure) {
            co_return core::fail(core::reason::invalid_argument, "invalid peer address");
        }
        auto socket = std::make_shared<tcp::socket>(asio::make_strand(this->context));
        asio::steady_timer timer{co_await asio::this_coro::executor, this->options.connect_timeout};
        timer.async_wait([socket](const boost::system::error_code& cancelled) {
            if(!cancelled) {
                boost::system::error_code ignored{};
                socket->close(ignored);
            }
        });
        const tcp::endpoint remote{address, this->options.target.port};
        co_await socket->async_connect(remote, asio::redirect_error(asio::use_awaitable, failure));
        timer.cancel();
        if(failure || !socket->is_open()) {
            co_return core::fail(
                core::reason::connection_refused, "cannot connect to node at " + core::to_string(this->options.target) +
                                                      ": " + (failure ? failure.message() : std::string{"timed out"}));
        }
        auto made = std::make_shared<internal::link>(std::move(*socket));
        frame greeting{.type = message_type::hello, .body = pack(with_newest_message(this->options.self))};
        made->send(greeting);
        made->start([self = this->shared_from_this()](frame message) { return self->received(std::move(message)); },
            [self = this->shared_from_this()] { self->lost(); });
        co_return made;
    }

    bool received(frame message) {
        if(message.type == message_type::hello) {
            const auto greeting = unpack<hello>(message.body);
            if(!greeting || greeting->protocol != protocol_version) {
                return false;
            }
            this->greeted(*greeting);
            return true;
        }
        const std::lock_guard lock{this->mutex};
        const auto found = this->answers.find(message.exchange_id);
        if(found == this->answers.end()) {
            ++this->counted.unknown_exchange;
            return true;
        }
        auto& answer = found->second;
        if(message.sequence < answer.expected) {
            ++this->counted.repeated_frames;
            return true;
        }
        if(message.sequence > answer.expected) {
            ++this->counted.skipped_frames;
            answer.queue->push(core::fail(
                core::reason::protocol_error, core::verdict::may_have_run, "a frame of the answer is missing"));
            this->answers.erase(found);
            return true;
        }
        ++answer.expected;
        if(answer.queue->push(std::move(message)) > answer_queue_limit) {
            answer.queue->push(lost_answer("the answer is not read fast enough"));
            this->answers.erase(found);
        }
        return true;
    }

    void greeted(const hello& greeting) {
        std::vector<std::shared_ptr<async_queue<bool>>> resumed{};
        {
            const std::lock_guard lock{this->mutex};
            const auto stated = std::min(greeting.newest_message, static_cast<unsigned>(newest_message_type));
            this->newest_message = std::max(static_cast<message_type>(stated), baseline_message_type);
            resumed.swap(this->waiting_for_greeting);
        }
        for(const auto& other : resumed) {
            other->push(true);
        }
    }

    // Exchange ids are never reused, so that a late frame of an old connection cannot reach a new exchange.
    void lost() {
        std::unordered_map<std::uint64_t, open_answer> interrupted{};
        std::vector<std::shared_ptr<async_queue<bool>>> ungreeted{};
        {
            const std::lock_guard lock{this->mutex};
            interrupted.swap(this->answers);
            ungreeted.swap(this->waiting_for_greeting);
            // The peer may come back with another release.
            this->newest_message.reset();
        }
        for(const auto& [id, answer] : interrupted) {
            answer.queue->push(lost_answer("the connection to the owner node was lost"));
        }
        for(const auto& other : ungreeted) {
            other->push(false);
        }
    }

    asio::io_context& context;
    peer_client_options options;
    mutable std::mutex mutex{};
    link_pointer current{};
    std::vector<std::shared_ptr<link_queue>> waiting{};
    /*! @brief Newest type of message that the peer knows; nothing before its greeting. */
    std::optional<message_type> newest_message{};
    std::vector<std::shared_ptr<async_queue<bool>>> waiting_for_greeting{};
    std::unordered_map<std::uint64_t, open_answer> answers{};
    std::uint64_t last_exchange{};
    peer_counters counted{};
    bool connecting{false};
    bool closed{false};
};

class peer_client::open_exchange final : public exchange {
public:
    open_exchange(std::shared_ptr<state> client, std::shared_ptr<internal::link> connection,
        std::shared_ptr<answer_queue> incoming, std::uint64_t exchange_id)
        : origin{std::move(client)}, carrier{std::move(connection)}, queue{std::move(incoming)}, id{exchange_id} {}

    open_exchange(const open_exchange&) = delete;
    open_exchange& operator=(const open_exchange&) = delete;

    ~open_exchange() override {
        this->cancel();
        this->origin->remove(this->id);
    }

    [[nodiscard]] asio::awaitable<core::result<frame>> next(std::chrono::milliseconds timeout) override {
        auto item = co_await this->queue->pop(timeout);
        if(!item) {
            co_return core::fail(
                core::reason::timeout, core::verdict::may_have_run, "the owner node did not answer in time");
        }
        if(!*item || (*item)->type == message_type::answer_end) {
            this->ended = true;
        }
        co_return std::move(*item);
    }

    void cancel() override {
        if(!this->ended) {
            this->ended = true;
            const frame message{.type = message_type::cancel, .exchange_id = this->id, .sequence = 1u};
            this->carrier->send(message);
        }
    }

    void set_ended() noexcept {
        this->ended = true;
    }

private:
    std::shared_ptr<state> origin;
    std::shared_ptr<internal::link> carrier;
    std::shared_ptr<answer_queue> queue;
    std::uint64_t id;
    bool ended{false};
};

peer_client::peer_client(asio::io_context& context, peer_client_options options)
    : shared{std::make_shared<state>(context, std::move(options))} {}

peer_client::~peer_client() {
    this->shared->close();
}

asio::awaitable<core::result<std::shared_ptr<exchange>>> peer_client::open(message_type type, std::string body) {
    return this->open_within(type, std::move(body), time_limit{this->shared->settings().connect_timeout});
}

asio::awaitable<core::result<std::shared_ptr<exchange>>> peer_client::open_within(
    message_type type, std::string body, time_limit limit) {
    const auto origin = this->shared;
    // A link that closed between the look-up and the send did not take the frame, so that trying again is safe.
    for(int attempt{}; attempt < 2; ++attempt) {
        auto carrier = co_await origin->connected(limit.remaining());
        if(!carrier) {
            co_return tl::make_unexpected(std::move(carrier.error()));
        }
        if(auto known = co_await origin->check_known(type, limit.remaining()); !known) {
            co_return tl::make_unexpected(std::move(known.error()));
        }
        auto queue = std::make_shared<answer_queue>();
        const auto id = origin->add(queue);
        const frame message{.type = type, .exchange_id = id, .body = body};
        if((*carrier)->send(message)) {
            co_return std::make_shared<open_exchange>(origin, *carrier, std::move(queue), id);
        }
        origin->remove(id);
    }
    co_return core::fail(core::reason::connection_refused, "the connection to the owner node is closed");
}

asio::awaitable<core::result<frame>> peer_client::call(
    message_type type, std::string body, std::chrono::milliseconds timeout, std::optional<interim_frame> interim) {
    const time_limit limit{timeout};
    auto opened = co_await this->open_within(type, std::move(body), limit);
    if(!opened) {
        co_return tl::make_unexpected(std::move(opened.error()));
    }
    auto answer = co_await (*opened)->next(limit.remaining());
    while(interim && answer && answer->type == interim->type) {
        answer = co_await (*opened)->next(interim->timeout);
    }
    if(answer) {
        static_cast<open_exchange&>(**opened).set_ended();
    }
    co_return answer;
}

asio::awaitable<void> peer_client::notify(message_type type, std::string body) {
    const auto origin = this->shared;
    const time_limit limit{origin->settings().connect_timeout};
    const auto carrier = co_await origin->connected(limit.remaining());
    if(carrier && co_await origin->check_known(type, limit.remaining())) {
        const frame message{.type = type, .body = std::move(body)};
        (*carrier)->send(message);
    }
}

peer_counters peer_client::counters() const {
    return this->shared->counters();
}

void peer_client::close() {
    this->shared->close();
}

} // namespace lagoonsaddle::wire
