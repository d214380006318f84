#include <chrono>

#include <lagoonsaddle/edge/unanswered_nodes.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Several times the interval at which a node asks the readers that it knows. */
constexpr std::chrono::milliseconds record_lifetime{2'500};

} // namespace

void unanswered_nodes::record(std::string_view node, core::time_point now) {
    this->recorded_at[std::string{node}] = now;
}

void unanswered_nodes::remove(std::string_view node) {
    if(const auto found = this->recorded_at.find(node); found != this->recorded_at.end()) {
        this->recorded_at.erase(found);
    }
}

bool unanswered_nodes::contains(std::string_view node, core::time_point now) const {
    const auto found = this->recorded_at.find(node);
    return found != this->recorded_at.end() && now - found->second < record_lifetime;
}

} // namespace lagoonsaddle::edge
