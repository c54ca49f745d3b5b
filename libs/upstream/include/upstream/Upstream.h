/// Clients of upstreams, which are inference engines and plain services, and the server that
/// receives their announcements.
///
/// Only this library and docs/UPSTREAMS.md state what the system assumes about upstreams. The
/// classes are not thread-safe. Each runs on the thread of its http::Loop, which must outlive it.
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

/// Number of tokens in a block of a prefix cache.
inline constexpr std::int64_t kBlockTokens = 1024;

/// Estimates the number of tokens in a prompt from its length in bytes.
base::Tokens estimateTokens(std::string_view prompt);

/// Returns one hash for each whole block of a prompt, in the form that engines use in cache
/// events. Each hash also covers all blocks before it.
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/// Incremental parser of a stream of server-sent events. Returns only the data fields.
class SseParser
{
public:
    /// Largest size of an event. feed() fails on a longer one.
    static constexpr std::size_t kMaxEventBytes = std::size_t(4) << 20;

    /// Parses the next \a bytes and calls \a onEvent with the data of each complete event. Lines
    /// of data are joined by newlines. Returns false if an event exceeds kMaxEventBytes.
    bool feed(std::string_view bytes, const std::function<void(std::string_view)> &onEvent);

private:
    std::string m_buffer;
};

/// Identifies the owner of attempts, exports and reservations at an engine.
struct OwnerId
{
    base::HostId host;
    base::Incarnation incarnation;

    /// Returns "HOST/INCARNATION", the form used in messages to upstreams.
    std::string text() const;
};

/// One attempt of a request at an engine.
struct EngineAttempt
{
    base::AttemptId id;
    base::Endpoint to;
    std::string body; ///< Completion request in JSON. Not sent when the attempt resumes a stream.
    base::Millis timeRemaining{0}; ///< Time until the deadline of the request.
    records::Urgency urgency = records::Urgency::Normal;
    int priority = 0; ///< Lower values run first.
    std::int64_t resumeOffset = 0; ///< First token to send when the attempt resumes a stream.
    bool isResume = false; ///< Continues a running attempt instead of starting one.
    std::vector<base::UpstreamId>
            gangMembers; ///< All engines that share the prompt, in order of id.
};

/// Sends DELETE requests to upstreams and retries each with backoff until the upstream confirms it.
///
/// A status of 404 or 410 also confirms a deletion. A deletion that is not confirmed within
/// kMaxRetryTime is dropped and counted. Its resource then ends by its own time limit.
class DeletionQueue final : private http::CallHandler
{
public:
    /// A DELETE request that is not confirmed yet.
    struct Deletion
    {
        base::Endpoint to;
        std::string path;

        auto operator<=>(const Deletion &other) const = default;
    };

    /// Limit on the time spent on retries of one deletion.
    static constexpr base::Millis kMaxRetryTime{600'000};
    /// Limit on concurrent requests. Further deletions are queued.
    static constexpr std::size_t kMaxConcurrentRequests = 64;

    DeletionQueue(http::Loop *loop, OwnerId owner);
    ~DeletionQueue() override;

    /// Deletes \a path at \a to. Has no effect if the same deletion is still unconfirmed.
    void add(const base::Endpoint &to, const std::string &path);
    /// Number of unconfirmed deletions.
    std::size_t unconfirmedCount() const { return m_retryStates.size(); }
    /// Returns the unconfirmed deletions, so that another host can take them over.
    std::vector<Deletion> pendingDeletions() const;
    /// Number of deletions that were dropped after kMaxRetryTime.
    std::int64_t givenUpCount() const { return m_givenUpCount; }

private:
    struct RetryState
    {
        base::Millis elapsed{0}; ///< Upper bound: sum of the delays and of the request timeouts.
        base::Millis retryDelay{0};
    };

    void sendQueued();
    void send(const Deletion &deletion);
    void onCallEnded(http::CallId id);
    void retryLater(const Deletion &deletion);
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId, std::string_view) override { }
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    struct OpenCall
    {
        Deletion deletion;
        int status = 0;
    };

    http::Loop *m_loop;
    OwnerId m_owner;
    std::map<Deletion, RetryState> m_retryStates;
    std::deque<Deletion> m_queue;
    std::map<http::CallId, OpenCall> m_calls;
    std::map<Deletion, http::TimerId> m_retryTimers;
    std::int64_t m_givenUpCount = 0;
};

/// Receives the events of attempts. onFinished() or onFailed() is the last event of an attempt.
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;
    /// The engine has accepted the attempt.
    virtual void onAccepted(const base::AttemptId &id) = 0;
    /// Tokens have arrived. \a offset is the position of the first one in the output.
    virtual void onTokens(const base::AttemptId &id, std::int64_t offset,
                          const std::vector<std::string> &tokens) = 0;
    /// The output is complete.
    virtual void onFinished(const base::AttemptId &id) = 0;
    /// The attempt has failed. \a retryAfter is the delay that the engine asked for, or 0.
    virtual void onFailed(const base::AttemptId &id, routing::AttemptFault fault,
                          base::Millis retryAfter) = 0;
    /// An event in the stream of attempt \a id was dropped, because it was malformed or belonged to
    /// another attempt.
    virtual void onStrayEvent(const base::AttemptId &id) = 0;
};

/// Client of the completion API of engines. \a listener must outlive it.
class EngineClient final : private http::CallHandler
{
public:
    /// Largest body of an error response. A longer one fails the attempt with UpstreamError.
    static constexpr std::size_t kMaxErrorBodyBytes = std::size_t(64) << 10;

    EngineClient(http::Loop *loop, OwnerId owner, AttemptListener *listener);
    ~EngineClient() override;

    /// Sends an attempt to its engine. Replaces an open connection of the same attempt.
    void start(EngineAttempt attempt);
    /// Closes the connection of an attempt and cancels it at the engine \a to. Retries until the
    /// engine confirms it. The listener receives no further events of the attempt.
    void cancel(const base::AttemptId &id, const base::Endpoint &to);
    /// Number of cancellations that engines have not confirmed yet.
    std::size_t unconfirmedCancels() const { return m_deletions.unconfirmedCount(); }
    /// Returns the unconfirmed cancellations, so that another host can take them over.
    std::vector<DeletionQueue::Deletion> pendingCancels() const
    {
        return m_deletions.pendingDeletions();
    }

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
    OwnerId m_owner;
    AttemptListener *m_listener;
    std::map<http::CallId, Stream> m_streams;
    std::map<base::AttemptId, http::CallId> m_callIds;
    DeletionQueue m_deletions;
};

/// An engine in a gang and the memory requested from it.
struct GangMember
{
    base::UpstreamId id;
    base::Endpoint to;
    base::Tokens kvTokens; ///< KV memory to reserve.
};

/// Request to reserve memory at a gang, the engines that share the prompt of one attempt.
struct GangRequest
{
    base::AttemptId id;
    std::vector<GangMember> members; ///< In order of id, so that two gangs cannot deadlock.
    base::Millis timeout{0}; ///< Time limit for reserving memory at all members.
};

/// Reserves KV memory at all engines of a gang or at none.
///
/// Requests go to the members one after the other. An engine may delay its response until memory
/// becomes free, within the time limit. Reservations expire at the engine after kReservationTtl and
/// are renewed while they are held, so those of a host that fails expire soon. If an engine refuses
/// a renewal, the whole gang is released.
class GangReservations final : private http::CallHandler
{
public:
    /// Receives whether all members hold their memory.
    using OnReserved = std::function<void(bool isHeld)>;
    /// Called after a held gang was released because an engine refused a renewal.
    using OnLost = std::function<void(const base::AttemptId &id)>;

    /// Time after which an engine drops a reservation that is not renewed.
    static constexpr base::Millis kReservationTtl{15'000};

    GangReservations(http::Loop *loop, OwnerId owner, OnLost onLost,
                     base::Millis renewInterval = kReservationTtl / 3);
    ~GangReservations() override;

    /// Reserves a gang. Calls \a onReserved once, after this function has returned. If the
    /// reservation has failed, the release of the memory already reserved has started by then.
    void reserve(GangRequest request, OnReserved onReserved);
    /// Releases all members of a gang. If it is still being reserved, its callback is not called.
    void release(const base::AttemptId &id);
    /// Number of gangs that are reserved or being reserved.
    std::size_t gangCount() const { return m_gangs.size(); }
    /// Number of releases that engines have not confirmed yet.
    std::size_t unconfirmedReleases() const { return m_deletions.unconfirmedCount(); }
    /// Returns the unconfirmed releases, so that another host can take them over.
    std::vector<DeletionQueue::Deletion> pendingReleases() const
    {
        return m_deletions.pendingDeletions();
    }

private:
    struct Gang
    {
        GangRequest request;
        OnReserved onReserved;
        std::size_t requestedCount = 0; ///< Members that may hold memory, from the first on.
        bool isHeld = false;
        base::TimePoint deadline; ///< End of the time limit for reserving.
        http::CallId callId;
        http::TimerId timer; ///< Time limit for reserving, then the next renewal.
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
    OwnerId m_owner;
    OnLost m_onLost;
    base::Millis m_renewInterval;
    std::map<base::AttemptId, Gang> m_gangs;
    std::map<http::CallId, MemberCall> m_calls;
    DeletionQueue m_deletions;
};

/// Subscribes to the event feeds of engines, which carry load reports and prefix cache changes.
///
/// A feed that ends, fails or is idle is opened again with backoff. Missed events are not
/// recovered, but gaps in the sequence numbers of cache events reveal them. An engine that has sent
/// data and then sends none for kQuietTimeout is quiet until it sends data again. Both changes are
/// reported.
class EngineFeeds final : private http::CallHandler
{
public:
    using OnLoadReport = std::function<void(routing::LoadReported)>;
    using OnCacheChange = std::function<void(routing::CacheChanged)>;
    using OnQuietChange = std::function<void(const base::UpstreamId &id, bool isQuiet)>;

    /// A feed on which nothing arrives for this time is opened again.
    static constexpr base::Millis kIdleTimeout{10'000};

    /// Longest time between two reports of an engine that may get new requests.
    static constexpr base::Millis kQuietTimeout{3'000};

    EngineFeeds(http::Loop *loop, OnLoadReport onLoadReport, OnCacheChange onCacheChange,
                OnQuietChange onQuietChange = nullptr, base::Millis quietTimeout = kQuietTimeout);
    ~EngineFeeds() override;

    /// Opens the feed of an engine. Opens it again if \a to is a new address, and has no effect if
    /// the address is the same.
    void subscribe(const base::UpstreamId &id, const base::Endpoint &to);
    /// Closes the feed of an engine. Has no effect if there is none.
    void unsubscribe(const base::UpstreamId &id);
    /// Number of malformed events.
    std::int64_t malformedCount() const { return m_malformedCount; }
    /// Returns whether an engine that sent data before has sent none for kQuietTimeout.
    bool isQuiet(const base::UpstreamId &id) const;

private:
    struct Feed
    {
        base::Endpoint to;
        std::optional<http::CallId> call;
        std::optional<http::TimerId> timer; ///< Idle timeout, or delay before the next retry.
        base::Millis retryDelay{0};
        bool isAccepted = false; ///< The engine has responded with status 200.
        std::optional<http::TimerId> quietTimer; ///< Runs from the first data on.
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

/// Largest age of a load report.
inline constexpr base::Millis kMaxLoadAge{86'400'000};
/// Largest number of tokens in a load report.
inline constexpr base::Tokens kMaxReportedTokens{1'000'000'000'000};

/// Parses an event of the feed of engine \a id. Returns nothing if the event is malformed or a
/// number exceeds kMaxLoadAge or kMaxReportedTokens.
std::optional<std::variant<routing::LoadReported, routing::CacheChanged>> parseEngineEvent(
        const base::UpstreamId &id, std::string_view text);

/// Response of a plain service.
struct ServiceResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// One attempt of a request at a plain service.
struct ServiceCall
{
    base::AttemptId id;
    base::Endpoint to;
    http::Method method = http::Method::Post;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< Not sent if empty.
    base::Millis remaining{0}; ///< Time until the deadline of the request.
};

/// Receives the results of service calls. Each call gets one result unless it is cancelled.
class ServiceListener
{
public:
    virtual ~ServiceListener() = default;
    /// The service has run the request and responded with any status.
    virtual void onResponse(const base::AttemptId &id, ServiceResponse response) = 0;
    /// The call has failed, or the service stated that it did not start the request.
    virtual void onFailed(const base::AttemptId &id, routing::AttemptFault fault) = 0;
};

/// Client of plain services. \a listener must outlive it.
class ServiceClient final : private http::CallHandler
{
public:
    ServiceClient(http::Loop *loop, OwnerId owner, ServiceListener *listener);

    /// Sends a call to its service.
    void start(ServiceCall call);
    /// Closes the connection of a call, which then gets no result.
    void cancel(const base::AttemptId &id);

private:
    struct PendingCall
    {
        base::AttemptId attemptId;
        ServiceResponse response;
    };

    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    OwnerId m_owner;
    ServiceListener *m_listener;
    std::map<http::CallId, PendingCall> m_calls;
    std::map<base::AttemptId, http::CallId> m_callIds;
};

/// Why the state of an engine could not be read.
enum class ReadError {
    NoResponse,
    Refused, ///< The engine returned an error status.
    Malformed,
};

/// Returns the name of an error as used in metrics.
std::string_view readErrorName(ReadError error);

/// Sends orders to engines and reads their state. Each call returns at once, and its callback runs
/// once within orders::kOrderTimeout.
class OrderClient final : private http::CallHandler
{
public:
    using OnStateRead =
            std::function<void(const tl::expected<orders::ReportedState, ReadError> &state)>;
    using OnOrderResult = std::function<void(orders::OrderResult result)>;

    explicit OrderClient(http::Loop *loop);
    ~OrderClient() override;

    /// Reads the desired and the loaded state of an engine.
    void readState(const base::Endpoint &engine, OnStateRead onStateRead);
    /// Sends an order to an engine. No byte of it is sent at \c order.sendDeadline or later.
    void send(const base::Endpoint &engine, const orders::SendOrder &order,
              OnOrderResult onOrderResult);

private:
    struct PendingCall
    {
        OnStateRead onStateRead; ///< Set if the call reads the state.
        OnOrderResult onOrderResult; ///< Set if the call sends an order.
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

/// Why the server could not listen on its address.
struct ListenError
{
    std::string message;
};

/// HTTP server that receives the announcements of upstreams.
class AnnouncementServer final : public http::ServerHandler
{
public:
    using OnAnnouncement = std::function<void(const membership::Announcement &)>;
    AnnouncementServer(http::Loop *loop, OnAnnouncement onAnnouncement);

    /// Listens on \a address. Port 0 selects a free port. Returns the address with the actual port.
    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);
    /// Number of requests that were malformed or rejected.
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
