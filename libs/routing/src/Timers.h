#pragma once

#include "base/Base.h"

#include <optional>
#include <set>

namespace hyssop::routing {

/// What a request waits for.
enum class TimerKind { Deadline, Retry, Progress, LatestStart };

struct Timer
{
    base::TimePoint at;
    TimerKind kind = TimerKind::Deadline;
    base::RequestId request;

    auto operator<=>(const Timer &other) const = default;
};

/// Timers of requests in the order in which they are due.
class Timers
{
public:
    void add(Timer timer) { m_timers.insert(std::move(timer)); }
    void remove(const Timer &timer) { m_timers.erase(timer); }
    /// Takes the earliest timer that is due.
    std::optional<Timer> takeDue(base::TimePoint now);
    base::TimePoint next() const;

private:
    std::set<Timer> m_timers;
};

} // namespace hyssop::routing
