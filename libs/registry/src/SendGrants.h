#pragma once

#include "fleet/Fleet.h"

#include <functional>

namespace hyssop::registry {

/// Divides the rate limits of upstreams among all entry hosts. Does no I/O.
///
/// A limit holds for all hosts together, so only the leader hands it out, request by request, from
/// one token bucket for each upstream. A grant that is not used in time is lost. Hosts tell the
/// limits that they know with each request, so a new leader needs no state of the former one.
///
/// Requests of hosts with a call that waits come first, by priority and then by the time for which
/// the call has waited.
class SendGrants
{
public:
    using Answer = std::function<void(const fleet::SendGrantReply &)>;

    /// Queues a request, or answers it at once when no call waits for it or when the call would
    /// wait too long. Takes over the limits that it reports.
    void request(const fleet::SendGrantRequest &request, Answer answer, base::TimePoint now);
    /// Answers the waiting requests whose time has come.
    void tick(base::TimePoint now);
    /// Limits that are in force or ended lately.
    std::vector<fleet::RateLimitReport> limits(base::TimePoint now) const;
    /// Grows with each change of limits().
    std::int64_t revision() const { return m_revision; }
    std::size_t waitingCount() const { return m_waiting.size(); }

private:
    struct Bucket
    {
        fleet::RateLimitStatement limit;
        double tokens = 0;
        base::TimePoint refilledAt;
        base::TimePoint lastReportAt;
    };
    struct WaitingRequest
    {
        fleet::SendGrantRequest request;
        Answer answer;
        base::TimePoint waitingSince;
        base::TimePoint heldUntil;
    };

    /// New limits begin with a debt of this time's requests.
    void report(const std::vector<fleet::RateLimitReport> &limits, double debtSeconds,
                base::TimePoint now);
    void refill(base::TimePoint now);
    void removeForgotten(base::TimePoint now);
    /// The limited upstream of \a request with the most tokens, at least one; null without any.
    Bucket *fullestBucket(const fleet::SendGrantRequest &request, base::UpstreamId &upstream);
    fleet::SendGrantReply grant(const fleet::SendGrantRequest &request);
    bool sharesUpstream(const fleet::SendGrantRequest &a, const fleet::SendGrantRequest &b) const;
    /// Time until the request at \a position is likely to be granted.
    base::Millis expectedWait(std::size_t position) const;

    std::map<base::UpstreamId, Bucket> m_buckets;
    std::int64_t m_revision = 0;
    std::vector<WaitingRequest> m_waiting; ///< In the order in which they are granted.
};

} // namespace hyssop::registry
