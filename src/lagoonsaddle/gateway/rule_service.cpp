#include <utility>

#include <glog/logging.h>

#include <lagoonsaddle/gateway/rule_service.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/rules/codec.hpp>

namespace lagoonsaddle::gateway {

rule_service::rule_service(const core::clock& clock)
    : clock{clock}, active_evaluator{std::make_shared<const rules::evaluator>(rules::rule_set{})} {}

void rule_service::apply(const platform::config_document& document) {
    const auto parsed = http::parse_json(document.current.value);
    if(!parsed) {
        LOG(ERROR) << "event=rules_rejected version=" << document.current.version << " error=\"not valid JSON\"";
        return;
    }
    auto decoded = rules::decode(*parsed);
    if(!decoded) {
        LOG(ERROR) << "event=rules_rejected version=" << document.current.version
                   << " path=" << decoded.error().front().path << " error=\"" << decoded.error().front().message << '"';
        return;
    }
    auto compiled = std::make_shared<const rules::evaluator>(std::move(*decoded));
    this->hit_counts.retain_rules(compiled->source_rules());
    const std::lock_guard lock{this->mutex};
    if(document.current.version > this->active_rules_version) {
        this->active_evaluator = std::move(compiled);
        this->active_rules_version = document.current.version;
    }
}

rule_decision rule_service::decide(const rules::request_attributes& facts, double rate_limit_share) {
    rule_decision decision{};
    {
        const std::lock_guard lock{this->mutex};
        decision.evaluator = this->active_evaluator;
        decision.rules_version = this->active_rules_version;
    }
    this->recent_facts.record(facts);
    auto evaluated = decision.evaluator->evaluate(facts);
    decision.priority = evaluated.priority;
    decision.version = std::move(evaluated.version);
    decision.outcome = evaluated.then;
    if(evaluated.rule_index) {
        decision.rule = decision.evaluator->source_rules().rules[*evaluated.rule_index].name;
        this->hit_counts.record(decision.rule, facts);
    }
    if(!evaluated.allowed) {
        decision.refusal = core::error{.cause = core::reason::refused_by_rule,
            .message = evaluated.reason.empty() ? "refused by rule " + decision.rule : std::move(evaluated.reason),
            .retry_after = evaluated.retry_after};
    } else if(evaluated.then != nullptr && evaluated.then->rate_limit) {
        const auto retry_delay = this->rate_limiter.try_acquire(
            decision.rule, *evaluated.then->rate_limit, facts.caller, rate_limit_share, this->clock.now());
        if(retry_delay) {
            decision.refusal = core::error{.cause = core::reason::rate_limited,
                .message = "rate limit of rule " + decision.rule,
                .retry_after = *retry_delay};
        }
    }
    return decision;
}

bool rule_service::is_drained(std::string_view upstream) const {
    return this->active_rules()->find_drain_rule(upstream, core::unix_time()).has_value();
}

std::shared_ptr<const rules::evaluator> rule_service::active_rules() const {
    const std::lock_guard lock{this->mutex};
    return this->active_evaluator;
}

std::uint64_t rule_service::active_version() const {
    const std::lock_guard lock{this->mutex};
    return this->active_rules_version;
}

} // namespace lagoonsaddle::gateway
