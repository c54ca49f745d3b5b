/// The peer "upstream": engines and plain services that the entry calls and that announce
/// themselves. What the system assumes of them stands here and in docs/UPSTREAMS.md only.
///
/// Everything belongs to the thread of its http::Loop.
#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "membership/Membership.h"
#include "routing/Routing.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssop::upstream {

/// Tokens of a cached block; prefix hashes are one for each whole block.
inline constexpr std::int64_t kBlockTokens = 1024;

/// Estimate of the tokens of a prompt.
base::Tokens countTokens(std::string_view prompt);

/// Chained hashes of the whole blocks of a prompt, as engines name them in cache events.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

/// Splits a stream of server-sent events into the texts of their data fields.
class SseParser
{
public:
    /// Bound on one event; a longer one makes feed() fail.
    static constexpr std::size_t kMaxEventBytes = std::size_t(4) << 20;

    /// Calls \a onEvent for each event that is whole. False: the stream is malformed.
    bool feed(std::string_view bytes, const std::function<void(std::string_view)> &onEvent);

private:
    std::string m_pending;
};

/// Who owns attempts, exports and reservations at an engine.
struct OwnerName
{
    base::HostId host;
    base::Incarnation incarnation;

    /// "host/incarnation".
    std::string text() const;
};

/// A request to be sent to an engine.
struct EngineAttempt
{
    base::AttemptId id;
    base::Endpoint to;
    std::string body; ///< JSON of the completion.
    base::Millis remaining{0};
    records::Urgency urgency = records::Urgency::Normal;
    int priority = 0; ///< Lower goes first.
    std::int64_t resumeOffset = 0;
    bool resumesStream = false;
};

/// Receives what becomes of attempts. After onFinished() or onFailed() nothing more comes.
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;
    virtual void onAccepted(const base::AttemptId &id) = 0;
    virtual void onTokens(const base::AttemptId &id, std::int64_t offset,
                          const std::vector<std::string> &tokens) = 0;
    virtual void onFinished(const base::AttemptId &id) = 0;
    virtual void onFailed(const base::AttemptId &id, routing::AttemptFault fault,
                          base::Millis retryAfter) = 0;
    /// An event of another attempt was dropped.
    virtual void onStrayEvent(const base::AttemptId &id) = 0;
};

/// Client of engines.
class Engines final : private http::CallHandler
{
public:
    Engines(http::Loop *loop, OwnerName owner, AttemptListener *listener);
    ~Engines() override;

    void start(EngineAttempt attempt);
    /// Ends an attempt here and at its engine; repeats the order until the engine confirms it.
    void cancel(const base::AttemptId &id, const base::Endpoint &to);
    /// Cancels not yet confirmed by their engines.
    std::size_t unconfirmedCancels() const { return m_cancels.size(); }

private:
    struct Stream
    {
        base::AttemptId id;
        int status = 0;
        bool isDone = false;
        base::Millis retryAfter{0};
        SseParser parser;
        std::string errorBody;
    };
    struct Cancel
    {
        base::AttemptId id;
        base::Endpoint to;
        int tries = 0;
        int status = 0;
    };

    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;
    void onEvent(Stream &stream, std::string_view data);
    void sendCancel(Cancel cancel);
    void endCancel(http::CallId id, bool isConfirmed);
    void fail(http::CallId id, routing::AttemptFault fault);

    http::Loop *m_loop;
    OwnerName m_owner;
    AttemptListener *m_listener;
    std::map<http::CallId, Stream> m_streams;
    std::map<base::AttemptId, http::CallId> m_calls;
    std::map<http::CallId, Cancel> m_cancels;
    std::map<http::TimerId, base::AttemptId> m_waits;
};

/// Answer of a plain service.
struct ServiceAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ServiceCall
{
    base::AttemptId id;
    base::Endpoint to;
    http::Method method = http::Method::Post;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    base::Millis remaining{0};
};

class ServiceListener
{
public:
    virtual ~ServiceListener() = default;
    virtual void onAnswer(const base::AttemptId &id, ServiceAnswer answer) = 0;
    virtual void onFailed(const base::AttemptId &id, routing::AttemptFault fault) = 0;
};

/// Client of plain services.
class Services final : private http::CallHandler
{
public:
    Services(http::Loop *loop, OwnerName owner, ServiceListener *listener);

    void start(ServiceCall call);
    void cancel(const base::AttemptId &id);

private:
    struct Pending
    {
        base::AttemptId id;
        ServiceAnswer answer;
    };

    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    OwnerName m_owner;
    ServiceListener *m_listener;
    std::map<http::CallId, Pending> m_calls;
    std::map<base::AttemptId, http::CallId> m_ids;
};

/// Takes announcements of upstreams over HTTP.
class AnnouncementServer final : public http::ServerHandler
{
public:
    using Receiver = std::function<void(const membership::Announcement &)>;
    AnnouncementServer(http::Loop *loop, Receiver receiver);

    tl::expected<base::Endpoint, http::LoopError> listen(const base::Endpoint &address);
    std::int64_t malformed() const { return m_malformed; }

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { ++m_malformed; }

    http::Loop *m_loop;
    Receiver m_receiver;
    std::int64_t m_malformed = 0;
};

} // namespace hyssop::upstream
