#pragma once

#include "base/Base.h"

#include <optional>
#include <set>

namespace hyssop::routing {

/// Kind of a request's timer.
enum class TimerKind { Deadline, Retry, Progress, LatestStart };

struct Timer
{
    base::TimePoint at;
    TimerKind kind = TimerKind::Deadline;
    base::RequestId request;

    auto operator<=>(const Timer &other) const = default;
};

/// Timers of requests, ordered by due time.
class Timers
{
public:
    void add(Timer timer) { m_timers.insert(std::move(timer)); }
    void remove(const Timer &timer) { m_timers.erase(timer); }
    /// Removes and returns the earliest timer that is due.
    std::optional<Timer> takeDue(base::TimePoint now);
    /// Time of the earliest timer; TimePoint::max() if there is none.
    base::TimePoint next() const;

private:
    std::set<Timer> m_timers;
};

} // namespace hyssop::routing
