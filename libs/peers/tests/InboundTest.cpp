// Whose connection ends first when strangers hold more of the RPC port than they may.

#include "peers/Inbound.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::peers;

using Ids = std::vector<InboundAccount::Id>;

// Guards against messages that never end filling the memory.
TEST_CASE("the message that began first is given up above the limit")
{
    InboundAccount account({base::Bytes(1'000), 0});
    const auto first = account.add();
    const auto second = account.add();
    account.begin(second, 600);
    account.begin(first, 400);
    CHECK(account.victims(first).empty());
    account.begin(first, 500);
    CHECK(account.victims(first) == Ids{second});
    account.finish(second);
    CHECK(account.victims(first).empty());
    account.remove(second);
    account.remove(first);
}

// Guards against silent connections that shut out the peers.
TEST_CASE("connections that never sent a message make room for new ones")
{
    InboundAccount account({base::Bytes(0), 2});
    const auto peer = account.add();
    account.begin(peer, 100);
    account.finish(peer);
    const auto silent = account.add();
    CHECK(account.victims(silent).empty());
    const auto newest = account.add();
    CHECK(account.victims(newest) == Ids{silent});
    account.begin(silent, 100);
    account.finish(silent);
    CHECK(account.victims(newest) == Ids{newest});
}

// Guards against limits where the settings state none.
TEST_CASE("without limits no connection is given up")
{
    InboundAccount account({});
    for (int n = 0; n < 100; ++n)
        account.begin(account.add(), std::size_t(1) << 30);
    CHECK(account.victims(1).empty());
}
