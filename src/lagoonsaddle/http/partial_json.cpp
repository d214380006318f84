#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/partial_json.hpp>

namespace lagoonsaddle::http {

namespace {

using nlohmann::json;

/*! @brief Splits JSON text into values by its brackets and quotation marks, without reading them. */
class value_splitter {
public:
    explicit value_splitter(std::string_view json_text) : text{json_text} {}

    /*! @brief Consumes a punctuation mark and white space before it; returns false when another character follows. */
    [[nodiscard]] bool consume(char expected) {
        this->position = std::min(this->text.find_first_not_of(white_space, this->position), this->text.size());
        if(this->position == this->text.size() || this->text[this->position] != expected) {
            return false;
        }
        ++this->position;
        return true;
    }

    /*! @brief Consumes a closing bracket if only white space follows it. */
    [[nodiscard]] bool ends_with(char bracket) {
        return this->consume(bracket) &&
               this->text.find_first_not_of(white_space, this->position) == std::string_view::npos;
    }

    /*! @brief Returns the text of the next value, or nothing when there is none or it does not end. */
    [[nodiscard]] std::optional<std::string_view> next() {
        this->position = std::min(this->text.find_first_not_of(white_space, this->position), this->text.size());
        const auto begin = this->position;
        std::size_t open_brackets{};
        do {
            if(!this->skip_token(open_brackets)) {
                return std::nullopt;
            }
        } while(open_brackets > 0u);
        return this->text.substr(begin, this->position - begin);
    }

private:
    static constexpr std::string_view white_space{" \t\r\n"};
    static constexpr std::string_view scalar_end{" \t\r\n,:]}[{\""};

    /*! @brief Skips a bracket, a string, a punctuation mark inside of brackets, or another scalar. */
    [[nodiscard]] bool skip_token(std::size_t& open_brackets) {
        if(this->position >= this->text.size()) {
            return false;
        }
        switch(this->text[this->position]) {
        case '{':
        case '[':
            ++open_brackets;
            ++this->position;
            return true;
        case '}':
        case ']':
            ++this->position;
            return open_brackets-- > 0u;
        case '"':
            return this->skip_string();
        case ',':
        case ':':
        case ' ':
        case '\t':
        case '\r':
        case '\n':
            ++this->position;
            return open_brackets > 0u;
        default:
            this->position = std::min(this->text.find_first_of(scalar_end, this->position), this->text.size());
            return true;
        }
    }

    [[nodiscard]] bool skip_string() {
        ++this->position;
        while(true) {
            this->position = this->text.find_first_of("\\\"", this->position);
            if(this->position == std::string_view::npos) {
                this->position = this->text.size();
                return false;
            }
            if(this->text[this->position] == '"') {
                ++this->position;
                return true;
            }
            this->position += 2u;
        }
    }

    std::string_view text;
    std::size_t position{};
};

[[nodiscard]] std::optional<json> read_members(value_splitter& parts, unsigned levels) {
    auto object = json::object();
    if(parts.ends_with('}')) {
        return object;
    }
    do {
        const auto key_text = parts.next();
        const auto key = key_text ? json::parse(*key_text, nullptr, false) : json{};
        const bool named = key.is_string() && parts.consume(':');
        const auto value_text = named ? parts.next() : std::nullopt;
        if(!value_text) {
            return std::nullopt;
        }
        if(auto value = parse_partial_json(*value_text, levels)) {
            object[key.get_ref<const std::string&>()] = std::move(*value);
        }
    } while(parts.consume(','));
    return parts.ends_with('}') ? std::optional{std::move(object)} : std::nullopt;
}

[[nodiscard]] std::optional<json> read_elements(value_splitter& parts, unsigned levels) {
    auto array = json::array();
    if(parts.ends_with(']')) {
        return array;
    }
    do {
        const auto value_text = parts.next();
        if(!value_text) {
            return std::nullopt;
        }
        array.push_back(parse_partial_json(*value_text, levels).value_or(json{}));
    } while(parts.consume(','));
    return parts.ends_with(']') ? std::optional{std::move(array)} : std::nullopt;
}

} // namespace

std::optional<json> parse_partial_json(std::string_view text, unsigned levels) {
    if(auto value = parse_json(text)) {
        return value;
    }
    value_splitter parts{text};
    if(levels == 0u) {
        return std::nullopt;
    }
    if(parts.consume('{')) {
        return read_members(parts, levels - 1u);
    }
    return parts.consume('[') ? read_elements(parts, levels - 1u) : std::nullopt;
}

} // namespace lagoonsaddle::http
