#pragma once

#include "OpenRequests.h"
#include "process/Process.h"

namespace hyssop::entry {

/// Feeds events to the router and carries out the actions that it returns: upstream calls,
/// responses and metrics.
///
/// Belongs to the entry server's loop, as do the objects passed to it. \a loop and \a metrics must
/// outlive this object.
class RouterDriver final : public upstream::AttemptListener, public upstream::ServiceListener
{
public:
    /// Returns the current address of an upstream, or nothing when it is unknown.
    using FindAddress = std::function<std::optional<base::Endpoint>(const base::UpstreamId &)>;

    RouterDriver(http::Loop *loop, process::Metrics *metrics, upstream::OwnerId owner,
                 routing::RouterOptions options, FindAddress findAddress);

    /// Passes a request with a unique id to the router. The response or an error goes to
    /// OpenRequest::responseSink.
    void submit(OpenRequest request);
    /// Cancels a request whose response nobody waits for any more.
    void cancel(const base::RequestId &id) { feed(routing::CallerDisconnected{id}); }
    void feed(const routing::Event &event);

    /// Requests of a caller that leaves more response bytes unread are cancelled.
    void setMaxUnsentBytes(std::size_t bytes) { m_maxUnsentBytes = bytes; }
    std::vector<routing::PeerLoadReport> outstanding() const { return m_router.outstanding(); }
    std::size_t openRequestCount() const { return m_openRequests.size(); }
    /// Cancellations of attempts and releases of gangs that no upstream has confirmed yet.
    std::vector<upstream::DeletionQueue::Deletion> pendingDeletions() const;
    void refreshGauges();

private:
    void perform(const routing::Actions &actions);
    void perform(const routing::StartAttempt &action);
    void perform(const routing::CancelAttempt &action);
    void perform(const routing::ForwardTokens &action);
    void perform(const routing::CompleteRequest &action);
    void perform(const routing::FailRequest &action);
    void perform(const routing::RetryScheduled &action);
    void perform(const routing::StreamStalled &action);
    void perform(const routing::UpstreamEjected &action);
    void startService(const routing::StartAttempt &action, const OpenRequest &request,
                      const base::Endpoint &address);
    void startEngine(const routing::StartAttempt &action, const OpenAttempt &openAttempt);
    void reserveGang(const routing::StartAttempt &action);
    void onGangReserved(const routing::StartAttempt &action, bool isReserved);
    void onGangLost(const base::AttemptId &id);
    void releaseGang(const base::AttemptId &id);
    void dropSlowCaller(OpenRequest &request);
    void scheduleTick();

    void onAccepted(const base::AttemptId &id) override;
    void onTokens(const base::AttemptId &id, std::int64_t offset,
                  const std::vector<std::string> &tokens) override;
    void onFinished(const base::AttemptId &id) override;
    void onFailed(const base::AttemptId &id, routing::AttemptFault fault,
                  base::Millis retryAfter) override;
    void onStrayEvent(const base::AttemptId &id) override;
    void onResponse(const base::AttemptId &id, upstream::ServiceResponse answer) override;
    void onFailed(const base::AttemptId &id, routing::AttemptFault fault) override;

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    FindAddress m_findAddress;
    routing::Router m_router;
    upstream::EngineClient m_engines;
    upstream::ServiceClient m_services;
    upstream::GangReservations m_gangs;
    OpenRequests m_openRequests;
    std::vector<std::string> m_eventTokens; ///< Tokens of the event being handled.
    std::size_t m_maxUnsentBytes = std::size_t(4) << 20;
    std::optional<http::TimerId> m_tickTimer;
    base::TimePoint m_tickAt = base::TimePoint::max();
};

} // namespace hyssop::entry
