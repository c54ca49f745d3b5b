#pragma once

#include "base/Base.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hyssop::entry {

/// A process that has ended. Stands for all earlier processes of its host as well.
struct EndedOwner
{
    base::HostId host;
    base::Incarnation incarnation;

    auto operator<=>(const EndedOwner &other) const = default;
};

/// Whether \a owner, in the form "host/incarnation" that engines use, is covered by \a ended.
bool covers(const EndedOwner &ended, const std::string &owner);

/// Assigns \a item to a live host by rendezvous hashing. The assignment changes only when that host
/// goes or a host with a higher weight comes. \a live must not be empty.
base::HostId rendezvousHost(const std::string &item, const std::vector<base::HostId> &live);

/// Decides which leftovers of ended hosts this host reclaims, where and when. No I/O.
///
/// The engines are divided among the live hosts, which delete the leftovers there. One live host
/// retires the owner in the log. An engine is done after two empty listings in a row, because a
/// request that was in flight when its sender died may arrive after the first listing.
class ReclaimPlan
{
public:
    /// How long leftovers of an owner are reclaimed. Later they must have ended by themselves.
    static constexpr base::Millis kReclaimPeriod{600'000};
    /// Time between the two empty listings.
    static constexpr base::Millis kRelistDelay{5'000};
    /// Listings and log commands in flight at once.
    static constexpr std::size_t kMaxOpenSteps = 8;

    explicit ReclaimPlan(base::HostId self)
        : m_self(std::move(self))
    { }

    /// A process has ended. \a isOwnHost marks earlier processes of this host, which only this host
    /// reclaims.
    void onOwnerEnded(const EndedOwner &owner, bool isOwnHost, base::TimePoint now);
    /// A host that was considered dead is live with the same incarnation.
    void onOwnerReturned(const EndedOwner &owner);

    /// One step to carry out. Without \c engine it retires the owner in the log.
    struct Step
    {
        EndedOwner owner;
        std::optional<base::UpstreamId> engine;

        auto operator<=>(const Step &other) const = default;
    };
    enum class Result {
        Empty, ///< The engine listed nothing, or the log accepted the command.
        Leftovers, ///< The engine listed something, and its deletion was requested.
        Failed,
    };
    /// Steps to start now; each stays open until onStepDone().
    std::vector<Step> nextSteps(const std::vector<base::UpstreamId> &engines,
                                const std::vector<base::HostId> &live, base::TimePoint now);
    void onStepDone(const Step &step, Result result, base::TimePoint now);

    /// Owners whose leftovers are still being reclaimed.
    std::size_t ownerCount() const { return m_owners.size(); }
    /// Owners with leftovers possibly remaining at the end of kReclaimPeriod.
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
