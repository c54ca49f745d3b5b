#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace hyssop::harness {

/// What must always hold, in the users' order.
enum class Promise {
    EndsInTime,
    MemoryReturns,
    OwnWholeAnswer,
    NotRunIsTrue,
    AtMostOnce,
    LeavingGetsNothing,
    GracefulStop,
    ConfigurationHolds,
};

inline constexpr std::size_t kPromises = 8;

/// Counts how often each promise was checked and how often it was broken.
class Scorecard
{
public:
    /// \a what is kept when the check is the first that fails.
    void check(Promise promise, bool isKept, const std::string &what);
    std::int64_t checked(Promise promise) const;
    std::int64_t broken(Promise promise) const;
    std::int64_t brokenInAll() const;
    /// One line for each promise.
    std::string text() const;

private:
    struct Tally
    {
        std::int64_t checked = 0;
        std::int64_t broken = 0;
        std::string first;
    };
    std::array<Tally, kPromises> m_tallies;
};

} // namespace hyssop::harness
