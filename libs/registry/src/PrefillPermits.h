#pragma once

#include "fleet/Fleet.h"

#include <functional>

namespace hyssop::registry {

/// Fleet-wide admission control for the prefill of long prompts. Does no I/O.
///
/// A long prompt is prefilled by all free engines together. Engines interleave chunks of concurrent
/// prompts, so concurrent prefills all finish late, while sequential ones finish early one by one.
/// Entry hosts that started prefills independently would also place several prompts on the same
/// engine, because they learn of each other's placements with a delay. Requests are granted
/// shortest prefill first, except that one which has waited long is granted before shorter ones.
class PrefillPermits
{
public:
    /// Called with true when granted, with false when the maximum wait is over.
    using Answer = std::function<void(bool isGranted)>;

    /// Queues a request. \a answer is called once, unless the request is released first.
    void acquire(const fleet::PermitRequest &request, Answer answer, base::TimePoint now);
    /// Returns a permit or withdraws a waiting request.
    void release(const fleet::PermitKey &key, base::TimePoint now);
    /// Expires permits and waiting requests, then grants at most one request.
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
        base::DataCentreId dataCentre;
        base::TimePoint expiresAt;
    };
    /// Lifetime of a permit that is never released.
    static base::Millis permitLifetime(const fleet::PermitRequest &request);
    /// A restarted host has lost its earlier calls, so their permits and requests are dropped.
    void dropEarlierIncarnations(const fleet::PermitKey &key);
    /// Permits held that count against the limit for \a request.
    std::size_t competingCount(const fleet::PermitRequest &request) const;
    /// Waiting request to grant next; end() when none may be granted.
    std::vector<WaitingRequest>::iterator nextToGrant(base::TimePoint now);

    std::vector<WaitingRequest> m_waiting;
    std::map<fleet::PermitKey, HeldPermit> m_held;
    base::TimePoint m_lastGrantAt{};
    int m_grantsSinceOversized = 0;
};

} // namespace hyssop::registry
