#include "SizeShares.h"

#include <algorithm>
#include <numeric>

namespace hyssop::registry {

namespace {

/// Prompts of a kind that are remembered, and for how long.
constexpr std::size_t kMaxPrompts = 200;
constexpr base::Millis kPromptLifetime{60'000};
/// Fewer prompts tell nothing about ranks.
constexpr std::size_t kMinPrompts = 10;
/// Position in the order of size at which each rank begins.
constexpr std::array<double, kSizeRanks> kRankBegins{0, 0.7, 0.9};
/// A rank is due half of the share of its kind. Some prompts are granted a permit and then not
/// served, so a little more is aimed at.
constexpr double kMinRelativeShare = 0.65;
/// Prompts by which a rank may fall short of that. A few are refused by chance.
constexpr double kAllowedShortfall = 0.5;

} // namespace

std::string_view sizeRankName(SizeRank rank)
{
    switch (rank) {
    case SizeRank::Rest:
        return "rest";
    case SizeRank::NextFifth:
        return "next_fifth";
    case SizeRank::LargestTenth:
        return "largest_tenth";
    }
    return "unknown";
}

KindShares::KindShares(std::vector<PromptEnd> prompts)
{
    if (prompts.size() < kMinPrompts)
        return;
    std::sort(prompts.begin(), prompts.end(),
              [](const auto &a, const auto &b) { return a.prefillMs < b.prefillMs; });
    for (std::size_t rank = 0; rank < kSizeRanks; ++rank) {
        const auto begin =
                static_cast<std::size_t>(static_cast<double>(prompts.size()) * kRankBegins[rank]);
        m_lowest[rank] = prompts[begin].prefillMs;
    }
    for (const PromptEnd &it : prompts) {
        const auto rank = static_cast<std::size_t>(rankOf(it.prefillMs));
        ++m_asked[rank];
        m_served[rank] += it.isServed ? 1 : 0;
    }
}

SizeRank KindShares::rankOf(std::int64_t prefillMs) const
{
    std::size_t rank = kSizeRanks - 1;
    while (rank > 0 && prefillMs < m_lowest[rank])
        --rank;
    return static_cast<SizeRank>(rank);
}

double KindShares::servedLikeKind(SizeRank rank) const
{
    const int asked = std::accumulate(m_asked.begin(), m_asked.end(), 0);
    const int served = std::accumulate(m_served.begin(), m_served.end(), 0);
    const int askedOfRank = m_asked[static_cast<std::size_t>(rank)];
    return asked > 0 ? static_cast<double>(askedOfRank) * served / asked : 0;
}

double KindShares::relativeShare(SizeRank rank) const
{
    const double due = servedLikeKind(rank);
    return due > 0 ? m_served[static_cast<std::size_t>(rank)] / due : 1;
}

bool KindShares::isPassedOver(SizeRank rank) const
{
    return m_served[static_cast<std::size_t>(rank)] + kAllowedShortfall
           <= kMinRelativeShare * servedLikeKind(rank);
}

void SizeShares::record(const PromptKind &kind, const PromptEnd &prompt, base::TimePoint now)
{
    auto &ended = m_ended[kind];
    ended.push_back({prompt, now});
    while (ended.size() > kMaxPrompts || now >= ended.front().at + kPromptLifetime)
        ended.pop_front();
    std::erase_if(m_ended,
                  [now](const auto &it) { return now >= it.second.back().at + kPromptLifetime; });
}

std::vector<PromptKind> SizeShares::kinds() const
{
    std::vector<PromptKind> kinds;
    for (const auto &[kind, ended] : m_ended)
        kinds.push_back(kind);
    return kinds;
}

KindShares SizeShares::sharesOf(const PromptKind &kind, const std::vector<PromptEnd> &pending,
                                base::TimePoint now) const
{
    std::vector<PromptEnd> prompts = pending;
    const auto ended = m_ended.find(kind);
    if (ended != m_ended.end()) {
        for (const RecordedEnd &it : ended->second) {
            if (now < it.at + kPromptLifetime)
                prompts.push_back(it.prompt);
        }
    }
    return KindShares(std::move(prompts));
}

} // namespace hyssop::registry
