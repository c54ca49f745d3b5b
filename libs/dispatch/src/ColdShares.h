#pragma once

#include "dispatch/Dispatch.h"

#include <deque>
#include <optional>

namespace hyssop::dispatch {

/// Requests that this host sent lately to a cold upstream.
class ColdRequests
{
public:
    /// The bound of a cold upstream holds for any one second.
    static constexpr base::Millis kWindow{1'000};

    void record(base::TimePoint now);
    int count(base::TimePoint now) const;
    /// When fewer than \a limit requests of the window are left. \a limit must be above 0.
    base::TimePoint belowLimitAt(int limit, base::TimePoint now) const;

private:
    std::deque<base::TimePoint> m_sentAt; ///< Ascending.
};

/// Divides what a cold upstream bears among the entry hosts, without messages between them. Does no
/// I/O.
///
/// With few hosts, each may send the same number of requests in any one second. With many, less
/// than one request a second would be left for each, and all of them might still send one at the
/// same moment. So only some of the hosts send there at all: each decides by a hash of its own id
/// and the start of the upstream whether it is one of them, so often that a number of hosts above
/// the bound is not to be expected. The sum then holds whatever the hosts know of each other, also
/// without a leader and for hosts that were paused.
class ColdShares
{
public:
    explicit ColdShares(base::HostId self)
        : m_self(std::move(self))
    { }

    /// Requests from all hosts together that a cold upstream of a service bears in any one second.
    /// Services without a bound are left out.
    void setBounds(std::map<base::ServiceId, double> bounds) { m_bounds = std::move(bounds); }
    /// Number of entry hosts, this one included.
    void setHostCount(int count) { m_hostCount = std::max(1, count); }
    /// Requests that this host may send to \a upstream in any one second while it is cold. Not set
    /// without a bound.
    std::optional<int> share(const fleet::Upstream &upstream) const;

private:
    base::HostId m_self;
    std::map<base::ServiceId, double> m_bounds;
    int m_hostCount = 1;
};

} // namespace hyssop::dispatch
