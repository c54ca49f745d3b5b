#pragma once

#include "base/Base.h"
#include "peers/Peers.h"

namespace hyssop::control {

/// What a host knows of the group that a command is for.
struct GroupState
{
    bool isKept = false; ///< This host has a replica of it.
    bool isLeader = false;
    bool isLeaderKnown = false; ///< Another host leads, was heard lately and can be sent to.
    bool isQuorumInReach = true;
    std::size_t keepersElsewhere = 0; ///< Hosts that are known to have a replica.
};

/// Decides where one command goes next, and what its sender is told in the end. No I/O.
///
/// A command whose answer was lost is sent again until it is confirmed or its time ends, if the
/// ledger answers a repetition as it did the first time. From the first lost answer on, no refusal
/// says that nothing was recorded.
class CommandPlan
{
public:
    enum class Step {
        Propose, ///< To the replica of this host.
        ForwardToLeader,
        ForwardToKeeper, ///< To any host that has a replica; it may forward the command itself.
        Wait, ///< Asks next() again a little later.
        End, ///< Answer with status().
    };
    /// How a step ended without an answer of the ledger.
    enum class Fault {
        Refused, ///< Nothing was recorded.
        NoQuorum, ///< Nothing was recorded, and that host hears too few voters.
        Lost, ///< It may be recorded.
    };

    /// \a isForwarded by another host of the group, so not forwarded once more.
    CommandPlan(bool isForwarded, bool mayResend, base::TimePoint until);

    Step next(const GroupState &group, base::TimePoint now);
    Step failed(Fault fault, base::TimePoint now);
    /// No try is made any more.
    Step stop();
    /// Bound on a forwarded try; a host that hangs must not use up the whole time.
    base::Millis forwardTimeout(base::TimePoint now) const;
    peers::ExecuteStatus status() const { return m_status; }

private:
    Step end(peers::ExecuteStatus status);

    bool m_isForwarded;
    bool m_mayResend;
    base::TimePoint m_until;
    bool m_mayBeRecorded = false;
    std::size_t m_withoutQuorum = 0; ///< Hosts elsewhere that hear too few voters.
    peers::ExecuteStatus m_status = peers::ExecuteStatus::Unavailable;
};

} // namespace hyssop::control
