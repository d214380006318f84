#ifndef LAGOONSADDLE_EDGE_INTERNAL_PLACEMENT_HPP
#define LAGOONSADDLE_EDGE_INTERNAL_PLACEMENT_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/edge/placement_service.hpp>

namespace lagoonsaddle::edge {

/*! @brief A request among those that wait for loads; removed from them at its end, also by an exception. */
class placement_service::admission_ticket {
public:
    admission_ticket() = default;
    admission_ticket(const admission_ticket&) = delete;
    admission_ticket& operator=(const admission_ticket&) = delete;

    ~admission_ticket() {
        if(this->admission != nullptr) {
            this->admission->remove_request(this->number);
        }
    }

    void set(std::shared_ptr<load_admission> owner, load_admission::ticket_type ticket) noexcept {
        this->admission = std::move(owner);
        this->number = ticket;
    }

    [[nodiscard]] bool is_set() const noexcept {
        return this->admission != nullptr;
    }

    [[nodiscard]] std::optional<load_refusal> find_refusal(core::time_point now) const {
        return this->admission == nullptr ? std::nullopt : this->admission->find_refusal(this->number, now);
    }

private:
    /*! @brief Shared, because a coroutine may be destroyed after the service. */
    std::shared_ptr<load_admission> admission{};
    load_admission::ticket_type number{};
};

/*! @brief Order of the loads of one upstream by the admission of its availability zone. */
class placement_service::upstream_load_gate final : public load_gate {
public:
    upstream_load_gate(load_admission& owner, std::string name, core::time_point time)
        : admission{owner}, upstream{std::move(name)}, now{time} {}

    [[nodiscard]] std::size_t position(std::string_view key) override {
        return this->admission.position(this->key_of(key), this->now);
    }

    [[nodiscard]] bool may_evict_for(std::string_view key) override {
        return this->admission.may_evict_for(this->key_of(key), this->now);
    }

    [[nodiscard]] bool begin_load(std::string_view key) override {
        return this->admission.begin_load(this->key_of(key), this->now);
    }

private:
    [[nodiscard]] load_key key_of(std::string_view key) const {
        return {.upstream = this->upstream, .adapter = std::string{key}};
    }

    load_admission& admission;
    std::string upstream;
    core::time_point now;
};

} // namespace lagoonsaddle::edge

#endif
