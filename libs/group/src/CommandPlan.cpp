#include "group/Group.h"

#include <algorithm>

namespace hyssop::group {

namespace {

constexpr base::Millis kMaxForwardTimeout{1'000};

} // namespace

CommandPlan::CommandPlan(bool isForwarded, bool canResend, base::TimePoint deadline)
    : m_isForwarded(isForwarded)
    , m_canResend(canResend)
    , m_deadline(deadline)
{ }

CommandPlan::Step CommandPlan::nextStep(const GroupState &group, base::TimePoint now)
{
    using peers::ExecuteStatus;
    if (now >= m_deadline)
        return end(ExecuteStatus::Unavailable);
    if (group.hasReplica && group.isLeader)
        return Step::Propose;
    if (m_isForwarded)
        return end(group.hasReplica ? ExecuteStatus::NotLeader : ExecuteStatus::Unavailable);
    if (!group.hasReplica && group.replicaHostCount == 0)
        return end(ExecuteStatus::Unavailable);
    if (!group.hasReplica)
        return m_noQuorumReplies < group.replicaHostCount ? Step::ForwardToReplicaHost
                                                          : end(ExecuteStatus::NoQuorum);
    if (group.isLeaderKnown)
        return Step::ForwardToLeader;
    // No leader can be elected, so the sender should try another host at once.
    if (!group.isQuorumReachable)
        return end(ExecuteStatus::NoQuorum);
    return Step::Wait;
}

CommandPlan::Step CommandPlan::onStepFailed(Fault fault, base::TimePoint now)
{
    m_mayBeRecorded = m_mayBeRecorded || fault == Fault::Lost;
    m_noQuorumReplies += fault == Fault::NoQuorum ? 1 : 0;
    const bool isFinal = fault == Fault::Lost && !m_canResend;
    if (isFinal || now >= m_deadline)
        return end(peers::ExecuteStatus::Unavailable);
    return Step::Wait;
}

CommandPlan::Step CommandPlan::stop()
{
    return end(peers::ExecuteStatus::Unavailable);
}

base::Millis CommandPlan::forwardTimeout(base::TimePoint now) const
{
    const auto left = std::chrono::ceil<base::Millis>(m_deadline - now);
    return std::clamp(left, base::Millis(1), kMaxForwardTimeout);
}

CommandPlan::Step CommandPlan::end(peers::ExecuteStatus status)
{
    m_status = m_mayBeRecorded ? peers::ExecuteStatus::Unknown : status;
    return Step::End;
}

} // namespace hyssop::group
