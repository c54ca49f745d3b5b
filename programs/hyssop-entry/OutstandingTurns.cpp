#include "OutstandingTurns.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace hyssop::entry {

namespace {

/// Tokens of change that weigh as much as one more beat of silence.
constexpr std::int64_t kTokensPerBeat = 2'000;
/// Beats after which a host's word would soon be dropped; such a row goes before any change.
constexpr std::int64_t kOverdueBeats = 5;
constexpr std::int64_t kOverdue = std::int64_t(1) << 50;

} // namespace

std::int64_t OutstandingTurns::urgency(const routing::PeerOutstanding &report) const
{
    if (report.requests == 0)
        return std::numeric_limits<std::int64_t>::max();
    const auto it = m_told.find(report.upstream);
    if (it == m_told.end())
        return report.prompt.count() + kOverdueBeats * kTokensPerBeat;
    const std::int64_t silence = m_beat - it->second.beat;
    const std::int64_t change = std::abs(report.prompt.count() - it->second.report.prompt.count());
    const std::int64_t overdue = silence >= kOverdueBeats ? kOverdue : 0;
    return overdue + change + silence * kTokensPerBeat;
}

std::vector<routing::PeerOutstanding> OutstandingTurns::choose(
        std::vector<routing::PeerOutstanding> reports)
{
    ++m_beat;
    if (reports.size() > kMaxRows) {
        std::vector<std::pair<std::int64_t, std::size_t>> order;
        order.reserve(reports.size());
        for (std::size_t n = 0; n < reports.size(); ++n)
            order.emplace_back(urgency(reports[n]), n);
        std::stable_sort(order.begin(), order.end(),
                         [](const auto &a, const auto &b) { return a.first > b.first; });
        order.resize(kMaxRows);
        std::sort(order.begin(), order.end(),
                  [](const auto &a, const auto &b) { return a.second < b.second; });
        std::vector<routing::PeerOutstanding> chosen;
        chosen.reserve(kMaxRows);
        for (const auto &[urgency, n] : order)
            chosen.push_back(std::move(reports[n]));
        reports = std::move(chosen);
    }
    for (const routing::PeerOutstanding &report : reports)
        m_told[report.upstream] = {report, m_beat};
    std::erase_if(m_told,
                  [this](const auto &it) { return m_beat - it.second.beat > kOverdueBeats * 4; });
    return reports;
}

} // namespace hyssop::entry
