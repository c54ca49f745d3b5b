#include "ledger/Ledger.h"

#include <algorithm>

namespace hyssop::ledger {

namespace {

constexpr std::string_view kNamePrefix = "entry-host/";

} // namespace

TakeLease startOfEntryHost(const Owner &owner)
{
    // It expires at once, so that the next start of the host always takes it.
    return {std::string(kNamePrefix) + owner.host.text(), owner, base::Millis(0)};
}

StartedHosts Ledger::startedHosts() const
{
    StartedHosts started;
    for (const auto &[name, lease] : m_leases) {
        if (!name.starts_with(kNamePrefix))
            continue;
        started.revision = std::max(started.revision, lease.fencing);
        if (!isRetired(lease.owner))
            started.hosts.push_back(lease.owner);
    }
    return started;
}

void Ledger::forgetStart(const Owner &retired)
{
    const auto it = m_leases.find(startOfEntryHost(retired).name);
    if (it != m_leases.end() && it->second.owner.incarnation <= retired.incarnation)
        m_leases.erase(it);
}

} // namespace hyssop::ledger
