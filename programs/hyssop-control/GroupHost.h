#pragma once

#include "ledger/Ledger.h"
#include "LogClock.h"
#include "Members.h"

#include <functional>
#include <memory>

namespace hyssop::control {

struct GroupOptions
{
    replog::GroupId group;
    base::HostId host;
    std::filesystem::path folder;
    std::vector<HostAddress> firstHosts; ///< That found the group, the same at each of them.
    base::Millis heartbeatInterval{100};
    base::Millis electionTimeout{1'000};
    std::uint64_t seed = 1;
};

/// One replica of one group with the ledger that its log drives, and the commands that wait for it.
///
/// Belongs to the control task. Commands are answered once they are committed and applied.
class GroupHost
{
public:
    enum class ExecuteFault {
        NotLeader, ///< Nothing was recorded.
        Lost, ///< Leadership ended before it was committed; it may yet be.
    };
    using Done = std::function<void(tl::expected<ledger::Reply, ExecuteFault>)>;
    /// Sends bytes to the same group at another host.
    using Send = std::function<void(const base::Endpoint &, std::string)>;

    static tl::expected<std::unique_ptr<GroupHost>, replog::StorageError> open(GroupOptions options,
                                                                               Send send,
                                                                               base::TimePoint now);

    /// Proposes a command; \a done is called later, or at once when this host does not lead.
    void execute(const ledger::Command &command, Done done, base::TimePoint now);
    void receive(std::string_view body, base::TimePoint now);
    /// Ticks, syncs the batch and applies what it committed.
    tl::expected<void, replog::StorageError> pump(base::TimePoint now);
    void prepareStop(base::TimePoint now) { m_replica->prepareStop(now); }

    const ledger::Ledger &ledger() const { return m_ledger; }
    const replog::Replica &replica() const { return *m_replica; }
    /// Hosts that shall carry the group, as far as this one knows.
    const std::vector<HostAddress> &hosts() const { return m_members.hosts(); }
    /// Whether this host is one of them; one that was taken out hears nothing of the group.
    bool isMember() const { return m_members.isMember(); }
    bool hasWaiting() const { return !m_waiting.empty(); }
    /// Whether this host hears enough voters for the group to have a leader that takes commands.
    bool isQuorumInReach(base::TimePoint now) const;
    /// Address of the leader, when it is another host and known.
    std::optional<base::Endpoint> leaderAddress() const;

private:
    GroupHost(GroupOptions options, replog::ReplicaId self, Send send, base::TimePoint now);
    void apply(const replog::Entry &entry, base::TimePoint now);
    void answerLost();
    void greet(base::TimePoint now);
    void foundWhenReady(base::TimePoint now);
    void lead(base::TimePoint now);
    void followRecord();
    void compactWhenLong();

    GroupOptions m_options;
    replog::ReplicaId m_self;
    Members m_members;
    std::unique_ptr<replog::Storage> m_storage;
    std::unique_ptr<replog::Replica> m_replica;
    Send m_send;
    base::Rng m_rng;
    ledger::Ledger m_ledger;
    LogClock m_clock;
    replog::Position m_compacted;
    replog::Position m_followed; ///< Position of the records when the group's own was last read.
    base::TimePoint m_greetAt;
    bool m_wasLeader = false;
    std::map<replog::Position, Done> m_waiting;
};

} // namespace hyssop::control
