#pragma once

#include "routing/Routing.h"

namespace hyssop::routing {

/// Whether one upstream is to be left out for a while because attempts there fail.
class OutlierTracker
{
public:
    /// An attempt went well, up to its first token at least.
    void recordSuccess();
    /// True: the failures in a row have reached the bound, so that the upstream may be ejected.
    bool recordFailure(AttemptFault fault);
    /// Ejects it; each ejection without a success between lasts twice as long.
    base::Millis eject(base::TimePoint now);
    bool isEjected(base::TimePoint now) const { return now < m_ejectedUntil; }
    /// Back from an ejection and not yet proven: takes one attempt at a time.
    bool isProbing() const { return m_isProbing; }
    base::TimePoint ejectedUntil() const { return m_ejectedUntil; }

    static constexpr int kMaxConsecutiveFailures = 3; ///< In a row.
    static constexpr base::Millis kInitialEjection{1'000};
    static constexpr base::Millis kMaxEjection{60'000};

private:
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0;
    bool m_isProbing = false;
    base::TimePoint m_ejectedUntil{};
};

} // namespace hyssop::routing
