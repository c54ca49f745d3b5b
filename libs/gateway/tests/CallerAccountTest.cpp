// Which connections are given up when callers hold more than the machine has.

#include "gateway/CallerAccount.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::gateway;
using base::Millis;

namespace {

const base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

CallerLimits smallLimits()
{
    return {base::Bytes(160'000), 3, Millis(1'000)};
}

CallerEntry *addHolder(CallerAccount &account, CallerActivity activity, std::size_t bytes,
                       base::TimePoint now)
{
    CallerEntry *entry = account.add(now);
    account.setActivity(*entry, activity, now);
    account.setBytes(*entry, bytes);
    return entry;
}

} // namespace

// Guards against shedding on a calm host.
TEST_CASE("nothing is given up within the limit")
{
    CallerAccount account(smallLimits());
    addHolder(account, CallerActivity::Reading, 160'000, kStart);
    CHECK_FALSE(account.isOverMemory());
    CHECK(account.memoryVictims(kStart + Millis(10'000)).empty());
}

// Guards against a limit where the settings state none.
TEST_CASE("without limits nothing is given up")
{
    CallerAccount account;
    const CallerEntry *entry =
            addHolder(account, CallerActivity::Reading, std::size_t(1) << 40, kStart);
    CHECK_FALSE(account.isOverMemory());
    CHECK_FALSE(account.isOverConnections());
    CHECK(account.bytes() == entry->bytes);
    account.remove(entry);
    CHECK(account.bytes() == 0);
}

// Guards against ordinary callers paying for those that stall, do not read or pipeline.
TEST_CASE("memory is taken from stalled, unread and pipelining connections first")
{
    CallerAccount account(smallLimits());
    const base::TimePoint now = kStart + Millis(2'000);
    const auto *busy = addHolder(account, CallerActivity::Responding, 100'000, now);
    const auto *reading = addHolder(account, CallerActivity::Reading, 90'000, now);
    auto *pipelining = addHolder(account, CallerActivity::Responding, 50'000, now);
    pipelining->pipelinedBytes = 40'000;
    auto *unread = addHolder(account, CallerActivity::Idle, 30'000, now);
    unread->unreadBytes = 30'000;
    const auto *stalled = addHolder(account, CallerActivity::Reading, 20'000, kStart);
    const auto victims = account.memoryVictims(now);
    REQUIRE(victims.size() == 4);
    CHECK(victims[0].id == stalled->id);
    CHECK(victims[0].reason == ShedReason::Stalled);
    CHECK(victims[1].id == unread->id);
    CHECK(victims[1].reason == ShedReason::Unread);
    CHECK(victims[2].id == pipelining->id);
    CHECK(victims[2].reason == ShedReason::Pipelining);
    CHECK(victims[3].id == reading->id);
    CHECK(victims[3].reason == ShedReason::Unfinished);
    CHECK(account.bytes() == 290'000);
    CHECK(busy->bytes == 100'000);
}

// Guards against small requests being rejected while large unfinished ones hold the memory.
TEST_CASE("of unfinished requests the largest goes first")
{
    CallerAccount account(smallLimits());
    addHolder(account, CallerActivity::Reading, 10'000, kStart);
    const auto *large = addHolder(account, CallerActivity::Reading, 160'000, kStart);
    const auto victims = account.memoryVictims(kStart);
    REQUIRE(victims.size() == 1);
    CHECK(victims[0].id == large->id);
}

// Guards against a body that arrives byte by byte counting as one that makes progress.
TEST_CASE("single bytes are no progress")
{
    CallerAccount account(smallLimits());
    auto *dripping = addHolder(account, CallerActivity::Reading, 80'000, kStart);
    auto *honest = addHolder(account, CallerActivity::Reading, 90'000, kStart);
    const base::TimePoint now = kStart + Millis(1'500);
    for (int n = 0; n < 30; ++n)
        CallerAccount::addTransferred(*dripping, 1, kStart + Millis(50) * n);
    CallerAccount::addTransferred(*honest, 1'400, now);
    const auto victims = account.memoryVictims(now);
    REQUIRE_FALSE(victims.empty());
    CHECK(victims[0].id == dripping->id);
}

// Guards against a full set of connections that shuts out new callers.
TEST_CASE("a new connection takes the place of the one that has been silent longest")
{
    CallerAccount account(smallLimits());
    auto *used = addHolder(account, CallerActivity::Responding, 0, kStart);
    account.setActivity(*used, CallerActivity::Idle, kStart);
    const auto *silent = account.add(kStart + Millis(10));
    account.add(kStart + Millis(20));
    CHECK_FALSE(account.isOverConnections());
    const auto *newest = account.add(kStart + Millis(30));
    CHECK(account.isOverConnections());
    CHECK(account.connectionVictim(newest->id, kStart + Millis(30)).id == silent->id);
}

// Guards against a flood of connections that ends requests which are being handled.
TEST_CASE("a new connection is closed if all others are busy")
{
    CallerAccount account(smallLimits());
    for (int n = 0; n < 3; ++n)
        addHolder(account, CallerActivity::Responding, 0, kStart);
    const auto *newest = account.add(kStart + Millis(5'000));
    CHECK(account.connectionVictim(newest->id, kStart + Millis(5'000)).id == newest->id);
}
