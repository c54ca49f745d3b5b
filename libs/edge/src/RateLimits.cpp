// Rate limits of upstreams, which a control host divides among all entry hosts.

#include "EdgeImpl.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace hyssop::edge {

namespace {

/// A control host holds a request for half a second at most. A host that takes longer is lost.
constexpr base::Millis kSendGrantTimeout{700};
constexpr base::Millis kReportTimeout{500};

std::string perSecond(fleet::RequestRate rate)
{
    return rate == fleet::kUnlimitedRate
                   ? std::string("unlimited")
                   : fmt::format("{:.3f}", static_cast<double>(rate.count()) / 1e3);
}

} // namespace

void Edge::Impl::executeAction(const dispatch::RateLimitChanged &action, base::TimePoint)
{
    m_metrics->count("hyssop_rate_limit_changes_total");
    base::logEvent("rate_limit", {{"upstream", action.upstream},
                                  {"per_second", perSecond(action.rate)},
                                  {"before", perSecond(action.previousRate)},
                                  {"source", dispatch::rateLimitSourceName(action.source)},
                                  {"age_ms", action.age.count()}});
}

void Edge::Impl::executeAction(const dispatch::RequestSendGrant &action, base::TimePoint now)
{
    dispatch::SendGrantReceived event;
    event.service = action.service;
    event.priority = action.priority;
    event.isWaiting = action.isWaiting;
    event.isFromControl = false;
    event.requestedAt = now;
    if (!m_leader || !m_freshness.isCurrent(now)) {
        boost::asio::post(*m_io, [this, event] { onSendGrant(event); });
        return;
    }
    const fleet::SendGrantRequest request{m_options.host,   action.limits,   1,
                                          action.isWaiting, action.priority, action.waited,
                                          action.maxWait};
    m_node->query(*m_leader, {fleet::kRateLimitTopic, fleet::encode(request)}, kSendGrantTimeout,
                  [this, event](const tl::expected<std::string, peers::PeerError> &answer) mutable {
                      if (const auto reply =
                                  answer ? fleet::decodeSendGrantReply(*answer) : std::nullopt) {
                          event.isFromControl = true;
                          event.reply = *reply;
                      }
                      boost::asio::post(*m_io, [this, event] { onSendGrant(event); });
                  });
}

void Edge::Impl::onSendGrant(const dispatch::SendGrantReceived &event)
{
    const base::TimePoint now = base::monotonicNow();
    const bool isGranted = event.reply.count > 0;
    const std::string_view outcome = isGranted             ? "granted"
                                     : event.isFromControl ? "denied"
                                                           : "undecided";
    m_metrics->count("hyssop_send_grants_total", {{"outcome", std::string(outcome)}});
    if (isGranted || event.isWaiting)
        base::logEvent("send_grant",
                       {{"service", event.service},
                        {"outcome", outcome},
                        {"upstream", event.reply.upstream},
                        {"count", event.reply.count},
                        {"priority", event.priority},
                        {"awaited", event.isWaiting},
                        {"retry_after_ms", event.reply.retryAfter.count()},
                        {"ms", std::chrono::floor<base::Millis>(now - event.requestedAt).count()}});
    execute(m_dispatcher.handle(event, now), now);
    scheduleTick(now);
}

void Edge::Impl::executeAction(const dispatch::ReportRateLimit &action, base::TimePoint)
{
    if (!m_leader)
        return;
    fleet::SendGrantRequest request;
    request.host = m_options.host;
    request.limits = {action.limit};
    m_node->query(*m_leader, {fleet::kRateLimitTopic, fleet::encode(request)}, kReportTimeout,
                  [](const auto &) {});
}

} // namespace hyssop::edge
