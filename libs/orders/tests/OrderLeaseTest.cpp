#include "orders/Orders.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::orders;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{1h};

OrderLease askedAt(base::TimePoint at)
{
    OrderLease lease(1, at - 10s);
    REQUIRE(lease.isDue(true, at));
    lease.asked(at);
    return lease;
}

} // namespace

TEST_CASE("a lease is counted from its request, however late the reply arrives")
{
    OrderLease lease = askedAt(kStart);
    lease.granted(7, kStart + 2s);
    REQUIRE(lease.held(kStart + 2s));
    CHECK(lease.held(kStart + 2s)->validUntil == kStart + kLeaseDuration - kLeaseMargin);
    CHECK_FALSE(lease.held(kStart + kLeaseDuration - kLeaseMargin));
}

TEST_CASE("a holder that gets no reply stops before expiry and keeps requesting")
{
    OrderLease lease = askedAt(kStart);
    lease.granted(7, kStart);
    const base::TimePoint renewal = kStart + 4s;
    REQUIRE(lease.isDue(false, renewal));
    lease.asked(renewal);
    CHECK_FALSE(lease.isDue(false, renewal + 10s));
    lease.failed();
    CHECK(lease.held(kStart + 7s));
    CHECK_FALSE(lease.held(kStart + 8s));
    CHECK(lease.isDue(true, kStart + 9s));
}

TEST_CASE("a renewal keeps the time of the first grant, and a new fencing token resets it")
{
    OrderLease lease = askedAt(kStart);
    lease.granted(7, kStart);
    lease.asked(kStart + 3s);
    lease.granted(7, kStart + 3s);
    CHECK(lease.held(kStart + 10s)->firstGrantedAt == kStart);
    lease.asked(kStart + 20s);
    lease.granted(8, kStart + 20s);
    CHECK(lease.held(kStart + 20s)->firstGrantedAt == kStart + 20s);
}

TEST_CASE("a holder whose fencing token was rejected sends no order until a new request is granted")
{
    OrderLease lease = askedAt(kStart);
    lease.granted(7, kStart);
    lease.asked(kStart + 3s);
    lease.stepBack();
    // This request was sent before stepBack(), so its grant must be ignored.
    lease.granted(7, kStart + 3s);
    CHECK_FALSE(lease.held(kStart + 3s));
    REQUIRE(lease.isDue(false, kStart + 3s));
    lease.asked(kStart + 3s);
    lease.granted(7, kStart + 3s);
    CHECK(lease.held(kStart + 3s));
}

TEST_CASE("a host that is not preferred requests the lease rarely, to limit the load on the log")
{
    OrderLease lease(1, kStart);
    CHECK_FALSE(lease.isDue(false, kStart + 30s));
    CHECK(lease.isDue(true, kStart + 4s));
    CHECK(lease.isDue(false, kStart + 61s));
}
