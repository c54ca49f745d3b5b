#include "Progress.h"

namespace hyssop::replog {

void Progress::onMatched(Index index)
{
    matchIndex = std::max(matchIndex, index);
    nextIndex = std::max(nextIndex, matchIndex + Index(1));
    mode = Mode::Stream;
    isAwaitingReply = false;
}

void Progress::onRejected(Index hint)
{
    nextIndex = std::max(matchIndex + Index(1), std::min(nextIndex, hint + Index(1)));
    mode = Mode::Probe;
    isAwaitingReply = false;
}

bool Progress::canSendEntries(Index last) const
{
    if (nextIndex > last)
        return false;
    if (mode != Mode::Stream)
        return !isAwaitingReply;
    return (nextIndex - matchIndex).count() <= kMaxOutstandingEntries;
}

} // namespace hyssop::replog
