#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssop::entry {

/// Compact binary writer. Unsigned numbers are varints, signed numbers are zigzag-coded deltas to
/// the previous value, and names omit the prefix that they share with the previous name.
class PackWriter
{
public:
    /// Seven bits in each byte, least significant first.
    void varint(std::uint64_t value);
    /// The delta to \a last, which is set to \a value.
    void delta(std::int64_t value, std::int64_t &last);
    /// Four bytes, least significant first.
    void fixed32(std::uint32_t value);
    /// Length and bytes.
    void string(std::string_view value);
    /// A string without the prefix shared with the previous one. Most compact for sorted names.
    void prefixCompressed(std::string_view value);

    /// Returns the bytes; the writer is not used afterwards.
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
    std::string m_previousName;
};

/// Reads the bytes of PackWriter, in the same order of calls. After malformed input every further
/// value is zero or empty. The bytes must outlive the reader.
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

    /// Whether bytes are left and no malformed input was met.
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
