#include "SizeShares.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const PromptKind kKind{base::ServiceId("s"), "review"};

/// Records prompts of 1 to 100 ms of prefill, of which those up to \a largestServed are served.
SizeShares sharesWith(std::int64_t largestServed)
{
    SizeShares shares;
    for (std::int64_t n = 1; n <= 100; ++n)
        shares.record(kKind, {n, n <= largestServed}, kStart);
    return shares;
}

} // namespace

TEST_CASE("the largest sizes of a kind that are never served are found")
{
    const KindShares shares = sharesWith(70).sharesOf(kKind, {}, kStart);
    CHECK(shares.rankOf(95) == SizeRank::LargestTenth);
    CHECK(shares.rankOf(1'000) == SizeRank::LargestTenth);
    CHECK(shares.rankOf(80) == SizeRank::NextFifth);
    CHECK(shares.rankOf(10) == SizeRank::Rest);
    CHECK(shares.relativeShare(SizeRank::NextFifth) == Approx(0));
    CHECK(shares.isPassedOver(SizeRank::LargestTenth));
    CHECK(shares.isPassedOver(SizeRank::NextFifth));
    CHECK_FALSE(shares.isPassedOver(SizeRank::Rest));
}

TEST_CASE("a size is not passed over where its whole kind is hardly served")
{
    SizeShares shares;
    for (std::int64_t n = 1; n <= 100; ++n)
        shares.record(kKind, {n, n % 10 == 0}, kStart);
    const KindShares result = shares.sharesOf(kKind, {}, kStart);
    CHECK_FALSE(result.isPassedOver(SizeRank::LargestTenth));
    CHECK_FALSE(result.isPassedOver(SizeRank::NextFifth));
}

TEST_CASE("prompts of other kinds and of long ago do not count")
{
    const SizeShares shares = sharesWith(70);
    CHECK_FALSE(shares.sharesOf({base::ServiceId("s"), "other"}, {}, kStart)
                        .isPassedOver(SizeRank::LargestTenth));
    CHECK_FALSE(shares.sharesOf(kKind, {}, kStart + Millis(60'000))
                        .isPassedOver(SizeRank::LargestTenth));
}

TEST_CASE("granted prompts count as served before they end")
{
    const std::vector<PromptEnd> granted(20, PromptEnd{100, true});
    CHECK_FALSE(
            sharesWith(90).sharesOf(kKind, granted, kStart).isPassedOver(SizeRank::LargestTenth));
}
