// Starts of entry hosts in the replicated state.

#include "ledger/Ledger.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::ledger;

namespace {

Owner owner(const char *host, std::int64_t incarnation)
{
    return {base::HostId(host), base::Incarnation(incarnation)};
}

struct StartFixture
{
    Reply run(const Command &command, std::int64_t timeMs = 0)
    {
        replog::Entry entry;
        entry.position = {replog::Term(1), replog::Index(++index)};
        entry.payload = encode(command, timeMs);
        return ledger.apply(entry);
    }
    Ledger ledger;
    std::int64_t index = 0;
};

} // namespace

// A host that was killed before any other had seen it was reclaimed by nobody.
TEST_CASE("the latest start of each entry host is remembered until the host is retired")
{
    StartFixture fixture;
    CHECK(fixture.ledger.startedHosts().revision == 0);
    CHECK(fixture.run(startOfEntryHost(owner("a", 1))).status == Status::Accepted);
    CHECK(fixture.run(startOfEntryHost(owner("b", 7))).status == Status::Accepted);
    const std::int64_t revision = fixture.ledger.startedHosts().revision;
    CHECK(fixture.ledger.startedHosts().hosts == std::vector{owner("a", 1), owner("b", 7)});
    CHECK(fixture.run(startOfEntryHost(owner("a", 2))).status == Status::Accepted);
    CHECK(fixture.ledger.startedHosts().hosts == std::vector{owner("a", 2), owner("b", 7)});
    CHECK(fixture.ledger.startedHosts().revision > revision);
    fixture.run(RetireOwner{owner("a", 1)});
    CHECK(fixture.ledger.startedHosts().hosts.size() == 2);
    fixture.run(RetireOwner{owner("a", 2)});
    CHECK(fixture.ledger.startedHosts().hosts == std::vector{owner("b", 7)});
    // It was taken for dead, but is not.
    fixture.run(ReinstateOwner{owner("a", 2)});
    CHECK(fixture.ledger.startedHosts().hosts.size() == 2);
}

TEST_CASE("a retired host is not listed again when its retirement is forgotten")
{
    StartFixture fixture;
    fixture.run(startOfEntryHost(owner("a", 2)));
    fixture.run(startOfEntryHost(owner("b", 3)));
    fixture.run(RetireOwner{owner("a", 2)}, 1'000);
    fixture.run(RetireOwner{owner("b", 2)}, 1'000);
    const std::int64_t later = 1'000 + LedgerOptions().retirementRetention.count() + 1;
    fixture.run(TakeLease{"other", owner("c", 1), base::Millis(10)}, later);
    CHECK(fixture.ledger.startedHosts().hosts == std::vector{owner("b", 3)});
}

TEST_CASE("the starts of entry hosts are part of the snapshot")
{
    StartFixture fixture;
    fixture.run(startOfEntryHost(owner("a", 2)));
    Ledger restored;
    REQUIRE(restored.restore(fixture.ledger.snapshot()));
    CHECK(restored.startedHosts().hosts == fixture.ledger.startedHosts().hosts);
    CHECK(restored.startedHosts().revision == fixture.ledger.startedHosts().revision);
}
