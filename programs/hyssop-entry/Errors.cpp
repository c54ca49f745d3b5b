#include "Errors.h"

namespace hyssop::entry {

namespace {

int statusFor(routing::EndReason reason)
{
    switch (reason) {
    case routing::EndReason::UnknownTeam:
    case routing::EndReason::TeamNotAllowed:
        return 403;
    case routing::EndReason::UnknownRoute:
        return 404;
    case routing::EndReason::PromptTooLarge:
        return 413;
    case routing::EndReason::TeamRequestLimit:
    case routing::EndReason::TeamTokenLimit:
    case routing::EndReason::TeamLongPromptLimit:
        return 429;
    case routing::EndReason::DeadlineExceeded:
        return 504;
    case routing::EndReason::UpstreamFailed:
    case routing::EndReason::StreamBroken:
        return 502;
    case routing::EndReason::QueueFull:
    case routing::EndReason::DeadlineTooShort:
    case routing::EndReason::NoUpstream:
    case routing::EndReason::CallerDisconnected:
    case routing::EndReason::Stopping:
        break;
    }
    return 503;
}

std::string messageFor(routing::EndReason reason)
{
    switch (reason) {
    case routing::EndReason::UnknownTeam:
        return "the team has no record";
    case routing::EndReason::UnknownRoute:
        return "no record names this model or service";
    case routing::EndReason::TeamNotAllowed:
        return "the team may not use this model or service";
    case routing::EndReason::TeamRequestLimit:
        return "the team has too many requests open";
    case routing::EndReason::TeamTokenLimit:
        return "the team has too many prompt tokens outstanding";
    case routing::EndReason::TeamLongPromptLimit:
        return "the team has too many long prompts outstanding";
    case routing::EndReason::QueueFull:
        return "the queue of this host is full";
    case routing::EndReason::DeadlineTooShort:
        return "the deadline cannot be met";
    case routing::EndReason::NoUpstream:
        return "no upstream serves this at present";
    case routing::EndReason::PromptTooLarge:
        return "no engine or group of engines can hold the prompt";
    case routing::EndReason::DeadlineExceeded:
        return "the deadline passed";
    case routing::EndReason::UpstreamFailed:
        return "the upstream failed";
    case routing::EndReason::StreamBroken:
        return "the answer broke off and could not be continued";
    case routing::EndReason::CallerDisconnected:
        return "the caller closed the connection";
    case routing::EndReason::Stopping:
        return "this host is stopping";
    }
    return "";
}

} // namespace

caller::ErrorBody errorFor(const routing::FailRequest &end)
{
    caller::ErrorBody error;
    error.status = statusFor(end.reason);
    error.code = routing::endReasonName(end.reason);
    error.message = messageFor(end.reason);
    error.outcome = end.outcome == routing::Outcome::NotRun ? caller::Outcome::NotRun
                                                            : caller::Outcome::Failed;
    error.retryAfter = end.retryAfter;
    return error;
}

} // namespace hyssop::entry
