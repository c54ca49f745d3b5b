/// HTTP interface for operators on control hosts, and its client, which hyssopctl uses.
#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "records/Records.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssop::operators {

/// Changes a record by compare-and-set on its version.
struct PutRequest
{
    std::string changeId; ///< Idempotency key: a resend with the same id is not applied twice.
    records::Version expectedVersion; ///< Expected current version; 0 if the record must not exist.
    records::Record record;
};

/// Outcome of a PutRequest.
enum class PutStatus {
    Accepted,
    Conflict, ///< Another version is in force, see \c PutReply::current.
    Invalid, ///< The record or the request is not valid.
    Unavailable, ///< Not recorded, because no leader was reachable.
    Unknown, ///< May have been recorded. Resend with the same change id.
};

/// Name of the status as used in JSON.
std::string_view putStatusName(PutStatus status);

/// Reply to a PutRequest.
struct PutReply
{
    PutStatus status = PutStatus::Unavailable;
    std::string message;
    std::optional<records::Record> current; ///< Record in force, on a conflict.
    std::int64_t logIndex = 0; ///< Log index of an accepted change.
};

/// Progress of one entry host in applying record changes.
struct HostStatus
{
    base::HostId host;
    base::DataCentreId dataCentre;
    std::int64_t appliedIndex = 0; ///< Log index up to which record changes are applied.
    std::int64_t ageMs = 0; ///< Time since the host's last report.
};

/// State of the records as one control host knows it.
struct StatusReply
{
    base::HostId host; ///< Control host that replies.
    std::string leader; ///< Leader of the global group.
    std::int64_t term = 0;
    std::int64_t recordsIndex = 0; ///< Log index of the last change to a record.
    bool hasLeaderContact = false; ///< Whether the control host is in contact with the leader.
    std::vector<HostStatus> hosts;
};

/// A host counts as unreachable if its last report is older than this.
inline constexpr std::int64_t kUnreachableAfterMs = 5'000;

/// Progress of a data centre in applying a change, that of its slowest entry host.
enum class PropagationState { InForce, Behind, Unreachable };

/// Name of the progress for printing.
std::string_view propagationStateName(PropagationState state);

/// Progress of one data centre.
struct DataCentrePropagation
{
    base::DataCentreId dataCentre;
    PropagationState state = PropagationState::Unreachable;
    std::int64_t ageMs = 0; ///< Largest time since the last report of any of its entry hosts.
    int hosts =
            0; ///< Number of known entry hosts; 0 if the data centre is known from records only.
};

/// Merges the replies of several control hosts into the latest status of each entry host.
std::vector<HostStatus> latestHostStatuses(const std::vector<StatusReply> &replies);

/// Progress of each data centre that reported or is \a known, for a change at log index \a
/// logIndex.
std::vector<DataCentrePropagation> propagationByDataCentre(
        const std::vector<StatusReply> &replies, const std::set<base::DataCentreId> &known,
        std::int64_t logIndex);

// The *FromJson functions return nothing if the text is not a valid reply.
std::string toJson(const PutReply &reply);
std::optional<PutReply> putReplyFromJson(std::string_view json);
std::string toJson(const StatusReply &reply);
std::optional<StatusReply> statusFromJson(std::string_view json);

/// Callback that sends the reply to a request.
template <typename Reply>
using ReplyCallback = std::function<void(Reply)>;

/// Handles operators' requests. Called on the loop's thread; the callbacks must be called once on
/// that thread, immediately or later.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual void onPut(PutRequest request, ReplyCallback<PutReply> answer) = 0;
    /// All records in force.
    virtual std::vector<records::Record> records() = 0;
    virtual void onStatus(ReplyCallback<StatusReply> answer) = 0;
};

/// Reason why the server could not listen.
struct ListenError
{
    std::string message;
};

/// HTTP server for operators. Requests are validated before they reach the handler.
class Server final : public http::ServerHandler
{
public:
    /// \a loop and \a handler must outlive the server. Requests must carry \a token as bearer
    /// token; an empty one disables authentication.
    Server(http::Loop *loop, RequestHandler *handler, std::string token);

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }
    void handlePut(http::ExchangeId id, const http::Request &request);

    http::Loop *m_loop;
    RequestHandler *m_handler;
    std::string m_token;
};

/// Reason why no control host gave a usable reply.
struct ClientError
{
    std::string message;
};

/// Blocking client. Sends each request to the control hosts in turn until one replies with a status
/// other than 503. Runs its own event loop.
class Client
{
public:
    /// \a timeout applies to each request to each control host.
    Client(std::vector<base::Endpoint> controlHosts, std::string token, base::Millis timeout);
    ~Client();

    tl::expected<PutReply, ClientError> put(const PutRequest &request);
    tl::expected<std::vector<records::Record>, ClientError> records();
    tl::expected<StatusReply, ClientError> status();
    /// Queries every control host and omits those that do not reply. All are needed, because each
    /// entry host reports only to the control host that it is connected to.
    std::vector<StatusReply> statusOfAllHosts();

private:
    struct Reply
    {
        int status = 0;
        std::string body;
    };
    tl::expected<Reply, ClientError> requestFromAny(const http::Call &call);
    tl::expected<Reply, ClientError> requestFrom(http::Call call, const base::Endpoint &to);

    std::vector<base::Endpoint> m_controlAddresses;
    std::string m_token;
    base::Millis m_timeout;
    std::unique_ptr<http::Loop> m_loop;
};

} // namespace hyssop::operators
