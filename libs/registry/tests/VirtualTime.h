#pragma once

#include "base/Base.h"

#include <queue>

namespace hyssop::registry {

/// Runs steps in the order of their times, those of one time in the order in which they were added.
class VirtualTime
{
protected:
    using Step = std::function<void()>;

    explicit VirtualTime(base::TimePoint start)
        : m_now(start)
    { }
    ~VirtualTime() = default;

    void scheduleAt(base::TimePoint at, Step step)
    {
        m_steps.push({at, ++m_lastStep, std::move(step)});
    }

    /// Runs one step. Returns false when there is none.
    bool runNext()
    {
        if (m_steps.empty())
            return false;
        const ScheduledStep next = m_steps.top();
        m_steps.pop();
        m_now = next.at;
        next.step();
        return true;
    }

    base::TimePoint m_now;

private:
    struct ScheduledStep
    {
        base::TimePoint at;
        std::int64_t number;
        Step step;
        bool operator<(const ScheduledStep &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    std::priority_queue<ScheduledStep> m_steps;
    std::int64_t m_lastStep = 0;
};

} // namespace hyssop::registry
