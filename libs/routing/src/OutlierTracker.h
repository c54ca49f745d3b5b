#pragma once

#include "routing/Routing.h"

namespace hyssop::routing {

/// Whether one upstream is to be left out for a while because attempts there fail.
class OutlierTracker
{
public:
    /// An attempt went well, up to its first token at least.
    void succeeded();
    /// True: the failures in a row have reached the bound, so that the upstream may be ejected.
    bool failed(AttemptFault fault);
    /// Ejects it; each ejection without a success between lasts twice as long.
    base::Millis eject(base::TimePoint now);
    bool isEjected(base::TimePoint now) const { return now < m_until; }
    /// Back from an ejection and not yet proven: takes one attempt at a time.
    bool isOnTrial() const { return m_isOnTrial; }
    base::TimePoint until() const { return m_until; }

    static constexpr int kMaxFailures = 3; ///< In a row.
    static constexpr base::Millis kFirstEjection{1'000};
    static constexpr base::Millis kLongestEjection{60'000};

private:
    int m_failures = 0;
    int m_ejections = 0;
    bool m_isOnTrial = false;
    base::TimePoint m_until{};
};

} // namespace hyssop::routing
