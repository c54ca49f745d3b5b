#include "Packing.h"

#include <algorithm>

namespace hyssop::entry {

namespace {

constexpr unsigned kGroupBits = 7;
constexpr std::uint64_t kGroupMask = 0x7f;
constexpr std::uint64_t kMoreFlag = 0x80;
constexpr unsigned kNumberBits = 64;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xff;

std::uint64_t byteOf(char c)
{
    return static_cast<unsigned char>(c);
}

} // namespace

void PackWriter::number(std::uint64_t value)
{
    while (value > kGroupMask) {
        m_bytes.push_back(static_cast<char>((value & kGroupMask) | kMoreFlag));
        value >>= kGroupBits;
    }
    m_bytes.push_back(static_cast<char>(value));
}

void PackWriter::difference(std::int64_t value, std::int64_t &last)
{
    // Unsigned, since any two numbers may meet; the lowest bit is the sign.
    const std::uint64_t step = static_cast<std::uint64_t>(value) - static_cast<std::uint64_t>(last);
    const bool isNegative = step >> (kNumberBits - 1) != 0;
    number(isNegative ? ~(step << 1) : step << 1);
    last = value;
}

void PackWriter::fixed(std::uint32_t value)
{
    for (unsigned n = 0; n < sizeof(value); ++n)
        m_bytes.push_back(static_cast<char>((value >> (n * kByteBits)) & kByteMask));
}

void PackWriter::text(std::string_view value)
{
    number(value.size());
    m_bytes.append(value);
}

void PackWriter::name(std::string_view value)
{
    const auto differing =
            std::mismatch(value.begin(), value.end(), m_lastName.begin(), m_lastName.end()).first;
    const auto shared = static_cast<std::size_t>(differing - value.begin());
    number(shared);
    text(value.substr(shared));
    m_lastName = value;
}

void PackReader::setFaulty()
{
    m_isFaulty = true;
    m_rest = {};
}

std::string_view PackReader::bytes(std::uint64_t count)
{
    if (count > m_rest.size()) {
        setFaulty();
        return {};
    }
    const std::string_view taken = m_rest.substr(0, count);
    m_rest.remove_prefix(count);
    return taken;
}

std::uint64_t PackReader::number()
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < kNumberBits; shift += kGroupBits) {
        const std::string_view one = bytes(1);
        if (one.empty())
            return 0;
        value |= (byteOf(one[0]) & kGroupMask) << shift;
        if ((byteOf(one[0]) & kMoreFlag) == 0)
            return value;
    }
    setFaulty();
    return 0;
}

std::int64_t PackReader::difference(std::int64_t &last)
{
    const std::uint64_t coded = number();
    const std::uint64_t step = (coded & 1) != 0 ? ~(coded >> 1) : coded >> 1;
    last = static_cast<std::int64_t>(static_cast<std::uint64_t>(last) + step);
    return last;
}

std::uint32_t PackReader::fixed()
{
    const std::string_view taken = bytes(sizeof(std::uint32_t));
    std::uint32_t value = 0;
    for (std::size_t n = 0; n < taken.size(); ++n)
        value |= static_cast<std::uint32_t>(byteOf(taken[n])) << (n * kByteBits);
    return value;
}

std::string PackReader::text()
{
    return std::string(bytes(number()));
}

std::string PackReader::name()
{
    const std::uint64_t shared = number();
    if (shared > m_lastName.size()) {
        setFaulty();
        return {};
    }
    m_lastName.resize(shared);
    m_lastName += text();
    return m_lastName;
}

} // namespace hyssop::entry
