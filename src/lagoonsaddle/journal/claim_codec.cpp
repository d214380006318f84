#include <cstdint>
#include <stdexcept>
#include <utility>

#include <msgpack.hpp>

#include <lagoonsaddle/core/hash.hpp>
#include <lagoonsaddle/journal/claim_shard.hpp>
#include <lagoonsaddle/journal/internal_codec.hpp>

namespace lagoonsaddle::journal {

namespace {

constexpr std::uint32_t format_version{1u};
constexpr std::uint32_t table_field_count{2u};
constexpr std::uint32_t entry_field_count{7u};
constexpr std::uint32_t outcome_field_count{5u};

struct string_sink {
    std::string text{};

    void write(const char* data, std::size_t size) {
        this->text.append(data, size);
    }
};

struct size_sink {
    std::size_t size{};

    void write(const char*, std::size_t bytes) noexcept {
        this->size += bytes;
    }
};

template<typename Stream>
void pack_bytes(msgpack::packer<Stream>& packer, std::string_view bytes) {
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

template<typename Stream>
void pack_entry(msgpack::packer<Stream>& packer, const std::string& key_digest, const claim_entry& entry) {
    packer.pack_array(entry_field_count);
    pack_bytes(packer, key_digest);
    pack_bytes(packer, entry.claim_id);
    pack_bytes(packer, entry.request_digest);
    pack_bytes(packer, entry.claimant);
    packer.pack(static_cast<std::int64_t>(entry.run_until.count()));
    packer.pack(static_cast<std::int64_t>(entry.expires_at.count()));
    if(!entry.result) {
        packer.pack_nil();
        return;
    }
    packer.pack_array(outcome_field_count);
    packer.pack(entry.result->status);
    packer.pack(static_cast<unsigned>(entry.result->verdict));
    pack_bytes(packer, entry.result->content_type);
    pack_bytes(packer, entry.result->body);
    packer.pack(entry.result->body_omitted);
}

[[nodiscard]] const msgpack::object* array_fields(const msgpack::object& value, std::uint32_t count) {
    if(value.type != msgpack::type::ARRAY || value.via.array.size != count) {
        throw std::invalid_argument{"expected an array with another number of fields"};
    }
    return value.via.array.ptr;
}

[[nodiscard]] std::string byte_string(const msgpack::object& value) {
    if(value.type != msgpack::type::BIN) {
        throw std::invalid_argument{"expected a byte string"};
    }
    return std::string{value.via.bin.ptr, value.via.bin.size};
}

[[nodiscard]] outcome unpack_outcome(const msgpack::object& value) {
    const auto* fields = array_fields(value, outcome_field_count);
    const auto verdict = fields[1].as<unsigned>();
    if(verdict > static_cast<unsigned>(core::verdict::ran)) {
        throw std::invalid_argument{"the outcome has an unknown verdict"};
    }
    return outcome{.status = fields[0].as<unsigned>(),
        .verdict = static_cast<core::verdict>(verdict),
        .content_type = byte_string(fields[2]),
        .body = byte_string(fields[3]),
        .body_omitted = fields[4].as<bool>()};
}

[[nodiscard]] claim_table::value_type unpack_entry(const msgpack::object& value) {
    const auto* fields = array_fields(value, entry_field_count);
    claim_entry entry{.claim_id = byte_string(fields[1]),
        .request_digest = byte_string(fields[2]),
        .claimant = byte_string(fields[3]),
        .run_until = wall_time{fields[4].as<std::int64_t>()},
        .expires_at = wall_time{fields[5].as<std::int64_t>()},
        .result = std::nullopt};
    if(!fields[6].is_nil()) {
        entry.result = unpack_outcome(fields[6]);
    }
    return {byte_string(fields[0]), std::move(entry)};
}

} // namespace

std::size_t internal::encoded_entry_bytes(const std::string& key_digest, const claim_entry& entry) {
    size_sink sink{};
    msgpack::packer<size_sink> packer{sink};
    pack_entry(packer, key_digest, entry);
    return sink.size + (entry.result ? 0u : outcome_reserve_bytes);
}

std::string encode_claims(const claim_table& table) {
    string_sink sink{};
    msgpack::packer<string_sink> packer{sink};
    packer.pack_array(table_field_count);
    packer.pack(format_version);
    packer.pack_array(static_cast<std::uint32_t>(table.size()));
    for(const auto& [key_digest, entry] : table) {
        pack_entry(packer, key_digest, entry);
    }
    return std::move(sink.text);
}

core::result<claim_table> decode_claims(std::string_view body) {
    // msgpack-cxx throws on malformed input; the exception is returned as an error value.
    try {
        const auto document = msgpack::unpack(body.data(), body.size());
        const auto* fields = array_fields(document.get(), table_field_count);
        if(fields[0].as<std::uint32_t>() != format_version) {
            return core::fail(core::reason::protocol_error, "the journal object has an unknown format version");
        }
        const auto* entries = array_fields(fields[1], fields[1].via.array.size);
        claim_table table{};
        for(std::uint32_t index{}; index < fields[1].via.array.size; ++index) {
            table.insert(unpack_entry(entries[index]));
        }
        return table;
    } catch(const std::exception& failure) {
        return core::fail(
            core::reason::protocol_error, std::string{"the journal object cannot be decoded: "} + failure.what());
    }
}

std::size_t shard_index(std::string_view key, std::size_t shards) noexcept {
    return static_cast<std::size_t>(core::hash(key) % shards);
}

std::string shard_object_name(std::size_t shard) {
    return "journal/" + std::to_string(shard);
}

} // namespace lagoonsaddle::journal
