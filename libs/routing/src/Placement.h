#pragma once

#include "UpstreamPool.h"

#include <memory>

namespace hyssop::routing {

/// Estimated latency of a request, for admission control.
struct LatencyEstimate
{
    /// An upstream has no work ahead of the request and no request is queued before it.
    bool hasIdleUpstream = false;
    base::Micros queueTime{0}; ///< Time in this host's queue.
    base::Micros timeToFirstToken{0}; ///< From leaving the queue.
    base::Micros decodeTime{0}; ///< From the first token to the last.

    base::Micros total() const { return queueTime + timeToFirstToken + decodeTime; }
};

/// Whether \a estimate plus a margin for estimation errors fits into \a remaining.
bool fitsWithMargin(base::Micros estimate, base::Micros remaining);

/// Selects the upstream for a request: finds those with room and estimates the latency at each.
class Placement
{
public:
    explicit Placement(const RouterOptions &options);

    struct Choice
    {
        UpstreamState *upstream = nullptr;
        Candidate candidate;
    };

    /// Returns an upstream with room for \a request, if any. Uses \a avoided only if no other
    /// upstream of the same data centre group has room.
    std::optional<Choice> choose(UpstreamPool &pool, const RequestInfo &request,
                                 const base::UpstreamId &avoided, base::TimePoint now);
    bool hasRoomFor(UpstreamState &state, const RequestInfo &request, base::TimePoint now) const;
    /// Whether a single upstream is large enough for \a request.
    bool fitsAnyUpstream(const UpstreamPool &pool, const RequestInfo &request) const;
    /// Estimated latency of \a request if it were queued now.
    LatencyEstimate estimateLatency(UpstreamPool &pool, const RequestInfo &request,
                                    base::TimePoint now);
    /// Whether \a request, sent to \a choice now, is expected to finish before its deadline.
    bool canMeetDeadline(const UpstreamPool &pool, const Choice &choice, const RequestInfo &request,
                         base::TimePoint now) const;
    /// Latest time to start \a request on the fastest idle upstream so that it meets its deadline.
    base::TimePoint latestStart(const UpstreamPool &pool, const RequestInfo &request) const;
    bool assignsOnArrival() const { return m_policy->assignsOnArrival(); }

    bool isLong(const RequestInfo &request) const;
    /// Engine priority: by urgency, then by length class. Lower values run first.
    int priorityOf(const RequestInfo &request) const;
    /// The capacity that \a request takes at \a choice.
    Reservation makeReservation(const Choice &choice, const RequestInfo &request) const;

private:
    struct CandidateSet
    {
        std::vector<Candidate> candidates;
        std::vector<UpstreamState *> upstreams;
        bool hasHealthy = false;
    };

    bool fitsUpstream(const UpstreamState &state, const RequestInfo &request) const;
    Candidate evaluate(UpstreamState &state, const RequestInfo &request, base::TimePoint now) const;
    base::Tokens uncachedTokens(const UpstreamState &state, const RequestInfo &request) const;
    bool hasRoom(UpstreamState &state, const Candidate &candidate, const RequestInfo &request,
                 base::TimePoint now) const;
    /// Upstreams that are large enough for \a request, of this data centre or of the others. Leaves
    /// out ejected ones unless all are ejected; applies the limit for long prompts.
    std::vector<UpstreamState *> eligibleUpstreams(UpstreamPool &pool, const RequestInfo &request,
                                                   bool isOwnDataCentre, base::TimePoint now) const;
    CandidateSet findCandidates(UpstreamPool &pool, const RequestInfo &request,
                                bool isOwnDataCentre, const base::UpstreamId &avoided,
                                base::TimePoint now) const;
    std::optional<Choice> pickCandidate(const CandidateSet &set, const RequestInfo &request,
                                        base::TimePoint now);
    /// Whether no upstream of this data centre is expected to meet the deadline.
    bool needsRemoteDataCentre(UpstreamPool &pool, const RequestInfo &request,
                               base::TimePoint now) const;

    RouterOptions m_options;
    std::unique_ptr<PlacementPolicy> m_policy;
};

} // namespace hyssop::routing
