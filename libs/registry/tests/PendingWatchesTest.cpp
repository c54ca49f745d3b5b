#include "PendingWatches.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};

fleet::WatchRequest asking(std::int64_t version, std::int64_t revision)
{
    fleet::WatchRequest request;
    request.configuration = fleet::Version(version);
    request.directoryIncarnation = 1;
    request.directoryRevision = revision;
    request.wait = Millis(1'000);
    return request;
}

} // namespace

TEST_CASE("a watch is answered when something newer is there or its wait is over")
{
    PendingWatches board;
    int answered = 0;
    const auto count = [&answered](const auto &) { ++answered; };
    PendingWatches::Revisions state{fleet::Version(3), 1, 5};
    board.add(asking(3, 5), count, kStart);
    board.add(asking(2, 5), count, kStart);
    board.answerReady(state, kStart);
    CHECK(answered == 1);
    state.directoryRevision = 6;
    board.answerReady(state, kStart);
    CHECK(answered == 2);
    board.add(asking(3, 6), count, kStart);
    board.answerReady(state, kStart + Millis(999));
    CHECK(answered == 2);
    board.answerReady(state, kStart + Millis(1'000));
    CHECK(answered == 3);
    CHECK(board.size() == 0);
}

TEST_CASE("a watch that saw another start of the directory is answered at once")
{
    PendingWatches board;
    int answered = 0;
    board.add(
            asking(3, 50), [&answered](const auto &) { ++answered; }, kStart);
    board.answerReady({fleet::Version(3), 2, 1}, kStart);
    CHECK(answered == 1);
}
