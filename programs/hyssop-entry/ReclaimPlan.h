#pragma once

#include "base/Base.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hyssop::entry {

/// A process that has ended, with every earlier one of its host.
struct EndedOwner
{
    base::HostId host;
    base::Incarnation incarnation;

    auto operator<=>(const EndedOwner &other) const = default;
};

/// Whether an owner as engines name it, "host/incarnation", is covered by \a ended.
bool covers(const EndedOwner &ended, const std::string &owner);

/// The live host that looks after \a item: each item falls to one host, and moves only when that
/// host goes or a better one comes.
base::HostId rendezvousHost(const std::string &item, const std::vector<base::HostId> &live);

/// Decides which leftovers of ended hosts this host has to reclaim, where and when.
///
/// The leftovers of an ended host are divided by engine among the live hosts; the log is told by
/// one of them. An engine is done with once it has listed nothing twice in a row: a request that
/// was still under way when its sender died may arrive after the first listing.
class ReclaimPlan
{
public:
    /// How long an ended owner is looked after; what it left must have ended by itself then.
    static constexpr base::Millis kReclaimPeriod{600'000};
    /// Time between the two empty listings.
    static constexpr base::Millis kRelistDelay{5'000};
    /// Listings and log commands under way at once.
    static constexpr std::size_t kMaxOpenSteps = 8;

    explicit ReclaimPlan(base::HostId self)
        : m_self(std::move(self))
    { }

    /// A host has ended. \a isOwn: an earlier start of this host, looked after by itself alone.
    void onOwnerEnded(const EndedOwner &owner, bool isOwnHost, base::TimePoint now);
    /// A host thought dead is back under the same incarnation.
    void onOwnerReturned(const EndedOwner &owner);

    /// One thing to do; \c engine is empty for the command that tells the log.
    struct Step
    {
        EndedOwner owner;
        std::optional<base::UpstreamId> engine;

        auto operator<=>(const Step &other) const = default;
    };
    enum class Result {
        Empty, ///< Nothing is left; the log has accepted the command.
        Leftovers, ///< Something was listed, and its deletion ordered.
        Failed,
    };
    /// Steps to take now, each until its done().
    std::vector<Step> nextSteps(const std::vector<base::UpstreamId> &engines,
                                const std::vector<base::HostId> &live, base::TimePoint now);
    void onStepDone(const Step &step, Result result, base::TimePoint now);

    /// Owners still looked after.
    std::size_t ownerCount() const { return m_owners.size(); }
    std::int64_t givenUpCount() const { return m_givenUpCount; }

private:
    struct Progress
    {
        bool isOpen = false;
        int emptyResults = 0;
        base::Millis backoff{0};
        base::TimePoint dueAt;
    };
    struct OwnerProgress
    {
        bool isOwnHost = false;
        base::TimePoint endedAt;
        Progress log;
        std::map<base::UpstreamId, Progress> engines;
    };

    bool isAssignedHere(const std::string &item, const OwnerProgress &owner,
                        const std::vector<base::HostId> &live) const;
    bool tryStart(Progress &progress, int requiredEmptyResults, base::TimePoint now);
    void dropExpired(const std::vector<base::UpstreamId> &engines, base::TimePoint now);

    base::HostId m_self;
    std::map<EndedOwner, OwnerProgress> m_owners;
    std::size_t m_openSteps = 0;
    std::int64_t m_givenUpCount = 0;
};

} // namespace hyssop::entry
