#include "KnownEvacuations.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::edge;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const base::DataCentreId kNorth("north");

fleet::WatchReply reply(bool isConfirmed, std::int64_t revision, bool isEvacuated = true)
{
    fleet::WatchReply it;
    it.isConfirmed = isConfirmed;
    it.evacuations.emplace();
    it.evacuations->revision = revision;
    if (isEvacuated)
        it.evacuations->dataCentres.insert(kNorth);
    return it;
}

} // namespace

// A host that served calls before a leader confirmed the state might send them to an evacuated data
// centre after its restart.
TEST_CASE("a host is not ready before a leader has confirmed the evacuations")
{
    KnownEvacuations known;
    CHECK(known.receive(reply(false, 3), kStart));
    CHECK_FALSE(known.isConfirmed());
    CHECK_FALSE(known.receive(reply(true, 3), kStart));
    CHECK(known.isConfirmed());
    CHECK(known.state().dataCentres.contains(kNorth));
}

TEST_CASE("a control host that lags behind does not bring back an earlier state")
{
    KnownEvacuations known;
    known.receive(reply(true, 5), kStart);
    CHECK_FALSE(known.receive(reply(false, 4, false), kStart));
    CHECK(known.state().dataCentres.contains(kNorth));
    CHECK(known.receive(reply(false, 6, false), kStart));
    CHECK(known.state().dataCentres.empty());
}

TEST_CASE("behind a leader of an earlier build, the other control hosts are heard first")
{
    KnownEvacuations known;
    fleet::WatchReply unaware;
    unaware.isConfirmed = true;
    known.receive(unaware, kStart);
    CHECK_FALSE(known.isConfirmed());
    known.receive(reply(false, 3), kStart + Millis(5));
    known.receive(unaware, kStart + Millis(1'000));
    CHECK(known.isConfirmed());
    CHECK(known.state().dataCentres.contains(kNorth));
}
