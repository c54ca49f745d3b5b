#pragma once

#include "base/Base.h"

namespace hyssop::registry {

/// Limits how often a growing revision is published. The first change is published at once, those
/// that follow within an interval together at its end.
class PublishedRevision
{
public:
    explicit PublishedRevision(base::Millis interval)
        : m_interval(interval)
    { }

    /// The revision to publish at \a now, when the latest one is \a revision.
    std::int64_t read(std::int64_t revision, base::TimePoint now)
    {
        if (isBehind(revision) && now >= m_nextAt) {
            m_published = revision;
            m_nextAt = now + m_interval;
        }
        return m_published;
    }
    bool isBehind(std::int64_t revision) const { return revision != m_published; }

private:
    base::Millis m_interval;
    std::int64_t m_published = 0;
    base::TimePoint m_nextAt{};
};

} // namespace hyssop::registry
