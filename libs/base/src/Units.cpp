#include "base/Base.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <ctime>

namespace hyssop::base {

TimePoint monotonicNow()
{
    // CLOCK_MONOTONIC stands still while the machine is suspended, and a lease must not.
    timespec now{};
    if (clock_gettime(CLOCK_BOOTTIME, &now) != 0)
        return std::chrono::steady_clock::now();
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::string Endpoint::text() const
{
    return fmt::format("{}:{}", address, port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.begin(), digits.end(), endpoint.port);
    if (ec != std::errc() || end != digits.end())
        return std::nullopt;
    return endpoint;
}

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash ^ (hash >> 32);
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest)
        fmt::format_to(std::back_inserter(hex), "{:02x}", byte);
    return hex;
}

} // namespace hyssop::base
