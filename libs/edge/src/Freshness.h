#pragma once

#include "base/Base.h"

#include <optional>

namespace hyssop::edge {

/// How old the certainty is that no newer configuration was accepted. No I/O.
///
/// A confirmation counts from when it was asked for: nothing accepted after that is excluded by it.
class Freshness
{
public:
    Freshness(base::Millis revokeBound, base::Millis configurationBound);

    /// The held configuration was the newest at some moment since \a askedAt.
    void confirm(base::TimePoint askedAt);
    bool wasConfirmed() const { return m_confirmedAt.has_value(); }
    /// Whether a key that the configuration holds may be used.
    bool canAcceptKeys(base::TimePoint now) const;
    /// Whether what the configuration lacks does not exist.
    bool isCurrent(base::TimePoint now) const;
    base::Millis confirmationAge(base::TimePoint now) const;

private:
    base::Millis m_keyMaxAge;
    base::Millis m_currentMaxAge;
    std::optional<base::TimePoint> m_confirmedAt;
};

} // namespace hyssop::edge
