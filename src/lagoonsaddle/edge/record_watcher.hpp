#ifndef LAGOONSADDLE_EDGE_RECORD_WATCHER_HPP
#define LAGOONSADDLE_EDGE_RECORD_WATCHER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include <lagoonsaddle/core/clock.hpp>
#include <lagoonsaddle/edge/decision_log.hpp>
#include <lagoonsaddle/edge/protocol.hpp>
#include <lagoonsaddle/edge/store_backoff.hpp>

namespace lagoonsaddle::edge {

/*! @brief Options of `record_watcher`. */
struct record_watcher_options {
    record_kind kind{record_kind::configuration};
    /*! @brief Longest wait of one watch call; bounds the time for which a silent connection goes unnoticed. */
    std::chrono::milliseconds wait{2'500};
    /*! @brief Time between two calls that returned changes, which are priced one by one. */
    std::chrono::milliseconds spacing{0};
    /*! @brief Decides for each watch how old its data may be. */
    std::function<freshness()> age{[] {
        return freshness::exact;
    }};
};

/*! @brief Receives the records of one kind. */
class record_observer {
public:
    record_observer() = default;
    record_observer(const record_observer&) = delete;
    record_observer& operator=(const record_observer&) = delete;
    virtual ~record_observer() = default;

    /*! @brief Takes over a complete list. */
    virtual void listed(record_kind kind, const record_page& page) = 0;

    /*! @brief Takes over changes. */
    virtual void changed(record_kind kind, const record_page& page) = 0;

    /*! @brief The store answers again after calls failed for `outage`. Called before the records. */
    virtual void store_returned(record_kind kind, core::duration outage) = 0;
};

/*! @brief Keeps the records of one kind up to date: one list, then watches; a list again when the history is gone. */
class record_watcher {
public:
    /**
     * @brief Makes a watcher. All references must outlive `run`.
     * @param store The platform's store.
     * @param observer Receives the records.
     * @param clock Runtime clock.
     * @param log Receives losses and returns of the store.
     * @param options Options.
     */
    record_watcher(record_store& store, record_observer& observer, store_backoff& gate, const core::clock& clock,
        log_sink& log, record_watcher_options options);

    /*! @brief Runs until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    [[nodiscard]] record_kind kind() const noexcept {
        return this->settings.kind;
    }

    /*! @brief Returns the time of the last answer of the store, or nothing before the first one. */
    [[nodiscard]] std::optional<core::time_point> last_answer() const noexcept {
        return this->answered;
    }

private:
    [[nodiscard]] boost::asio::awaitable<core::result<record_page>> fetch(bool& complete);
    void note_failure(const core::error& failure);
    void note_success();

    record_store& store;
    record_observer& observer;
    store_backoff& outage;
    const core::clock& time;
    log_sink& log;
    record_watcher_options settings;
    std::optional<std::uint64_t> revision{};
    std::optional<core::time_point> answered{};
    std::optional<core::time_point> failing_since{};
};

} // namespace lagoonsaddle::edge

#endif
