#include "replog/Replog.h"

#include <algorithm>

namespace hyssop::replog {

namespace {

bool contains(const std::vector<ReplicaId> &ids, const ReplicaId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Voter of the same host that is no longer desired.
std::optional<ReplicaId> outdatedVoterOfHost(const ReplicaId &id,
                                             const Configuration &configuration,
                                             const std::vector<ReplicaId> &desired)
{
    for (const ReplicaId &voter : configuration.voters) {
        if (hostOf(voter) == hostOf(id) && !contains(desired, voter))
            return voter;
    }
    return std::nullopt;
}

std::optional<MembershipChange> nextRemoval(const Replica &leader, const DesiredReplicas &desired)
{
    const Configuration &configuration = leader.configuration();
    for (const ReplicaId &id : configuration.learners) {
        if (!contains(desired.voters, id) && !contains(desired.learners, id))
            return MembershipChange{MembershipChangeKind::Remove, id};
    }
    for (const ReplicaId &id : configuration.voters) {
        if (!contains(desired.voters, id) && id != leader.leader())
            return MembershipChange{MembershipChangeKind::Remove, id};
    }
    return std::nullopt;
}

} // namespace

std::string_view membershipChangeKindName(MembershipChangeKind kind)
{
    switch (kind) {
    case MembershipChangeKind::AddLearner:
        return "add_learner";
    case MembershipChangeKind::Promote:
        return "promote";
    case MembershipChangeKind::Remove:
        return "remove";
    }
    return "unknown";
}

base::HostId hostOf(const ReplicaId &id)
{
    return base::HostId(id.text().substr(0, id.text().rfind('.')));
}

std::optional<MembershipChange> nextMembershipChange(const Replica &leader,
                                                     const DesiredReplicas &desired,
                                                     base::TimePoint now)
{
    const Configuration &configuration = leader.configuration();
    if (!leader.isLeader() || !leader.isConfigurationCommitted())
        return std::nullopt;
    bool isComplete = true;
    for (const ReplicaId &id : desired.voters) {
        if (configuration.isVoter(id))
            continue;
        isComplete = false;
        if (!configuration.isLearner(id))
            return MembershipChange{MembershipChangeKind::AddLearner, id};
        if (!leader.isCaughtUp(id, now))
            continue;
        if (const auto outdated = outdatedVoterOfHost(id, configuration, desired.voters);
            outdated && *outdated != leader.leader())
            return MembershipChange{MembershipChangeKind::Remove, *outdated};
        return MembershipChange{MembershipChangeKind::Promote, id};
    }
    // Members are removed only after all new voters were promoted.
    if (isComplete) {
        if (const auto change = nextRemoval(leader, desired))
            return change;
    }
    for (const ReplicaId &id : desired.learners) {
        if (!configuration.isVoter(id) && !configuration.isLearner(id))
            return MembershipChange{MembershipChangeKind::AddLearner, id};
    }
    return std::nullopt;
}

} // namespace hyssop::replog
