#include "Progress.h"

namespace hyssop::replog {

void Progress::onMatched(Index index)
{
    match = std::max(match, index);
    next = std::max(next, match + Index(1));
    mode = Mode::Stream;
    isAwaitingReply = false;
}

void Progress::onRejected(Index hint)
{
    next = std::max(match + Index(1), std::min(next, hint + Index(1)));
    mode = Mode::Probe;
    isAwaitingReply = false;
}

bool Progress::isReady(Index last) const
{
    if (next > last)
        return false;
    if (mode != Mode::Stream)
        return !isAwaitingReply;
    return (next - match).count() <= kMaxOutstandingEntries;
}

} // namespace hyssop::replog
