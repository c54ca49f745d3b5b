#include "Frames.h"

#include <xxhash.h>

#include <algorithm>

namespace hyssop::replog {

using nlohmann::json;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kLengthChecksumBytes = 4;
constexpr std::size_t kBodyChecksumBytes = 8;
constexpr std::size_t kHeaderBytes = kLengthBytes + kLengthChecksumBytes + kBodyChecksumBytes;

void appendLittleEndian(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = 0; i < bytes; ++i)
        out += static_cast<char>((value >> (8 * i)) & 0xff);
}

std::uint64_t readLittleEndian(std::string_view in, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i])) << (8 * i);
    return value;
}

std::uint32_t lengthChecksum(std::string_view length)
{
    return XXH32(length.data(), length.size(), 0);
}

/// After a crash, the file size may cover an unsynced write whose bytes never reached the disk.
bool isUnwritten(std::string_view rest)
{
    return std::all_of(rest.begin(), rest.end(), [](char c) { return c == 0; });
}

} // namespace

std::string encodeFrame(const json &json)
{
    const std::string body = base::toCbor(json);
    std::string out;
    out.reserve(kHeaderBytes + body.size());
    appendLittleEndian(out, body.size(), kLengthBytes);
    appendLittleEndian(out, lengthChecksum(out), kLengthChecksumBytes);
    appendLittleEndian(out, XXH64(body.data(), body.size(), 0), kBodyChecksumBytes);
    return out + body;
}

FrameState decodeFrame(std::string_view &rest, json &json)
{
    if (rest.size() < kHeaderBytes || isUnwritten(rest))
        return FrameState::Incomplete;
    const std::string_view length = rest.substr(0, kLengthBytes);
    const std::uint64_t storedLengthChecksum =
            readLittleEndian(rest.substr(kLengthBytes), kLengthChecksumBytes);
    if (lengthChecksum(length) != storedLengthChecksum)
        return FrameState::Damaged;
    const std::size_t n = readLittleEndian(length, kLengthBytes);
    if (rest.size() < kHeaderBytes + n)
        return FrameState::Incomplete;
    const std::string_view body = rest.substr(kHeaderBytes, n);
    const std::uint64_t storedBodyChecksum =
            readLittleEndian(rest.substr(kLengthBytes + kLengthChecksumBytes), kBodyChecksumBytes);
    if (XXH64(body.data(), body.size(), 0) != storedBodyChecksum)
        return FrameState::Damaged;
    auto parsed = base::parseCbor(body);
    if (!parsed)
        return FrameState::Damaged;
    json = *std::move(parsed);
    rest.remove_prefix(kHeaderBytes + n);
    return FrameState::Complete;
}

json snapshotToJson(const Snapshot &snapshot)
{
    return {{"op", "snapshot"},
            {"term", snapshot.position.term.count()},
            {"index", snapshot.position.index.count()},
            {"voters", encode(snapshot.configuration)},
            {"data", snapshot.data}};
}

Snapshot snapshotFromJson(const json &j)
{
    const Position position{Term(j.at("term").get<std::int64_t>()),
                            Index(j.at("index").get<std::int64_t>())};
    const auto configuration = decodeConfiguration(j.at("voters").get<std::string>());
    if (!configuration)
        throw json::other_error::create(500, "the voters cannot be decoded", &j);
    return {position, *configuration, j.at("data").get<std::string>()};
}

} // namespace hyssop::replog
