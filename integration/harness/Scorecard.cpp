#include "Scorecard.h"

#include <fmt/format.h>

namespace hyssop::harness {

namespace {

constexpr std::array<const char *, kPromises> kNames{
        "every admitted request ends within its time",
        "no engine loses memory for good",
        "each caller gets its own whole answer",
        "\"not run\" did not run",
        "what may not be repeated runs at most once",
        "a leaving upstream gets no new work",
        "a planned stop cuts off nothing",
        "an accepted configuration is in force and never reverts",
};

} // namespace

void Scorecard::check(Promise promise, bool isKept, const std::string &what)
{
    Tally &tally = m_tallies.at(static_cast<std::size_t>(promise));
    ++tally.checked;
    if (isKept)
        return;
    if (++tally.broken == 1)
        tally.first = what;
}

std::int64_t Scorecard::checked(Promise promise) const
{
    return m_tallies.at(static_cast<std::size_t>(promise)).checked;
}

std::int64_t Scorecard::broken(Promise promise) const
{
    return m_tallies.at(static_cast<std::size_t>(promise)).broken;
}

std::int64_t Scorecard::brokenInAll() const
{
    std::int64_t sum = 0;
    for (const Tally &tally : m_tallies)
        sum += tally.broken;
    return sum;
}

std::string Scorecard::text() const
{
    std::string text;
    for (std::size_t i = 0; i < kPromises; ++i) {
        const Tally &tally = m_tallies[i];
        text += fmt::format("{:<58} checked {:>6}  broken {:>4}{}{}\n", kNames[i], tally.checked,
                            tally.broken, tally.first.empty() ? "" : "  first: ", tally.first);
    }
    return text;
}

} // namespace hyssop::harness
