#include "ReportedLoad.h"

#include <algorithm>

namespace hyssop::routing {

namespace {

constexpr base::Millis kWindow{1'000}; ///< Longer than the delay of reports.
constexpr base::Millis kMaxReportAge{2'000};

} // namespace

void ReportedLoad::advanceWindow(base::TimePoint now)
{
    if (now - m_windowStart < kWindow)
        return;
    m_previousWindowPeak = now - m_windowStart < 2 * kWindow ? m_windowPeak : base::Tokens();
    m_windowPeak = {};
    m_windowStart = now;
}

void ReportedLoad::recordKnown(base::Tokens known, base::TimePoint now)
{
    advanceWindow(now);
    m_windowPeak = std::max(m_windowPeak, known);
}

void ReportedLoad::update(const LoadReported &event, base::Tokens known, base::TimePoint now)
{
    recordKnown(known, now);
    const base::Tokens peak = std::max(m_windowPeak, m_previousWindowPeak);
    m_unattributed = std::max(base::Tokens(), event.queuedPromptTokens - peak);
    m_sampledAt = now - event.age;
}

base::Tokens ReportedLoad::unattributed(double rate, base::TimePoint now) const
{
    if (m_unattributed.count() == 0 || now - m_sampledAt > kMaxReportAge)
        return {};
    const double seconds = std::chrono::duration<double>(now - m_sampledAt).count();
    const base::Tokens computed(static_cast<std::int64_t>(rate * seconds));
    return std::max(base::Tokens(), m_unattributed - computed);
}

} // namespace hyssop::routing
