#pragma once

#include "Placement.h"
#include "TeamLimits.h"

namespace hyssop::routing {

/// Why a request is not admitted, and when to come again.
struct Refusal
{
    Reason reason = Reason::NoUpstream;
    base::Millis retryAfter{0};
};

/// Decides at arrival whether a request is taken: limits, memory and the deadline.
class Admission
{
public:
    explicit Admission(const RouterOptions &options);

    /// \a pool is null when no upstream serves the request; \a queued counts waiting requests.
    std::optional<Refusal> refusal(const RequestInfo &request, const records::Catalogue *catalogue,
                                   Pool *pool, Placement &placement, std::size_t queued,
                                   base::TimePoint now) const;
    void add(const RequestInfo &request, bool isLong);
    void remove(const RequestInfo &request, bool isLong);
    base::Bytes body() const { return m_body; }
    void stop() { m_isStopping = true; }

    /// Bounds on every retry-after, so that callers neither rush back nor stay away.
    static constexpr base::Millis kShortestRetry{100};
    static constexpr base::Millis kLongestRetry{30'000};

private:
    std::optional<Refusal> limitRefusal(const RequestInfo &request,
                                        const records::Catalogue *catalogue, bool isLong,
                                        std::size_t queued) const;
    std::optional<Refusal> timeRefusal(const RequestInfo &request, Pool &pool, Placement &placement,
                                       base::TimePoint now) const;

    RouterOptions m_options;
    TeamLimits m_limits;
    base::Bytes m_body;
    bool m_isStopping = false;
};

/// \a wait within the bounds of a retry-after.
base::Millis boundedRetry(base::Micros wait);

} // namespace hyssop::routing
