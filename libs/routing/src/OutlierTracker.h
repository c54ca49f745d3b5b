#pragma once

#include "routing/Routing.h"

namespace hyssop::routing {

/// Outlier detection for one upstream: ejects it for a time when attempts fail in a row.
class OutlierTracker
{
public:
    /// Called when an attempt delivered its first token or finished.
    void recordSuccess();
    /// Returns true if the upstream should be ejected: it failed kMaxConsecutiveFailures times in a
    /// row, or once while probing.
    bool recordFailure(AttemptFault fault);
    /// Ejects the upstream and returns the duration, which doubles until an attempt succeeds.
    base::Millis eject(base::TimePoint now);
    bool isEjected(base::TimePoint now) const { return now < m_ejectedUntil; }
    /// Ejected before and without a success since: takes one attempt at a time.
    bool isProbing() const { return m_isProbing; }
    base::TimePoint ejectedUntil() const { return m_ejectedUntil; }

    static constexpr int kMaxConsecutiveFailures = 3;
    static constexpr base::Millis kInitialEjection{1'000};
    static constexpr base::Millis kMaxEjection{60'000};

private:
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0;
    bool m_isProbing = false;
    base::TimePoint m_ejectedUntil{};
};

} // namespace hyssop::routing
