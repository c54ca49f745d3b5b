#include "Timers.h"

namespace hyssop::routing {

std::optional<Timer> Timers::takeDue(base::TimePoint now)
{
    if (m_timers.empty() || m_timers.begin()->at > now)
        return std::nullopt;
    return std::move(m_timers.extract(m_timers.begin()).value());
}

base::TimePoint Timers::next() const
{
    return m_timers.empty() ? base::TimePoint::max() : m_timers.begin()->at;
}

} // namespace hyssop::routing
