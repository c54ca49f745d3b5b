#include "EvacuationLease.h"

#include <algorithm>

namespace hyssop::ledger {

namespace {

constexpr std::string_view kNamePrefix = "evacuation/";
constexpr auto kEvacuatedOwner = "on";
constexpr auto kInServiceOwner = "off";

} // namespace

std::string evacuationLeaseName(const base::DataCentreId &dataCentre)
{
    return std::string(kNamePrefix) + dataCentre.text();
}

TakeLease toLease(const SetEvacuation &command)
{
    // It expires at once, so that the next command always takes it.
    return {evacuationLeaseName(command.dataCentre),
            {base::HostId(command.isEvacuated ? kEvacuatedOwner : kInServiceOwner), {}},
            base::Millis(0)};
}

std::optional<SetEvacuation> toEvacuation(const std::string &name, const Owner &owner)
{
    if (!name.starts_with(kNamePrefix))
        return std::nullopt;
    return SetEvacuation{base::DataCentreId(name.substr(kNamePrefix.size())),
                         owner.host == base::HostId(kEvacuatedOwner)};
}

Reply Ledger::execute(const SetEvacuation &command)
{
    Reply reply = execute(toLease(command));
    reply.logIndex = m_position.index.count();
    return reply;
}

Evacuations Ledger::evacuations() const
{
    Evacuations evacuations;
    for (const auto &[name, lease] : m_leases) {
        const auto command = toEvacuation(name, lease.owner);
        if (!command)
            continue;
        evacuations.revision = std::max(evacuations.revision, lease.fencing);
        if (command->isEvacuated)
            evacuations.dataCentres.push_back(command->dataCentre);
    }
    return evacuations;
}

} // namespace hyssop::ledger
