#include "StartSteps.h"

namespace hyssop::edge {

namespace {

std::string_view startStepName(StartStep step)
{
    switch (step) {
    case StartStep::FirstContact:
        return "first_contact";
    case StartStep::LeaderKnown:
        return "leader_known";
    case StartStep::ConfigurationConfirmed:
        return "configuration_confirmed";
    case StartStep::DirectoryUsable:
        return "directory_usable";
    case StartStep::Ready:
        return "ready";
    case StartStep::FirstResponse:
        return "first_response";
    }
    return "unknown";
}

} // namespace

bool StartSteps::reach(StartStep step, base::TimePoint now)
{
    if (!m_reached.insert(step).second)
        return false;
    base::logEvent("start_step", {{"step", startStepName(step)}, {"ms", elapsed(now).count()}});
    return true;
}

} // namespace hyssop::edge
