#include <algorithm>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <lagoonsaddle/core/task.hpp>
#include <lagoonsaddle/journal/claim_journal.hpp>

namespace lagoonsaddle::journal {

namespace asio = boost::asio;

namespace {

[[nodiscard]] std::string generate_claim_id() {
    auto text = boost::uuids::to_string(boost::uuids::random_generator{}());
    std::erase(text, '-');
    return text;
}

[[nodiscard]] core::result<void> discard_value(core::result<claim_result> value) {
    if(!value) {
        return tl::make_unexpected(std::move(value.error()));
    }
    return {};
}

} // namespace

/*! @brief Runs the state machine of one shard: its lock, its calls to the object API and its timer. */
class claim_journal::shard_runner : public std::enable_shared_from_this<shard_runner> {
public:
    using result_type = core::result<claim_result>;
    using operation_type = std::function<void(claim_shard&, claim_shard::operation_id, core::time_point)>;

    shard_runner(const asio::any_io_executor& executor, platform::object_store& store, const core::clock& clock_source,
        std::string name, claim_shard_options options, const claimant_liveness* liveness)
        : strand{asio::make_strand(executor)},
          timer{this->strand},
          objects{store},
          clock{clock_source},
          object_name{std::move(name)},
          state{options, liveness} {}

    /*! @brief Adds an operation to the shard and waits for its result. */
    [[nodiscard]] asio::awaitable<result_type> submit(operation_type operation) {
        auto initiation = [self = this->shared_from_this(), submitted = std::move(operation)](auto handler) {
            auto shared_handler = std::make_shared<decltype(handler)>(std::move(handler));
            self->add_operation(submitted, [shared_handler](result_type value) {
                auto executor = asio::get_associated_executor(*shared_handler);
                asio::post(executor, [shared_handler, result = std::move(value)]() mutable {
                    std::move (*shared_handler)(std::move(result));
                });
            });
        };
        return asio::async_initiate<const asio::use_awaitable_t<>&, void(result_type)>(
            std::move(initiation), asio::use_awaitable);
    }

    [[nodiscard]] journal_counters counters() const {
        const std::lock_guard lock{this->mutex};
        return this->state.counters();
    }

    void stop() {
        {
            const std::lock_guard lock{this->mutex};
            this->stopped = true;
            this->state.shut_down();
        }
        this->process_events();
    }

private:
    using completion_handler = std::function<void(result_type)>;

    void add_operation(const operation_type& operation, completion_handler handler) {
        {
            const std::lock_guard lock{this->mutex};
            const auto id = ++this->last_operation_id;
            this->completion_handlers.emplace(id, std::move(handler));
            operation(this->state, id, this->clock.now());
            if(this->stopped) {
                this->state.shut_down();
            }
        }
        this->process_events();
    }

    /*! @brief Expires operations, starts the next call, completes finished operations and sets the timer. */
    void process_events() {
        std::optional<claim_shard::store_call> call{};
        std::vector<std::pair<completion_handler, result_type>> completed{};
        bool wakeup_changed{false};
        {
            const std::lock_guard lock{this->mutex};
            const auto now = this->clock.now();
            this->state.expire(now);
            if(!this->stopped) {
                call = this->state.next_call(now);
            }
            for(auto& completion : this->state.take_completions()) {
                if(auto found = this->completion_handlers.extract(completion.id); !found.empty()) {
                    completed.emplace_back(std::move(found.mapped()), std::move(completion.result));
                }
            }
            const auto wakeup = this->stopped ? std::nullopt : this->state.next_wakeup();
            if(wakeup && (!this->timer_expiry || *wakeup < *this->timer_expiry)) {
                this->timer_expiry = wakeup;
                wakeup_changed = true;
            }
        }
        if(call) {
            asio::co_spawn(
                this->strand, perform_call(this->shared_from_this(), std::move(*call)), core::task_end{"claim_call"});
        }
        if(wakeup_changed) {
            asio::post(this->strand, [self = this->shared_from_this()] { self->arm_timer(); });
        }
        for(auto& [handler, result] : completed) {
            handler(std::move(result));
        }
    }

    static asio::awaitable<void> perform_call(std::shared_ptr<shard_runner> self, claim_shard::store_call call) {
        if(auto* write = std::get_if<claim_shard::write_call>(&call); write != nullptr) {
            auto name = self->object_name;
            const auto value = co_await self->objects.put(std::move(name), std::move(write->body), write->expected);
            const std::lock_guard lock{self->mutex};
            self->state.on_write(value, self->clock.now());
        } else {
            auto name = self->object_name;
            const auto known = std::get<claim_shard::read_call>(call).known;
            const auto value = co_await self->objects.get(std::move(name), known);
            const std::lock_guard lock{self->mutex};
            self->state.on_read(value, self->clock.now());
        }
        self->process_events();
    }

    /*! @brief Sets the timer to the earliest wakeup, as calls of several threads may arrive in any order. Must run on
     * the strand. */
    void arm_timer() {
        core::duration delay{};
        {
            const std::lock_guard lock{this->mutex};
            if(!this->timer_expiry) {
                return;
            }
            delay = *this->timer_expiry - this->clock.now();
        }
        this->timer.expires_after(std::max(delay, core::duration::zero()));
        this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& failure) {
            const auto self = weak.lock();
            if(failure || !self) {
                return;
            }
            {
                const std::lock_guard lock{self->mutex};
                self->timer_expiry.reset();
            }
            self->process_events();
        });
    }

    asio::strand<asio::any_io_executor> strand;
    asio::steady_timer timer;
    platform::object_store& objects;
    const core::clock& clock;
    std::string object_name;
    mutable std::mutex mutex{};
    claim_shard state;
    std::unordered_map<claim_shard::operation_id, completion_handler> completion_handlers{};
    claim_shard::operation_id last_operation_id{};
    std::optional<core::time_point> timer_expiry{};
    bool stopped{false};
};

claim_journal::claim_journal(const asio::any_io_executor& executor, platform::object_store& objects,
    const core::clock& clock, claim_journal_options options, const claimant_liveness* liveness) {
    for(std::size_t index{}; index < std::max<std::size_t>(options.shards, 1u); ++index) {
        this->shards.push_back(std::make_shared<shard_runner>(
            executor, objects, clock, shard_object_name(index), options.shard, liveness));
    }
}

claim_journal::~claim_journal() {
    this->stop();
}

asio::awaitable<core::result<claim_result>> claim_journal::claim(claim_request request) {
    if(request.claim_id.empty()) {
        request.claim_id = generate_claim_id();
    }
    const auto runner = this->shards[shard_index(request.key, this->shards.size())];
    shard_runner::operation_type operation = [claim = std::move(request)](claim_shard& state,
                                                 claim_shard::operation_id id, core::time_point now) {
        state.claim(id, claim, now);
    };
    return runner->submit(std::move(operation));
}

asio::awaitable<core::result<void>> claim_journal::store_outcome(
    std::string key, std::string claim_id, outcome value, wall_time now) {
    const auto runner = this->shards[shard_index(key, this->shards.size())];
    shard_runner::operation_type operation = [key = std::move(key), claim_id = std::move(claim_id),
                                                 value = std::move(value), now](
                                                 claim_shard& state, claim_shard::operation_id id, core::time_point) {
        state.store_outcome(id, key, claim_id, value, now);
    };
    auto result = co_await runner->submit(std::move(operation));
    co_return discard_value(std::move(result));
}

asio::awaitable<core::result<void>> claim_journal::release(std::string key, std::string claim_id, wall_time now) {
    const auto runner = this->shards[shard_index(key, this->shards.size())];
    shard_runner::operation_type operation = [key = std::move(key), claim_id = std::move(claim_id), now](
                                                 claim_shard& state, claim_shard::operation_id id, core::time_point) {
        state.release(id, key, claim_id, now);
    };
    auto result = co_await runner->submit(std::move(operation));
    co_return discard_value(std::move(result));
}

asio::awaitable<core::result<outcome>> claim_journal::wait_for_outcome(
    std::string key, core::time_point deadline, wall_time now) {
    const auto runner = this->shards[shard_index(key, this->shards.size())];
    shard_runner::operation_type operation = [key = std::move(key), deadline, now](
                                                 claim_shard& state, claim_shard::operation_id id, core::time_point) {
        state.wait_for_outcome(id, key, deadline, now);
    };
    auto result = co_await runner->submit(std::move(operation));
    if(!result) {
        co_return tl::make_unexpected(std::move(result.error()));
    }
    co_return std::move(*result->first_outcome);
}

journal_counters claim_journal::counters() const {
    journal_counters total{};
    for(const auto& counters : this->shard_counters()) {
        total.claims += counters.claims;
        total.claimed += counters.claimed;
        total.repeated += counters.repeated;
        total.refused += counters.refused;
        total.finished += counters.finished;
        total.released += counters.released;
        total.reads += counters.reads;
        total.writes += counters.writes;
        total.conflicts += counters.conflicts;
        total.unknown_writes += counters.unknown_writes;
        total.failures += counters.failures;
        total.bytes_written += counters.bytes_written;
        total.backlog += counters.backlog;
        total.entries = std::max(total.entries, counters.entries);
        total.object_bytes = std::max(total.object_bytes, counters.object_bytes);
    }
    return total;
}

std::vector<journal_counters> claim_journal::shard_counters() const {
    std::vector<journal_counters> counters{};
    counters.reserve(this->shards.size());
    for(const auto& runner : this->shards) {
        counters.push_back(runner->counters());
    }
    return counters;
}

void claim_journal::stop() {
    for(const auto& runner : this->shards) {
        runner->stop();
    }
}

} // namespace lagoonsaddle::journal
