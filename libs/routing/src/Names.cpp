#include "routing/Routing.h"

namespace hyssop::routing {

std::string_view endReasonName(EndReason reason)
{
    switch (reason) {
    case EndReason::UnknownTeam:
        return "unknown_team";
    case EndReason::UnknownRoute:
        return "unknown_route";
    case EndReason::TeamNotAllowed:
        return "team_not_allowed";
    case EndReason::TeamRequestLimit:
        return "team_request_limit";
    case EndReason::TeamTokenLimit:
        return "team_token_limit";
    case EndReason::TeamLongPromptLimit:
        return "team_long_prompt_limit";
    case EndReason::QueueFull:
        return "queue_full";
    case EndReason::DeadlineTooShort:
        return "deadline_too_short";
    case EndReason::NoUpstream:
        return "no_upstream";
    case EndReason::PromptTooLarge:
        return "prompt_too_large";
    case EndReason::DeadlineExceeded:
        return "out_of_time";
    case EndReason::UpstreamFailed:
        return "upstream_failed";
    case EndReason::StreamBroken:
        return "stream_broken";
    case EndReason::CallerDisconnected:
        return "caller_gone";
    case EndReason::Stopping:
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
    case AttemptFault::ConnectionClosed:
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
