#include <utility>

#include <glog/logging.h>

#include <lagoonsaddle/gateway/rule_service.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/rules/codec.hpp>

namespace lagoonsaddle::gateway {

rule_service::rule_service(const core::clock& clock)
    : time{clock}, in_force{std::make_shared<const rules::evaluator>(rules::rule_set{})} {}

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
    this->counter.retain_rules(compiled->source_rules());
    const std::lock_guard lock{this->mutex};
    if(document.current.version > this->in_force_version) {
        this->in_force = std::move(compiled);
        this->in_force_version = document.current.version;
    }
}

rule_verdict rule_service::decide(const rules::request_attributes& facts, double share) {
    rule_verdict verdict{};
    {
        const std::lock_guard lock{this->mutex};
        verdict.source = this->in_force;
        verdict.rules_version = this->in_force_version;
    }
    this->requests.record(facts);
    auto decision = verdict.source->evaluate(facts);
    verdict.priority = decision.priority;
    verdict.version = std::move(decision.version);
    verdict.then = decision.then;
    if(decision.rule_index) {
        verdict.rule = verdict.source->source_rules().rules[*decision.rule_index].name;
        this->counter.record(verdict.rule, facts);
    }
    if(!decision.allowed) {
        verdict.refusal = core::error{.cause = core::reason::refused_by_rule,
            .message = decision.reason.empty() ? "refused by rule " + verdict.rule : std::move(decision.reason),
            .retry_after = decision.retry_after};
    } else if(decision.then != nullptr && decision.then->rate_limit) {
        const auto wait =
            this->limiter.try_acquire(verdict.rule, *decision.then->rate_limit, facts.caller, share, this->time.now());
        if(wait) {
            verdict.refusal = core::error{.cause = core::reason::rate_limited,
                .message = "rate limit of rule " + verdict.rule,
                .retry_after = *wait};
        }
    }
    return verdict;
}

bool rule_service::drained(std::string_view upstream) const {
    return this->current()->find_drain_rule(upstream, core::unix_time()).has_value();
}

std::shared_ptr<const rules::evaluator> rule_service::current() const {
    const std::lock_guard lock{this->mutex};
    return this->in_force;
}

std::uint64_t rule_service::version() const {
    const std::lock_guard lock{this->mutex};
    return this->in_force_version;
}

} // namespace lagoonsaddle::gateway
