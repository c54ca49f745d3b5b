#pragma once

#include "SizeShares.h"

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
/// A size that is served far less often than others of its route is granted before all others, so
/// that an overload does not shut it out.
class PrefillPermits
{
public:
    /// Called with true when granted, with false when the maximum wait is over.
    using Answer = std::function<void(bool isGranted)>;

    using IsLost = std::function<bool(const base::HostId &host)>;

    /// Queues a request. \a answer is called once, unless the request is released first.
    void acquire(const fleet::PermitRequest &request, Answer answer, base::TimePoint now);
    /// Returns a permit or withdraws a waiting request. Records whether the prompt was prefilled.
    void release(const fleet::PermitRequest &request, base::TimePoint now);
    /// Takes back the permits of hosts that are lost, which will not release them.
    void dropLostHosts(const IsLost &isLost, base::TimePoint now);
    /// Expires permits and waiting requests, then grants at most one request.
    void tick(base::TimePoint now);
    std::size_t heldCount() const { return m_held.size(); }
    std::size_t waitingCount() const { return m_waiting.size(); }
    /// Rank of a request among the sizes of its route, and the share of that rank that is served.
    struct Standing
    {
        SizeRank rank = SizeRank::Rest;
        double relativeShare = 1;
        bool isPassedOver = false;
    };
    Standing standingOf(const fleet::PermitRequest &request, base::TimePoint now) const;
    /// Shares of all kinds of which prompts ended lately.
    std::map<PromptKind, KindShares> shares(base::TimePoint now) const;

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
        std::string route;
        std::int64_t prefillMs = 0;
        base::TimePoint grantedAt;
        base::TimePoint expiresAt;
    };
    using Shares = std::map<PromptKind, KindShares>;
    /// A restarted host has lost its earlier calls, so their permits and requests are dropped.
    void dropEarlierIncarnations(const fleet::PermitKey &key);
    /// Permits held that count against the limit for \a request.
    std::size_t competingCount(const fleet::PermitRequest &request) const;
    /// Shares of the kind of a request, with permits that are held and requests that have waited
    /// long counted as if they had ended so.
    KindShares sharesOf(const PromptKind &kind, base::TimePoint now) const;
    /// Shares of the kinds of all waiting requests.
    Shares waitingShares(base::TimePoint now) const;
    /// Ends the wait of requests that will not be granted in time.
    void denyHopeless(base::TimePoint now);
    /// Waiting request to grant next; end() when none may be granted.
    std::vector<WaitingRequest>::iterator nextToGrant(base::TimePoint now);

    std::vector<WaitingRequest> m_waiting;
    std::map<fleet::PermitKey, HeldPermit> m_held;
    base::TimePoint m_lastGrantAt{};
    SizeShares m_sizeShares;
};

} // namespace hyssop::registry
