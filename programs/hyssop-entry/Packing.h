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
    void number(std::uint64_t value);
    /// A number that is near \a last; keeps it there for the next row.
    void difference(std::int64_t value, std::int64_t &last);
    void fixed(std::uint32_t value);
    void text(std::string_view value);
    /// A name, in an order in which names that follow each other begin alike.
    void name(std::string_view value);

    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
    std::string m_lastName;
};

/// Reads what PackWriter wrote. A fault is kept: what is read after it is empty.
class PackReader
{
public:
    explicit PackReader(std::string_view bytes)
        : m_rest(bytes)
    { }

    std::uint64_t number();
    std::int64_t difference(std::int64_t &last);
    std::uint32_t fixed();
    std::string text();
    std::string name();

    /// Whether there is more, and no fault so far.
    bool hasMore() const { return !m_isFaulty && !m_rest.empty(); }
    bool isFaulty() const { return m_isFaulty; }

private:
    std::string_view bytes(std::uint64_t count);
    void setFaulty();

    std::string_view m_rest;
    std::string m_lastName;
    bool m_isFaulty = false;
};

} // namespace hyssop::entry
