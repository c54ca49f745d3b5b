/// The peer "operator": the HTTP interface on control hosts, and its client for hyssopctl.
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

/// A change of one record by compare-and-set.
struct PutRequest
{
    std::string changeId;
    records::Version replaces;
    records::Record record;
};

enum class PutStatus {
    Accepted,
    Conflict, ///< \c PutReply::current is in force.
    Invalid,
    Unavailable, ///< Not recorded: no leader in reach.
    Unknown, ///< May have been recorded; to be sent again with the same change id.
};

std::string_view putStatusName(PutStatus status);

struct PutReply
{
    PutStatus status = PutStatus::Unavailable;
    std::string message;
    std::optional<records::Record> current;
    std::int64_t position = 0; ///< Log index of the change, once accepted.
};

/// How far one entry host has applied the records.
struct HostStatus
{
    base::HostId host;
    base::DataCentreId dataCentre;
    std::int64_t position = 0;
    std::int64_t ageMs = 0; ///< Since it last reported.
};

struct StatusReply
{
    base::HostId host; ///< Control host that answers.
    std::string leader;
    std::int64_t term = 0;
    std::int64_t position = 0; ///< Of the last change of a record.
    bool isConfirmed = false;
    std::vector<HostStatus> hosts;
};

/// A host that has not reported for longer counts as unreachable.
inline constexpr std::int64_t kUnreachableAfterMs = 5'000;

/// How far a data centre is with a change, the worst of its entry hosts.
enum class Standing { InForce, Behind, Unreachable };

std::string_view standingName(Standing standing);

struct CentreStanding
{
    base::DataCentreId dataCentre;
    Standing standing = Standing::Unreachable;
    std::int64_t ageMs = 0; ///< Since its most silent host reported.
    int hosts = 0; ///< Entry hosts that are known there; 0 when it is known from records only.
};

/// Last report of each entry host, whichever control hosts it reached.
std::vector<HostStatus> newestReports(const std::vector<StatusReply> &replies);

/// Each data centre that reported or is \a known, with regard to a change at \a position.
std::vector<CentreStanding> standingsOf(const std::vector<StatusReply> &replies,
                                        const std::set<base::DataCentreId> &known,
                                        std::int64_t position);

std::string toJson(const PutReply &reply);
std::optional<PutReply> putReplyFromJson(std::string_view json);
std::string toJson(const StatusReply &reply);
std::optional<StatusReply> statusFromJson(std::string_view json);

template <typename Reply>
using Answer = std::function<void(Reply)>;

/// Receives operators' requests; answers at once or later, on the loop's thread.
class Listener
{
public:
    virtual ~Listener() = default;
    virtual void onPut(PutRequest request, Answer<PutReply> answer) = 0;
    virtual std::vector<records::Record> records() = 0;
    virtual void onStatus(Answer<StatusReply> answer) = 0;
};

/// Why the address for operators could not be served.
struct ListenError
{
    std::string message;
};

class Server final : public http::ServerHandler
{
public:
    /// An empty \a token leaves the interface open to all who can reach it.
    Server(http::Loop *loop, Listener *listener, std::string token);

    tl::expected<base::Endpoint, ListenError> listen(const base::Endpoint &address);

private:
    void onRequest(http::ExchangeId id, http::Request request) override;
    void onPeerClosed(http::ExchangeId) override { }
    void onRejected(http::RejectReason) override { }
    void handlePut(http::ExchangeId id, const http::Request &request);

    http::Loop *m_loop;
    Listener *m_listener;
    std::string m_token;
};

/// Why a control host gave no usable answer.
struct ClientError
{
    std::string message;
};

/// Asks control hosts, one after the other until one answers. Runs a loop of its own; blocking.
class Client
{
public:
    Client(std::vector<base::Endpoint> controls, std::string token, base::Millis timeout);
    ~Client();

    tl::expected<PutReply, ClientError> put(const PutRequest &request);
    tl::expected<std::vector<records::Record>, ClientError> records();
    tl::expected<StatusReply, ClientError> status();
    /// Asks every control host, and leaves out those that do not answer. Entry hosts report to the
    /// control host they are connected to only.
    std::vector<StatusReply> statusOfEach();

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
