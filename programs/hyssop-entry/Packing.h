#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssop::entry {

/// Writes rows in few bytes: numbers in groups of seven bits, signed ones as the difference from
/// the last, and names by what they do not share with the last.
class PackWriter
{
public:
    void varint(std::uint64_t value);
    /// A number that is near \a last; keeps it there for the next row.
    void delta(std::int64_t value, std::int64_t &last);
    void fixed32(std::uint32_t value);
    void string(std::string_view value);
    /// A name, in an order in which names that follow each other begin alike.
    void prefixCompressed(std::string_view value);

    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
    std::string m_previousName;
};

/// Reads what PackWriter wrote. A fault is kept: what is read after it is empty.
class PackReader
{
public:
    explicit PackReader(std::string_view bytes)
        : m_remaining(bytes)
    { }

    std::uint64_t varint();
    std::int64_t delta(std::int64_t &last);
    std::uint32_t fixed32();
    std::string string();
    std::string prefixCompressed();

    /// Whether there is more, and no fault so far.
    bool hasMore() const { return !m_isMalformed && !m_remaining.empty(); }
    bool isMalformed() const { return m_isMalformed; }

private:
    std::string_view takeBytes(std::uint64_t count);
    void setMalformed();

    std::string_view m_remaining;
    std::string m_previousName;
    bool m_isMalformed = false;
};

} // namespace hyssop::entry
