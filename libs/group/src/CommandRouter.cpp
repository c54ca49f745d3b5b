#include "group/Group.h"

namespace hyssop::group {

namespace {

constexpr std::string_view kGlobalGroup = "global";
/// Prefix of the group name in a command forwarded to the leader.
constexpr std::string_view kForwardedPrefix = "forwarded/";
constexpr std::size_t kMaxWaiting = 4'096;

CommandPlan::Fault faultOf(const tl::expected<peers::ExecuteReply, peers::PeerError> &reply)
{
    using Fault = CommandPlan::Fault;
    if (!reply)
        return reply.error().mayHaveArrived ? Fault::Lost : Fault::Refused;
    if (reply->status == peers::ExecuteStatus::NoQuorum)
        return Fault::NoQuorum;
    return reply->status == peers::ExecuteStatus::Unknown ? Fault::Lost : Fault::Refused;
}

} // namespace

CommandRouter::CommandRouter(http::Loop *loop, const Groups *groups,
                             std::vector<HostAddress> globalHosts)
    : m_loop(loop)
    , m_groups(groups)
    , m_globalHosts(std::move(globalHosts))
{ }

void CommandRouter::execute(peers::ExecuteRequest request, Done done, base::TimePoint now,
                            base::Millis timeLimit)
{
    const auto command = ledger::decodeCommand(request.command);
    if (!command)
        return done({peers::ExecuteStatus::Unavailable, "", ""});
    const bool isForwarded = request.group.starts_with(kForwardedPrefix);
    std::string group =
            isForwarded ? request.group.substr(kForwardedPrefix.size()) : std::move(request.group);
    CommandPlan plan(isForwarded, ledger::isSafeToResend(command->command), now + timeLimit);
    Pending pending{std::move(group), std::move(request.command), plan, std::move(done)};
    const auto step = pending.plan.nextStep(groupState(pending.group, now), now);
    performStep(step, std::move(pending), now);
}

const std::vector<HostAddress> &CommandRouter::replicaHostsOf(const std::string &group) const
{
    static const std::vector<HostAddress> kNone;
    const auto it = m_groups->find(group);
    if (it != m_groups->end())
        return it->second->hosts();
    return group == kGlobalGroup ? m_globalHosts : kNone;
}

GroupState CommandRouter::groupState(const std::string &group, base::TimePoint now) const
{
    GroupState state;
    state.replicaHostCount = replicaHostsOf(group).size();
    const auto it = m_groups->find(group);
    if (it == m_groups->end())
        return state;
    const GroupHost &host = *it->second;
    state.isLeader = host.replica().isLeader();
    state.hasReplica = host.isMember() || state.isLeader;
    state.isLeaderKnown = host.leaderAddress() && host.replica().hasRecentLeader(now);
    state.isQuorumReachable = host.isQuorumReachable(now);
    return state;
}

void CommandRouter::performStep(CommandPlan::Step step, Pending pending, base::TimePoint now)
{
    switch (step) {
    case CommandPlan::Step::Propose:
        return propose(std::move(pending), now);
    case CommandPlan::Step::ForwardToLeader: {
        const auto address = m_groups->at(pending.group)->leaderAddress();
        std::string forwardedGroup = std::string(kForwardedPrefix) + pending.group;
        return forward(*address, std::move(forwardedGroup), std::move(pending), now);
    }
    case CommandPlan::Step::ForwardToReplicaHost: {
        const auto &replicaHosts = replicaHostsOf(pending.group);
        const HostAddress &host = replicaHosts[m_nextHostIndex++ % replicaHosts.size()];
        std::string group = pending.group;
        return forward(host.address, std::move(group), std::move(pending), now);
    }
    case CommandPlan::Step::Wait:
        if (m_waiting.size() < kMaxWaiting)
            return m_waiting.push_back(std::move(pending));
        pending.plan.stop();
        break;
    case CommandPlan::Step::End:
        break;
    }
    const auto group = m_groups->find(pending.group);
    const std::string leader =
            group == m_groups->end() ? "" : group->second->replica().leader().text();
    pending.done({pending.plan.status(), "", leader});
}

void CommandRouter::propose(Pending pending, base::TimePoint now)
{
    GroupHost &group = *m_groups->at(pending.group);
    const auto command = ledger::decodeCommand(pending.command);
    const auto onReply =
            [this, pending](const tl::expected<ledger::Reply, GroupHost::ExecuteFault> &reply) {
                if (reply)
                    return pending.done({peers::ExecuteStatus::Done, ledger::encode(*reply), ""});
                const bool isLost = reply.error() == GroupHost::ExecuteFault::Lost;
                const base::TimePoint failedAt = base::monotonicNow();
                Pending next = pending;
                const auto step = next.plan.onStepFailed(
                        isLost ? CommandPlan::Fault::Lost : CommandPlan::Fault::Refused, failedAt);
                performStep(step, std::move(next), failedAt);
            };
    group.execute(command->command, onReply, now);
}

void CommandRouter::forward(const base::Endpoint &to, std::string group, Pending pending,
                            base::TimePoint now)
{
    peers::ExecuteRequest request{std::move(group), pending.command};
    const base::Millis timeout = pending.plan.forwardTimeout(now);
    const auto onReply = [this, pending = std::move(pending)](auto reply) {
        m_loop->post([this, pending, reply = std::move(reply)] { onForwardReply(reply, pending); });
    };
    m_node->execute(to, std::move(request), timeout, onReply);
}

void CommandRouter::onForwardReply(const tl::expected<peers::ExecuteReply, peers::PeerError> &reply,
                                   Pending pending)
{
    if (reply && reply->status == peers::ExecuteStatus::Done)
        return pending.done(*reply);
    const base::TimePoint now = base::monotonicNow();
    const auto step = pending.plan.onStepFailed(faultOf(reply), now);
    performStep(step, std::move(pending), now);
}

void CommandRouter::pump(base::TimePoint now)
{
    std::deque<Pending> waiting = std::exchange(m_waiting, {});
    for (Pending &pending : waiting) {
        const auto step = pending.plan.nextStep(groupState(pending.group, now), now);
        performStep(step, std::move(pending), now);
    }
}

void CommandRouter::stop()
{
    for (Pending &pending : std::exchange(m_waiting, {})) {
        const auto step = pending.plan.stop();
        performStep(step, std::move(pending), base::monotonicNow());
    }
}

} // namespace hyssop::group
