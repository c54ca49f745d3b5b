#include "routing/Routing.h"

namespace hyssop::routing {

std::string_view reasonName(Reason reason)
{
    switch (reason) {
    case Reason::UnknownTeam:
        return "unknown_team";
    case Reason::UnknownRoute:
        return "unknown_route";
    case Reason::TeamNotAllowed:
        return "team_not_allowed";
    case Reason::TeamRequestLimit:
        return "team_request_limit";
    case Reason::TeamTokenLimit:
        return "team_token_limit";
    case Reason::TeamLongPromptLimit:
        return "team_long_prompt_limit";
    case Reason::QueueFull:
        return "queue_full";
    case Reason::DeadlineTooShort:
        return "deadline_too_short";
    case Reason::NoUpstream:
        return "no_upstream";
    case Reason::PromptTooLarge:
        return "prompt_too_large";
    case Reason::OutOfTime:
        return "out_of_time";
    case Reason::UpstreamFailed:
        return "upstream_failed";
    case Reason::StreamBroken:
        return "stream_broken";
    case Reason::CallerGone:
        return "caller_gone";
    case Reason::Stopping:
        return "stopping";
    }
    return "unknown";
}

std::string_view outcomeName(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not_run" : "failed";
}

std::string_view attemptFaultName(AttemptFault fault)
{
    switch (fault) {
    case AttemptFault::ConnectFailed:
        return "connect_failed";
    case AttemptFault::Refused:
        return "refused";
    case AttemptFault::Timeout:
        return "timeout";
    case AttemptFault::ClosedEarly:
        return "closed_early";
    case AttemptFault::UpstreamError:
        return "upstream_error";
    case AttemptFault::StreamMismatch:
        return "stream_mismatch";
    case AttemptFault::Stalled:
        return "stalled";
    }
    return "unknown";
}

bool provesNotRun(AttemptFault fault)
{
    return fault == AttemptFault::ConnectFailed || fault == AttemptFault::Refused;
}

} // namespace hyssop::routing
