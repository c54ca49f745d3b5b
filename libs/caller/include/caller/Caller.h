/// The peer "caller": the HTTP interface that clients of the system use.
///
/// Everything belongs to the thread of its http::Loop.
#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "records/Records.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssop::caller {

/// What every call carries, from its headers.
struct CallHead
{
    base::RequestId requestId; ///< From X-Request-Id, else made here.
    std::string team; ///< From X-Team; not yet checked.
    std::string bearerKey; ///< From Authorization; empty when absent.
    std::optional<records::Urgency> urgency;
    std::optional<base::Millis> deadline;
    std::string idempotencyKey;
};

struct CompletionCall
{
    CallHead head;
    bool isChat = false;
    bool wantsStream = false;
    std::string model;
    std::string prompt; ///< Of a chat: the messages in order.
    std::int64_t maxTokens = 0;
};

struct ServiceCall
{
    CallHead head;
    std::string service;
    http::Method method = http::Method::Post;
    std::string path; ///< Below the service's name, with a leading slash and the query.
    std::string contentType;
    std::string body;
};

struct SubmitJobCall
{
    CallHead head;
    CompletionCall completion;
    std::string request; ///< Body as received.
};

struct GetJobCall
{
    CallHead head;
    base::JobId job;
};

struct ListJobsCall
{
    CallHead head;
};

/// Asks for the scope that home-scoped keys of this data centre carry.
struct ScopeCall
{
    CallHead head;
};

using Call = std::variant<CompletionCall, ServiceCall, SubmitJobCall, GetJobCall, ListJobsCall,
                          ScopeCall>;

/// What is known of a call that got no whole answer.
enum class Outcome { NotRun, Failed, Unknown };

/// An error answer, in the form of docs/CALLERS.md.
struct ErrorBody
{
    int status = 500;
    std::string code;
    std::string message;
    Outcome outcome = Outcome::NotRun;
    base::Millis retryAfter{0};
};

/// JSON text of an error answer.
std::string toJson(const ErrorBody &error, const base::RequestId &requestId);

/// Reads a request; on bad input, the error to answer with.
tl::expected<Call, ErrorBody> parseCall(const http::Request &request,
                                        const base::RequestId &freshId);

/// Reads the body of a completion or chat.
tl::expected<CompletionCall, ErrorBody> parseCompletion(std::string_view body, bool isChat);

/// Names of the headers parseCall() reads.
std::vector<std::string> callHeaders();

/// Receives calls that could be read.
class Listener
{
public:
    virtual ~Listener() = default;
    virtual void onCall(http::ExchangeId id, Call call) = 0;
    /// The caller closed the connection before its answer was complete.
    virtual void onCallerGone(http::ExchangeId id) = 0;
    /// A request was answered with an error before it became a call.
    virtual void onBadInput(std::string_view code) = 0;
};

/// Why the address for callers could not be served.
struct ListenError
{
    std::string message;
};

class Server final : public http::ServerHandler
{
public:
    Server(http::Loop *loop, Listener *listener, base::HostId host, base::Incarnation incarnation);

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address,
                                                     std::size_t maxBodyBytes,
                                                     base::Millis bodyTimeout);

    /// Adds tokens to the answer of a completion; streamed at once where the caller asked for it.
    void addTokens(http::ExchangeId id, const std::vector<std::string> &tokens);
    /// Ends the answer of a completion as whole.
    void complete(http::ExchangeId id);
    /// Ends any call with an error; within a stream, as its last event.
    void fail(http::ExchangeId id, const ErrorBody &error);
    /// Answers a call with a body as it is.
    void answer(http::ExchangeId id, int status, std::string contentType, std::string body);

    /// Bytes of a streamed answer that its caller has not taken yet.
    std::size_t unsentBytes(http::ExchangeId id) const;
    /// From here on answers ask callers to close their connections.
    void closeConnections() { m_closesConnections = true; }

private:
    struct Open
    {
        base::RequestId requestId;
        std::string model;
        bool isChat = false;
        bool isCompletion = false;
        bool wantsStream = false;
        bool hasStarted = false;
        std::int64_t tokens = 0;
        std::string text;
    };

    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId id) override;
    void onRejected(http::RejectReason reason) override;
    void sendEvent(http::ExchangeId id, const std::string &json);
    void startStream(http::ExchangeId id, Open &open);
    void respond(http::ExchangeId id, const Open &open, http::Response response);

    http::Loop *m_loop;
    Listener *m_listener;
    std::string m_idPrefix;
    std::int64_t m_lastId = 0;
    bool m_closesConnections = false;
    std::map<http::ExchangeId, Open> m_open;
};

} // namespace hyssop::caller
