#pragma once

#include "FaultPlan.h"
#include "http/Http.h"
#include "PrefixCache.h"

#include <deque>
#include <set>

namespace hyssop::standins {

/// Load of an engine at one moment.
struct LoadSnapshot
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t queuedPromptTokens = 0;
    std::int64_t usedKvTokens = 0;
};

struct FeedSettings
{
    base::Millis loadLag{0};
    base::Millis eventLag{0};
    int lossPercent = 0; ///< Cache events that never arrive; their numbers are used up.
    std::uint64_t seed = 1;
    std::uint64_t epoch = 1;
};

/// The events of an engine: load with a lag, cache changes late and with gaps.
class EventFeed
{
public:
    using LoadReader = std::function<LoadSnapshot()>;

    EventFeed(http::Loop *loop, FeedSettings settings, LoadReader loadNow);

    void subscribe(http::ExchangeId id);
    void drop(http::ExchangeId id) { m_readers.erase(id); }
    void cacheChanged(const PrefixCache::Changes &changes);

private:
    void beat();
    void send(const std::string &event);

    http::Loop *m_loop;
    FeedSettings m_settings;
    LoadReader m_loadNow;
    FaultPlan m_losses;
    std::set<http::ExchangeId> m_readers;
    std::deque<LoadSnapshot> m_history; ///< Oldest first, one for each beat.
    std::uint64_t m_sequence = 0;
    bool m_isBeating = false;
};

} // namespace hyssop::standins
