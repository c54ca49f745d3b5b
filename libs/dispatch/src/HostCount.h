#pragma once

#include "base/Base.h"

#include <deque>

namespace hyssop::dispatch {

/// Number of entry hosts among which common limits are divided: the highest one that was reported
/// lately. A control host that has just started counts only the hosts that have reached it since.
class HostCount
{
public:
    void record(int count, base::TimePoint now);
    /// At least 1.
    int current(base::TimePoint now) const;

private:
    struct Report
    {
        int count = 0;
        base::TimePoint at;
    };
    std::deque<Report> m_reports; ///< Counts fall and times rise from the first to the last one.
};

} // namespace hyssop::dispatch
