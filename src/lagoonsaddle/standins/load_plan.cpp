#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include <nlohmann/json.hpp>

#include <lagoonsaddle/standins/engine_model.hpp>
#include <lagoonsaddle/standins/load_plan.hpp>

namespace lagoonsaddle::standins {

namespace {

// Covers the part of a prompt that the prefix cache of the engine compares, so that shared prefixes hit the cache.
constexpr std::size_t shared_prefix_bytes{256u};
constexpr std::size_t prefixes_per_adapter{4u};
constexpr std::array<unsigned, 10u> priorities{5u, 5u, 5u, 5u, 5u, 5u, 5u, 5u, 2u, 8u};

[[nodiscard]] std::string adapter_name(std::size_t index) {
    std::array<char, 32u> text{};
    std::snprintf(text.data(), text.size(), "adapter-%05zu", index);
    return text.data();
}

[[nodiscard]] std::vector<double> zipf_weights(std::size_t count, double exponent) {
    std::vector<double> weights(std::max<std::size_t>(count, 1u));
    for(std::size_t index{}; index < weights.size(); ++index) {
        weights[index] = std::pow(static_cast<double>(index + 1u), -exponent);
    }
    return weights;
}

} // namespace

load_plan::load_plan(load_plan_options values) : mix{std::move(values)}, random{this->mix.seed} {
    const auto weights = zipf_weights(this->mix.adapters, this->mix.zipf_exponent);
    this->popularity = std::discrete_distribution<std::size_t>{weights.begin(), weights.end()};
}

planned_call load_plan::next() {
    planned_call call{.request_id = this->mix.run_id + "-" + std::to_string(this->count++)};
    auto& headers = call.message.headers;
    call.message.method = "POST";
    headers.set("content-type", "application/json");
    headers.set("x-request-id", call.request_id);
    headers.set("x-caller-id", "caller-" + std::to_string(this->random_below(this->mix.callers)));
    headers.set("x-deadline-ms", std::to_string(this->mix.deadline.count()));
    headers.set("x-priority", std::to_string(priorities[this->random_below(priorities.size())]));
    if(this->with_probability(this->mix.service_share) && !this->mix.services.empty()) {
        this->plan_service(call);
    } else {
        this->plan_generation(call);
    }
    return call;
}

bool load_plan::with_probability(double share) {
    return std::bernoulli_distribution{std::clamp(share, 0., 1.)}(this->random);
}

std::size_t load_plan::random_below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>{0u, std::max<std::size_t>(limit, 1u) - 1u}(this->random);
}

void load_plan::plan_service(planned_call& call) {
    call.kind = call_kind::service;
    call.message.target = "/v1/services/" + this->mix.services[this->random_below(this->mix.services.size())] + "/book";
    nlohmann::json body = nlohmann::json::object();
    body["booking"] = call.request_id;
    call.message.body = body.dump();
    call.non_idempotent = this->with_probability(this->mix.non_idempotent_share);
    if(call.non_idempotent) {
        call.key = "key-" + call.request_id;
        call.message.headers.set("x-non-idempotent", "true");
        call.message.headers.set("idempotency-key", call.key);
    }
}

void load_plan::plan_generation(planned_call& call) {
    call.kind = this->with_probability(this->mix.chat_share) ? call_kind::chat : call_kind::completion;
    call.streamed = this->with_probability(this->mix.streamed_share);
    call.target = {.adapter = adapter_name(this->popularity(this->random)), .version = "1"};
    const auto spread = std::max(this->mix.tokens_max, this->mix.tokens_min) - this->mix.tokens_min;
    call.tokens = std::max<std::size_t>(this->mix.tokens_min + this->random_below(spread + 1u), 1u);

    auto prompt =
        call.target.adapter + " instruction " + std::to_string(this->random_below(prefixes_per_adapter)) + ' ';
    prompt.resize(shared_prefix_bytes, '.');
    prompt += call.request_id;
    call.prompt_digest = short_digest(prompt);

    nlohmann::json body = nlohmann::json::object();
    body["model"] = (this->mix.base_model.empty() ? "" : this->mix.base_model + "/") + core::to_string(call.target);
    body["max_tokens"] = call.tokens;
    body["stream"] = call.streamed;
    if(call.kind == call_kind::chat) {
        nlohmann::json turn = nlohmann::json::object();
        turn["role"] = "user";
        turn["content"] = std::move(prompt);
        body["messages"] = nlohmann::json::array();
        body["messages"].push_back(std::move(turn));
        call.message.target = "/v1/chat/completions";
    } else {
        body["prompt"] = std::move(prompt);
        call.message.target = "/v1/completions";
    }
    call.message.body = body.dump();
}

} // namespace lagoonsaddle::standins
