#include "GroupEvacuationLink.h"

#include <ctime>

namespace hyssop::registry {

PutOutcome toPutOutcome(const peers::ExecuteReply &reply)
{
    switch (reply.status) {
    case peers::ExecuteStatus::Done:
        return PutOutcome::Accepted;
    case peers::ExecuteStatus::Unknown:
        return PutOutcome::Unknown;
    default:
        return PutOutcome::Unavailable;
    }
}

GroupEvacuationLink::GroupEvacuationLink(Parts parts, std::string group)
    : m_parts(std::move(parts))
    , m_group(std::move(group))
{ }

bool GroupEvacuationLink::isLeader() const
{
    return groupHost().replica().hasLease(base::monotonicNow());
}

std::optional<base::Endpoint> GroupEvacuationLink::leader() const
{
    return groupHost().leaderAddress();
}

void GroupEvacuationLink::propose(const ledger::SetEvacuation &command,
                                  std::function<void(ProposeResult)> done)
{
    const auto onReply = [done = std::move(done)](const auto &reply) {
        if (reply)
            return done(ProposeResult::Committed);
        done(reply.error() == group::GroupHost::ExecuteFault::NotLeader ? ProposeResult::NotLeader
                                                                        : ProposeResult::Lost);
    };
    groupHost().execute(command, onReply, base::monotonicNow());
    m_parts.schedulePump();
}

void GroupEvacuationLink::ask(const base::Endpoint &to, std::string body, base::Millis timeout,
                              Answered done)
{
    (*m_parts.node)
            ->query(to, {kEvacuationTopic, std::move(body)}, timeout,
                    [loop = m_parts.loop, done = std::move(done)](const auto &answer) {
                        loop->post([done, answer = answer ? std::optional(*answer) : std::nullopt] {
                            done(answer);
                        });
                    });
}

void GroupEvacuationLink::executeAtEarlierBuild(const ledger::SetEvacuation &command,
                                                base::Millis limit,
                                                std::function<void(PutOutcome)> done)
{
    (*m_parts.router)
            ->execute(
                    {m_group, ledger::encode(command, 0)},
                    [done = std::move(done)](const peers::ExecuteReply &reply) {
                        done(toPutOutcome(reply));
                    },
                    base::monotonicNow(), limit);
    m_parts.schedulePump();
}

base::TimePoint GroupEvacuationLink::now() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return base::TimePoint(std::chrono::duration_cast<base::TimePoint::duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace hyssop::registry
