#include "ReclaimPlan.h"

#include <algorithm>
#include <cassert>

namespace hyssop::entry {

namespace {

constexpr base::Millis kLeftoversDelay{1'000};
constexpr base::Millis kFirstBackoff{500};
constexpr base::Millis kMaxBackoff{10'000};
constexpr int kEngineListings = 2;
constexpr int kLogAnswers = 1;

} // namespace

bool covers(const EndedOwner &ended, const std::string &owner)
{
    const auto slash = owner.rfind('/');
    if (slash == std::string::npos || owner.substr(0, slash) != ended.host.text())
        return false;
    char *end = nullptr;
    const std::string digits = owner.substr(slash + 1);
    const std::int64_t incarnation = std::strtoll(digits.c_str(), &end, 10);
    return !digits.empty() && *end == '\0' && incarnation <= ended.incarnation.count();
}

base::HostId rendezvous(const std::string &item, const std::vector<base::HostId> &live)
{
    assert(!live.empty() && "no live host was given, not even this one");
    // The digest is the same on every host, whatever its build.
    const auto weight = [&](const base::HostId &host) {
        return std::pair(base::sha256Hex(item + '\n' + host.text()), host);
    };
    return *std::max_element(live.begin(), live.end(),
                             [&](const auto &a, const auto &b) { return weight(a) < weight(b); });
}

void ReclaimPlan::ended(const EndedOwner &owner, bool isOwn, base::TimePoint now)
{
    Owner &item = m_owners[owner];
    item.isOwn = item.isOwn || isOwn;
    item.since = now;
}

void ReclaimPlan::returned(const EndedOwner &owner)
{
    m_owners.erase(owner);
}

bool ReclaimPlan::isMine(const std::string &item, const Owner &owner,
                         const std::vector<base::HostId> &live) const
{
    return owner.isOwn || rendezvous(item, live) == m_self;
}

bool ReclaimPlan::take(Progress &progress, int emptyWanted, base::TimePoint now)
{
    const bool isWanted = !progress.isOpen && progress.emptyListings < emptyWanted;
    if (!isWanted || progress.due > now || m_open >= kMaxOpen)
        return false;
    progress.isOpen = true;
    ++m_open;
    return true;
}

void ReclaimPlan::dropEnded(const std::vector<base::UpstreamId> &engines, base::TimePoint now)
{
    std::erase_if(m_owners, [&](const auto &it) {
        const Owner &owner = it.second;
        if (now - owner.since < kLimit)
            return false;
        const auto isOpen = [&](const auto &one) {
            const bool isThere =
                    std::find(engines.begin(), engines.end(), one.first) != engines.end();
            return isThere && one.second.emptyListings < kEngineListings;
        };
        if (std::any_of(owner.engines.begin(), owner.engines.end(), isOpen))
            ++m_givenUp;
        return true;
    });
}

std::vector<ReclaimPlan::Step> ReclaimPlan::next(const std::vector<base::UpstreamId> &engines,
                                                 const std::vector<base::HostId> &live,
                                                 base::TimePoint now)
{
    dropEnded(engines, now);
    std::vector<Step> steps;
    for (auto &[ended, owner] : m_owners) {
        // The newest known process of a host covers the earlier ones.
        const auto later = m_owners.upper_bound(ended);
        if (later != m_owners.end() && later->first.host == ended.host && !owner.isOwn)
            continue;
        if (isMine("log of " + ended.host.text(), owner, live) && take(owner.log, kLogAnswers, now))
            steps.push_back({ended, std::nullopt});
        for (const base::UpstreamId &engine : engines) {
            if (isMine(engine.text(), owner, live)
                && take(owner.engines[engine], kEngineListings, now))
                steps.push_back({ended, engine});
        }
    }
    return steps;
}

void ReclaimPlan::done(const Step &step, Result result, base::TimePoint now)
{
    assert(m_open > 0 && "a step was ended that was not given out");
    --m_open;
    const auto it = m_owners.find(step.owner);
    if (it == m_owners.end())
        return;
    Progress &progress = step.engine ? it->second.engines[*step.engine] : it->second.log;
    progress.isOpen = false;
    switch (result) {
    case Result::Empty:
        ++progress.emptyListings;
        progress.backoff = base::Millis(0);
        progress.due = now + kSecondLook;
        break;
    case Result::Leftovers:
        progress.emptyListings = 0;
        progress.backoff = base::Millis(0);
        progress.due = now + kLeftoversDelay;
        break;
    case Result::Failed:
        progress.backoff = std::clamp(progress.backoff * 2, kFirstBackoff, kMaxBackoff);
        progress.due = now + progress.backoff;
        break;
    }
}

} // namespace hyssop::entry
