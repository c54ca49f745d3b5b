#include "Errors.h"

namespace hyssop::entry {

namespace {

int statusFor(routing::Reason reason)
{
    switch (reason) {
    case routing::Reason::UnknownTeam:
    case routing::Reason::TeamNotAllowed:
        return 403;
    case routing::Reason::UnknownRoute:
        return 404;
    case routing::Reason::PromptTooLarge:
        return 413;
    case routing::Reason::TeamRequestLimit:
    case routing::Reason::TeamTokenLimit:
    case routing::Reason::TeamLongPromptLimit:
        return 429;
    case routing::Reason::OutOfTime:
        return 504;
    case routing::Reason::UpstreamFailed:
    case routing::Reason::StreamBroken:
        return 502;
    case routing::Reason::QueueFull:
    case routing::Reason::DeadlineTooShort:
    case routing::Reason::NoUpstream:
    case routing::Reason::CallerGone:
    case routing::Reason::Stopping:
        break;
    }
    return 503;
}

std::string messageFor(routing::Reason reason)
{
    switch (reason) {
    case routing::Reason::UnknownTeam:
        return "the team has no record";
    case routing::Reason::UnknownRoute:
        return "no route exists for this model or service";
    case routing::Reason::TeamNotAllowed:
        return "the team may not use this model or service";
    case routing::Reason::TeamRequestLimit:
        return "the team has too many requests open";
    case routing::Reason::TeamTokenLimit:
        return "the team has too many prompt tokens outstanding";
    case routing::Reason::TeamLongPromptLimit:
        return "the team has too many long prompts outstanding";
    case routing::Reason::QueueFull:
        return "the queue of this host is full";
    case routing::Reason::DeadlineTooShort:
        return "the deadline cannot be met";
    case routing::Reason::NoUpstream:
        return "no upstream serves this model or service at present";
    case routing::Reason::PromptTooLarge:
        return "no engine or group of engines can hold the prompt";
    case routing::Reason::OutOfTime:
        return "the deadline passed";
    case routing::Reason::UpstreamFailed:
        return "the upstream failed";
    case routing::Reason::StreamBroken:
        return "the stream was interrupted and could not be resumed";
    case routing::Reason::CallerGone:
        return "the caller closed the connection";
    case routing::Reason::Stopping:
        return "this host is stopping";
    }
    return "";
}

} // namespace

caller::ErrorBody errorFor(const routing::EndRequest &end)
{
    caller::ErrorBody error;
    error.status = statusFor(end.reason);
    error.code = routing::reasonName(end.reason);
    error.message = messageFor(end.reason);
    error.outcome = end.outcome == routing::Outcome::NotRun ? caller::Outcome::NotRun
                                                            : caller::Outcome::Failed;
    error.retryAfter = end.retryAfter;
    return error;
}

} // namespace hyssop::entry
