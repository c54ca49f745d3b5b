#include "Packing.h"

#include <algorithm>

namespace hyssop::entry {

namespace {

constexpr unsigned kVarintPayloadBits = 7;
constexpr std::uint64_t kVarintPayloadMask = 0x7f;
constexpr std::uint64_t kVarintContinuationBit = 0x80;
constexpr unsigned kBitsPerNumber = 64;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xff;

std::uint64_t byteOf(char c)
{
    return static_cast<unsigned char>(c);
}

} // namespace

void PackWriter::varint(std::uint64_t value)
{
    while (value > kVarintPayloadMask) {
        m_bytes.push_back(static_cast<char>((value & kVarintPayloadMask) | kVarintContinuationBit));
        value >>= kVarintPayloadBits;
    }
    m_bytes.push_back(static_cast<char>(value));
}

void PackWriter::delta(std::int64_t value, std::int64_t &last)
{
    // Unsigned, as the difference of two numbers may overflow. The lowest bit is the sign.
    const std::uint64_t step = static_cast<std::uint64_t>(value) - static_cast<std::uint64_t>(last);
    const bool isNegative = step >> (kBitsPerNumber - 1) != 0;
    varint(isNegative ? ~(step << 1) : step << 1);
    last = value;
}

void PackWriter::fixed32(std::uint32_t value)
{
    for (unsigned n = 0; n < sizeof(value); ++n)
        m_bytes.push_back(static_cast<char>((value >> (n * kBitsPerByte)) & kByteMask));
}

void PackWriter::string(std::string_view value)
{
    varint(value.size());
    m_bytes.append(value);
}

void PackWriter::prefixCompressed(std::string_view value)
{
    const auto differing =
            std::mismatch(value.begin(), value.end(), m_previousName.begin(), m_previousName.end())
                    .first;
    const auto shared = static_cast<std::size_t>(differing - value.begin());
    varint(shared);
    string(value.substr(shared));
    m_previousName = value;
}

void PackReader::setMalformed()
{
    m_isMalformed = true;
    m_remaining = {};
}

std::string_view PackReader::takeBytes(std::uint64_t count)
{
    if (count > m_remaining.size()) {
        setMalformed();
        return {};
    }
    const std::string_view taken = m_remaining.substr(0, count);
    m_remaining.remove_prefix(count);
    return taken;
}

std::uint64_t PackReader::varint()
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < kBitsPerNumber; shift += kVarintPayloadBits) {
        const std::string_view byte = takeBytes(1);
        if (byte.empty())
            return 0;
        value |= (byteOf(byte[0]) & kVarintPayloadMask) << shift;
        if ((byteOf(byte[0]) & kVarintContinuationBit) == 0)
            return value;
    }
    setMalformed();
    return 0;
}

std::int64_t PackReader::delta(std::int64_t &last)
{
    const std::uint64_t coded = varint();
    const std::uint64_t step = (coded & 1) != 0 ? ~(coded >> 1) : coded >> 1;
    last = static_cast<std::int64_t>(static_cast<std::uint64_t>(last) + step);
    return last;
}

std::uint32_t PackReader::fixed32()
{
    const std::string_view taken = takeBytes(sizeof(std::uint32_t));
    std::uint32_t value = 0;
    for (std::size_t n = 0; n < taken.size(); ++n)
        value |= static_cast<std::uint32_t>(byteOf(taken[n])) << (n * kBitsPerByte);
    return value;
}

std::string PackReader::string()
{
    return std::string(takeBytes(varint()));
}

std::string PackReader::prefixCompressed()
{
    const std::uint64_t shared = varint();
    if (shared > m_previousName.size()) {
        setMalformed();
        return {};
    }
    m_previousName.resize(shared);
    m_previousName += string();
    return m_previousName;
}

} // namespace hyssop::entry
