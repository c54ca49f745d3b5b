#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace hyssop::upstream {

namespace {

/// A feed has no end of its own; silence is what bounds it.
constexpr base::Millis kFeedTimeout{86'400'000};
constexpr base::Millis kFirstDelay{200};
constexpr base::Millis kMaxDelay{5'000};
constexpr base::Millis kLastLook{100};
constexpr int kStatusOk = 200;

using nlohmann::json;

/// A whole number from 0 to \a most.
std::optional<std::int64_t> numberOf(const json &event, const char *field,
                                     std::int64_t most = std::numeric_limits<std::int64_t>::max())
{
    const auto it = event.find(field);
    if (it == event.end() || !it->is_number_integer())
        return std::nullopt;
    const auto n = it->get<std::int64_t>();
    return n < 0 || n > most ? std::nullopt : std::optional(n);
}

std::optional<std::vector<std::uint64_t>> blocksOf(const json &event, const char *field)
{
    const auto it = event.find(field);
    if (it == event.end() || !it->is_array())
        return std::nullopt;
    std::vector<std::uint64_t> blocks;
    for (const json &block : *it) {
        if (!block.is_number_unsigned())
            return std::nullopt;
        blocks.push_back(block.get<std::uint64_t>());
    }
    return blocks;
}

std::optional<routing::LoadReported> loadOf(const json &event)
{
    const auto age = numberOf(event, "ageMs", kMaxLoadAge.count());
    const auto running = numberOf(event, "running", std::numeric_limits<int>::max());
    const auto waiting = numberOf(event, "waiting", std::numeric_limits<int>::max());
    const auto queued = numberOf(event, "queuedPromptTokens", kMaxTokens.count());
    const auto used = numberOf(event, "usedKvTokens", kMaxTokens.count());
    if (!age || !running || !waiting || !queued || !used)
        return std::nullopt;
    routing::LoadReported load;
    load.age = base::Millis(*age);
    load.running = static_cast<int>(*running);
    load.queued = static_cast<int>(*waiting);
    load.queuedPromptTokens = base::Tokens(*queued);
    load.usedKvTokens = base::Tokens(*used);
    return load;
}

std::optional<routing::CacheChanged> cacheOf(const json &event)
{
    const auto epoch = numberOf(event, "epoch");
    const auto sequence = numberOf(event, "sequence");
    auto added = blocksOf(event, "added");
    auto removed = blocksOf(event, "removed");
    if (!epoch || !sequence || !added || !removed)
        return std::nullopt;
    routing::CacheChanged change;
    change.epoch = static_cast<std::uint64_t>(*epoch);
    change.sequence = static_cast<std::uint64_t>(*sequence);
    change.added = *std::move(added);
    change.removed = *std::move(removed);
    return change;
}

} // namespace

std::optional<std::variant<routing::LoadReported, routing::CacheChanged>> parseEngineEvent(
        const base::UpstreamId &id, std::string_view text)
{
    const auto event = base::parseJson(text);
    if (!event || !event->is_object())
        return std::nullopt;
    const auto type = event->find("type");
    if (type == event->end())
        return std::nullopt;
    if (*type == "load") {
        if (auto load = loadOf(*event)) {
            load->upstream = id;
            return *load;
        }
    } else if (*type == "cache") {
        if (auto change = cacheOf(*event)) {
            change->upstream = id;
            return *std::move(change);
        }
    }
    return std::nullopt;
}

EngineFeeds::EngineFeeds(http::Loop *loop, OnLoad onLoad, OnCache onCache, OnQuiet onQuiet,
                         base::Millis quietLimit)
    : m_loop(loop)
    , m_onLoad(std::move(onLoad))
    , m_onCache(std::move(onCache))
    , m_onQuiet(std::move(onQuiet))
    , m_quietLimit(quietLimit)
{ }

EngineFeeds::~EngineFeeds()
{
    while (!m_feeds.empty())
        forget(m_feeds.begin()->first);
}

void EngineFeeds::follow(const base::UpstreamId &id, const base::Endpoint &to)
{
    const auto it = m_feeds.find(id);
    if (it != m_feeds.end() && it->second.to == to)
        return;
    forget(id);
    m_feeds[id].to = to;
    open(id);
}

void EngineFeeds::forget(const base::UpstreamId &id)
{
    const auto it = m_feeds.find(id);
    if (it == m_feeds.end())
        return;
    close(it->second);
    if (it->second.quietTimer)
        m_loop->cancelTimer(*it->second.quietTimer);
    m_feeds.erase(it);
}

bool EngineFeeds::isQuiet(const base::UpstreamId &id) const
{
    const auto it = m_feeds.find(id);
    return it != m_feeds.end() && it->second.isQuiet;
}

void EngineFeeds::close(Feed &feed)
{
    if (feed.call) {
        m_loop->cancel(*feed.call);
        m_calls.erase(*feed.call);
    }
    if (feed.timer)
        m_loop->cancelTimer(*feed.timer);
    feed.call.reset();
    feed.timer.reset();
    feed.isOpen = false;
    feed.parser = SseParser();
}

void EngineFeeds::open(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    http::Call call;
    call.to = feed.to;
    call.path = "/v1/events";
    call.timeout = kFeedTimeout;
    feed.call = m_loop->call(std::move(call), this);
    m_calls.emplace(*feed.call, id);
    watchSilence(id);
}

void EngineFeeds::watchSilence(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    if (feed.timer)
        m_loop->cancelTimer(*feed.timer);
    feed.timer = m_loop->after(kSilenceLimit, [this, id] {
        m_feeds.at(id).timer.reset();
        openLater(id);
    });
}

void EngineFeeds::watchQuiet(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    if (feed.quietTimer)
        m_loop->cancelTimer(*feed.quietTimer);
    // After a standstill of this process timers go before what waits to be read: a last look.
    feed.quietTimer = m_loop->after(m_quietLimit, [this, id] {
        m_feeds.at(id).quietTimer = m_loop->after(kLastLook, [this, id] { noteQuiet(id); });
    });
}

void EngineFeeds::noteQuiet(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    feed.quietTimer.reset();
    feed.isQuiet = true;
    m_onQuiet(id, true);
}

// A copy of the id: close() erases the entry of m_calls that callers have it from.
void EngineFeeds::openLater(base::UpstreamId id)
{
    Feed &feed = m_feeds.at(id);
    close(feed);
    feed.delay = std::clamp(feed.delay * 2, kFirstDelay, kMaxDelay);
    feed.timer = m_loop->after(feed.delay, [this, id] {
        m_feeds.at(id).timer.reset();
        open(id);
    });
}

void EngineFeeds::onHead(http::CallId id, int status, const http::Headers &)
{
    m_feeds.at(m_calls.at(id)).isOpen = status == kStatusOk;
}

void EngineFeeds::onData(http::CallId id, std::string_view data)
{
    const base::UpstreamId upstream = m_calls.at(id);
    Feed &feed = m_feeds.at(upstream);
    if (!feed.isOpen)
        return;
    feed.delay = base::Millis(0);
    watchSilence(upstream);
    if (m_onQuiet)
        watchQuiet(upstream);
    if (std::exchange(feed.isQuiet, false))
        m_onQuiet(upstream, false);
    if (!m_calls.contains(id))
        return;
    // A receiver may forget the engine in the middle of the batch.
    SseParser parser = std::move(feed.parser);
    const bool isSound = parser.feed(data, [this, id, upstream](std::string_view event) {
        if (m_calls.contains(id))
            onEvent(upstream, event);
    });
    if (!m_calls.contains(id))
        return;
    m_feeds.at(upstream).parser = std::move(parser);
    if (!isSound)
        openLater(upstream);
}

void EngineFeeds::onEvent(const base::UpstreamId &id, std::string_view text)
{
    const auto event = parseEngineEvent(id, text);
    if (!event) {
        ++m_malformed;
        return;
    }
    if (const auto *load = std::get_if<routing::LoadReported>(&*event))
        m_onLoad(*load);
    else
        m_onCache(std::get<routing::CacheChanged>(*event));
}

void EngineFeeds::onDone(http::CallId id)
{
    openLater(m_calls.at(id));
}

void EngineFeeds::onFailed(http::CallId id, const http::CallError &)
{
    openLater(m_calls.at(id));
}

} // namespace hyssop::upstream
