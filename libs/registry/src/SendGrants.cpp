#include "SendGrants.h"

#include <algorithm>
#include <cmath>

namespace hyssop::registry {

namespace {

/// Lowest rate that is granted. Without any requests no host would learn that a limit ended.
constexpr double kMinRatePerSecond = 0.2;
/// Tokens that a bucket holds at most, at any rate and for each request per second.
constexpr double kBurstTokens = 2;
constexpr double kBurstSeconds = 0.25;
/// The bucket of a new limit owes the requests of this time, for what hosts sent before they knew.
constexpr double kNewLimitDebtSeconds = 2;
/// Requests of this time are granted together, so that high rates need few messages.
constexpr double kBatchSeconds = 0.1;
/// A request is held for at most this long. The host then asks again, maybe another leader.
constexpr base::Millis kMaxHold{500};
/// Hosts learn from watches that a limit ended within this.
constexpr base::Millis kEndedRetention{10'000};
/// A limit that no host mentions for this long belongs to an upstream that is gone.
constexpr base::Millis kLimitRetention{60'000};

double perSecond(fleet::RequestRate rate)
{
    return std::max(kMinRatePerSecond, static_cast<double>(rate.count()) / 1e3);
}

double burst(fleet::RequestRate rate)
{
    return kBurstTokens + perSecond(rate) * kBurstSeconds;
}

bool isLimited(const fleet::RateLimitStatement &limit)
{
    return limit.rate != fleet::kUnlimitedRate;
}

} // namespace

void SendGrants::report(const std::vector<fleet::RateLimitReport> &limits, double debtSeconds,
                        base::TimePoint now)
{
    refill(now);
    for (const fleet::RateLimitReport &it : limits) {
        const fleet::RateLimitStatement statement = fleet::toStatement(it, now, now);
        const auto [position, isNew] = m_buckets.try_emplace(it.upstream);
        Bucket &bucket = position->second;
        const bool wasLimited = isLimited(bucket.limit);
        if (isNew)
            bucket.limit.incarnation = statement.incarnation;
        if (bucket.limit.update(statement))
            ++m_revision;
        bucket.lastReportAt = now;
        bucket.refilledAt = now;
        if (!isLimited(bucket.limit))
            continue;
        if (!wasLimited)
            bucket.tokens = -perSecond(bucket.limit.rate) * debtSeconds;
        bucket.tokens -= it.unplannedRequests;
    }
    removeForgotten(now);
}

void SendGrants::removeForgotten(base::TimePoint now)
{
    std::erase_if(m_buckets, [now](const auto &it) {
        const Bucket &bucket = it.second;
        return now >= bucket.lastReportAt
                              + (isLimited(bucket.limit) ? kLimitRetention : kEndedRetention);
    });
}

void SendGrants::refill(base::TimePoint now)
{
    for (auto &[id, bucket] : m_buckets) {
        if (!isLimited(bucket.limit))
            continue;
        const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
        bucket.refilledAt = now;
        bucket.tokens = std::min(burst(bucket.limit.rate),
                                 bucket.tokens + elapsed.count() * perSecond(bucket.limit.rate));
    }
}

SendGrants::Bucket *SendGrants::fullestBucket(const fleet::SendGrantRequest &request,
                                              base::UpstreamId &upstream)
{
    Bucket *fullest = nullptr;
    for (const fleet::RateLimitReport &it : request.limits) {
        const auto position = m_buckets.find(it.upstream);
        if (position == m_buckets.end() || !isLimited(position->second.limit))
            continue;
        Bucket &bucket = position->second;
        if (bucket.tokens < 1 || (fullest && bucket.tokens <= fullest->tokens))
            continue;
        fullest = &bucket;
        upstream = it.upstream;
    }
    return fullest;
}

fleet::SendGrantReply SendGrants::grant(const fleet::SendGrantRequest &request)
{
    fleet::SendGrantReply reply;
    Bucket *bucket = fullestBucket(request, reply.upstream);
    if (!bucket)
        return reply;
    const double batch = std::max(1.0, perSecond(bucket->limit.rate) * kBatchSeconds);
    reply.count = std::max(1, static_cast<int>(std::min(batch, std::floor(bucket->tokens))));
    bucket->tokens -= reply.count;
    return reply;
}

bool SendGrants::sharesUpstream(const fleet::SendGrantRequest &a,
                                const fleet::SendGrantRequest &b) const
{
    return std::any_of(a.limits.begin(), a.limits.end(), [&b](const auto &limit) {
        return std::any_of(b.limits.begin(), b.limits.end(),
                           [&limit](const auto &it) { return it.upstream == limit.upstream; });
    });
}

base::Millis SendGrants::expectedWait(std::size_t position) const
{
    const fleet::SendGrantRequest &request = m_waiting[position].request;
    double missing = 1;
    double rate = 0;
    for (const fleet::RateLimitReport &it : request.limits) {
        const auto bucket = m_buckets.find(it.upstream);
        if (bucket == m_buckets.end() || !isLimited(bucket->second.limit))
            continue;
        rate += perSecond(bucket->second.limit.rate);
        missing -= bucket->second.tokens;
    }
    for (std::size_t n = 0; n < position; ++n)
        missing += sharesUpstream(m_waiting[n].request, request) ? 1 : 0;
    if (rate <= 0 || missing <= 0)
        return base::Millis(0);
    return base::Millis(static_cast<std::int64_t>(std::ceil(1e3 * missing / rate)));
}

void SendGrants::request(const fleet::SendGrantRequest &request, Answer answer, base::TimePoint now)
{
    // Limits that are new to a host come in a report, before it asks for grants. One that is first
    // mentioned with such a request was known to a former leader.
    report(request.limits, request.wanted > 0 ? 0 : kNewLimitDebtSeconds, now);
    if (request.wanted <= 0)
        return answer({});
    if (!request.isWaiting) {
        const bool isWanted =
                std::any_of(m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest &it) {
                    return sharesUpstream(it.request, request);
                });
        return answer(isWanted ? fleet::SendGrantReply() : grant(request));
    }
    WaitingRequest waiting{request, std::move(answer), now - request.waited,
                           now + std::min(kMaxHold, request.maxWait)};
    const auto isBefore = [](const WaitingRequest &a, const WaitingRequest &b) {
        return std::pair(a.request.priority, a.waitingSince)
               < std::pair(b.request.priority, b.waitingSince);
    };
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), waiting, isBefore);
    const auto position = static_cast<std::size_t>(place - m_waiting.begin());
    m_waiting.insert(place, std::move(waiting));
    const base::Millis wait = expectedWait(position);
    if (wait > request.maxWait) {
        const Answer denied = std::move(m_waiting[position].answer);
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(position));
        return denied({{}, 0, wait});
    }
    tick(now);
}

void SendGrants::tick(base::TimePoint now)
{
    if (m_waiting.empty())
        return;
    refill(now);
    std::vector<std::pair<Answer, fleet::SendGrantReply>> answers;
    for (std::size_t n = 0; n < m_waiting.size();) {
        WaitingRequest &it = m_waiting[n];
        fleet::SendGrantReply reply = grant(it.request);
        if (reply.count == 0 && now < it.heldUntil) {
            ++n;
            continue;
        }
        if (reply.count == 0)
            reply.retryAfter = expectedWait(n);
        answers.emplace_back(std::move(it.answer), reply);
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(n));
    }
    for (const auto &[answer, reply] : answers)
        answer(reply);
}

std::vector<fleet::RateLimitReport> SendGrants::limits(base::TimePoint now) const
{
    std::vector<fleet::RateLimitReport> limits;
    for (const auto &[id, bucket] : m_buckets)
        limits.push_back(fleet::toReport(id, bucket.limit, now));
    return limits;
}

} // namespace hyssop::registry
