#pragma once

#include "UpstreamPool.h"

#include <memory>

namespace hyssop::routing {

/// What admission can expect for a request.
struct LatencyEstimate
{
    bool hasIdleUpstream =
            false; ///< An upstream without work is there and nothing waits before it.
    base::Micros queueTime{0}; ///< In this host's queue.
    base::Micros timeToFirstToken{0}; ///< From the end of the wait.
    base::Micros decodeTime{0}; ///< From the first token to the last.

    base::Micros total() const { return queueTime + timeToFirstToken + decodeTime; }
};

/// Whether work estimated at \a estimate ends within \a remaining also when the estimate is
/// somewhat too low.
bool fitsWithMargin(base::Micros estimate, base::Micros remaining);

/// Finds the upstream for a request: which ones have room for it, and what each would cost.
class Placement
{
public:
    explicit Placement(const RouterOptions &options);

    struct Choice
    {
        UpstreamState *upstream = nullptr;
        Candidate candidate;
    };

    /// An upstream with room for \a request, or none; not \a avoided where another one is there.
    std::optional<Choice> choose(UpstreamPool &pool, const RequestInfo &request,
                                 const base::UpstreamId &avoided, base::TimePoint now);
    bool hasRoomFor(UpstreamState &state, const RequestInfo &request, base::TimePoint now) const;
    /// Whether some upstream is large enough to hold \a request alone.
    bool fitsAnyUpstream(const UpstreamPool &pool, const RequestInfo &request) const;
    LatencyEstimate estimateLatency(UpstreamPool &pool, const RequestInfo &request,
                                    base::TimePoint now);
    /// Whether \a request, sent as \a choice says, can end by its deadline.
    bool canMeetDeadline(const UpstreamPool &pool, const Choice &choice, const RequestInfo &request,
                         base::TimePoint now) const;
    /// When a queued \a request is late even for an upstream that has nothing before it.
    base::TimePoint latestStart(const UpstreamPool &pool, const RequestInfo &request) const;
    bool assignsOnArrival() const { return m_policy->assignsOnArrival(); }

    bool isLong(const RequestInfo &request) const;
    /// For the engine: urgency first, then length.
    int priorityOf(const RequestInfo &request) const;
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
    /// Engines that \a request may use at all, of those in \a group.
    std::vector<UpstreamState *> eligibleUpstreams(UpstreamPool &pool, const RequestInfo &request,
                                                   bool isOwnDataCentre, base::TimePoint now) const;
    CandidateSet findCandidates(UpstreamPool &pool, const RequestInfo &request,
                                bool isOwnDataCentre, const base::UpstreamId &avoided,
                                base::TimePoint now) const;
    std::optional<Choice> pickCandidate(const CandidateSet &set, const RequestInfo &request,
                                        base::TimePoint now);
    bool needsRemoteDataCentre(UpstreamPool &pool, const RequestInfo &request,
                               base::TimePoint now) const;

    RouterOptions m_options;
    std::unique_ptr<PlacementPolicy> m_policy;
};

} // namespace hyssop::routing
