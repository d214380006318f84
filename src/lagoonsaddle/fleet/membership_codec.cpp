#include <msgpack.hpp>

#include <lagoonsaddle/fleet/membership_codec.hpp>

namespace lagoonsaddle::fleet::internal {

namespace {

// First element of each datagram; datagrams of other protocol versions are dropped as malformed.
constexpr std::uint64_t protocol_version = 1u;
constexpr std::size_t header_field_count = 11u;
constexpr std::size_t compact_record_field_count = 4u;
constexpr std::size_t full_record_field_count = 9u;
constexpr std::size_t item_field_count = 5u;
constexpr std::size_t max_name_bytes = 64u;
constexpr std::size_t max_kind_bytes = 32u;
constexpr std::size_t max_key_bytes = 128u;
constexpr std::size_t max_value_bytes = 256u;
constexpr std::size_t max_array_elements = 512u;
constexpr std::size_t max_nesting_depth = 4u;

[[nodiscard]] std::string decode_text(const msgpack::object& value, std::size_t limit) {
    if(value.type != msgpack::type::STR || value.via.str.size > limit) {
        throw msgpack::type_error{};
    }
    return {value.via.str.ptr, value.via.str.size};
}

[[nodiscard]] const msgpack::object_array& decode_array(const msgpack::object& value) {
    if(value.type != msgpack::type::ARRAY) {
        throw msgpack::type_error{};
    }
    return value.via.array;
}

[[nodiscard]] member_record decode_record(const msgpack::object& value) {
    const auto& fields = decode_array(value);
    if(fields.size != compact_record_field_count && fields.size != full_record_field_count) {
        throw msgpack::type_error{};
    }
    member_record result{};
    const auto state = fields.ptr[0].as<std::uint8_t>();
    if(state > static_cast<std::uint8_t>(member_state::left)) {
        throw msgpack::type_error{};
    }
    result.member.state = static_cast<member_state>(state);
    result.member.info.name = decode_text(fields.ptr[1], max_name_bytes);
    result.member.incarnation = fields.ptr[2].as<std::uint64_t>();
    result.member.info.boot_id = fields.ptr[3].as<std::uint64_t>();
    if(result.member.info.name.empty()) {
        throw msgpack::type_error{};
    }
    result.is_full = fields.size == full_record_field_count;
    if(result.is_full) {
        auto& info = result.member.info;
        info.availability_zone = decode_text(fields.ptr[4], max_name_bytes);
        info.udp = {decode_text(fields.ptr[5], max_name_bytes), fields.ptr[6].as<std::uint16_t>()};
        info.tcp = {decode_text(fields.ptr[7], max_name_bytes), fields.ptr[8].as<std::uint16_t>()};
    }
    return result;
}

[[nodiscard]] gossip_item decode_item(const msgpack::object& value) {
    const auto& fields = decode_array(value);
    if(fields.size != item_field_count) {
        throw msgpack::type_error{};
    }
    gossip_item result{decode_text(fields.ptr[0], max_kind_bytes), decode_text(fields.ptr[1], max_key_bytes),
        fields.ptr[2].as<std::uint64_t>(), decode_text(fields.ptr[3], max_value_bytes), {}};
    if(!fields.ptr[4].is_nil()) {
        result.lifetime = std::chrono::milliseconds{fields.ptr[4].as<std::uint32_t>()};
    }
    return result;
}

} // namespace

std::string encode(const member& value, bool full) {
    msgpack::sbuffer buffer{128u};
    msgpack::packer packer{buffer};
    packer.pack_array(full ? full_record_field_count : compact_record_field_count);
    packer.pack(static_cast<std::uint8_t>(value.state));
    packer.pack(value.info.name);
    packer.pack(value.incarnation);
    packer.pack(value.info.boot_id);
    if(full) {
        packer.pack(value.info.availability_zone);
        packer.pack(value.info.udp.address);
        packer.pack(value.info.udp.port);
        packer.pack(value.info.tcp.address);
        packer.pack(value.info.tcp.port);
    }
    return {buffer.data(), buffer.size()};
}

std::string encode(const gossip_item& value) {
    msgpack::sbuffer buffer{128u};
    msgpack::packer packer{buffer};
    packer.pack_array(item_field_count);
    packer.pack(value.kind);
    packer.pack(value.key);
    packer.pack(value.version);
    packer.pack(value.value);
    if(value.lifetime) {
        packer.pack(
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(*value.lifetime).count()));
    } else {
        packer.pack_nil();
    }
    return {buffer.data(), buffer.size()};
}

std::string encode(
    const message& header, const std::vector<std::string>& records, const std::vector<std::string>& items) {
    msgpack::sbuffer buffer{256u};
    msgpack::packer packer{buffer};
    const auto append = [&buffer, &packer](const std::vector<std::string>& parts) {
        packer.pack_array(static_cast<std::uint32_t>(parts.size()));
        for(const auto& part : parts) {
            buffer.write(part.data(), part.size());
        }
    };
    packer.pack_array(header_field_count);
    packer.pack(protocol_version);
    packer.pack(static_cast<std::uint8_t>(header.kind));
    packer.pack(header.sequence);
    const auto sender = encode(header.sender.member, header.sender.is_full);
    buffer.write(sender.data(), sender.size());
    packer.pack(header.target);
    packer.pack(header.page_index);
    packer.pack(header.page_count);
    packer.pack(header.is_complete);
    packer.pack(header.digest);
    append(records);
    append(items);
    return {buffer.data(), buffer.size()};
}

std::optional<message> decode(std::string_view bytes) {
    try {
        const msgpack::unpack_limit limit{max_array_elements, 0u, max_value_bytes, 0u, 0u, max_nesting_depth};
        std::size_t offset{};
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        const auto& fields = decode_array(handle.get());
        if(offset != bytes.size() || fields.size != header_field_count ||
            fields.ptr[0].as<std::uint64_t>() != protocol_version) {
            return std::nullopt;
        }
        message result{};
        const auto kind = fields.ptr[1].as<std::uint8_t>();
        if(kind > static_cast<std::uint8_t>(message_kind::page)) {
            return std::nullopt;
        }
        result.kind = static_cast<message_kind>(kind);
        result.sequence = fields.ptr[2].as<std::uint64_t>();
        result.sender = decode_record(fields.ptr[3]);
        result.target = decode_text(fields.ptr[4], max_name_bytes);
        result.page_index = fields.ptr[5].as<std::uint64_t>();
        result.page_count = fields.ptr[6].as<std::uint64_t>();
        result.is_complete = fields.ptr[7].as<bool>();
        result.digest = fields.ptr[8].as<std::vector<std::uint64_t>>();
        const auto& records = decode_array(fields.ptr[9]);
        for(std::uint32_t index{}; index < records.size; ++index) {
            result.records.push_back(decode_record(records.ptr[index]));
        }
        const auto& items = decode_array(fields.ptr[10]);
        for(std::uint32_t index{}; index < items.size; ++index) {
            result.items.push_back(decode_item(items.ptr[index]));
        }
        return result;
    } catch(const msgpack::unpack_error&) {
        return std::nullopt;
    } catch(const msgpack::type_error&) {
        return std::nullopt;
    }
}

bool has_valid_lengths(const gossip_item& value) noexcept {
    return value.kind.size() <= max_kind_bytes && value.key.size() <= max_key_bytes &&
           value.value.size() <= max_value_bytes;
}

} // namespace lagoonsaddle::fleet::internal
