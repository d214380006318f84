#include <algorithm>
#include <bit>
#include <utility>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/rules/evaluator.hpp>

namespace lagoonsaddle::rules {

namespace {

constexpr std::size_t bits_per_word = 64u;
constexpr std::size_t word_count_max = rule_count_max / bits_per_word;

void set_bit(std::span<std::uint64_t> words, std::size_t index) noexcept {
    words[index / bits_per_word] |= std::uint64_t{1u} << index % bits_per_word;
}

[[nodiscard]] std::array<const pattern_list*, 7u> pattern_lists(const conditions& when) noexcept {
    return {&when.caller, &when.adapter, &when.version, &when.channel, &when.base_model, &when.availability_zone,
        &when.service};
}

[[nodiscard]] std::array<const std::string*, 7u> name_values(const request_attributes& attributes) noexcept {
    return {&attributes.caller, &attributes.adapter, &attributes.version, &attributes.channel, &attributes.base_model,
        &attributes.availability_zone, &attributes.service};
}

/*! @brief Selects a version by share. Deterministic: depends only on the request id, adapter, channel and shares. */
[[nodiscard]] const std::string& select_version(
    const std::vector<version_share>& shares, const request_attributes& attributes) {
    std::uint64_t total{};
    for(const auto& entry : shares) {
        total += entry.share;
    }
    auto offset = core::hash(attributes.request_id, core::hash(attributes.adapter + ":" + attributes.channel)) % total;
    for(const auto& entry : shares) {
        if(offset < entry.share) {
            return entry.version;
        }
        offset -= entry.share;
    }
    return shares.back().version;
}

} // namespace

namespace internal {

void pattern_index::add(std::size_t rule_index, const pattern_list& patterns) {
    this->unconstrained_rules.resize(rule_index / bits_per_word + 1u);
    if(patterns.empty()) {
        set_bit(this->unconstrained_rules, rule_index);
        return;
    }
    this->has_patterns = true;
    for(const auto& pattern : patterns) {
        const bool is_prefix = pattern.ends_with('*');
        const auto text = is_prefix ? pattern.substr(0u, pattern.size() - 1u) : pattern;
        (is_prefix ? this->prefix_postings : this->exact_postings)[text].push_back(
            static_cast<std::uint32_t>(rule_index));
        if(is_prefix) {
            const auto position =
                std::lower_bound(this->prefix_lengths.begin(), this->prefix_lengths.end(), text.size());
            if(position == this->prefix_lengths.end() || *position != text.size()) {
                this->prefix_lengths.insert(position, text.size());
            }
        }
    }
}

void pattern_index::filter(std::string_view value, std::span<std::uint64_t> candidates) const {
    if(!this->has_patterns) {
        return;
    }
    std::array<std::uint64_t, word_count_max> accepted{};
    std::copy(this->unconstrained_rules.begin(), this->unconstrained_rules.end(), accepted.begin());
    const auto add_rules = [&accepted](const postings_type& postings, std::string_view text) {
        if(const auto found = postings.find(text); found != postings.end()) {
            for(const auto rule_index : found->second) {
                set_bit(accepted, rule_index);
            }
        }
    };
    if(!value.empty()) {
        add_rules(this->exact_postings, value);
        for(const auto length : this->prefix_lengths) {
            if(length > value.size()) {
                break;
            }
            add_rules(this->prefix_postings, value.substr(0u, length));
        }
    }
    for(std::size_t word{}; word < candidates.size(); ++word) {
        candidates[word] &= accepted[word];
    }
}

} // namespace internal

evaluator::evaluator(rule_set set)
    : source{std::move(set)},
      word_count{(this->source.rules.size() + bits_per_word - 1u) / bits_per_word},
      enabled_rules(this->word_count) {
    for(auto& bits : this->rules_by_priority) {
        bits.resize(this->word_count);
    }
    for(auto& bits : this->rules_by_non_idempotent) {
        bits.resize(this->word_count);
    }
    for(std::size_t index{}; index < this->source.rules.size(); ++index) {
        const auto& current = this->source.rules[index];
        if(current.enabled && current.then.action == action::drain) {
            this->drain_rules.push_back(index);
        } else if(current.enabled) {
            set_bit(this->enabled_rules, index);
        }
        const auto patterns = pattern_lists(current.when);
        for(std::size_t field{}; field < patterns.size(); ++field) {
            this->pattern_indices[field].add(index, *patterns[field]);
        }
        const auto range = current.when.priority.value_or(priority_range{});
        for(auto priority = range.minimum; priority <= range.maximum; ++priority) {
            set_bit(this->rules_by_priority[static_cast<std::size_t>(priority)], index);
        }
        for(const bool non_idempotent : {false, true}) {
            if(current.when.non_idempotent.value_or(non_idempotent) == non_idempotent) {
                set_bit(this->rules_by_non_idempotent[non_idempotent ? 1u : 0u], index);
            }
        }
    }
}

std::optional<std::size_t> evaluator::find_match(const request_attributes& attributes) const {
    std::array<std::uint64_t, word_count_max> buffer{};
    const std::span candidates{buffer.data(), this->word_count};
    const auto priority = static_cast<std::size_t>(std::clamp(attributes.priority, 0, priority_max));
    const auto& by_non_idempotent = this->rules_by_non_idempotent[attributes.non_idempotent ? 1u : 0u];
    for(std::size_t word{}; word < this->word_count; ++word) {
        candidates[word] =
            this->enabled_rules[word] & this->rules_by_priority[priority][word] & by_non_idempotent[word];
    }
    const auto values = name_values(attributes);
    for(std::size_t field{}; field < values.size(); ++field) {
        this->pattern_indices[field].filter(*values[field], candidates);
    }

    for(std::size_t word{}; word < this->word_count; ++word) {
        for(auto remaining = candidates[word]; remaining != 0u; remaining &= remaining - 1u) {
            const auto index = word * bits_per_word + static_cast<std::size_t>(std::countr_zero(remaining));
            const auto& when = this->source.rules[index].when;
            if((!when.time || contains(*when.time, attributes.time)) &&
                (!when.load_stall || (attributes.load_stall >= when.load_stall->minimum &&
                                         attributes.load_stall <= when.load_stall->maximum))) {
                return index;
            }
        }
    }
    return std::nullopt;
}

decision evaluator::evaluate(const request_attributes& attributes) const {
    decision result{
        .rule_index = this->find_match(attributes), .priority = attributes.priority, .version = attributes.version};
    if(result.rule_index) {
        result.then = &this->source.rules[*result.rule_index].then;
        result.priority = result.then->priority.value_or(attributes.priority);
        if(result.then->action == action::refuse) {
            result.allowed = false;
            result.reason = result.then->reason;
            result.retry_after = result.then->retry_after;
            return result;
        }
    }
    // A version that the request names must be served as requested.
    if(attributes.version.empty() && !attributes.channel.empty()) {
        if(result.then != nullptr && !result.then->resolve.empty()) {
            result.version = select_version(result.then->resolve, attributes);
        } else {
            result.allowed = false;
            result.reason = "no rule resolves the channel " + attributes.adapter + ":" + attributes.channel;
            if(result.rule_index) {
                result.reason.append("; the rule \"")
                    .append(this->source.rules[*result.rule_index].name)
                    .append("\" matches first and resolves no channel");
            }
        }
    }
    return result;
}

std::optional<std::size_t> evaluator::find_drain_rule(
    std::string_view upstream, std::chrono::milliseconds time) const noexcept {
    for(const auto index : this->drain_rules) {
        const auto& drain_rule = this->source.rules[index];
        if(matches_any_pattern(drain_rule.then.drained_upstreams, upstream) &&
            (!drain_rule.when.time || contains(*drain_rule.when.time, time))) {
            return index;
        }
    }
    return std::nullopt;
}

placement_preference preference_of(
    const outcome* then, std::string_view upstream, std::string_view availability_zone) noexcept {
    const auto covers = [upstream, availability_zone](const placement& place) {
        return matches_any_pattern(place.upstreams, upstream) ||
               matches_any_pattern(place.availability_zones, availability_zone);
    };
    if(then == nullptr) {
        return placement_preference::neutral;
    }
    if(covers(then->avoid)) {
        return placement_preference::avoid;
    }
    return covers(then->prefer) ? placement_preference::prefer : placement_preference::neutral;
}

} // namespace lagoonsaddle::rules
