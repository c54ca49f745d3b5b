#pragma once

#include "EvacuationOrders.h"

namespace hyssop::registry {

/// Connects EvacuationOrders with the group of the control hosts.
class GroupEvacuationLink final : public EvacuationLink
{
public:
    /// What it uses; all must outlive it.
    struct Parts
    {
        http::Loop *loop = nullptr;
        const group::Groups *groups = nullptr;
        const std::unique_ptr<group::CommandRouter> *router = nullptr;
        const std::unique_ptr<peers::Node> *node = nullptr;
        std::function<void()> schedulePump;
    };

    GroupEvacuationLink(Parts parts, std::string group);

    bool isLeader() const override;
    std::optional<base::Endpoint> leader() const override;
    void propose(const ledger::SetEvacuation &command,
                 std::function<void(ProposeResult)> done) override;
    void ask(const base::Endpoint &to, std::string body, base::Millis timeout,
             Answered done) override;
    void executeAtEarlierBuild(const ledger::SetEvacuation &command, base::Millis limit,
                               std::function<void(PutOutcome)> done) override;
    base::TimePoint now() const override;

private:
    group::GroupHost &groupHost() const { return *m_parts.groups->at(m_group); }

    Parts m_parts;
    std::string m_group;
};

/// Outcome of a command that a CommandRouter executed.
PutOutcome toPutOutcome(const peers::ExecuteReply &reply);

} // namespace hyssop::registry
