#include "KvMemory.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::standins;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{};

Reservation reservation(const std::string &id, std::int64_t tokens)
{
    Reservation it;
    it.id = id;
    it.owner = "h/1";
    it.tokens = tokens;
    it.ttl = 10s;
    it.waitUntil = kStart + 5s;
    return it;
}

} // namespace

TEST_CASE("a waiting reservation gathers what is freed and leaves headroom for sequences")
{
    KvMemory memory(800);
    REQUIRE(memory.take(700));
    CHECK(memory.reserve(reservation("a", 600), kStart) == KvMemory::Verdict::Waiting);
    CHECK(memory.free() == 100);
    memory.give(400);
    CHECK(memory.gather(kStart).empty());
    CHECK(memory.reservation("a")->held == 400);
    CHECK(memory.take(100));
    memory.give(300);
    CHECK(memory.gather(kStart) == std::vector<std::string>{"a"});
    CHECK(memory.used() == 700);
}

TEST_CASE("of two waiting reservations only the older one gathers")
{
    KvMemory memory(800);
    REQUIRE(memory.take(800));
    memory.reserve(reservation("a", 600), kStart);
    memory.reserve(reservation("b", 600), kStart);
    memory.give(500);
    memory.gather(kStart);
    CHECK(memory.reservation("a")->held == 400);
    CHECK(memory.reservation("b")->held == 0);
    CHECK(memory.unreserve("a"));
    memory.gather(kStart);
    CHECK(memory.reservation("b")->held == 400);
}

TEST_CASE("a reservation ends by its wait while it waits and by its ttl once it is held")
{
    KvMemory memory(800);
    REQUIRE(memory.take(400));
    CHECK(memory.reserve(reservation("held", 400), kStart) == KvMemory::Verdict::Held);
    CHECK(memory.reserve(reservation("waits", 400), kStart) == KvMemory::Verdict::Waiting);
    CHECK(memory.expire(kStart + 5s) == std::vector<std::string>{"waits"});
    CHECK(memory.reserve(reservation("held", 400), kStart + 8s) == KvMemory::Verdict::Held);
    CHECK(memory.expire(kStart + 11s).empty());
    CHECK(memory.reserved() == 400);
    memory.expire(kStart + 18s);
    CHECK(memory.used() == 400);
}

TEST_CASE("held caches count as used until they are deleted")
{
    KvMemory memory(800);
    CHECK(memory.hold("x", {"h/1", 500}));
    CHECK_FALSE(memory.hold("y", {"h/1", 400}));
    CHECK(memory.used() == 500);
    CHECK(memory.unhold("x"));
    CHECK_FALSE(memory.unhold("x"));
    CHECK(memory.used() == 0);
}
