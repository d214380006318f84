#ifndef LAGOONSADDLE_CORE_BYTE_BUDGET_HPP
#define LAGOONSADDLE_CORE_BYTE_BUDGET_HPP

#include <atomic>
#include <cstddef>

namespace lagoonsaddle::core {

/*! @brief Limit of the bytes that a process holds for one purpose. Thread-safe. */
class byte_budget {
public:
    explicit byte_budget(std::size_t limit_bytes) noexcept : limit{limit_bytes} {}

    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;
    ~byte_budget() = default;

    /*! @brief Returns the bytes that are reserved. */
    [[nodiscard]] std::size_t reserved() const noexcept {
        return this->used.load(std::memory_order_relaxed);
    }

private:
    friend class byte_reservation;

    std::size_t limit;
    std::atomic<std::size_t> used{0u};
};

/*! @brief Bytes reserved from a budget, which it releases at its end. Not thread-safe. */
class byte_reservation {
public:
    /**
     * @brief Makes an empty reservation.
     * @param source The budget, which must outlive the reservation; null for no limit.
     */
    explicit byte_reservation(byte_budget* source) noexcept : budget{source} {}

    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;

    ~byte_reservation() {
        this->release();
    }

    /*! @brief Releases all bytes. */
    void release() noexcept {
        if(this->budget != nullptr) {
            this->budget->used.fetch_sub(this->held, std::memory_order_relaxed);
        }
        this->held = 0u;
    }

    /**
     * @brief Reserves further bytes.
     * @param bytes Number of bytes.
     * @return False, without a change, when the budget lacks them.
     */
    [[nodiscard]] bool add(std::size_t bytes) noexcept {
        if(this->budget == nullptr) {
            return true;
        }
        const auto before = this->budget->used.fetch_add(bytes, std::memory_order_relaxed);
        if(before + bytes > this->budget->limit) {
            this->budget->used.fetch_sub(bytes, std::memory_order_relaxed);
            return false;
        }
        this->held += bytes;
        return true;
    }

private:
    byte_budget* budget;
    std::size_t held{};
};

} // namespace lagoonsaddle::core

#endif
