#include "EventFeed.h"

#include <nlohmann/json.hpp>

namespace hyssop::standins {

namespace {

constexpr base::Millis kBeat{100};
/// A reader that takes no more is cut off, as real engines do.
constexpr std::size_t kMaxUnsentBytes = std::size_t(4) << 20;

} // namespace

EventFeed::EventFeed(http::Loop *loop, FeedSettings settings, LoadReader loadNow)
    : m_loop(loop)
    , m_settings(settings)
    , m_loadNow(std::move(loadNow))
    , m_losses({}, settings.seed)
{ }

void EventFeed::subscribe(http::ExchangeId id)
{
    m_loop->startStream(id, 200, "text/event-stream", {});
    m_readers.insert(id);
    if (!std::exchange(m_isBeating, true))
        beat();
}

void EventFeed::beat()
{
    m_history.push_back(m_loadNow());
    const auto beats = static_cast<std::size_t>(m_settings.loadLag / kBeat) + 1;
    while (m_history.size() > beats)
        m_history.pop_front();
    const LoadSnapshot &load = m_history.front();
    const base::Millis age = kBeat * static_cast<int>(m_history.size() - 1);
    send(nlohmann::json{{"type", "load"},
                        {"ageMs", age.count()},
                        {"running", load.running},
                        {"waiting", load.waiting},
                        {"queuedPromptTokens", load.queuedPromptTokens},
                        {"usedKvTokens", load.usedKvTokens}}
                 .dump());
    m_loop->after(kBeat, [this] { beat(); });
}

void EventFeed::cacheChanged(const PrefixCache::Changes &changes)
{
    if (changes.added.empty() && changes.removed.empty())
        return;
    ++m_sequence;
    if (m_losses.happens(m_settings.lossPercent))
        return;
    const nlohmann::json event{{"type", "cache"},
                               {"epoch", m_settings.epoch},
                               {"sequence", m_sequence},
                               {"added", changes.added},
                               {"removed", changes.removed}};
    m_loop->after(m_settings.eventLag, [this, text = event.dump()] { send(text); });
}

void EventFeed::send(const std::string &event)
{
    std::erase_if(m_readers, [this](http::ExchangeId id) {
        if (m_loop->unsentBytes(id) < kMaxUnsentBytes)
            return false;
        m_loop->endStream(id);
        return true;
    });
    for (const http::ExchangeId id : m_readers)
        m_loop->sendStream(id, "data: " + event + "\n\n");
}

} // namespace hyssop::standins
