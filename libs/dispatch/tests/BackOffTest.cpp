#include "FirstAction.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace hyssop;
using namespace hyssop::dispatch;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::ServiceId kService{"plain"};

fleet::Upstream upstream(int n, std::int64_t startedAt = 10)
{
    fleet::Upstream it;
    it.id = base::UpstreamId("u" + std::to_string(n));
    it.service = kService;
    it.address = {"127.0.0.1", static_cast<std::uint16_t>(8'000 + n)};
    it.incarnation = base::Incarnation(startedAt);
    it.slots = 4;
    return it;
}

class Host
{
public:
    explicit Host(int upstreams)
    {
        for (int n = 0; n < upstreams; ++n)
            dispatcher.handle(UpstreamUpdated{upstream(n)}, kStart);
    }

    /// Sends a call with an objective of a second.
    Actions call(base::TimePoint now)
    {
        CallInfo info;
        info.id = CallId(++m_lastCall);
        info.service = kService;
        info.isRetrySafe = true;
        info.maxAttempts = 2;
        info.arrivedAt = now;
        info.latencyObjective = Millis(1'000);
        info.deadline = now + Millis(10'000);
        return dispatcher.handle(CallArrived{info}, now);
    }
    /// Ids of the upstreams that get \a count calls.
    std::set<std::string> usedBy(int count, base::TimePoint now)
    {
        std::set<std::string> used;
        for (int n = 0; n < count; ++n) {
            for (const Action &it : call(now)) {
                if (const auto *sent = std::get_if<SendAttempt>(&it)) {
                    used.insert(sent->upstream.id.text());
                    dispatcher.handle(AttemptSucceeded{sent->call}, now);
                }
            }
        }
        return used;
    }
    void backOff(int n, Millis duration, std::int64_t startedAt = 10)
    {
        dispatcher.handle(BackOffStated{upstream(n).id, base::Incarnation(startedAt), duration},
                          kStart);
    }

    Dispatcher dispatcher{DispatcherOptions()};

private:
    std::int64_t m_lastCall = 0;
};

} // namespace

TEST_CASE("an upstream that wants no requests gets none until the time is over")
{
    Host host(2);
    host.backOff(0, Millis(3'000));
    CHECK(host.usedBy(20, kStart) == std::set<std::string>{"u1"});
    CHECK(host.usedBy(20, kStart + Millis(2'999)) == std::set<std::string>{"u1"});
    CHECK(host.usedBy(20, kStart + Millis(3'000)).size() == 2);
}

TEST_CASE("a shorter time does not end a longer one that was stated before")
{
    Host host(2);
    host.backOff(0, Millis(3'000));
    host.backOff(0, Millis(100));
    CHECK(host.usedBy(20, kStart + Millis(2'000)) == std::set<std::string>{"u1"});
}

TEST_CASE("an ejected upstream that wants no requests is no last resort")
{
    Host host(1);
    host.backOff(0, Millis(400));
    CHECK(host.usedBy(3, kStart).empty());
}

TEST_CASE("a later start of an upstream is not bound by what the earlier one wanted")
{
    Host host(2);
    host.backOff(0, Millis(60'000));
    host.dispatcher.handle(UpstreamUpdated{upstream(0, 20)}, kStart);
    CHECK(host.usedBy(20, kStart).size() == 2);
    // What the earlier start said may arrive late.
    host.backOff(0, Millis(60'000), 10);
    CHECK(host.usedBy(20, kStart).size() == 2);
}

TEST_CASE("an upstream that the directory loses for a moment still gets no requests")
{
    Host host(2);
    host.backOff(0, Millis(3'000));
    host.dispatcher.handle(UpstreamRemoved{upstream(0).id}, kStart);
    host.dispatcher.handle(UpstreamUpdated{upstream(0)}, kStart);
    CHECK(host.usedBy(20, kStart) == std::set<std::string>{"u1"});
}

TEST_CASE("a call waits for the first upstream to take requests again if that is in time")
{
    Host host(2);
    host.backOff(0, Millis(9'000));
    host.backOff(1, Millis(300));
    const Actions arrived = host.call(kStart);
    CHECK_FALSE(first<SendAttempt>(arrived));
    CHECK_FALSE(first<RejectCall>(arrived));
    const Actions later = host.dispatcher.tick(kStart + Millis(300));
    REQUIRE(first<SendAttempt>(later));
    CHECK(first<SendAttempt>(later)->upstream.id.text() == "u1");
}

TEST_CASE("a call is rejected at once, with that time, if no upstream takes requests in time")
{
    Host host(2);
    host.backOff(0, Millis(2'000));
    host.backOff(1, Millis(9'000));
    const Actions arrived = host.call(kStart);
    const auto *rejected = first<RejectCall>(arrived);
    REQUIRE(rejected);
    CHECK(rejected->blocker == QueueBlocker::BackOff);
    CHECK(rejected->retryAfter >= Millis(2'000));
}
