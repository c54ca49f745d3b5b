#pragma once

#include "fleet/Fleet.h"

#include <deque>
#include <map>

namespace hyssop::registry {

/// Compares how often the largest prompts of a route are served with how often all of its prompts
/// are. Does no I/O.
///
/// The prefill of a prompt takes more than in proportion to its size. An order by prefill time
/// alone therefore shuts out the largest prompts of a route while engines are scarce.
class SizeFairness
{
public:
    /// Adds a prompt, whose outcome is not known yet, and the smaller prompts of its route that its
    /// host served without a permit.
    void add(const fleet::PermitRequest &request, base::TimePoint now);
    /// Sets or corrects the outcome of a prompt. Does nothing for a prompt that is not known.
    void setOutcome(const fleet::PermitKey &key, bool isServed);
    /// Whether prompts that rank like this one among the sizes of its route are served too seldom.
    bool isUnderserved(const fleet::PermitRequest &request) const;

private:
    /// One prompt, or smaller ones without a permit, whose size and key are 0.
    struct Prompts
    {
        fleet::PermitKey key;
        std::int64_t prefillMs = 0;
        std::int64_t count = 1;
        fleet::ServedShare share; ///< Of those whose outcome is known.
        base::TimePoint addedAt;
    };
    using RouteKey = std::pair<base::ServiceId, std::string>;

    void removeExpired(base::TimePoint now);

    std::map<RouteKey, std::deque<Prompts>> m_prompts;
};

} // namespace hyssop::registry
