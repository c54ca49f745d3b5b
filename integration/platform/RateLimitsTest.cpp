#include "RateLimits.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using harness::ReplicaTraffic;

namespace {

constexpr int kBurst = 12;

/// The clock's start lies far enough back that all windows of these tests have ended.
base::TimePoint at(std::int64_t ms)
{
    static const base::TimePoint start = base::monotonicNow() - base::Millis(60'000);
    return start + base::Millis(ms);
}

/// States 6 requests a second from the first second on and 0 from the sixth on, and gets a burst in
/// the eighth.
ReplicaTraffic lowered()
{
    ReplicaTraffic traffic;
    traffic.replica = "i-1/1";
    traffic.limits = {{6, at(1'000)}, {0, at(6'000)}};
    traffic.limitedAnswers = {{"first", at(1'000)}};
    for (int i = 0; i < kBurst; ++i)
        traffic.arrivals.push_back({std::to_string(i), at(8'000)});
    traffic.endedAt = at(15'000);
    return traffic;
}

bool hasExcess(const ReplicaTraffic &traffic)
{
    const auto hostOf = [](const std::string &) { return std::string("entry-1"); };
    const auto isExcused = [](const std::string &, base::TimePoint) { return false; };
    return worstExcess(traffic, harness::CountedRequests::SentKnowingly, hostOf, isExcused)
            .has_value();
}

} // namespace

// A replica that was silent when its limit was lowered read what was sent meanwhile all at once;
// the check took that for requests sent against the lower limit.
TEST_CASE("a lower limit counts once a response has stated it")
{
    ReplicaTraffic traffic = lowered();
    CHECK_FALSE(hasExcess(traffic));
    SECTION("a response stated it before the burst")
    {
        traffic.limitedAnswers.push_back({"second", at(6'100)});
        CHECK(hasExcess(traffic));
    }
    SECTION("the first response that stated it left with the burst")
    {
        traffic.limitedAnswers.push_back({"second", at(8'000)});
        CHECK_FALSE(hasExcess(traffic));
    }
    SECTION("requests go on half a second after that response")
    {
        traffic.limitedAnswers.push_back({"second", at(8'000)});
        for (int i = 0; i < kBurst; ++i)
            traffic.arrivals.push_back({"late" + std::to_string(i), at(12'900)});
        CHECK(hasExcess(traffic));
    }
    SECTION("the burst exceeds the former limit too")
    {
        for (int i = 0; i < 4 * kBurst; ++i)
            traffic.arrivals.push_back({"more" + std::to_string(i), at(8'000)});
        CHECK(hasExcess(traffic));
    }
}
