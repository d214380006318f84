#include <lagoonsaddle/core/signal_hold.hpp>

namespace lagoonsaddle::core {

signal_hold::signal_hold(std::initializer_list<int> signals) noexcept {
    sigemptyset(&this->held);
    for(const int signal : signals) {
        sigaddset(&this->held, signal);
    }
    pthread_sigmask(SIG_BLOCK, &this->held, nullptr);
}

signal_hold::~signal_hold() {
    this->release();
}

void signal_hold::release() noexcept {
    pthread_sigmask(SIG_UNBLOCK, &this->held, nullptr);
}

} // namespace lagoonsaddle::core
