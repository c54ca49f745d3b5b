#include "fleet/Fleet.h"

#include <zlib.h>

namespace hyssop::fleet {

namespace {

/// First byte of every zlib stream with the default window. No source text begins with it.
constexpr char kZlibHeaderByte = '\x78';
/// Limit on the decompressed size; several times what operators may send.
constexpr std::size_t kMaxTextBytes = std::size_t(64) << 20;
constexpr std::size_t kChunkBytes = std::size_t(64) << 10;

} // namespace

std::string compressText(std::string_view text)
{
    uLongf length = compressBound(static_cast<uLong>(text.size()));
    std::string packed(length, '\0');
    const int result = compress2(reinterpret_cast<Bytef *>(packed.data()), &length,
                                 reinterpret_cast<const Bytef *>(text.data()),
                                 static_cast<uLong>(text.size()), Z_DEFAULT_COMPRESSION);
    // Only a lack of memory fails here, and an uncompressed text works as well.
    if (result != Z_OK) {
        base::logEvent("configuration_not_packed", {{"bytes", text.size()}, {"code", result}});
        return std::string(text);
    }
    packed.resize(length);
    return packed;
}

std::optional<std::string> decompressText(std::string_view packed)
{
    if (packed.empty() || packed.front() != kZlibHeaderByte)
        return std::string(packed);
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(packed.data()));
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string text;
    int result = Z_OK;
    while (result == Z_OK && text.size() < kMaxTextBytes) {
        const std::size_t oldSize = text.size();
        text.resize(oldSize + kChunkBytes);
        stream.next_out = reinterpret_cast<Bytef *>(text.data() + oldSize);
        stream.avail_out = kChunkBytes;
        result = inflate(&stream, Z_NO_FLUSH);
        text.resize(oldSize + kChunkBytes - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END)
        return std::nullopt;
    return text;
}

} // namespace hyssop::fleet
