#include "RateLimits.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace hyssop::harness {

namespace {

constexpr base::Millis kWindow{4'000};
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedMore = 5;
/// A limit counts this long after it was first stated.
constexpr base::Millis kContact{3'000};
/// A host knows a limit this long after it passed on an answer that states it.
constexpr base::Millis kNotice{500};
/// Steps in which limits that change within a window are summed.
constexpr base::Millis kStep{50};

std::int64_t millisBetween(base::TimePoint from, base::TimePoint to)
{
    return std::chrono::floor<base::Millis>(to - from).count();
}

/// Since when a limit, changed or not, has been stated without a break before \a at; empty when
/// none is stated at that time.
std::optional<base::TimePoint> limitedSince(const ReplicaTraffic &traffic, base::TimePoint at)
{
    std::optional<base::TimePoint> since;
    for (const ReplicaTraffic::Limit &it : traffic.limits) {
        if (it.from > at)
            break;
        if (!it.perSecond)
            since.reset();
        else if (!since)
            since = it.from;
    }
    return since;
}

/// When hosts know the limit that was stated from \a from on: half a second after the first
/// response that could state it. A silent replica states nothing, and what was sent to it meanwhile
/// arrives when it goes on.
base::TimePoint knownFrom(const ReplicaTraffic &traffic, base::TimePoint from)
{
    base::TimePoint first = base::TimePoint::max();
    for (const ReplicaTraffic::Answer &it : traffic.limitedAnswers) {
        if (it.at >= from && it.at < first)
            first = it.at;
    }
    return first == base::TimePoint::max() ? first : first + kNotice;
}

/// Limit that hosts know at \a at: a lower one counts once they had time to learn of it, and the
/// first one for the time before it too.
double knownLimit(const ReplicaTraffic &traffic, base::TimePoint at, base::TimePoint since)
{
    double known = 0;
    for (std::size_t n = 0; n < traffic.limits.size(); ++n) {
        const ReplicaTraffic::Limit &it = traffic.limits[n];
        if (!it.perSecond || it.from < since)
            continue;
        const bool isLast = n + 1 == traffic.limits.size();
        const base::TimePoint end =
                isLast ? base::TimePoint::max() : knownFrom(traffic, traffic.limits[n + 1].from);
        const bool isFirst = it.from == since;
        if ((isFirst || it.from <= at) && at < end)
            known = std::max(known, *it.perSecond);
    }
    return known;
}

double allowedUntil(const ReplicaTraffic &traffic, base::TimePoint end, base::TimePoint since)
{
    double sum = 0;
    for (base::TimePoint at = end - kWindow; at < end; at += kStep)
        sum += knownLimit(traffic, at, since) * std::chrono::duration<double>(kStep).count();
    return kAllowedFactor * sum + kAllowedMore;
}

/// A window may be fullest when it ends with an arrival. Others show that a replica that got few
/// requests was looked at.
std::vector<base::TimePoint> windowEnds(const ReplicaTraffic &traffic)
{
    std::vector<base::TimePoint> ends;
    const auto add = [&](base::TimePoint at) {
        const auto since = limitedSince(traffic, at);
        if (since && at >= *since + kContact)
            ends.push_back(at);
    };
    for (const ReplicaTraffic::Arrival &it : traffic.arrivals)
        add(it.at);
    const base::TimePoint last = std::min(traffic.endedAt, base::monotonicNow());
    for (const ReplicaTraffic::Limit &it : traffic.limits) {
        for (base::TimePoint at = it.from; at < last; at += kWindow / 8)
            add(at);
    }
    return ends;
}

} // namespace

std::string RateLimitExcess::text(base::TimePoint start) const
{
    return fmt::format("{} got {} requests in 4 s, allowed {:.1f}, at {} ms:{}", replica, arrived,
                       allowed, millisBetween(start, at), trace);
}

int countedWindows(const ReplicaTraffic &traffic)
{
    return static_cast<int>(windowEnds(traffic).size());
}

std::optional<RateLimitExcess> worstExcess(const ReplicaTraffic &traffic, CountedRequests counted,
                                           const HostOfRequest &hostOf, const IsExcused &isExcused)
{
    std::optional<RateLimitExcess> worst;
    for (const base::TimePoint end : windowEnds(traffic)) {
        const base::TimePoint since = *limitedSince(traffic, end);
        std::map<std::string, base::TimePoint> toldAt;
        for (const ReplicaTraffic::Answer &it : traffic.limitedAnswers) {
            if (it.at >= since && it.at + kNotice <= end)
                toldAt.emplace(hostOf(it.request), it.at);
        }
        int arrived = 0;
        std::string trace;
        for (const ReplicaTraffic::Limit &it : traffic.limits)
            trace += fmt::format(" limit {} at {},", it.perSecond.value_or(-1),
                                 millisBetween(end, it.from));
        for (const ReplicaTraffic::Arrival &it : traffic.arrivals) {
            const std::string host = hostOf(it.request);
            const auto told = toldAt.find(host);
            if (it.at <= end - kWindow || it.at > end || host.empty() || told == toldAt.end())
                continue;
            const bool isCounted =
                    counted == CountedRequests::OfToldHosts || it.at >= told->second + kNotice;
            if (isCounted && !isExcused(host, it.at)) {
                ++arrived;
                trace += fmt::format(" {} {}", host, millisBetween(end, it.at));
            }
        }
        const double allowed = allowedUntil(traffic, end, since);
        if (arrived > allowed && (!worst || arrived - allowed > worst->arrived - worst->allowed))
            worst = RateLimitExcess{traffic.replica, end, arrived, allowed, std::move(trace)};
    }
    return worst;
}

} // namespace hyssop::harness
