#ifndef LAGOONSADDLE_CORE_SIGNAL_HOLD_HPP
#define LAGOONSADDLE_CORE_SIGNAL_HOLD_HPP

#include <csignal>
#include <initializer_list>

namespace lagoonsaddle::core {

/**
 * @brief Keeps signals of the calling thread pending until their handlers are registered.
 *
 * A signal that comes before would end the process. Create it before other threads start.
 */
class signal_hold {
public:
    /*! @brief Holds signals, such as SIGTERM. */
    explicit signal_hold(std::initializer_list<int> signals) noexcept;
    signal_hold(const signal_hold&) = delete;
    signal_hold& operator=(const signal_hold&) = delete;

    /*! @brief Releases the signals, as `release` does. */
    ~signal_hold();

    /*! @brief Lets pending and later signals reach the process, also when whoever started it had blocked them. */
    void release() noexcept;

private:
    sigset_t held{};
};

} // namespace lagoonsaddle::core

#endif
