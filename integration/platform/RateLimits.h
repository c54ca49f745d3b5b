#pragma once

#include "base/Base.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssop::harness {

/// Limits that a replica stated and requests that it got, in order of time.
struct ReplicaTraffic
{
    struct Arrival
    {
        std::string request;
        base::TimePoint at;
    };
    struct Answer
    {
        std::string request;
        base::TimePoint at;
    };
    struct Limit
    {
        std::optional<double> perSecond; ///< Empty when it states none from then on.
        base::TimePoint from;
    };

    std::string replica; ///< Its id and the number of its start.
    std::vector<Arrival> arrivals; ///< All of them, rejected ones as well.
    std::vector<Answer> limitedAnswers; ///< Those that stated a limit.
    std::vector<Limit> limits;
    base::TimePoint endedAt = base::TimePoint::max(); ///< End of this start.
};

/// A window with more requests than the limits allow.
struct RateLimitExcess
{
    std::string replica;
    base::TimePoint at; ///< End of the window.
    int arrived = 0;
    double allowed = 0;
    std::string trace; ///< Limits and the requests that were counted.

    std::string text(base::TimePoint start) const;
};

/// Finds the host that sent a request; empty when it is not counted.
using HostOfRequest = std::function<std::string(const std::string &request)>;
/// Whether a host is excused at a time, because of a restart, freeze or cut shortly before.
using IsExcused = std::function<bool(const std::string &host, base::TimePoint at)>;

/// Which requests of a window count.
enum class CountedRequests {
    OfToldHosts, ///< All of hosts that knew a limit half a second before the end of the window.
    SentKnowingly, ///< Those that a host sent half a second or more after it knew a limit.
};

/// Finds the worst window of 4 s in which \a traffic exceeds one and a half times its limits and 5
/// more requests. A host knows a limit once it passed on an answer that states one. Windows count
/// that end 3 s or more after a limit was first stated.
std::optional<RateLimitExcess> worstExcess(const ReplicaTraffic &traffic, CountedRequests counted,
                                           const HostOfRequest &hostOf, const IsExcused &isExcused);

/// Number of windows that worstExcess() compares.
int countedWindows(const ReplicaTraffic &traffic);

} // namespace hyssop::harness
