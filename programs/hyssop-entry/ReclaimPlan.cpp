#include "ReclaimPlan.h"

#include <algorithm>
#include <cassert>

namespace hyssop::entry {

namespace {

constexpr base::Millis kLeftoversDelay{1'000};
constexpr base::Millis kFirstBackoff{500};
constexpr base::Millis kMaxBackoff{10'000};
constexpr int kRequiredEmptyListings = 2;
constexpr int kRequiredLogReplies = 1;

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

base::HostId rendezvousHost(const std::string &item, const std::vector<base::HostId> &live)
{
    assert(!live.empty() && "the list of live hosts is empty");
    // The digest is the same on every host, independent of its build.
    const auto weight = [&](const base::HostId &host) {
        return std::pair(base::sha256Hex(item + '\n' + host.text()), host);
    };
    return *std::max_element(live.begin(), live.end(),
                             [&](const auto &a, const auto &b) { return weight(a) < weight(b); });
}

void ReclaimPlan::onOwnerEnded(const EndedOwner &owner, bool isOwnHost, base::TimePoint now)
{
    OwnerProgress &item = m_owners[owner];
    item.isOwnHost = item.isOwnHost || isOwnHost;
    item.endedAt = now;
}

void ReclaimPlan::onOwnerReturned(const EndedOwner &owner)
{
    m_owners.erase(owner);
}

bool ReclaimPlan::isAssignedHere(const std::string &item, const OwnerProgress &owner,
                                 const std::vector<base::HostId> &live) const
{
    return owner.isOwnHost || rendezvousHost(item, live) == m_self;
}

bool ReclaimPlan::tryStart(Progress &progress, int requiredEmptyResults, base::TimePoint now)
{
    const bool isNeeded = !progress.isOpen && progress.emptyResults < requiredEmptyResults;
    if (!isNeeded || progress.dueAt > now || m_openSteps >= kMaxOpenSteps)
        return false;
    progress.isOpen = true;
    ++m_openSteps;
    return true;
}

void ReclaimPlan::dropExpired(const std::vector<base::UpstreamId> &engines, base::TimePoint now)
{
    std::erase_if(m_owners, [&](const auto &it) {
        const OwnerProgress &owner = it.second;
        if (now - owner.endedAt < kReclaimPeriod)
            return false;
        const auto isOpen = [&](const auto &engine) {
            const bool isKnown =
                    std::find(engines.begin(), engines.end(), engine.first) != engines.end();
            return isKnown && engine.second.emptyResults < kRequiredEmptyListings;
        };
        if (std::any_of(owner.engines.begin(), owner.engines.end(), isOpen))
            ++m_givenUpCount;
        return true;
    });
}

std::vector<ReclaimPlan::Step> ReclaimPlan::nextSteps(const std::vector<base::UpstreamId> &engines,
                                                      const std::vector<base::HostId> &live,
                                                      base::TimePoint now)
{
    dropExpired(engines, now);
    std::vector<Step> steps;
    for (auto &[ended, owner] : m_owners) {
        // The newest known process of a host covers the earlier ones.
        const auto later = m_owners.upper_bound(ended);
        if (later != m_owners.end() && later->first.host == ended.host && !owner.isOwnHost)
            continue;
        if (isAssignedHere("log of " + ended.host.text(), owner, live)
            && tryStart(owner.log, kRequiredLogReplies, now))
            steps.push_back({ended, std::nullopt});
        for (const base::UpstreamId &engine : engines) {
            if (isAssignedHere(engine.text(), owner, live)
                && tryStart(owner.engines[engine], kRequiredEmptyListings, now))
                steps.push_back({ended, engine});
        }
    }
    return steps;
}

void ReclaimPlan::onStepDone(const Step &step, Result result, base::TimePoint now)
{
    assert(m_openSteps > 0 && "onStepDone() was called without an open step");
    --m_openSteps;
    const auto it = m_owners.find(step.owner);
    if (it == m_owners.end())
        return;
    Progress &progress = step.engine ? it->second.engines[*step.engine] : it->second.log;
    progress.isOpen = false;
    switch (result) {
    case Result::Empty:
        ++progress.emptyResults;
        progress.backoff = base::Millis(0);
        progress.dueAt = now + kRelistDelay;
        break;
    case Result::Leftovers:
        progress.emptyResults = 0;
        progress.backoff = base::Millis(0);
        progress.dueAt = now + kLeftoversDelay;
        break;
    case Result::Failed:
        progress.backoff = std::clamp(progress.backoff * 2, kFirstBackoff, kMaxBackoff);
        progress.dueAt = now + progress.backoff;
        break;
    }
}

} // namespace hyssop::entry
