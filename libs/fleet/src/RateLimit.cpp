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

} // namespace hyssop::fleet
