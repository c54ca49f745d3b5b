#include "orders/Orders.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::orders;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{1h};

OrderLease requestedAt(base::TimePoint at)
{
    OrderLease lease(1, at - 10s);
    REQUIRE(lease.isRequestDue(true, at));
    lease.onRequestSent(at);
    return lease;
}

} // namespace

TEST_CASE("a lease is counted from its request, however late the reply arrives")
{
    OrderLease lease = requestedAt(kStart);
    lease.onGranted(7, kStart + 2s);
    REQUIRE(lease.grantAt(kStart + 2s));
    CHECK(lease.grantAt(kStart + 2s)->validUntil == kStart + kLeaseDuration - kLeaseMargin);
    CHECK_FALSE(lease.grantAt(kStart + kLeaseDuration - kLeaseMargin));
}

TEST_CASE("a holder that gets no reply stops before expiry and keeps requesting")
{
    OrderLease lease = requestedAt(kStart);
    lease.onGranted(7, kStart);
    const base::TimePoint renewal = kStart + 4s;
    REQUIRE(lease.isRequestDue(false, renewal));
    lease.onRequestSent(renewal);
    CHECK_FALSE(lease.isRequestDue(false, renewal + 10s));
    lease.onRequestFailed();
    CHECK(lease.grantAt(kStart + 7s));
    CHECK_FALSE(lease.grantAt(kStart + 8s));
    CHECK(lease.isRequestDue(true, kStart + 9s));
}

TEST_CASE("a renewal keeps the time of the first grant, and a new fencing token resets it")
{
    OrderLease lease = requestedAt(kStart);
    lease.onGranted(7, kStart);
    lease.onRequestSent(kStart + 3s);
    lease.onGranted(7, kStart + 3s);
    CHECK(lease.grantAt(kStart + 10s)->firstGrantedAt == kStart);
    lease.onRequestSent(kStart + 20s);
    lease.onGranted(8, kStart + 20s);
    CHECK(lease.grantAt(kStart + 20s)->firstGrantedAt == kStart + 20s);
}

TEST_CASE("a holder whose fencing token was rejected sends no order until a new request is granted")
{
    OrderLease lease = requestedAt(kStart);
    lease.onGranted(7, kStart);
    lease.onRequestSent(kStart + 3s);
    lease.invalidate();
    // This request was sent before invalidate(), so its grant must be ignored.
    lease.onGranted(7, kStart + 3s);
    CHECK_FALSE(lease.grantAt(kStart + 3s));
    REQUIRE(lease.isRequestDue(false, kStart + 3s));
    lease.onRequestSent(kStart + 3s);
    lease.onGranted(7, kStart + 3s);
    CHECK(lease.grantAt(kStart + 3s));
}

TEST_CASE("a host that is not preferred requests the lease rarely, to limit the load on the log")
{
    OrderLease lease(1, kStart);
    CHECK_FALSE(lease.isRequestDue(false, kStart + 30s));
    CHECK(lease.isRequestDue(true, kStart + 4s));
    CHECK(lease.isRequestDue(false, kStart + 61s));
}
