#include "fleet/Fleet.h"

namespace hyssop::fleet {

void AddressIndex::remove(const Upstream &upstream)
{
    const auto it = m_ids.find(upstream.address);
    if (it == m_ids.end())
        return;
    it->second.erase(upstream.id);
    if (it->second.empty())
        m_ids.erase(it);
}

const std::set<base::UpstreamId> &AddressIndex::at(const base::Endpoint &address) const
{
    static const std::set<base::UpstreamId> kNone;
    const auto it = m_ids.find(address);
    return it == m_ids.end() ? kNone : it->second;
}

} // namespace hyssop::fleet
