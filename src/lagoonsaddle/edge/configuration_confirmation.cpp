#include <algorithm>
#include <utility>

#include <lagoonsaddle/edge/configuration_confirmation.hpp>

namespace lagoonsaddle::edge {

namespace {

/*! @brief Largest share of the bound that the margin takes, as a divisor. */
constexpr int margin_divisor{4};

/*! @brief Replaces a read by one that began later. */
void keep_later(std::optional<confirmed_read>& kept, confirmed_read read) {
    if(!kept || read.moment > kept->moment) {
        kept = std::move(read);
    }
}

} // namespace

configuration_confirmation::configuration_confirmation(confirmation_options options) : settings{options} {}

void configuration_confirmation::record(confirmed_read read, std::uint64_t own_version) {
    keep_later(read.version <= own_version ? this->confirmed : this->pending, std::move(read));
}

void configuration_confirmation::apply_version(std::uint64_t own_version) {
    if(this->pending && this->pending->version <= own_version) {
        keep_later(this->confirmed, std::move(*this->pending));
        this->pending.reset();
    }
}

std::optional<core::duration> configuration_confirmation::age(core::time_point now) const noexcept {
    if(!this->confirmed) {
        return std::nullopt;
    }
    return std::max(now - this->confirmed->moment, core::duration{0});
}

std::chrono::milliseconds configuration_confirmation::age_limit() const noexcept {
    return this->settings.bound - std::min(this->settings.margin, this->settings.bound / margin_divisor);
}

bool configuration_confirmation::permits(core::time_point now) const noexcept {
    const auto elapsed = this->age(now);
    return !this->is_required() || (elapsed && *elapsed < this->age_limit());
}

} // namespace lagoonsaddle::edge
