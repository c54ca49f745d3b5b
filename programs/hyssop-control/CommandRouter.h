#pragma once

#include "GroupHost.h"
#include "http/Http.h"
#include "peers/Peers.h"

#include <deque>

namespace hyssop::control {

using Groups = std::map<std::string, std::unique_ptr<GroupHost>>;

/// Brings each command to the leader of its group, here or at another host, and its answer back.
///
/// A command that finds no leader waits for one for a bounded time. Belongs to the control task.
class CommandRouter
{
public:
    using Done = peers::Answer<peers::ExecuteReply>;

    CommandRouter(http::Loop *loop, const Groups *groups, std::vector<HostAddress> globalHosts);

    void start(peers::Node *node) { m_node = node; }
    /// Runs an encoded command; \a done is called once, on the loop's thread.
    void execute(peers::ExecuteRequest request, Done done, base::TimePoint now);
    /// Tries commands that wait for a leader once more.
    void pump(base::TimePoint now);
    /// Answers all that wait: nothing of theirs was recorded.
    void stop();

private:
    struct Pending
    {
        std::string group;
        std::string command;
        bool isForwarded = false; ///< By another host, so not forwarded once more.
        Done done;
        base::TimePoint until;
    };

    void attempt(Pending pending, base::TimePoint now);
    void attemptHere(GroupHost &group, Pending pending, base::TimePoint now);
    void forward(const base::Endpoint &to, std::string group, Pending pending);
    void wait(Pending pending, base::TimePoint now);

    http::Loop *m_loop;
    const Groups *m_groups;
    std::vector<HostAddress> m_globalHosts; ///< Asked where this host has no global replica.
    std::size_t m_nextHost = 0;
    peers::Node *m_node = nullptr;
    std::deque<Pending> m_waiting;
};

} // namespace hyssop::control
