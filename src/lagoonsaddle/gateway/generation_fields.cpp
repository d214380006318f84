#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include <lagoonsaddle/gateway/generation_fields.hpp>

namespace lagoonsaddle::gateway {

namespace {

constexpr std::int64_t max_top_k{1'000'000};
constexpr std::int64_t max_top_logprobs{20};

/*! @brief Integer field with an inclusive range. */
struct integer_field {
    std::string_view name{};
    std::int64_t minimum{};
    std::int64_t maximum{};
    std::string_view unit{};
};

/*! @brief Floating-point field with an inclusive range. */
struct real_field {
    std::string_view name{};
    double minimum{};
    double maximum{};
};

// Responses contain exactly one choice, so `n` must be 1.
constexpr std::array integer_fields{
    integer_field{.name = "n", .minimum = 1, .maximum = 1, .unit = "choices"},
    integer_field{.name = "seed",
        .minimum = std::numeric_limits<std::int64_t>::min(),
        .maximum = std::numeric_limits<std::int64_t>::max()},
    integer_field{.name = "top_k", .minimum = -1, .maximum = max_top_k, .unit = "tokens"},
    integer_field{.name = "top_logprobs", .minimum = 0, .maximum = max_top_logprobs, .unit = "tokens"},
};

constexpr std::array real_fields{
    real_field{.name = "temperature", .minimum = 0.0, .maximum = 2.0},
    real_field{.name = "top_p", .minimum = 0.0, .maximum = 1.0},
    real_field{.name = "min_p", .minimum = 0.0, .maximum = 1.0},
    real_field{.name = "presence_penalty", .minimum = -2.0, .maximum = 2.0},
    real_field{.name = "frequency_penalty", .minimum = -2.0, .maximum = 2.0},
    real_field{.name = "repetition_penalty", .minimum = 0.0, .maximum = 2.0},
};

[[nodiscard]] bool in_range(const nlohmann::json& value, const integer_field& field) {
    if(value.is_number_unsigned()) {
        return value.get<std::uint64_t>() <= static_cast<std::uint64_t>(std::max<std::int64_t>(field.maximum, 0)) &&
               (field.minimum <= 0 || value.get<std::uint64_t>() >= static_cast<std::uint64_t>(field.minimum));
    }
    return value.is_number_integer() && value.get<std::int64_t>() >= field.minimum &&
           value.get<std::int64_t>() <= field.maximum;
}

[[nodiscard]] core::result<void> check_field(const nlohmann::json& body, const integer_field& field) {
    const auto found = body.find(field.name);
    if(found == body.end() || found->is_null() || in_range(*found, field)) {
        return {};
    }
    std::string message{"field \"" + std::string{field.name} + "\" must be a whole number"};
    message += " from " + std::to_string(field.minimum) + " to " + std::to_string(field.maximum);
    if(!field.unit.empty()) {
        message += ' ' + std::string{field.unit};
    }
    return core::fail(core::reason::invalid_argument, std::move(message));
}

[[nodiscard]] core::result<void> check_field(const nlohmann::json& body, const real_field& field) {
    const auto found = body.find(field.name);
    if(found == body.end() || found->is_null()) {
        return {};
    }
    if(found->is_number() && found->get<double>() >= field.minimum && found->get<double>() <= field.maximum) {
        return {};
    }
    const nlohmann::json minimum(field.minimum);
    const nlohmann::json maximum(field.maximum);
    return core::fail(core::reason::invalid_argument,
        "field \"" + std::string{field.name} + "\" must be a number from " + minimum.dump() + " to " + maximum.dump());
}

} // namespace

core::result<void> check_generation_fields(const nlohmann::json& body, std::uint64_t max_output_tokens) {
    // Callers use either name for the limit on output tokens.
    for(const auto* name : {"max_tokens", "max_completion_tokens"}) {
        const integer_field field{
            .name = name, .minimum = 1, .maximum = static_cast<std::int64_t>(max_output_tokens), .unit = "tokens"};
        if(auto result = check_field(body, field); !result) {
            return result;
        }
    }
    for(const auto& field : integer_fields) {
        if(auto result = check_field(body, field); !result) {
            return result;
        }
    }
    for(const auto& field : real_fields) {
        if(auto result = check_field(body, field); !result) {
            return result;
        }
    }
    return {};
}

} // namespace lagoonsaddle::gateway
