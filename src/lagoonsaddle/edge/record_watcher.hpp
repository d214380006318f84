#ifndef LAGOONSADDLE_EDGE_RECORD_WATCHER_HPP
#define LAGOONSADDLE_EDGE_RECORD_WATCHER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/store_backoff.hpp>
#include <lagoonsaddle/wire/async_queue.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `record_watcher`. */
struct record_watcher_options {
    record_kind kind{record_kind::configuration};
    /*! @brief Maximum duration of one watch call; limits the time for which a dead connection goes unnoticed. */
    std::chrono::milliseconds watch_timeout{2'500};
    /*! @brief Shortest duration of a watch that follows records, whose duration is drawn: nodes receive records at the
     * same time, and connections that go silent then would be noticed by all nodes at the same late time. Nothing: each
     * watch has the full duration. */
    std::optional<std::chrono::milliseconds> drawn_timeout_min{};
    /*! @brief Seed of the drawn durations. */
    std::uint32_t seed{std::random_device{}()};
    /*! @brief Maximum duration of a watch after a failed call: one that begins before the store returns may never be
     * answered, and delays the next one. */
    std::chrono::milliseconds probe_timeout{1};
    /*! @brief Delay after a watch that returned changes, which the store bills one by one. */
    std::chrono::milliseconds delay_after_changes{0};
    /*! @brief Delay between the first list and the first watch, in which the node learns of its fleet, and so how fresh
     * its reads have to be. */
    std::chrono::milliseconds first_watch_delay{0};
    /*! @brief Shortest time until a list that could not be read to its end is read again; drawn up to half as long
     * again. */
    std::chrono::milliseconds truncated_list_interval{10'000};
    /*! @brief Called before each watch: how old its data may be. */
    std::function<freshness()> required_freshness{[] {
        return freshness::exact;
    }};
    /*! @brief Called before each exact watch: its maximum duration, unless the other options give a shorter one. */
    std::function<std::chrono::milliseconds()> exact_watch_limit{[] {
        return std::chrono::milliseconds::max();
    }};
};

/*! @brief Callbacks of `record_watcher`. */
class record_observer {
public:
    record_observer() = default;
    record_observer(const record_observer&) = delete;
    record_observer& operator=(const record_observer&) = delete;
    virtual ~record_observer() = default;

    /*! @brief Called with all records of a kind, or with those that could be read: see `record_page::truncated_after`.
     */
    virtual void on_list(record_kind kind, const record_page& page) = 0;

    /*! @brief Called with changed records. */
    virtual void on_changes(record_kind kind, const record_page& page) = 0;

    /**
     * @brief Called after the store's current data were read, when the records have been passed on.
     * @param kind Kind of the records.
     * @param begun Time at which the read began: the data are no older.
     */
    virtual void on_exact_read(record_kind kind, core::time_point begun) = 0;

    /*! @brief Called when the store responds again after failing for `outage`, before the records are passed on. */
    virtual void on_store_recovered(record_kind kind, core::duration outage) = 0;

    /*! @brief Called when a watch was not answered at all, as on a connection that has gone silent. */
    virtual void on_watch_silent(record_kind kind) = 0;

    /*! @brief Called when the store was restored from a copy that may lack records, before they are listed again. */
    virtual void on_store_restored(record_kind kind) = 0;
};

/**
 * @brief Keeps the records of one kind up to date.
 *
 * Lists the records once and then watches for changes. Lists again when the store no longer has the history, and when
 * it was restored from a copy: its revisions go back, so that a watch from the last revision would skip changes. A list
 * that could not be read to its end is used as far as it goes and read again from time to time.
 */
class record_watcher {
public:
    /**
     * @brief Creates a watcher. All references must outlive `run`.
     * @param store The platform's store.
     * @param observer Receives the records.
     * @param shared_backoff Delays calls after a failure; shared by the watchers of the node.
     * @param runtime_clock Runtime clock.
     * @param log Receives the beginning and the end of outages of the store.
     * @param options Options.
     */
    record_watcher(record_store& store, record_observer& observer, store_backoff& shared_backoff,
        const core::clock& runtime_clock, log_sink& log, record_watcher_options options);

    /*! @brief Runs until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    /**
     * @brief Reads the changes that have not been passed on yet from the store's current data, and leaves them to
     * `run`.
     * @return The changes; `unavailable` before the first list, `conflict` when they cannot be told, or another error.
     */
    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> read_ahead();

    /**
     * @brief Gives up the watch that is open, if there is one, and begins a short one: what silenced the connection of
     * another watch may have silenced this one's. Does nothing after a failed call, which is retried anyway.
     */
    void begin_anew();

    [[nodiscard]] record_kind kind() const noexcept {
        return this->settings.kind;
    }

    /*! @brief Returns whether the last call failed. */
    [[nodiscard]] bool is_failing() const noexcept {
        return this->failing_since.has_value();
    }

    /*! @brief Returns the time of the last successful call, or nothing before the first one. */
    [[nodiscard]] std::optional<core::time_point> last_success() const noexcept {
        return this->last_success_at;
    }

    /*! @brief Returns whether the last list has shown all records. */
    [[nodiscard]] bool has_complete_list() const noexcept {
        return !this->list_again_at.has_value();
    }

private:
    /*! @brief Returns whether the next call is a list. */
    [[nodiscard]] bool is_list_due() const;
    /*! @brief Remembers whether a list has to be read again. */
    void check_end(const record_page& page);
    /*! @brief Returns the maximum duration of the next watch. */
    [[nodiscard]] std::chrono::milliseconds next_watch_timeout(freshness required);

    /*! @brief Result of a call; nothing when the watch was given up. */
    using fetched_page = std::optional<core::result<record_page>>;
    using call_queue = wire::async_queue<fetched_page>;

    /*! @brief How a call reads the store. */
    struct call_kind {
        bool is_list{};
        freshness required{freshness::exact};
        core::time_point begun{};
    };

    /*! @brief Lists or watches the records. Sets `call` to how it has done so. */
    [[nodiscard]] boost::asio::awaitable<fetched_page> fetch_records(call_kind& call);
    /*! @brief Makes one watch call and passes on its result. */
    [[nodiscard]] boost::asio::awaitable<void> watch(std::uint64_t revision, std::chrono::milliseconds timeout,
        freshness required, std::shared_ptr<call_queue> call);
    void handle_failure(const core::error& failure, bool is_list, core::duration elapsed);
    void handle_success();
    /*! @brief Passes on the records of a page; returns the delay until the next call. */
    [[nodiscard]] std::chrono::milliseconds apply_page(const record_page& page, const call_kind& call);
    /*! @brief Passes on the records of a page that belongs to the epoch of the last one. */
    [[nodiscard]] std::chrono::milliseconds pass_on(const record_page& page, bool is_list, bool is_first);
    void handle_restore(const record_page& page);

    record_store& store;
    record_observer& observer;
    store_backoff& backoff;
    const core::clock& clock;
    log_sink& log;
    record_watcher_options settings;
    std::minstd_rand random;
    std::optional<std::uint64_t> last_revision{};
    /*! @brief When the list is read again that could not be read to its end; nothing when the last one could. */
    std::optional<core::time_point> list_again_at{};
    /*! @brief Epoch of the store in the last page; nothing before the first one. */
    std::optional<std::uint64_t> last_epoch{};
    std::optional<core::time_point> last_success_at{};
    std::optional<core::time_point> failing_since{};
    /*! @brief Receives the result of the watch that is open; null while there is none. */
    std::shared_ptr<call_queue> open_call{};
    /*! @brief Whether the last watch was given up; the next one is short. */
    bool connection_suspected{false};
    /*! @brief Whether the last page held records, which other nodes received at the same time. */
    bool received_records{false};
    /*! @brief Whether the last watch found that the store no longer has the history. */
    bool history_gone{false};
};

} // namespace lagoonsaddle::edge

#endif
