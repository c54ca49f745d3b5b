#include "CommandRouter.h"

namespace hyssop::control {

namespace {

constexpr std::string_view kGlobal = "global";
/// Goes before the group's name on a command that another host forwards.
constexpr std::string_view kForwardedPrefix = "forwarded/";
/// How long a command waits for a leader.
constexpr base::Millis kLeaderWait{1'500};
constexpr base::Millis kForwardTimeout{2'000};
constexpr std::size_t kMaxWaiting = 4'096;

} // namespace

CommandRouter::CommandRouter(http::Loop *loop, const Groups *groups,
                             std::vector<HostAddress> globalHosts)
    : m_loop(loop)
    , m_groups(groups)
    , m_globalHosts(std::move(globalHosts))
{ }

void CommandRouter::execute(peers::ExecuteRequest request, Done done, base::TimePoint now)
{
    Pending pending;
    pending.isForwarded = request.group.starts_with(kForwardedPrefix);
    pending.group = pending.isForwarded ? request.group.substr(kForwardedPrefix.size())
                                        : std::move(request.group);
    pending.command = std::move(request.command);
    pending.done = std::move(done);
    pending.until = now + kLeaderWait;
    attempt(std::move(pending), now);
}

void CommandRouter::attempt(Pending pending, base::TimePoint now)
{
    const auto it = m_groups->find(pending.group);
    if (it != m_groups->end())
        return attemptHere(*it->second, std::move(pending), now);
    const bool isReachable = pending.group == kGlobal && !m_globalHosts.empty();
    if (!isReachable || pending.isForwarded || now >= pending.until)
        return pending.done({peers::ExecuteStatus::Unavailable, "", ""});
    const HostAddress &host = m_globalHosts[m_nextHost++ % m_globalHosts.size()];
    // That host has a replica, but may itself have to forward.
    const std::string group = pending.group;
    forward(host.address, group, std::move(pending));
}

void CommandRouter::attemptHere(GroupHost &group, Pending pending, base::TimePoint now)
{
    const std::string leader = group.replica().leader().text();
    if (group.replica().isLeader()) {
        const auto command = ledger::decodeCommand(pending.command);
        if (!command)
            return pending.done({peers::ExecuteStatus::Unavailable, "", leader});
        const auto answered =
                [this, pending](const tl::expected<ledger::Reply, GroupHost::ExecuteFault> &reply) {
                    if (reply)
                        pending.done({peers::ExecuteStatus::Done, ledger::encode(*reply), ""});
                    else if (reply.error() == GroupHost::ExecuteFault::Lost)
                        pending.done({peers::ExecuteStatus::Unknown, "", ""});
                    else
                        m_waiting.push_back(pending);
                };
        return group.execute(command->command, answered, now);
    }
    if (pending.isForwarded)
        return pending.done({peers::ExecuteStatus::NotLeader, "", leader});
    const auto address = group.leaderAddress();
    if (address && group.replica().hasHeardLeader(now)) {
        const std::string marked = std::string(kForwardedPrefix) + pending.group;
        return forward(*address, marked, std::move(pending));
    }
    // Waiting for a leader would be in vain, and the caller may go elsewhere at once.
    if (!group.isQuorumInReach(now))
        return pending.done({peers::ExecuteStatus::NoQuorum, "", ""});
    wait(std::move(pending), now);
}

void CommandRouter::forward(const base::Endpoint &to, std::string group, Pending pending)
{
    peers::ExecuteRequest request{std::move(group), pending.command};
    const auto answered = [this, pending = std::move(pending)](auto reply) {
        m_loop->post([this, pending, reply = std::move(reply)] {
            const base::TimePoint now = base::monotonicNow();
            if (!reply && !reply.error().mayHaveArrived)
                return wait(pending, now);
            if (!reply)
                return pending.done({peers::ExecuteStatus::Unknown, "", ""});
            const bool isRefused = reply->status == peers::ExecuteStatus::NotLeader
                                   || reply->status == peers::ExecuteStatus::Unavailable;
            if (isRefused)
                return wait(pending, now);
            pending.done(*reply);
        });
    };
    m_node->execute(to, std::move(request), kForwardTimeout, answered);
}

void CommandRouter::wait(Pending pending, base::TimePoint now)
{
    if (now >= pending.until || m_waiting.size() >= kMaxWaiting)
        return pending.done({peers::ExecuteStatus::Unavailable, "", ""});
    m_waiting.push_back(std::move(pending));
}

void CommandRouter::pump(base::TimePoint now)
{
    std::deque<Pending> waiting = std::exchange(m_waiting, {});
    for (Pending &pending : waiting) {
        if (now >= pending.until)
            pending.done({peers::ExecuteStatus::Unavailable, "", ""});
        else
            attempt(std::move(pending), now);
    }
}

void CommandRouter::stop()
{
    for (const Pending &pending : std::exchange(m_waiting, {}))
        pending.done({peers::ExecuteStatus::Unavailable, "", ""});
}

} // namespace hyssop::control
