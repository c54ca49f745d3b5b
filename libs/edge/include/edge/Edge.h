/// An entry host that forwards calls without interpreting their content. It handles routes, caller
/// keys, dispatch, the forwarding of answers, and updates of the configuration and the upstreams.
///
/// Protocol hides the HTTP dialect of callers and upstreams; a fleet::ConfigurationReader parses
/// configurations. An Edge belongs to the thread that runs its io_context.
#pragma once

#include "base/Base.h"
#include "dispatch/Dispatch.h"
#include "fleet/Fleet.h"
#include "gateway/Gateway.h"
#include "peers/Inbound.h"
#include "process/Process.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hyssop::edge {

/// Metadata from the header of a caller's request.
struct CallMetadata
{
    base::RequestId id;
    std::optional<std::string> apiKey; ///< API key of the caller.
    std::optional<base::Millis> timeout; ///< How long the caller waits.
    base::Tokens promptTokens; ///< 0 when the request has none.
    base::Tokens maxOutputTokens;
    /// Ids of the parts of the prompt that other requests may have in common with it.
    std::vector<std::string> sharedParts;
};

/// Why the header of a request is invalid.
struct BadRequest
{
    std::string message;
};

/// An engine that prefills a part of a prompt.
struct HelperEngine
{
    base::Endpoint address;
    std::string reservationId; ///< Id of its memory reservation; empty when there is none.
};

/// Data for an upstream beside the caller's request.
struct UpstreamRequestContext
{
    fleet::Upstream upstream;
    base::TeamId team; ///< Empty when the route needs no key.
    base::Millis timeLeft{0};
    std::vector<HelperEngine> helpers;
    std::optional<std::string> resumeAfter; ///< Id of the last event that the caller has.
};

/// Metadata from the header of an upstream's answer.
struct ResponseMetadata
{
    bool isProvenRun = false; ///< Carries the proof that an upstream ran the request.
    bool isNotExecuted = false; ///< The upstream states that it did not start the request.
    bool isMisdirected = false; ///< The address belongs to another upstream than the expected one.
    std::optional<int> runningRequests; ///< Running requests there, if reported.
    int waitingRequests = 0;
    std::optional<base::Endpoint>
            faultyUpstream; ///< Upstream that failed the request, if reported.
    /// Requests that the upstream accepts from all hosts together; kUnlimitedRate when it states no
    /// limit, empty when its statement is unreadable.
    std::optional<fleet::RequestRate> acceptedRate;
    bool isLeaving = false; ///< The upstream takes no new requests.
    base::Millis backOff{0}; ///< For so long it wants no requests from this host.
};

/// A request of this host itself to an upstream. Status 200 means success.
struct EngineRequest
{
    gateway::RequestHead head;
    std::string body;
};

/// HTTP dialect between callers, this host and upstreams. Called on the thread of the Edge.
class Protocol
{
public:
    virtual ~Protocol() = default;
    virtual tl::expected<CallMetadata, BadRequest> parseRequest(
            const gateway::RequestHead &head) const = 0;
    virtual gateway::RequestHead upstreamRequest(const gateway::RequestHead &head,
                                                 const UpstreamRequestContext &context) const = 0;
    /// Request to another entry host that serves the call as a caller's. \a resumeAfter is the id
    /// of the last event that the caller has, if any.
    virtual gateway::RequestHead relayRequest(
            const gateway::RequestHead &head, base::Millis timeLeft,
            const std::optional<std::string> &resumeAfter) const = 0;
    virtual ResponseMetadata parseResponse(const gateway::ResponseHead &head) const = 0;
    /// Fields of an upstream's answer that are forwarded to the caller.
    virtual gateway::Fields forwardedFields(const gateway::ResponseHead &head) const = 0;
    /// Fields of an answer that this host generates. With a \a retryAfter of 0 no time is given.
    virtual gateway::Fields localResponseFields(const gateway::RequestHead &head,
                                                base::Millis retryAfter) const = 0;
    /// Request to an engine to create or renew a memory reservation that lasts for \a hold.
    virtual EngineRequest reserveRequest(const std::string &reservation, base::Tokens memory,
                                         base::Millis hold) const = 0;
    virtual EngineRequest releaseRequest(const std::string &reservation) const = 0;
    /// Field in which upstreams echo the id of the request that they answer.
    virtual std::string echoFieldName() const = 0;
};

/// Settings of an Edge.
struct EdgeOptions
{
    base::HostId host;
    base::DataCentreId dataCentre;
    base::Endpoint listenCallers;
    base::Endpoint listenPeers;
    /// Port on which entry hosts take over calls of others, the same on all hosts; 0 for none.
    std::uint16_t relayPort = 0;
    std::vector<base::Endpoint>
            controlHosts; ///< Peer addresses of the first control hosts to contact.
    /// Longest time for which a key works after an accepted configuration revoked it.
    base::Millis revocationBound{5'000};
    /// Longest time until an accepted configuration is in force here.
    base::Millis propagationBound{2'000};
    base::Millis upstreamRetention{5'000}; ///< See fleet::FleetView.
    base::Millis stopTimeout{8'000}; ///< From the stop request to the end of the process.
    /// What callers hold of this process, shared with its other servers; null without limits.
    std::shared_ptr<gateway::CallerResources> callerResources;
    peers::InboundLimits peerLimits; ///< On the RPC port.
    /// A cold upstream gets at most \c coldRatio times the rate that its service states and
    /// \c coldAllowance more requests in any one second, from all entry hosts together.
    double coldRatio = 1;
    double coldAllowance = 0;
    dispatch::DispatcherOptions dispatch;
};

/// Why the process cannot start.
struct EdgeError
{
    std::string message;
};

/// An entry host with its listeners, timers and dispatcher.
class Edge
{
public:
    /// \a io, \a protocol, \a reader and \a metrics must outlive the edge.
    static tl::expected<std::unique_ptr<Edge>, EdgeError> start(
            EdgeOptions options, boost::asio::io_context *io, const Protocol *protocol,
            const fleet::ConfigurationReader *reader, process::Metrics *metrics);
    ~Edge();

    /// Whether new connections may be sent here.
    bool isReady() const;
    /// Replaces the control hosts to start from.
    void setControlHosts(const std::vector<base::Endpoint> &controlHosts);
    /// Stops accepting connections, lets outstanding calls end, then calls \a done.
    void drain(std::function<void()> done);
    /// Updates the gauges.
    void updateGauges();

private:
    class Impl;
    explicit Edge(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace hyssop::edge
