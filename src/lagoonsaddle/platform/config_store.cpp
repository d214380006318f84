#include <algorithm>
#include <utility>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/platform/config_store.hpp>

namespace lagoonsaddle::platform {

namespace {

constexpr std::string_view object_name_prefix{"config/"};

[[nodiscard]] nlohmann::json encode_revision(const config_revision& revision) {
    nlohmann::json encoded = nlohmann::json::object();
    encoded["value"] = revision.value;
    encoded["author"] = revision.author;
    encoded["changed_at_ms"] = revision.changed_at.count();
    encoded["change_id"] = revision.change_id;
    // The version of the current value is that of the object and is known only after the write.
    if(revision.version != 0u) {
        encoded["version"] = revision.version;
    }
    return encoded;
}

[[nodiscard]] std::optional<config_revision> decode_revision(const nlohmann::json& encoded) {
    const auto string_member = [&encoded](const char* name) -> const std::string* {
        const auto found = encoded.find(name);
        return found == encoded.end() ? nullptr : found->get_ptr<const std::string*>();
    };
    if(!encoded.is_object()) {
        return std::nullopt;
    }
    const auto* value = string_member("value");
    const auto* author = string_member("author");
    const auto* change_id = string_member("change_id");
    const auto changed_at = encoded.find("changed_at_ms");
    if(value == nullptr || author == nullptr || change_id == nullptr || changed_at == encoded.end() ||
        !changed_at->is_number_integer()) {
        return std::nullopt;
    }
    config_revision revision{};
    revision.value = *value;
    revision.author = *author;
    revision.change_id = *change_id;
    revision.changed_at = std::chrono::milliseconds{changed_at->get<std::int64_t>()};
    const auto version = encoded.find("version");
    if(version != encoded.end() && version->is_number_unsigned()) {
        revision.version = version->get<object_version>();
    }
    return revision;
}

/*! @brief Encodes a document and drops its oldest values until it fits the size limit. */
[[nodiscard]] core::result<std::string> encode(config_document document, const config_store_options& options) {
    document.history.resize(std::min(document.history.size(), options.history_entries));
    for(;;) {
        auto body = encode_revision(document.current);
        body["history"] = nlohmann::json::array();
        for(const auto& revision : document.history) {
            body["history"].push_back(encode_revision(revision));
        }
        auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if(text.size() <= options.object_limit_bytes) {
            return text;
        }
        if(document.history.empty()) {
            return core::fail(core::reason::payload_too_large, "the configuration is too large for one object");
        }
        document.history.pop_back();
    }
}

[[nodiscard]] std::string generate_change_id() {
    return boost::uuids::to_string(boost::uuids::random_generator{}());
}

enum class write_outcome { accepted, not_accepted, unknown };

struct change_lookup {
    write_outcome outcome{};
    object_version version{};
};

/*! @brief Looks up a change by its id in an object that was read back after the write. */
[[nodiscard]] change_lookup find_change(
    const std::optional<config_document>& document, const std::string& change_id, object_version expected) {
    if(!document) {
        return {.outcome = expected == 0u ? write_outcome::not_accepted : write_outcome::unknown, .version = 0u};
    }
    if(document->current.change_id == change_id) {
        return {.outcome = write_outcome::accepted, .version = document->current.version};
    }
    bool covers_expected = document->current.version <= expected;
    for(const auto& revision : document->history) {
        if(revision.change_id == change_id) {
            return {.outcome = write_outcome::accepted, .version = revision.version};
        }
        covers_expected = covers_expected || revision.version <= expected;
    }
    // A change that creates the object cannot be ruled out: the history does not show whether entries were dropped.
    return {.outcome = covers_expected ? write_outcome::not_accepted : write_outcome::unknown, .version = 0u};
}

[[nodiscard]] tl::unexpected<save_failure> save_error(
    core::error failure, std::optional<config_document> current = std::nullopt) {
    return tl::make_unexpected(save_failure{.error = std::move(failure), .current = std::move(current)});
}

} // namespace

std::string config_object_name(std::string_view name) {
    return std::string{object_name_prefix} + std::string{name};
}

core::result<config_document> decode_config(const object& source) {
    const auto body = http::parse_json(source.body);
    auto current = body ? decode_revision(*body) : std::nullopt;
    if(!current) {
        return core::fail(core::reason::protocol_error, "the object is not a configuration: " + source.name);
    }
    config_document document{};
    document.name =
        source.name.starts_with(object_name_prefix) ? source.name.substr(object_name_prefix.size()) : source.name;
    document.current = std::move(*current);
    document.current.version = source.version;
    if(const auto history = body->find("history"); history != body->end() && history->is_array()) {
        for(const auto& entry : *history) {
            auto revision = decode_revision(entry);
            if(!revision) {
                return core::fail(core::reason::protocol_error, "the object has a malformed history: " + source.name);
            }
            document.history.push_back(std::move(*revision));
        }
    }
    return document;
}

config_store::config_store(object_store& objects, config_store_options options) : store{objects}, settings{options} {}

boost::asio::awaitable<core::result<std::optional<config_document>>> config_store::load(
    std::string name, object_version known) {
    auto object_name = config_object_name(name);
    auto read = co_await this->store.get(std::move(object_name), known);
    if(!read) {
        co_return tl::make_unexpected(std::move(read.error()));
    }
    if(!*read) {
        co_return std::optional<config_document>{};
    }
    auto document = decode_config(**read);
    if(!document) {
        co_return tl::make_unexpected(std::move(document.error()));
    }
    co_return std::optional<config_document>{std::move(*document)};
}

boost::asio::awaitable<tl::expected<object_version, save_failure>> config_store::save(config_change change) {
    const auto change_id = generate_change_id();
    bool maybe_written{false};
    for(unsigned attempt{};; ++attempt) {
        auto name = change.name;
        auto read = co_await this->load(std::move(name), 0u);
        std::optional<config_document> current{};
        if(read) {
            current = std::move(*read);
        } else if(read.error().cause != core::reason::not_found) {
            auto failure = std::move(read.error());
            failure.verdict = maybe_written ? core::verdict::may_have_run : core::verdict::not_run;
            co_return save_error(std::move(failure));
        }
        const auto version = current ? current->current.version : object_version{};
        if(maybe_written) {
            const auto found = find_change(current, change_id, change.expected);
            if(found.outcome == write_outcome::accepted) {
                co_return found.version;
            }
            if(found.outcome == write_outcome::unknown && version != change.expected) {
                core::error failure{.cause = core::reason::outcome_unknown,
                    .verdict = core::verdict::may_have_run,
                    .message = "too many later changes to tell whether this one was accepted"};
                co_return save_error(std::move(failure), std::move(current));
            }
        }
        if(version != change.expected) {
            core::error failure{
                .cause = core::reason::conflict, .message = "the configuration was changed since the expected version"};
            co_return save_error(std::move(failure), std::move(current));
        }
        if(attempt >= this->settings.write_attempts) {
            core::error failure{.cause = core::reason::unavailable,
                .verdict = maybe_written ? core::verdict::may_have_run : core::verdict::not_run,
                .message = "the change was not confirmed; it may still be accepted"};
            co_return save_error(std::move(failure), std::move(current));
        }
        config_document next{};
        next.current.value = change.value;
        next.current.author = change.author;
        next.current.changed_at = change.changed_at;
        next.current.change_id = change_id;
        if(current) {
            next.history = std::move(current->history);
            next.history.insert(next.history.begin(), std::move(current->current));
        }
        auto body = encode(std::move(next), this->settings);
        if(!body) {
            co_return save_error(std::move(body.error()));
        }
        auto object_name = config_object_name(change.name);
        auto written = co_await this->store.put(std::move(object_name), std::move(*body), change.expected);
        if(written) {
            co_return *written;
        }
        // A conflict is resolved like a lost response, since a write may be sent twice.
        const bool conflict = written.error().cause == core::reason::conflict;
        if(!conflict && written.error().verdict == core::verdict::not_run) {
            auto failure = std::move(written.error());
            failure.verdict = maybe_written ? core::verdict::may_have_run : core::verdict::not_run;
            co_return save_error(std::move(failure));
        }
        maybe_written = true;
    }
}

boost::asio::awaitable<tl::expected<object_version, save_failure>> config_store::undo(
    config_change change, object_version version) {
    auto name = change.name;
    auto read = co_await this->load(std::move(name), 0u);
    if(!read) {
        co_return save_error(std::move(read.error()));
    }
    auto& document = **read;
    const auto kept = std::find_if(document.history.begin(), document.history.end(),
        [version](const config_revision& revision) { return revision.version == version; });
    if(kept == document.history.end()) {
        core::error failure{.cause = core::reason::not_found,
            .message = "the configuration's history has no version " + std::to_string(version)};
        co_return save_error(std::move(failure), std::move(document));
    }
    change.value = kept->value;
    co_return co_await this->save(std::move(change));
}

} // namespace lagoonsaddle::platform
