#pragma once

#include "CommandPlan.h"
#include "GroupHost.h"
#include "http/Http.h"
#include "peers/Peers.h"

#include <deque>

namespace hyssop::control {

using Groups = std::map<std::string, std::unique_ptr<GroupHost>>;

/// Brings each command to the leader of its group, here or at another host, and its answer back.
///
/// A command that finds no leader waits for one for a bounded time, and one whose answer was lost
/// is sent again within it, as CommandPlan decides. Belongs to the control task.
class CommandRouter
{
public:
    using Done = peers::Answer<peers::ExecuteReply>;

    /// For other hosts, which try elsewhere 1.5 s after they asked.
    static constexpr base::Millis kHostLimit{1'200};
    /// For operators, who wait 5 s: time for an election and the tries around it.
    static constexpr base::Millis kOperatorLimit{4'500};

    CommandRouter(http::Loop *loop, const Groups *groups, std::vector<HostAddress> globalHosts);

    void start(peers::Node *node) { m_node = node; }
    /// Runs an encoded command; \a done is called once, on the loop's thread. \a limit bounds the
    /// time until no further try is made.
    void execute(peers::ExecuteRequest request, Done done, base::TimePoint now,
                 base::Millis limit = kHostLimit);
    /// Tries commands that wait for a leader once more.
    void pump(base::TimePoint now);
    /// Answers all that wait: nothing of theirs was recorded.
    void stop();

private:
    struct Pending
    {
        std::string group;
        std::string command;
        CommandPlan plan;
        Done done;
    };

    /// Hosts to ask where this host does not carry the group.
    const std::vector<HostAddress> &keepersOf(const std::string &group) const;
    GroupState stateOf(const std::string &group, base::TimePoint now) const;
    void follow(CommandPlan::Step step, Pending pending, base::TimePoint now);
    void propose(Pending pending, base::TimePoint now);
    void forward(const base::Endpoint &to, std::string group, Pending pending, base::TimePoint now);
    void take(const tl::expected<peers::ExecuteReply, peers::PeerError> &reply, Pending pending);

    http::Loop *m_loop;
    const Groups *m_groups;
    std::vector<HostAddress> m_globalHosts; ///< Asked where this host never had a replica.
    std::size_t m_nextHost = 0;
    peers::Node *m_node = nullptr;
    std::deque<Pending> m_waiting;
};

} // namespace hyssop::control
