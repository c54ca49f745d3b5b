#pragma once

#include "base/Base.h"

#include <array>
#include <deque>
#include <map>
#include <string>

namespace hyssop::registry {

/// Prompts of one kind, whose sizes are compared with each other.
struct PromptKind
{
    base::ServiceId service;
    std::string route;

    auto operator<=>(const PromptKind &other) const = default;
};

/// Rank of a prompt among those of its kind by size, which is given by its prefill time.
enum class SizeRank { Rest, NextFifth, LargestTenth };
constexpr std::size_t kSizeRanks = 3;

/// Name in logs.
std::string_view sizeRankName(SizeRank rank);

/// Prompt that ended, or that is expected to end so.
struct PromptEnd
{
    std::int64_t prefillMs = 0;
    bool isServed = false;
};

/// How often prompts of one kind were served, by size.
class KindShares
{
public:
    KindShares() = default;
    explicit KindShares(std::vector<PromptEnd> prompts);

    SizeRank rankOf(std::int64_t prefillMs) const;
    /// Share of a rank that was served, relative to the share of all; 1 when too little is known.
    double relativeShare(SizeRank rank) const;
    /// Whether a rank is served less often than it is due.
    bool isPassedOver(SizeRank rank) const;

private:
    /// Prompts of a rank that would have been served at the share of the kind.
    double servedLikeKind(SizeRank rank) const;

    std::array<std::int64_t, kSizeRanks> m_lowest{}; ///< Prefill time at which each rank begins.
    std::array<int, kSizeRanks> m_asked{};
    std::array<int, kSizeRanks> m_served{};
};

/// Prompts that ended lately, by kind. Does no I/O.
class SizeShares
{
public:
    void record(const PromptKind &kind, const PromptEnd &prompt, base::TimePoint now);
    /// Shares of a kind, with \a pending prompts counted as if they had ended.
    KindShares sharesOf(const PromptKind &kind, const std::vector<PromptEnd> &pending,
                        base::TimePoint now) const;

    std::vector<PromptKind> kinds() const;

private:
    struct RecordedEnd
    {
        PromptEnd prompt;
        base::TimePoint at;
    };
    std::map<PromptKind, std::deque<RecordedEnd>> m_ended;
};

} // namespace hyssop::registry
