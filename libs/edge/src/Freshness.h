#pragma once

#include "base/Base.h"

#include <optional>

namespace hyssop::edge {

/// Tracks how long ago the held configuration was confirmed to be the newest. No I/O.
///
/// A confirmation counts from the time of its request, because it does not cover configurations
/// accepted later.
class Freshness
{
public:
    Freshness(base::Millis revocationBound, base::Millis propagationBound);

    /// The held configuration was the newest at some time after \a requestedAt.
    void confirm(base::TimePoint requestedAt);
    bool wasConfirmed() const { return m_confirmedAt.has_value(); }
    /// Whether the keys of the held configuration may be accepted.
    bool canAcceptKeys(base::TimePoint now) const;
    /// Whether routes and keys that are missing here may be reported as unknown.
    bool isCurrent(base::TimePoint now) const;
    /// Time since the last confirmation was requested; -1 ms when there is none.
    base::Millis confirmationAge(base::TimePoint now) const;

private:
    base::Millis m_keyMaxAge;
    base::Millis m_currentMaxAge;
    std::optional<base::TimePoint> m_confirmedAt;
};

} // namespace hyssop::edge
