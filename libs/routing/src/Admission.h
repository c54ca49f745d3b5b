#pragma once

#include "Placement.h"
#include "TeamLimits.h"

namespace hyssop::routing {

/// Why a request is not admitted and when the caller should retry.
struct Refusal
{
    EndReason reason = EndReason::NoUpstream;
    base::Millis retryAfter{0};
};

/// Admission control on arrival: team limits, memory and the deadline.
class Admission
{
public:
    explicit Admission(const RouterOptions &options);

    /// Returns the refusal, or nothing if the request is admitted. \a pool is null if no upstream
    /// serves the request; \a queued is the number of queued requests.
    std::optional<Refusal> check(const RequestInfo &request, const records::Catalogue *catalogue,
                                 UpstreamPool *pool, Placement &placement, std::size_t queued,
                                 base::TimePoint now) const;
    /// Counts an admitted request against the limits until remove().
    void add(const RequestInfo &request, bool isLong);
    void remove(const RequestInfo &request, bool isLong);
    base::Bytes openBodyBytes() const { return m_openBodyBytes; }
    void beginShutdown() { m_isShuttingDown = true; }

    /// Bounds on every retry-after, so that callers neither retry at once nor wait too long.
    static constexpr base::Millis kMinRetryAfter{100};
    static constexpr base::Millis kMaxRetryAfter{30'000};

private:
    std::optional<Refusal> checkLimits(const RequestInfo &request,
                                       const records::Catalogue *catalogue, bool isLong,
                                       std::size_t queued) const;
    std::optional<Refusal> checkDeadline(const RequestInfo &request, UpstreamPool &pool,
                                         Placement &placement, base::TimePoint now) const;

    RouterOptions m_options;
    TeamLimits m_teamLimits;
    base::Bytes m_openBodyBytes;
    bool m_isShuttingDown = false;
};

/// Clamps \a wait to the bounds of a retry-after.
base::Millis clampRetryAfter(base::Micros wait);

} // namespace hyssop::routing
