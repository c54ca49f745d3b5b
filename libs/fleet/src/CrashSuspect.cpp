#include "fleet/Fleet.h"

#include <algorithm>

namespace hyssop::fleet {

void CrashReport::addAge(base::Millis extra)
{
    age += extra;
    for (InterruptedContent &it : contents) {
        it.sentAge += extra;
        if (it.answeredAge)
            *it.answeredAge += extra;
    }
}

std::string_view quarantineName(Quarantine quarantine)
{
    switch (quarantine) {
    case Quarantine::None:
        return "suspect";
    case Quarantine::Joint:
        return "jointly_quarantined";
    case Quarantine::Full:
        return "quarantined";
    }
    return "unknown";
}

std::vector<CrashSuspect> quarantinedIn(const std::vector<CrashSuspect> &suspects)
{
    const auto jointCount = std::count_if(suspects.begin(), suspects.end(), [](const auto &it) {
        return it.quarantine == Quarantine::Joint;
    });
    std::vector<CrashSuspect> quarantined;
    std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(quarantined),
                 [jointCount](const CrashSuspect &it) {
                     return it.quarantine == Quarantine::Full
                            || (it.quarantine == Quarantine::Joint && jointCount > 1);
                 });
    return quarantined;
}

base::Millis nextTrialIn(const std::vector<CrashSuspect> &suspects)
{
    base::Millis longest{0};
    for (const CrashSuspect &it : quarantinedIn(suspects))
        longest = std::max(longest, it.nextTrialIn);
    return longest;
}

} // namespace hyssop::fleet
