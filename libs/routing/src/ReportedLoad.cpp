#include "ReportedLoad.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr base::Millis kWindow{1'000}; ///< Longer than reports lag.
constexpr base::Millis kTooOld{2'000};

} // namespace

void ReportedLoad::roll(base::TimePoint now)
{
    if (now - m_windowStart < kWindow)
        return;
    m_mostBefore = now - m_windowStart < 2 * kWindow ? m_mostNow : base::Tokens();
    m_mostNow = {};
    m_windowStart = now;
}

void ReportedLoad::noteKnown(base::Tokens known, base::TimePoint now)
{
    roll(now);
    m_mostNow = std::max(m_mostNow, known);
}

void ReportedLoad::report(const LoadReported &event, base::Tokens known, base::TimePoint now)
{
    noteKnown(known, now);
    const base::Tokens most = std::max(m_mostNow, m_mostBefore);
    m_unknown = std::max(base::Tokens(), event.queuedPrompt - most);
    m_takenAt = now - event.age;
}

base::Tokens ReportedLoad::unknown(double rate, base::TimePoint now) const
{
    if (m_unknown.count() == 0 || now - m_takenAt > kTooOld)
        return {};
    const double seconds = std::chrono::duration<double>(now - m_takenAt).count();
    const base::Tokens computed(static_cast<std::int64_t>(rate * seconds));
    return std::max(base::Tokens(), m_unknown - computed);
}

} // namespace hyssop::routing
