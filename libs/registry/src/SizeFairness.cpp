#include "SizeFairness.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Entries of a route that are compared with each other.
constexpr std::size_t kMaxEntries = 256;
constexpr std::chrono::minutes kMaxAge{2};
/// Size groups that are compared with the whole route, as upper bounds of the share of its prompts
/// that are larger: the largest tenth, and the fifth below it.
constexpr double kLargestGroup = 0.1;
constexpr double kNextGroup = 0.3;
/// A group is underserved below this ratio between its served share and that of the route. Some
/// permits are granted to prompts that fail afterwards.
constexpr double kMinShareRatio = 0.6;

} // namespace

void SizeFairness::removeExpired(base::TimePoint now)
{
    for (auto &[route, entries] : m_prompts) {
        while (!entries.empty() && now >= entries.front().addedAt + kMaxAge)
            entries.pop_front();
    }
    std::erase_if(m_prompts, [](const auto &it) { return it.second.empty(); });
}

void SizeFairness::add(const fleet::PermitRequest &request, base::TimePoint now)
{
    removeExpired(now);
    auto &entries = m_prompts[{request.service, request.route}];
    if (request.withoutPermit.ended > 0)
        entries.push_back({{}, 0, request.withoutPermit.ended, request.withoutPermit, now});
    entries.push_back({request.key, request.prefillMs, 1, {}, now});
    while (entries.size() > kMaxEntries)
        entries.pop_front();
}

void SizeFairness::setOutcome(const fleet::PermitKey &key, bool isServed)
{
    for (auto &[route, entries] : m_prompts) {
        const auto it = std::find_if(entries.rbegin(), entries.rend(),
                                     [&key](const Prompts &entry) { return entry.key == key; });
        if (it == entries.rend())
            continue;
        it->share = {isServed ? 1 : 0, 1};
        return;
    }
}

bool SizeFairness::isUnderserved(const fleet::PermitRequest &request) const
{
    const auto route = m_prompts.find({request.service, request.route});
    if (route == m_prompts.end())
        return false;
    fleet::ServedShare all;
    double count = 0;
    double largerCount = 0;
    std::vector<const Prompts *> bySize;
    for (const Prompts &it : route->second) {
        all += it.share;
        count += static_cast<double>(it.count);
        largerCount += it.prefillMs > request.prefillMs ? static_cast<double>(it.count) : 0;
        bySize.push_back(&it);
    }
    const bool isInLargestGroup = largerCount < count * kLargestGroup;
    const double groupBegin = isInLargestGroup ? 0 : count * kLargestGroup;
    const double groupEnd = count * (isInLargestGroup ? kLargestGroup : kNextGroup);
    if (largerCount >= groupEnd)
        return false;
    std::sort(bySize.begin(), bySize.end(),
              [](const auto *a, const auto *b) { return a->prefillMs > b->prefillMs; });
    fleet::ServedShare group;
    double rank = 0;
    for (const Prompts *it : bySize) {
        if (it->prefillMs > 0 && rank >= groupBegin && rank < groupEnd)
            group += it->share;
        rank += static_cast<double>(it->count);
    }
    if (all.served == 0 || group.ended == 0)
        return all.served > 0;
    return static_cast<double>(group.served) / static_cast<double>(group.ended)
           < kMinShareRatio * static_cast<double>(all.served) / static_cast<double>(all.ended);
}

} // namespace hyssop::registry
