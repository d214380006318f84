#ifndef LAGOONSADDLE_WIRE_CANCEL_SIGNAL_HPP
#define LAGOONSADDLE_WIRE_CANCEL_SIGNAL_HPP

#include <functional>
#include <mutex>
#include <utility>

namespace lagoonsaddle::wire {

/*! @brief Calls back once when something is cancelled, also when that happened before. Thread-safe. */
class cancel_signal {
public:
    /**
     * @brief Registers the callback, and calls it at once after a cancellation.
     * @param callback Called at most once, from any thread.
     */
    void on_cancel(std::function<void()> callback) {
        {
            const std::lock_guard lock{this->mutex};
            if(!this->cancelled) {
                this->callback = std::move(callback);
                return;
            }
        }
        callback();
    }

    /*! @brief Cancels; later calls do nothing. */
    void cancel() {
        std::function<void()> waiting{};
        {
            const std::lock_guard lock{this->mutex};
            this->cancelled = true;
            waiting = std::exchange(this->callback, nullptr);
        }
        if(waiting) {
            waiting();
        }
    }

private:
    std::mutex mutex{};
    std::function<void()> callback{};
    bool cancelled{false};
};

} // namespace lagoonsaddle::wire

#endif
