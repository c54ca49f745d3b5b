#pragma once

#include "fleet/Fleet.h"

#include <functional>
#include <list>

namespace hyssop::registry {

/// Watch requests (long polls) of entry hosts that wait for a change. Does no I/O.
class PendingWatches
{
public:
    using Answer = std::function<void(const fleet::WatchRequest &)>;

    /// Latest revisions, compared with those in a request.
    struct Revisions
    {
        fleet::ConfigurationVersion configuration;
        std::int64_t directoryIncarnation = 0;
        std::int64_t directoryRevision = 0;
        std::int64_t factsRevision = 0;
        std::int64_t evacuationsRevision = 0;
    };

    /// Adds a request; its wait is capped at kMaxWait.
    void add(fleet::WatchRequest request, Answer answer, base::TimePoint now);
    /// Answers requests with revisions older than \a state and requests whose wait is over.
    void answerReady(const Revisions &state, base::TimePoint now);
    /// Answers all requests within \a duration, spread evenly over it.
    void answerWithin(base::Millis duration, base::TimePoint now);
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
