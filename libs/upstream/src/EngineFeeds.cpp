#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace hyssop::upstream {

namespace {

/// A feed has no end, so kIdleTimeout is the limit that applies in practice.
constexpr base::Millis kFeedCallTimeout{86'400'000};
constexpr base::Millis kInitialRetryDelay{200};
constexpr base::Millis kMaxRetryDelay{5'000};
/// Time to receive data that has already arrived. After this process was suspended, timers run
/// before pending input is read.
constexpr base::Millis kQuietGracePeriod{100};
constexpr int kStatusOk = 200;

using nlohmann::json;

/// Returns an integer field, or nothing unless it is from 0 to \a max.
std::optional<std::int64_t> intField(const json &event, const char *field,
                                     std::int64_t max = std::numeric_limits<std::int64_t>::max())
{
    const auto it = event.find(field);
    if (it == event.end() || !it->is_number_integer())
        return std::nullopt;
    const auto n = it->get<std::int64_t>();
    return n < 0 || n > max ? std::nullopt : std::optional(n);
}

std::optional<std::vector<std::uint64_t>> blockHashesField(const json &event, const char *field)
{
    const auto it = event.find(field);
    if (it == event.end() || !it->is_array())
        return std::nullopt;
    std::vector<std::uint64_t> hashes;
    for (const json &hash : *it) {
        if (!hash.is_number_unsigned())
            return std::nullopt;
        hashes.push_back(hash.get<std::uint64_t>());
    }
    return hashes;
}

std::optional<routing::LoadReported> parseLoadReport(const json &event)
{
    const auto age = intField(event, "ageMs", kMaxLoadAge.count());
    const auto running = intField(event, "running", std::numeric_limits<int>::max());
    const auto waiting = intField(event, "waiting", std::numeric_limits<int>::max());
    const auto queued = intField(event, "queuedPromptTokens", kMaxReportedTokens.count());
    const auto used = intField(event, "usedKvTokens", kMaxReportedTokens.count());
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

std::optional<routing::CacheChanged> parseCacheChange(const json &event)
{
    const auto epoch = intField(event, "epoch");
    const auto sequence = intField(event, "sequence");
    auto added = blockHashesField(event, "added");
    auto removed = blockHashesField(event, "removed");
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
        if (auto load = parseLoadReport(*event)) {
            load->upstream = id;
            return *load;
        }
    } else if (*type == "cache") {
        if (auto change = parseCacheChange(*event)) {
            change->upstream = id;
            return *std::move(change);
        }
    }
    return std::nullopt;
}

EngineFeeds::EngineFeeds(http::Loop *loop, OnLoadReport onLoadReport, OnCacheChange onCacheChange,
                         OnQuietChange onQuietChange, base::Millis quietTimeout)
    : m_loop(loop)
    , m_onLoadReport(std::move(onLoadReport))
    , m_onCacheChange(std::move(onCacheChange))
    , m_onQuietChange(std::move(onQuietChange))
    , m_quietTimeout(quietTimeout)
{ }

EngineFeeds::~EngineFeeds()
{
    while (!m_feeds.empty())
        unsubscribe(m_feeds.begin()->first);
}

void EngineFeeds::subscribe(const base::UpstreamId &id, const base::Endpoint &to)
{
    const auto it = m_feeds.find(id);
    if (it != m_feeds.end() && it->second.to == to)
        return;
    unsubscribe(id);
    m_feeds[id].to = to;
    open(id);
}

void EngineFeeds::unsubscribe(const base::UpstreamId &id)
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
        m_upstreamsByCall.erase(*feed.call);
    }
    if (feed.timer)
        m_loop->cancelTimer(*feed.timer);
    feed.call.reset();
    feed.timer.reset();
    feed.isAccepted = false;
    feed.parser = SseParser();
}

void EngineFeeds::open(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    http::Call call;
    call.to = feed.to;
    call.path = "/v1/events";
    call.timeout = kFeedCallTimeout;
    feed.call = m_loop->call(std::move(call), this);
    m_upstreamsByCall.emplace(*feed.call, id);
    restartIdleTimer(id);
}

void EngineFeeds::restartIdleTimer(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    if (feed.timer)
        m_loop->cancelTimer(*feed.timer);
    feed.timer = m_loop->after(kIdleTimeout, [this, id] {
        m_feeds.at(id).timer.reset();
        reopenLater(id);
    });
}

void EngineFeeds::restartQuietTimer(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    if (feed.quietTimer)
        m_loop->cancelTimer(*feed.quietTimer);
    feed.quietTimer = m_loop->after(m_quietTimeout, [this, id] {
        m_feeds.at(id).quietTimer = m_loop->after(kQuietGracePeriod, [this, id] { markQuiet(id); });
    });
}

void EngineFeeds::markQuiet(const base::UpstreamId &id)
{
    Feed &feed = m_feeds.at(id);
    feed.quietTimer.reset();
    feed.isQuiet = true;
    m_onQuietChange(id, true);
}

// The id is passed by value. close() erases the entry of m_upstreamsByCall that callers pass.
void EngineFeeds::reopenLater(base::UpstreamId id)
{
    Feed &feed = m_feeds.at(id);
    close(feed);
    feed.retryDelay = std::clamp(feed.retryDelay * 2, kInitialRetryDelay, kMaxRetryDelay);
    feed.timer = m_loop->after(feed.retryDelay, [this, id] {
        m_feeds.at(id).timer.reset();
        open(id);
    });
}

void EngineFeeds::onHead(http::CallId id, int status, const http::Headers &)
{
    m_feeds.at(m_upstreamsByCall.at(id)).isAccepted = status == kStatusOk;
}

void EngineFeeds::onData(http::CallId id, std::string_view data)
{
    const base::UpstreamId upstream = m_upstreamsByCall.at(id);
    Feed &feed = m_feeds.at(upstream);
    if (!feed.isAccepted)
        return;
    feed.retryDelay = base::Millis(0);
    restartIdleTimer(upstream);
    if (m_onQuietChange)
        restartQuietTimer(upstream);
    if (std::exchange(feed.isQuiet, false))
        m_onQuietChange(upstream, false);
    if (!m_upstreamsByCall.contains(id))
        return;
    // A callback may call unsubscribe() for this engine while the parser runs.
    SseParser parser = std::move(feed.parser);
    const bool isWellFormed = parser.feed(data, [this, id, upstream](std::string_view event) {
        if (m_upstreamsByCall.contains(id))
            onEvent(upstream, event);
    });
    if (!m_upstreamsByCall.contains(id))
        return;
    m_feeds.at(upstream).parser = std::move(parser);
    if (!isWellFormed)
        reopenLater(upstream);
}

void EngineFeeds::onEvent(const base::UpstreamId &id, std::string_view text)
{
    const auto event = parseEngineEvent(id, text);
    if (!event) {
        ++m_malformedCount;
        return;
    }
    if (const auto *load = std::get_if<routing::LoadReported>(&*event))
        m_onLoadReport(*load);
    else
        m_onCacheChange(std::get<routing::CacheChanged>(*event));
}

void EngineFeeds::onDone(http::CallId id)
{
    reopenLater(m_upstreamsByCall.at(id));
}

void EngineFeeds::onFailed(http::CallId id, const http::CallError &)
{
    reopenLater(m_upstreamsByCall.at(id));
}

} // namespace hyssop::upstream
