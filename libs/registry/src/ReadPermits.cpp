#include "ReadPermits.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Prompts of a service read at once: the second one fills the engines that the first leaves early.
constexpr std::size_t kMostHeld = 2;
/// Between two grants; hosts have then told each other what the first one chose.
constexpr base::Millis kGrantInterval{30};
/// A host that never tells the end, as one that was killed, holds this time for placing the prompt
/// and its share of the reading on one engine: three engines are free for it at the least.
constexpr base::Millis kPlacingHold{700};
constexpr std::int64_t kLeastReaders = 3;
constexpr base::Millis kLongestHold{4'000};
/// One that has waited this long goes before shorter ones.
constexpr base::Millis kPatience{1'500};

} // namespace

base::Millis ReadPermits::holdLimit(const fleet::PermitRequest &request)
{
    return std::min(kLongestHold, kPlacingHold + base::Millis(request.readMs / kLeastReaders));
}

void ReadPermits::forgetEarlierStarts(const fleet::PermitKey &key)
{
    const auto isEarlier = [&key](const fleet::PermitKey &other) {
        return other.host == key.host && other.start != key.start;
    };
    std::erase_if(m_held, [&](const auto &it) { return isEarlier(it.first); });
    std::erase_if(m_waiting, [&](const Waiting &it) { return isEarlier(it.request.key); });
}

void ReadPermits::ask(const fleet::PermitRequest &request, Answer answer, base::TimePoint now)
{
    forgetEarlierStarts(request.key);
    m_waiting.push_back({request, std::move(answer), now});
    tick(now);
}

void ReadPermits::release(const fleet::PermitKey &key, base::TimePoint now)
{
    m_held.erase(key);
    std::erase_if(m_waiting, [&key](const Waiting &it) { return it.request.key == key; });
    tick(now);
}

std::size_t ReadPermits::heldOf(const base::ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_held.begin(), m_held.end(),
                          [&service](const auto &it) { return it.second.service == service; }));
}

std::vector<ReadPermits::Waiting>::iterator ReadPermits::next(base::TimePoint now)
{
    auto best = m_waiting.end();
    const auto rank = [now](const Waiting &it) {
        const bool isLate = now >= it.since + it.request.lateAfter;
        const bool isPatient = !isLate && now >= it.since + kPatience;
        const int rank = it.request.isHeavy ? 3 : isLate ? 2 : isPatient ? 0 : 1;
        return std::pair(rank, isPatient ? std::int64_t(0) : it.request.readMs);
    };
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        const std::size_t most = it->request.isHeavy ? 1 : kMostHeld;
        if (heldOf(it->request.service) >= most)
            continue;
        if (best == m_waiting.end() || rank(*it) < rank(*best))
            best = it;
    }
    return best;
}

void ReadPermits::tick(base::TimePoint now)
{
    std::erase_if(m_held, [now](const auto &it) { return now >= it.second.until; });
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (now < it->since + it->request.wait) {
            ++it;
            continue;
        }
        const Answer answer = std::move(it->answer);
        it = m_waiting.erase(it);
        answer(false);
    }
    if (now < m_grantedAt + kGrantInterval)
        return;
    const auto it = next(now);
    if (it == m_waiting.end())
        return;
    m_grantedAt = now;
    m_held[it->request.key] = {it->request.service, now + holdLimit(it->request)};
    const Answer answer = std::move(it->answer);
    m_waiting.erase(it);
    answer(true);
}

} // namespace hyssop::registry
