#pragma once

#include "fleet/Fleet.h"

#include <functional>

namespace hyssop::registry {

/// Permits to read long prompts, for all entry hosts. No I/O.
///
/// A long prompt is read by all engines that are free. Engines read the parts of several prompts in
/// passes, so that prompts read at once all end late; one after the other each ends early. Hosts
/// that started by themselves would also choose the same engine to hold the prompt, since they
/// learn of each other's choices a little later. The shortest reading that waits goes first, but
/// for one that has waited long.
class PrefillPermits
{
public:
    /// Called with false when the wait is over.
    using Answer = std::function<void(bool isGranted)>;

    /// \a answer is called once, unless the request is released before.
    void acquire(const fleet::PermitRequest &request, Answer answer, base::TimePoint now);
    void release(const fleet::PermitKey &key, base::TimePoint now);
    /// Grants what can be granted now.
    void tick(base::TimePoint now);
    std::size_t heldCount() const { return m_held.size(); }
    std::size_t waitingCount() const { return m_waiting.size(); }

private:
    struct WaitingRequest
    {
        fleet::PermitRequest request;
        Answer answer;
        base::TimePoint waitingSince;
    };
    struct HeldPermit
    {
        base::ServiceId service;
        base::TimePoint expiresAt;
    };
    /// How long a permit lasts whose end is never told.
    static base::Millis permitLifetime(const fleet::PermitRequest &request);
    /// A host that started anew has none of its former calls.
    void dropEarlierIncarnations(const fleet::PermitKey &key);
    std::size_t heldCountOf(const base::ServiceId &service) const;
    std::vector<WaitingRequest>::iterator nextToGrant(base::TimePoint now);

    std::vector<WaitingRequest> m_waiting;
    std::map<fleet::PermitKey, HeldPermit> m_held;
    base::TimePoint m_lastGrantAt{};
};

} // namespace hyssop::registry
