#include "fleet/Fleet.h"

#include <algorithm>

namespace hyssop::fleet {

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

base::Millis nextTrialIn(const std::vector<CrashSuspect> &suspects)
{
    const auto jointCount = std::count_if(suspects.begin(), suspects.end(), [](const auto &it) {
        return it.quarantine == Quarantine::Joint;
    });
    base::Millis longest{0};
    for (const CrashSuspect &it : suspects) {
        const bool isBinding = it.quarantine == Quarantine::Full
                               || (it.quarantine == Quarantine::Joint && jointCount > 1);
        if (isBinding)
            longest = std::max(longest, it.nextTrialIn);
    }
    return longest;
}

} // namespace hyssop::fleet
