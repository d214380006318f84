// Decides whether a request may be sent at all, by its route, its tenant and what is known of its content.
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <lagoonsaddle/edge/internal_exchange.hpp>

namespace lagoonsaddle::edge {

namespace asio = boost::asio;

using internal::retry_after_overload;

namespace {

/*! @brief Retry-After time while the configuration is not confirmed, which peers are asked for at shorter intervals. */
constexpr std::chrono::milliseconds retry_after_unconfirmed{500};

[[nodiscard]] core::error quarantined_request_error() {
    return core::error{.cause = core::reason::quarantined,
        .message = "the request is quarantined because upstreams crashed while running it"};
}

/*! @brief Returns the error of a request that is refused for a part of its prompt, or nothing. */
[[nodiscard]] std::optional<core::error> to_error(const prompt_part_decision& decision) {
    if(decision.admission != prompt_part_admission::refused) {
        return std::nullopt;
    }
    return core::error{.cause = core::reason::quarantined,
        .message = "upstreams crashed on requests with the prompt part " + decision.part,
        .retry_after = decision.retry_after};
}

/*! @brief Returns what a request counts for in the quota of its tenant. */
[[nodiscard]] double quota_units(const tenant_quota& quota, const request_metadata& metadata) noexcept {
    if(quota.unit == quota_unit::requests) {
        return 1.0;
    }
    return metadata.tokens_stated
               ? static_cast<double>(metadata.prompt_tokens) + static_cast<double>(metadata.output_tokens)
               : static_cast<double>(quota.default_tokens);
}

/*! @brief Charges a tenant for a request; keeps the configuration that the tenant belongs to. */
[[nodiscard]] asio::awaitable<core::result<quota_charge>> admit_to_quota(quota_service& quotas,
    [[maybe_unused]] route_table::configuration_type config, const tenant& owner, double units, unsigned priority) {
    co_return co_await quotas.admit(owner, units, priority);
}

} // namespace

bool forwarder::is_quarantined(const exchange_state& state) const {
    if(this->context.quarantine.classify(state.digest) != policy::quarantine_status::quarantined) {
        return false;
    }
    const auto record = this->context.quarantine.find_record(state.digest);
    return record && this->context.verifier.confirms_quarantine(*record, this->context.upstreams, core::unix_time());
}

std::optional<core::error> forwarder::admit_content(exchange_state& state) {
    if(this->is_quarantined(state)) {
        return quarantined_request_error();
    }
    const auto decision = this->context.prompt_parts.admit(state.metadata.shared_parts);
    state.probes_prompt_part = decision.admission == prompt_part_admission::probe;
    return to_error(decision);
}

std::optional<core::error> forwarder::review_content(const exchange_state& state) const {
    if(this->is_quarantined(state)) {
        return quarantined_request_error();
    }
    return to_error(this->context.prompt_parts.review(state.metadata.shared_parts));
}

std::optional<core::error> forwarder::match_route(exchange_state& state) const {
    const auto known = this->context.configuration.state();
    if(!state.config || known == configuration_state::unknown) {
        return core::error{.cause = core::reason::unavailable,
            .message = "the node does not know the configuration in force yet",
            .retry_after = retry_after_overload};
    }
    state.matched_route =
        this->context.routes.find(state.request.headers.find("host").value_or(""), state.request.target);
    if(state.matched_route != nullptr) {
        return std::nullopt;
    }
    if(known == configuration_state::behind) {
        return core::error{.cause = core::reason::unavailable,
            .message = "no route matches the host and path, but a newer configuration is in force",
            .retry_after = retry_after_overload};
    }
    return core::error{.cause = core::reason::not_found, .message = "no route matches the host and path"};
}

std::optional<core::error> forwarder::check_confirmation() {
    if(this->context.confirmation == nullptr || this->context.confirmation->permits(this->context.clock.now())) {
        return std::nullopt;
    }
    ++this->unconfirmed_count;
    this->context.metrics
        .counter("lagoonsaddle_edge_unconfirmed_refusals_total",
            "Requests refused because the configuration was not known to be the newest one.")
        .add();
    return core::error{.cause = core::reason::unavailable,
        .message = "it is not known whether the key is still valid",
        .retry_after = retry_after_unconfirmed};
}

std::optional<core::error> forwarder::identify_tenant(exchange_state& state) {
    if(!state.config->tenants) {
        return std::nullopt;
    }
    state.sender = this->tenants.find(state.config, state.metadata.api_key);
    if(state.sender == nullptr && state.matched_route->anonymous) {
        return std::nullopt;
    }
    // A key that is not known may have been added since.
    if(!state.metadata.api_key.empty()) {
        if(auto failure = this->check_confirmation()) {
            return failure;
        }
    }
    if(state.sender != nullptr) {
        return std::nullopt;
    }
    if(this->context.configuration.state() == configuration_state::behind) {
        return core::error{.cause = core::reason::unavailable,
            .message = "no tenant holds the key, but a newer configuration is in force",
            .retry_after = retry_after_overload};
    }
    return core::error{.cause = core::reason::unauthorized, .message = "no tenant holds the key"};
}

asio::awaitable<std::optional<core::error>> forwarder::charge_quota(exchange_state& state) {
    const auto units = quota_units(state.sender->quota, state.metadata);
    if(units <= 0.0) {
        co_return std::nullopt;
    }
    auto admission = admit_to_quota(this->context.quotas, state.config, *state.sender, units, state.priority());
    std::function<void(core::result<quota_charge>)> release = [quotas = &this->context.quotas](
                                                                  const core::result<quota_charge>& late) {
        if(late) {
            quotas->credit(*late);
        }
    };
    auto charged = co_await this->wait_until_send_limit(state, std::move(admission), std::move(release));
    if(!charged) {
        co_return this->past_send_limit_error(state);
    }
    if(!*charged) {
        co_return std::move(charged->error());
    }
    state.charge = std::move(**charged);
    co_return std::nullopt;
}

void forwarder::credit_quota(const exchange_state& state) {
    const bool was_sent = state.head_sent || state.sends > 0u || state.possible_runs > 0u || !state.refused_at.empty();
    if(state.charge && !was_sent) {
        this->context.quotas.credit(*state.charge);
    }
}

} // namespace lagoonsaddle::edge
