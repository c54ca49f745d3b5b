#include "membership/Membership.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::membership;
using namespace std::chrono_literals;

namespace {

using Kind = HostChange::Kind;

constexpr base::TimePoint kStart{1000s};

HostHeartbeat heartbeat(const std::string &id, std::int64_t incarnation, std::int64_t sequence)
{
    return {base::HostId(id), base::Incarnation(incarnation), sequence, {}};
}

std::vector<Kind> kinds(const std::vector<HostChange> &changes)
{
    std::vector<Kind> kinds;
    kinds.reserve(changes.size());
    for (const HostChange &change : changes)
        kinds.push_back(change.kind);
    return kinds;
}

} // namespace

TEST_CASE("a silent host becomes suspected, then dead, and alive again on a new heartbeat")
{
    HostTable table(heartbeat("a", 1, 0));
    CHECK(kinds(table.update(heartbeat("b", 1, 5), kStart)) == std::vector{Kind::Alive});
    CHECK(table.tick(kStart + 3'999ms).empty());
    CHECK(kinds(table.tick(kStart + 4s)) == std::vector{Kind::Suspected});
    // A heartbeat that is already known does not show that the host is alive.
    table.update(heartbeat("b", 1, 5), kStart + 7s);
    CHECK(kinds(table.tick(kStart + 8s)) == std::vector{Kind::Dead});
    CHECK(table.isDead(base::HostId("b")));
    CHECK(table.live().size() == 1);
    CHECK(kinds(table.update(heartbeat("b", 1, 6), kStart + 9s)) == std::vector{Kind::Alive});
    CHECK_FALSE(table.isDead(base::HostId("b")));
}

TEST_CASE("a restart under a new incarnation reports the old incarnation")
{
    HostTable table(heartbeat("a", 1, 0));
    table.update(heartbeat("b", 1, 5), kStart);
    const auto changes = table.update(heartbeat("b", 2, 1), kStart + 1s);
    REQUIRE(kinds(changes) == std::vector{Kind::Restarted, Kind::Alive});
    CHECK(changes[0].incarnation == base::Incarnation(1));
    // A late heartbeat of the old incarnation is ignored.
    CHECK(table.update(heartbeat("b", 1, 900), kStart + 2s).empty());
    CHECK(table.find(base::HostId("b"))->incarnation == base::Incarnation(2));
}

TEST_CASE("live hosts are listed in id order, and a host ignores its own heartbeat")
{
    HostTable table(heartbeat("b", 1, 0));
    CHECK(table.update(heartbeat("b", 9, 9), kStart).empty());
    table.update(heartbeat("c", 1, 1), kStart);
    table.update(heartbeat("a", 1, 1), kStart);
    std::string ids;
    for (const HostHeartbeat &it : table.live())
        ids += it.id.text();
    CHECK(ids == "abc");
}

// Such a host was reclaimed by nobody, as no other host knew that it had ever been there.
TEST_CASE("a host that is known only by its start is found dead when it never gossips")
{
    HostTable table({base::HostId("self"), base::Incarnation(1), 0, {}});
    const base::TimePoint start{std::chrono::hours(1)};
    const HostHeartbeat started{base::HostId("other"), base::Incarnation(5), 0, {}};
    REQUIRE(table.update(started, start).size() == 1);
    CHECK(table.update(started, start + HostTable::kSuspectAfter).empty());
    table.tick(start + HostTable::kSuspectAfter);
    const auto changes = table.tick(start + HostTable::kDeadAfter);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().kind == HostChange::Kind::Dead);
    CHECK(changes.front().incarnation == base::Incarnation(5));
    // Neither the list nor an earlier start brings it back.
    CHECK(table.update(started, start + HostTable::kDeadAfter).empty());
    CHECK(table.isDead(base::HostId("other")));
}
