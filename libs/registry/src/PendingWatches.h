#pragma once

#include "fleet/Fleet.h"

#include <functional>
#include <list>

namespace hyssop::registry {

/// Questions of entry hosts that are held until there is something to tell. No I/O.
class PendingWatches
{
public:
    using Answer = std::function<void(const fleet::WatchRequest &)>;

    /// What a question is compared with.
    struct Revisions
    {
        fleet::Version configuration;
        std::int64_t directoryIncarnation = 0;
        std::int64_t directoryRevision = 0;
    };

    void add(fleet::WatchRequest request, Answer answer, base::TimePoint now);
    /// Answers those that hold something older than \a state, and those whose wait is over.
    void answerReady(const Revisions &state, base::TimePoint now);
    std::size_t size() const { return m_watches.size(); }

private:
    struct Watch
    {
        fleet::WatchRequest request;
        Answer answer;
        base::TimePoint deadline;
    };
    std::list<Watch> m_watches;
};

} // namespace hyssop::registry
