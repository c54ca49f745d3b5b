#include "OutstandingSelector.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace hyssop::entry {

namespace {

/// Change in tokens that counts as much as one more round since the last report.
constexpr std::int64_t kTokensPerRound = 2'000;
/// Rounds after which receivers will soon drop a report; it then goes before any change.
constexpr std::int64_t kOverdueRounds = 5;
constexpr std::int64_t kOverduePriority = std::int64_t(1) << 50;

} // namespace

std::int64_t OutstandingSelector::priority(const routing::PeerLoadReport &report) const
{
    if (report.requests == 0)
        return std::numeric_limits<std::int64_t>::max();
    const auto it = m_sentReports.find(report.upstream);
    if (it == m_sentReports.end())
        return report.promptTokens.count() + kOverdueRounds * kTokensPerRound;
    const std::int64_t roundsSinceSent = m_round - it->second.round;
    const std::int64_t change =
            std::abs(report.promptTokens.count() - it->second.report.promptTokens.count());
    const std::int64_t overdue = roundsSinceSent >= kOverdueRounds ? kOverduePriority : 0;
    return overdue + change + roundsSinceSent * kTokensPerRound;
}

std::vector<routing::PeerLoadReport> OutstandingSelector::select(
        std::vector<routing::PeerLoadReport> reports)
{
    ++m_round;
    if (reports.size() > kMaxReports) {
        std::vector<std::pair<std::int64_t, std::size_t>> order;
        order.reserve(reports.size());
        for (std::size_t n = 0; n < reports.size(); ++n)
            order.emplace_back(priority(reports[n]), n);
        std::stable_sort(order.begin(), order.end(),
                         [](const auto &a, const auto &b) { return a.first > b.first; });
        order.resize(kMaxReports);
        std::sort(order.begin(), order.end(),
                  [](const auto &a, const auto &b) { return a.second < b.second; });
        std::vector<routing::PeerLoadReport> chosen;
        chosen.reserve(kMaxReports);
        for (const auto &[rank, n] : order)
            chosen.push_back(std::move(reports[n]));
        reports = std::move(chosen);
    }
    for (const routing::PeerLoadReport &report : reports)
        m_sentReports[report.upstream] = {report, m_round};
    std::erase_if(m_sentReports, [this](const auto &it) {
        return m_round - it.second.round > kOverdueRounds * 4;
    });
    return reports;
}

} // namespace hyssop::entry
