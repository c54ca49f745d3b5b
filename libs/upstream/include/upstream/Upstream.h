/// The peer "upstream": engines and plain services that the entry calls and that announce
/// themselves. What the system assumes of them stands here and in docs/UPSTREAMS.md only.
///
/// Everything belongs to the thread of its http::Loop.
#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "membership/Membership.h"
#include "orders/Orders.h"
#include "routing/Routing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
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
    std::string m_buffer;
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
    std::vector<base::UpstreamId> gang; ///< All engines that hold the prompt together, in id order.
};

/// Gives things at upstreams up: an order is repeated with backoff until the upstream confirms it.
///
/// "Gone already" (404) confirms too. An order that stays unconfirmed for kLimit is given up and
/// counted; what it named then ends by its own time limit.
class Deletions final : private http::CallHandler
{
public:
    /// An order not yet confirmed.
    struct Order
    {
        base::Endpoint to;
        std::string path;

        auto operator<=>(const Order &other) const = default;
    };

    /// Bound on how long an order is repeated.
    static constexpr base::Millis kMaxRetryTime{600'000};
    /// Orders under way at once; the others wait their turn.
    static constexpr std::size_t kMaxConcurrentRequests = 64;

    Deletions(http::Loop *loop, OwnerName owner);
    ~Deletions() override;

    /// Orders DELETE of \a path at \a to. An order that is under way already is not doubled.
    void add(const base::Endpoint &to, const std::string &path);
    std::size_t unconfirmed() const { return m_retryStates.size(); }
    /// What is not confirmed, so that another host can go on with it.
    std::vector<Order> pendingDeletions() const;
    std::int64_t givenUp() const { return m_givenUpCount; }

private:
    struct RetryState
    {
        base::Millis elapsed{0};
        base::Millis retryDelay{0};
    };

    void sendQueued();
    void send(const Order &deletion);
    void onCallEnded(http::CallId id);
    void retryLater(const Order &deletion);
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId, std::string_view) override { }
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    struct OpenCall
    {
        Order deletion;
        int status = 0;
    };

    http::Loop *m_loop;
    OwnerName m_owner;
    std::map<Order, RetryState> m_retryStates;
    std::deque<Order> m_queue;
    std::map<http::CallId, OpenCall> m_calls;
    std::map<Order, http::TimerId> m_retryTimers;
    std::int64_t m_givenUpCount = 0;
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
    /// Bound on the body of an error; a longer one ends the attempt as an upstream error.
    static constexpr std::size_t kMaxErrorBodyBytes = std::size_t(64) << 10;

    Engines(http::Loop *loop, OwnerName owner, AttemptListener *listener);
    ~Engines() override;

    void start(EngineAttempt attempt);
    /// Ends an attempt here and at its engine; repeats the order until the engine confirms it.
    void cancel(const base::AttemptId &id, const base::Endpoint &to);
    /// Cancels not yet confirmed by their engines.
    std::size_t unconfirmedCancels() const { return m_deletions.unconfirmed(); }
    /// Those cancels, so that another host can go on with them.
    std::vector<Deletions::Order> pendingCancels() const { return m_deletions.pendingDeletions(); }

private:
    struct Stream
    {
        base::AttemptId attemptId;
        int status = 0;
        bool hasEndMark = false;
        base::Millis retryAfter{0};
        SseParser parser;
        std::string errorBody;
    };
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;
    void onEvent(Stream &stream, std::string_view data);
    void fail(http::CallId id, routing::AttemptFault fault);

    http::Loop *m_loop;
    OwnerName m_owner;
    AttemptListener *m_listener;
    std::map<http::CallId, Stream> m_streams;
    std::map<base::AttemptId, http::CallId> m_callIds;
    Deletions m_deletions;
};

/// One engine's part in a gang.
struct GangMember
{
    base::UpstreamId id;
    base::Endpoint to;
    base::Tokens kvTokens; ///< KV memory asked of it.
};

/// Engines asked to hold the prompt of one attempt together.
struct GangOrder
{
    base::AttemptId id;
    std::vector<GangMember> members; ///< In id order, so that two gangs cannot deadlock.
    base::Millis limit{0}; ///< Until all of them must hold.
};

/// Reserves memory at the engines of a gang: whole or not at all.
///
/// Members are asked one after the other; an engine may keep the question waiting for memory
/// within the limit. Reservations end by their ttl at the engine and are renewed while held, so a
/// host that dies holds nothing for long. A gang of which one engine refuses to renew is given back
/// whole.
class Gangs final : private http::CallHandler
{
public:
    using OnReserved = std::function<void(bool isHeld)>;
    /// A gang that was held is given back, for one of its engines holds nothing any more.
    using OnLost = std::function<void(const base::AttemptId &id)>;

    /// Life of a reservation that is not renewed.
    static constexpr base::Millis kReservationTtl{15'000};

    Gangs(http::Loop *loop, OwnerName owner, OnLost onLost,
          base::Millis renewInterval = kReservationTtl / 3);
    ~Gangs() override;

    /// Answers once, later; on false whatever had been reserved is being given back.
    void reserve(GangOrder request, OnReserved onReserved);
    /// Gives a gang back whole. One still being reserved gets no answer any more.
    void release(const base::AttemptId &id);
    /// Gangs that hold memory, or may.
    std::size_t held() const { return m_gangs.size(); }
    std::size_t unconfirmedReleases() const { return m_deletions.unconfirmed(); }
    /// Those releases, so that another host can go on with them.
    std::vector<Deletions::Order> pendingReleases() const { return m_deletions.pendingDeletions(); }

private:
    struct Gang
    {
        GangOrder request;
        OnReserved onReserved;
        std::size_t requestedCount = 0; ///< Members that may hold something.
        bool isHeld = false;
        base::TimePoint deadline;
        http::CallId callId;
        http::TimerId timer;
    };
    struct MemberCall
    {
        base::AttemptId gangId;
        bool isRenewal = false;
        int status = 0;
    };

    void reserveNext(Gang &gang);
    http::CallId sendReservation(const Gang &gang, const GangMember &member, base::Millis timeout);
    void renew(const base::AttemptId &id);
    void releaseMembers(const Gang &gang);
    void finishReserving(const base::AttemptId &id, bool isHeld);
    void scheduleRenewal(Gang &gang);
    void onRenewalResponse(const base::AttemptId &id, bool isReserved);
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId, std::string_view) override { }
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    OwnerName m_owner;
    OnLost m_onLost;
    base::Millis m_renewInterval;
    std::map<base::AttemptId, Gang> m_gangs;
    std::map<http::CallId, MemberCall> m_calls;
    Deletions m_deletions;
};

/// Follows the events of engines: load reports and changes of prefix caches.
///
/// A feed that breaks off or falls silent is opened again with backoff. Nothing is made up for
/// what was missed: the sequence numbers of cache events show it. An engine that has spoken and
/// then says nothing for kQuietLimit is told as quiet, and once more when it speaks again.
class EngineFeeds final : private http::CallHandler
{
public:
    using OnLoadReport = std::function<void(routing::LoadReported)>;
    using OnCacheChange = std::function<void(routing::CacheChanged)>;
    using OnQuietChange = std::function<void(const base::UpstreamId &id, bool isQuiet)>;

    /// A feed that says nothing for so long is opened again.
    static constexpr base::Millis kIdleTimeout{10'000};

    /// Longest time between reports of an engine that can be given work.
    static constexpr base::Millis kQuietTimeout{3'000};

    EngineFeeds(http::Loop *loop, OnLoadReport onLoadReport, OnCacheChange onCacheChange,
                OnQuietChange onQuietChange = nullptr, base::Millis quietTimeout = kQuietTimeout);
    ~EngineFeeds() override;

    /// Follows an engine; again with the same address changes nothing.
    void follow(const base::UpstreamId &id, const base::Endpoint &to);
    void forget(const base::UpstreamId &id);
    std::int64_t malformedCount() const { return m_malformedCount; }
    bool isQuiet(const base::UpstreamId &id) const;

private:
    struct Feed
    {
        base::Endpoint to;
        std::optional<http::CallId> call;
        std::optional<http::TimerId> timer;
        base::Millis retryDelay{0};
        bool isAccepted = false; ///< The engine has accepted the call.
        std::optional<http::TimerId> quietTimer; ///< Runs from the first report on.
        bool isQuiet = false;
        SseParser parser;
    };

    void open(const base::UpstreamId &id);
    void reopenLater(base::UpstreamId id);
    void restartIdleTimer(const base::UpstreamId &id);
    void restartQuietTimer(const base::UpstreamId &id);
    void markQuiet(const base::UpstreamId &id);
    void close(Feed &feed);
    void onEvent(const base::UpstreamId &id, std::string_view text);
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    OnLoadReport m_onLoadReport;
    OnCacheChange m_onCacheChange;
    OnQuietChange m_onQuietChange;
    base::Millis m_quietTimeout;
    std::map<base::UpstreamId, Feed> m_feeds;
    std::map<http::CallId, base::UpstreamId> m_upstreamsByCall;
    std::int64_t m_malformedCount = 0;
};

/// The oldest load report that is read, and the most tokens.
inline constexpr base::Millis kMaxLoadAge{86'400'000};
inline constexpr base::Tokens kMaxTokens{1'000'000'000'000};

/// Reads one event of an engine's feed; empty when it is malformed or a figure of it is beyond the
/// bounds above.
std::optional<std::variant<routing::LoadReported, routing::CacheChanged>> parseEngineEvent(
        const base::UpstreamId &id, std::string_view text);

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
    struct PendingCall
    {
        base::AttemptId attemptId;
        ServiceAnswer response;
    };

    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    OwnerName m_owner;
    ServiceListener *m_listener;
    std::map<http::CallId, PendingCall> m_calls;
    std::map<base::AttemptId, http::CallId> m_callIds;
};

/// Why the desired state of an engine could not be read.
enum class ReadError {
    NoResponse,
    Refused, ///< The engine answered with an error.
    Malformed,
};

std::string_view readFaultName(ReadError error);

/// Gives orders to engines and reads their desired state back. Each call is answered once, later,
/// within orders::kOrderTimeout.
class OrderCalls final : private http::CallHandler
{
public:
    using OnStateRead =
            std::function<void(const tl::expected<orders::ReportedState, ReadError> &state)>;
    using OnOrderResult = std::function<void(orders::OrderResult result)>;

    explicit OrderCalls(http::Loop *loop);
    ~OrderCalls() override;

    void read(const base::Endpoint &engine, OnStateRead onStateRead);
    /// No byte of the order leaves at \c order.before or later.
    void give(const base::Endpoint &engine, const orders::SendOrder &order,
              OnOrderResult onOrderResult);

private:
    struct PendingCall
    {
        OnStateRead onStateRead; ///< Set for a reading.
        OnOrderResult onOrderResult; ///< Set for an order.
        int status = 0;
        std::string body;
    };

    PendingCall takeCall(http::CallId id);
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    std::map<http::CallId, PendingCall> m_calls;
};

/// Why the address for announcements could not be served.
struct ListenError
{
    std::string message;
};

/// Takes announcements of upstreams over HTTP.
class AnnouncementServer final : public http::ServerHandler
{
public:
    using OnAnnouncement = std::function<void(const membership::Announcement &)>;
    AnnouncementServer(http::Loop *loop, OnAnnouncement onAnnouncement);

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);
    std::int64_t malformedCount() const { return m_malformedCount; }

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { ++m_malformedCount; }

    http::Loop *m_loop;
    OnAnnouncement m_onAnnouncement;
    std::int64_t m_malformedCount = 0;
};

} // namespace hyssop::upstream
