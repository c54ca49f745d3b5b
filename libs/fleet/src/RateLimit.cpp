#include "fleet/Fleet.h"

namespace hyssop::fleet {

bool RateLimitStatement::update(const RateLimitStatement &other)
{
    const RequestRate previousRate = rate;
    if (other.incarnation != incarnation) {
        if (other.incarnation > incarnation)
            *this = other;
        return rate != previousRate;
    }
    const bool isOlder = other.receivedAt <= requestSentAt;
    const bool mayOverlap = other.requestSentAt < receivedAt;
    if (isOlder || (mayOverlap && other.rate > rate))
        return false;
    rate = other.rate;
    requestSentAt = std::max(requestSentAt, other.requestSentAt);
    receivedAt = std::max(receivedAt, other.receivedAt);
    return rate != previousRate;
}

RateLimitReport toReport(const base::UpstreamId &upstream, const RateLimitStatement &statement,
                         base::TimePoint now)
{
    const auto age = [now](base::TimePoint at) {
        return std::chrono::floor<base::Millis>(now - at);
    };
    return {upstream, statement.incarnation, statement.rate, age(statement.requestSentAt),
            age(statement.receivedAt)};
}

RateLimitStatement toStatement(const RateLimitReport &report, base::TimePoint from,
                               base::TimePoint to)
{
    return {report.incarnation, report.rate, from - report.requestAge, to - report.answerAge};
}

} // namespace hyssop::fleet
