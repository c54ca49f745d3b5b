/// RPC between the processes of the system, over Cap'n Proto.
///
/// A Node owns a thread with its sockets. Its calls may be made from any thread; answers and
/// incoming calls are handed over on the Node's thread, and the receiver posts them to its own.
#pragma once

#include "base/Base.h"
#include "peers/Inbound.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssop::peers {

/// Place in a replicated log, as on the wire.
struct WirePosition
{
    std::int64_t term = 0;
    std::int64_t index = 0;

    auto operator<=>(const WirePosition &other) const = default;
};

/// A host asks for records newer than those it has applied.
struct WatchRequest
{
    base::HostId host;
    base::DataCentreId dataCentre;
    WirePosition applied;
    base::Millis wait{0}; ///< How long the answer may be held back when nothing is newer.
};

struct WatchReply
{
    WirePosition position;
    bool isConfirmed = false; ///< The control host has confirmed that its records are the latest.
    bool hasChanged = false; ///< \c records is whole and newer than the request's position.
    std::vector<std::string> records; ///< JSON text of each record.
};

struct ExecuteRequest
{
    std::string group;
    std::string command; ///< As encoded by the ledger.
};

enum class ExecuteStatus {
    Done, ///< Committed; \c ExecuteReply::reply holds the ledger's answer.
    NotLeader, ///< Nothing was recorded.
    Unavailable, ///< Nothing was recorded.
    Unknown, ///< The command may yet be committed.
    NoQuorum, ///< Nothing was recorded, and nothing can be while the group's voters are out of
              ///< reach.
};

struct ExecuteReply
{
    ExecuteStatus status = ExecuteStatus::Unavailable;
    std::string reply;
    std::string leader; ///< Replica that leads, when known.
};

struct ReplicateMessage
{
    std::string group;
    std::string from;
    std::string body;
};

struct GossipMessage
{
    base::HostId from;
    std::string body;
};

struct QueryRequest
{
    std::string topic;
    std::string body;
};

/// Answers an incoming call once, from any thread.
template <typename Reply>
using Answer = std::function<void(Reply)>;

/// Receives incoming calls, on the Node's thread.
class Service
{
public:
    virtual ~Service() = default;
    virtual void onWatch(WatchRequest request, Answer<WatchReply> answer) = 0;
    virtual void onExecute(ExecuteRequest request, Answer<ExecuteReply> answer) = 0;
    virtual void onReplicate(ReplicateMessage message) = 0;
    virtual void onGossip(GossipMessage message) = 0;
    virtual void onQuery(QueryRequest request, Answer<std::string> answer) = 0;
};

enum class CallFault { Unreachable, Timeout, Failed };

/// Why a call to another process gave no answer.
struct PeerError
{
    CallFault fault = CallFault::Failed;
    std::string message;
    bool mayHaveArrived = false; ///< The call was handed to a connection before it failed.
};

/// Receives the answer of an outgoing call, on the Node's thread.
template <typename Reply>
using Callback = std::function<void(tl::expected<Reply, PeerError>)>;

class Node
{
public:
    /// Listens on \a listen and serves calls by \a service, which must outlive the node.
    static tl::expected<std::unique_ptr<Node>, PeerError> start(const base::Endpoint &listen,
                                                                Service *service,
                                                                InboundLimits limits = {});
    /// Closes every connection and joins the thread. Open calls get no answer.
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Address with its actual port.
    base::Endpoint address() const;

    void watch(const base::Endpoint &to, WatchRequest request, base::Millis timeout,
               Callback<WatchReply> callback);
    void execute(const base::Endpoint &to, ExecuteRequest request, base::Millis timeout,
                 Callback<ExecuteReply> callback);
    void replicate(const base::Endpoint &to, ReplicateMessage message, base::Millis timeout);
    void gossip(const base::Endpoint &to, GossipMessage message, base::Millis timeout);
    void query(const base::Endpoint &to, QueryRequest request, base::Millis timeout,
               Callback<std::string> callback);

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::peers
