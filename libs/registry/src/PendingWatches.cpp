#include "PendingWatches.h"

#include "ListedDirectory.h"

namespace hyssop::registry {

namespace {

/// Upper bound on the wait that a request may ask for.
constexpr base::Millis kMaxWait{10'000};

bool isOutdated(const fleet::WatchRequest &request, const PendingWatches::Revisions &state)
{
    return request.configurationVersion < state.configuration
           || request.directoryIncarnation
                      != listedIncarnation(request, state.directoryIncarnation,
                                           state.evacuationsRevision)
           || request.directoryRevision < state.directoryRevision
           || request.factsRevision < state.factsRevision
           || request.evacuationsRevision < state.evacuationsRevision;
}

} // namespace

void PendingWatches::add(fleet::WatchRequest request, Answer answer, base::TimePoint now)
{
    const base::TimePoint deadline = now + std::min(request.maxWait, kMaxWait);
    m_watches.push_back({std::move(request), std::move(answer), deadline});
}

void PendingWatches::answerReady(const Revisions &state, base::TimePoint now)
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (now < it->deadline && !isOutdated(it->request, state)) {
            ++it;
            continue;
        }
        const Watch watch = std::move(*it);
        it = m_watches.erase(it);
        watch.answer(watch.request);
    }
}

void PendingWatches::answerWithin(base::Millis duration, base::TimePoint now)
{
    const auto count = static_cast<std::int64_t>(m_watches.size());
    std::int64_t n = 0;
    for (Watch &it : m_watches)
        it.deadline = std::min(it.deadline, now + duration * ++n / count);
}

} // namespace hyssop::registry
