#include "WatchTiming.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::edge;
using base::Millis;

namespace {

struct FirstContacts
{
    Millis slowest{0}; ///< From the start of the control host to the first query that reaches it.
    int queries = 0; ///< Of all hosts, also those that failed.
};

/// Hosts that start within 50 ms and query a control host which listens only after \a downTime.
FirstContacts firstContacts(int hosts, Millis downTime, bool awaitsLeader)
{
    FirstContacts contacts;
    for (int host = 0; host < hosts; ++host) {
        Millis at(50 * host / hosts);
        for (int failures = 0; at < downTime; at += retryPause(++failures, awaitsLeader))
            ++contacts.queries;
        ++contacts.queries;
        contacts.slowest = std::max(contacts.slowest, at - downTime);
    }
    return contacts;
}

} // namespace

// With pauses that double up to 800 ms, a control host that listened 0.4 s after the entry hosts
// was found by some of them only 0.4 s later.
TEST_CASE("hosts that await a leader find a control host soon after it listens")
{
    for (const int hosts : {7, 90, 300}) {
        for (Millis downTime(20); downTime <= Millis(3'000); downTime += Millis(20)) {
            const FirstContacts contacts = firstContacts(hosts, downTime, true);
            CAPTURE(hosts, downTime.count());
            CHECK(contacts.slowest <= Millis(100));
            // Failed connections stay below eleven a second for each host.
            CHECK(contacts.queries <= hosts * (3 + downTime / Millis(100)));
        }
    }
}

// In steady state a control host that is gone must not cost more attempts than before.
TEST_CASE("hosts that know a leader query a lost control host with growing pauses")
{
    CHECK(retryPause(1, false) == Millis(50));
    CHECK(retryPause(2, false) == Millis(100));
    CHECK(retryPause(5, false) == Millis(800));
    CHECK(retryPause(1'000, false) == Millis(800));
    CHECK(retryPause(1, true) == Millis(50));
    CHECK(retryPause(1'000, true) == Millis(100));
}

// A caller that is told to wait for 1.2 s misses the time from which the host serves again.
TEST_CASE("callers rejected right after a start are asked back soon, others after an election")
{
    for (std::uint64_t random = 0; random < 5'000; random += 7) {
        const Millis starting = undecidedRetryAfter(Millis(100), false, random);
        CHECK(starting >= Millis(250));
        CHECK(starting < Millis(500));
        for (const Millis it : {undecidedRetryAfter(Millis(1'000), false, random),
                                undecidedRetryAfter(Millis(100), true, random)}) {
            CHECK(it >= Millis(1'200));
            CHECK(it < Millis(2'400));
        }
    }
}
