#ifndef LAGOONSADDLE_STANDINS_CHANGE_LISTENER_HPP
#define LAGOONSADDLE_STANDINS_CHANGE_LISTENER_HPP

namespace lagoonsaddle::standins {

/*! @brief Interface for notification of a change of a model. */
class change_listener {
public:
    change_listener() = default;
    change_listener(const change_listener&) = delete;
    change_listener& operator=(const change_listener&) = delete;
    virtual ~change_listener() = default;

    /*! @brief Called while the lock of the model is held: must neither block nor call the model. */
    virtual void notify() = 0;
};

} // namespace lagoonsaddle::standins

#endif
