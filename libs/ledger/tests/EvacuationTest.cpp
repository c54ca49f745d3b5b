// Evacuations of data centres in the replicated state.

#include "ledger/Ledger.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::ledger;

namespace {

const base::DataCentreId kNorth("north");
const base::DataCentreId kSouth("south");

struct EvacuationFixture
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

TEST_CASE("an evacuation begins and ends by the order of the log")
{
    EvacuationFixture fixture;
    CHECK(fixture.ledger.evacuations().revision == 0);
    CHECK(fixture.run(SetEvacuation{kNorth, true}).status == Status::Accepted);
    CHECK(fixture.ledger.evacuations().dataCentres == std::vector{kNorth});
    fixture.run(SetEvacuation{kSouth, true});
    CHECK(fixture.ledger.evacuations().dataCentres == std::vector{kNorth, kSouth});
    fixture.run(SetEvacuation{kNorth, false});
    CHECK(fixture.ledger.evacuations().dataCentres == std::vector{kSouth});
}

TEST_CASE("an order that is sent again is accepted again")
{
    EvacuationFixture fixture;
    for (int n = 0; n < 3; ++n)
        CHECK(fixture.run(SetEvacuation{kNorth, true}).status == Status::Accepted);
    CHECK(fixture.ledger.evacuations().dataCentres == std::vector{kNorth});
    CHECK(fixture.run(SetEvacuation{kSouth, false}).status == Status::Accepted);
}

// Hosts keep the state with the highest revision, so one that did not grow would be ignored.
TEST_CASE("each order raises the revision")
{
    EvacuationFixture fixture;
    std::int64_t last = 0;
    for (const bool isEvacuated : {true, false, false, true}) {
        fixture.run(SetEvacuation{kNorth, isEvacuated});
        CHECK(fixture.ledger.evacuations().revision > last);
        last = fixture.ledger.evacuations().revision;
        const Owner owner{base::HostId("a"), base::Incarnation(1)};
        fixture.run(TakeLease{"orders", owner, base::Millis(0)});
    }
}

TEST_CASE("a snapshot includes the evacuations")
{
    EvacuationFixture fixture;
    fixture.run(SetEvacuation{kNorth, true});
    fixture.run(SetEvacuation{kSouth, true});
    fixture.run(SetEvacuation{kSouth, false});
    Ledger other;
    REQUIRE(other.restore(fixture.ledger.snapshot()));
    CHECK(other.evacuations().dataCentres == std::vector{kNorth});
    CHECK(other.evacuations().revision == fixture.ledger.evacuations().revision);
    CHECK(other.snapshot() == fixture.ledger.snapshot());
}

// An earlier build would drop a command that it does not know and write a snapshot without it, so
// that the evacuation would be lost with the upgrade of that host.
TEST_CASE("an earlier build applies and keeps an evacuation as a lease")
{
    const SetEvacuation command{kNorth, true};
    const TakeLease lease{
            "evacuation/north", {base::HostId("on"), base::Incarnation(0)}, base::Millis(0)};
    CHECK(encode(command, 7) == encode(lease, 7));
    const auto decoded = decodeCommand(encode(lease, 7));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<SetEvacuation>(decoded->command));
    CHECK(std::get<SetEvacuation>(decoded->command).isEvacuated);
    CHECK(isSafeToResend(command));
}

TEST_CASE("time does not end an evacuation")
{
    EvacuationFixture fixture;
    fixture.run(SetEvacuation{kNorth, true}, 1);
    fixture.run(SetEvacuation{kSouth, false}, 40LL * 24 * 3'600 * 1'000);
    CHECK(fixture.ledger.evacuations().dataCentres == std::vector{kNorth});
}
