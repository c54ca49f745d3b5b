#include "UpstreamState.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Weight of the newest answer in the failure rate. About the last ten answers count.
constexpr double kFailureRateWeight = 0.15;
/// Lowest failure rate for an ejection, and its required ratio and margin to the mean of the
/// service. Some failures are caused by callers and occur at every upstream.
constexpr double kMinEjectionRate = 0.25;
constexpr double kEjectionMeanFactor = 2;
constexpr double kEjectionMeanMargin = 0.1;
/// Failure rate below which an upstream counts as healthy again.
constexpr double kHealthyRate = 0.12;
/// Answers required before the failure rate is used.
constexpr int kMinAnswers = 5;
/// Duration of prefill beside decode steps relative to prefill alone.
constexpr double kPrefillOverhead = 1.15;
/// Lost attempts in succession that eject an upstream.
constexpr int kMaxConsecutiveLost = 2;
/// First and longest ejection. Each one in succession doubles the time. A restart takes seconds.
constexpr base::Millis kMinEjectionTime{700};
constexpr base::Millis kMaxEjectionTime{5'600};

/// While no control host divides a rate limit, all hosts together use this share of it. Those that
/// still reach one may use all of it at the same time.
constexpr double kLocalRateShare = 0.25;
/// A host uses its share within this or loses it, so that hosts do not save up requests that they
/// might all send together.
constexpr std::chrono::duration<double> kLocalShareLifetime{1.0};

} // namespace

UpstreamState::UpstreamState(fleet::Upstream upstream)
    : m_info(std::move(upstream))
    , m_orderKey(base::stableHash(m_info.id.text()))
{
    m_ownLoad.upstream = m_info.id;
    m_rateLimit.incarnation = m_info.incarnation;
}

void UpstreamState::setInfo(const fleet::Upstream &upstream)
{
    if (upstream.incarnation != m_info.incarnation) {
        // After a restart the previous requests are gone and the failure history no longer applies.
        m_failureRate = 0;
        m_answerCount = 0;
        m_consecutiveLost = 0;
        m_consecutiveEjections = 0;
        m_ejectedUntil = {};
        m_backsOffUntil = {};
        m_peerLoad = {};
    }
    m_info = upstream;
}

bool UpstreamState::updateRateLimit(const fleet::RateLimitStatement &statement)
{
    const fleet::RequestRate previousRate = m_rateLimit.rate;
    if (!m_rateLimit.update(statement))
        return false;
    if (m_rateLimit.rate < previousRate || !isRateLimited())
        m_sendGrants.clear();
    return true;
}

bool UpstreamState::maySend(base::TimePoint now) const
{
    return !isRateLimited()
           || std::any_of(m_sendGrants.begin(), m_sendGrants.end(),
                          [now](const SendGrant &it) { return now < it.expiresAt; });
}

void UpstreamState::recordColdRequest(base::TimePoint now)
{
    if (now < m_coldUntil)
        m_coldRequests.record(now);
}

void UpstreamState::addSendGrant(int count, base::TimePoint expiresAt)
{
    m_sendGrants.push_back({count, expiresAt});
}

void UpstreamState::useSendGrant(base::TimePoint now)
{
    while (!m_sendGrants.empty() && now >= m_sendGrants.front().expiresAt)
        m_sendGrants.pop_front();
    if (!m_sendGrants.empty() && --m_sendGrants.front().count <= 0)
        m_sendGrants.pop_front();
}

bool UpstreamState::takeLocalShare(int hostCount, base::Rng &rng, base::TimePoint now)
{
    if (m_rateLimit.rate.count() <= 0)
        return false;
    const std::chrono::duration<double> interval(
            1e3 * hostCount / (kLocalRateShare * static_cast<double>(m_rateLimit.rate.count())));
    const auto steps = [](std::chrono::duration<double> duration) {
        return std::chrono::duration_cast<base::TimePoint::duration>(duration);
    };
    if (m_nextLocalShareAt == base::TimePoint()) {
        // Hosts that lose their control host at the same time must not send at the same time.
        std::uniform_real_distribution<double> phase(0, 1);
        m_nextLocalShareAt = now + steps(interval * phase(rng));
    }
    const auto lifetime = steps(std::min(interval, kLocalShareLifetime));
    if (now >= m_nextLocalShareAt + lifetime)
        m_nextLocalShareAt +=
                ((now - m_nextLocalShareAt - lifetime) / steps(interval) + 1) * steps(interval);
    if (now < m_nextLocalShareAt)
        return false;
    m_nextLocalShareAt += steps(interval);
    return true;
}

void UpstreamState::addRequest(base::Tokens kvTokens, bool isShort)
{
    ++m_ownLoad.requests;
    m_ownLoad.kvTokens += kvTokens;
    m_ownLoad.shortRequests += isShort ? 1 : 0;
}

void UpstreamState::removeRequest(base::Tokens kvTokens, bool isShort)
{
    --m_ownLoad.requests;
    m_ownLoad.kvTokens -= kvTokens;
    m_ownLoad.shortRequests -= isShort ? 1 : 0;
}

void UpstreamState::extendPrefill(std::int64_t ms, base::TimePoint now)
{
    // Engines prefill one part after another. Time already spent on the first part must not count
    // again.
    const auto added = std::chrono::duration_cast<base::TimePoint::duration>(base::Millis(ms)
                                                                             * kPrefillOverhead);
    m_prefillEndsAt = std::max(m_prefillEndsAt, now) + added;
}

void UpstreamState::addPrefill(std::int64_t ms, base::TimePoint now)
{
    m_ownLoad.prefillMs += ms;
    if (ms > 0)
        extendPrefill(ms, now);
    if (m_ownLoad.prefillMs + m_peerLoad.prefillMs <= 0)
        m_prefillEndsAt = now;
}

double UpstreamState::prefillBacklogMs(base::TimePoint now) const
{
    const std::chrono::duration<double, std::milli> left = m_prefillEndsAt - now;
    return std::max(0.0, left.count());
}

void UpstreamState::setPeerLoad(const fleet::UpstreamLoad &load, base::TimePoint now)
{
    if (load.prefillMs > m_peerLoad.prefillMs)
        extendPrefill(load.prefillMs - m_peerLoad.prefillMs, now);
    m_peerLoad = load;
    if (m_ownLoad.prefillMs + m_peerLoad.prefillMs <= 0)
        m_prefillEndsAt = now;
}

void UpstreamState::setReportedLoad(int running, int waiting)
{
    m_peerLoad.requests = std::max(0, running + waiting - m_ownLoad.requests);
}

void UpstreamState::recordSuccess()
{
    m_failureRate *= 1 - kFailureRateWeight;
    ++m_answerCount;
    m_consecutiveLost = 0;
    if (m_failureRate < kHealthyRate)
        m_consecutiveEjections = 0;
}

bool UpstreamState::recordFailure(AttemptFault fault, double meanRate)
{
    switch (fault) {
    case AttemptFault::NotSent:
    case AttemptFault::Misdirected:
        return true;
    case AttemptFault::Refused:
        return false;
    case AttemptFault::AnswerLost:
    case AttemptFault::Stalled:
        ++m_consecutiveLost;
        [[fallthrough]];
    case AttemptFault::UpstreamError:
        m_failureRate = m_failureRate * (1 - kFailureRateWeight) + kFailureRateWeight;
        ++m_answerCount;
        break;
    }
    const double limit =
            std::max(kMinEjectionRate, kEjectionMeanFactor * meanRate + kEjectionMeanMargin);
    const bool isFailing = m_answerCount >= kMinAnswers && m_failureRate >= limit;
    return isFailing || m_consecutiveLost >= kMaxConsecutiveLost;
}

base::Millis UpstreamState::nextEjectionDuration() const
{
    return std::min(kMaxEjectionTime,
                    kMinEjectionTime * (1 << std::min(m_consecutiveEjections, 4)));
}

void UpstreamState::eject(base::Millis duration, base::TimePoint now)
{
    ++m_consecutiveEjections;
    m_ejectedUntil = now + duration;
    m_consecutiveLost = 0;
}

} // namespace hyssop::dispatch
