#include <tuple>

#include <msgpack.hpp>

#include <lagoonsaddle/wire/codec.hpp>
#include <lagoonsaddle/wire/frame.hpp>

namespace lagoonsaddle::wire {

namespace {

constexpr std::size_t length_size{4u};
constexpr std::size_t compact_threshold{64u * 1024u};
// Type, identifiers and array header of a frame beside its body.
constexpr std::size_t header_allowance{64u};

class string_writer {
public:
    explicit string_writer(std::string& target) : output{target} {}

    void write(const char* data, std::size_t size) {
        this->output.append(data, size);
    }

private:
    std::string& output;
};

[[nodiscard]] std::uint32_t read_length(std::string_view bytes) noexcept {
    std::uint32_t length{};
    for(const char byte : bytes.substr(0u, length_size)) {
        length = (length << 8u) | static_cast<unsigned char>(byte);
    }
    return length;
}

[[nodiscard]] bool known(unsigned value) noexcept {
    return value >= static_cast<unsigned>(message_type::hello) && value <= static_cast<unsigned>(newest_message_type);
}

} // namespace

void encode(const frame& value, std::string& output) {
    const auto start = output.size();
    output.append(length_size, '\0');
    string_writer writer{output};
    msgpack::packer packer{writer};
    packer.pack_array(4u);
    packer.pack(static_cast<unsigned>(value.type));
    packer.pack(value.exchange_id);
    packer.pack(value.sequence);
    packer.pack_bin(static_cast<std::uint32_t>(value.body.size()));
    packer.pack_bin_body(value.body.data(), static_cast<std::uint32_t>(value.body.size()));

    auto length = static_cast<std::uint32_t>(output.size() - start - length_size);
    for(std::size_t index{length_size}; index > 0u; --index) {
        output[start + index - 1u] = static_cast<char>(length & 0xffu);
        length >>= 8u;
    }
}

void frame_decoder::feed(std::string_view bytes) {
    if(this->consumed > compact_threshold || this->consumed == this->pending.size()) {
        this->pending.erase(0u, this->consumed);
        this->consumed = 0u;
    }
    this->pending.append(bytes);
}

core::result<std::optional<frame>> frame_decoder::next() {
    const auto rest = std::string_view{this->pending}.substr(this->consumed);
    if(rest.size() < length_size) {
        return std::nullopt;
    }
    const auto length = read_length(rest);
    if(length == 0u || length > this->limit + header_allowance) {
        return core::fail(core::reason::protocol_error, "frame of " + std::to_string(length) + " bytes");
    }
    if(rest.size() < length_size + length) {
        return std::nullopt;
    }
    try {
        std::size_t offset{};
        const auto handle = msgpack::unpack(
            rest.data() + length_size, length, offset, nullptr, nullptr, internal::unpack_limits(length));
        const auto& object = handle.get();
        if(offset != length || object.type != msgpack::type::ARRAY || object.via.array.size != 4u) {
            return core::fail(core::reason::protocol_error, "frame is no array of four elements");
        }
        const auto* elements = object.via.array.ptr;
        const auto type = elements[0].as<unsigned>();
        if(!known(type) || elements[3].type != msgpack::type::BIN) {
            return core::fail(core::reason::protocol_error, "frame of unknown type " + std::to_string(type));
        }
        frame decoded{.type = static_cast<message_type>(type),
            .exchange_id = elements[1].as<std::uint64_t>(),
            .sequence = elements[2].as<std::uint64_t>(),
            .body = std::string{elements[3].via.bin.ptr, elements[3].via.bin.size}};
        this->consumed += length_size + length;
        this->limit = frame_limit_bytes;
        return decoded;
    } catch(const std::exception& exception) {
        return core::fail(core::reason::protocol_error, std::string{"frame cannot be decoded: "} + exception.what());
    }
}

} // namespace lagoonsaddle::wire
