/// Orders set the model that an engine serves. Decides which host sends them, when and to which
/// engine.
///
/// No I/O: the current time is an argument and random numbers come from a seed. Not thread-safe.
#pragma once

#include "base/Base.h"
#include "records/Records.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssop::orders {

// All hosts of a data centre must use the same lease and order times, so these are not settings.

/// Lease duration requested from the log.
inline constexpr base::Millis kLeaseDuration{9'000};
/// Part of the lease that the holder does not use, to allow for clock drift between hosts.
inline constexpr base::Millis kLeaseMargin{1'000};
/// Time limit of an order, and so the longest time that it can be in transit to its engine.
inline constexpr base::Millis kOrderTimeout{2'000};

/// Lease of the order sender as its holder may use it. Times are of the holder's monotonic clock.
struct LeaseGrant
{
    std::int64_t fencingToken = 0; ///< Fencing token, which rises with each new holder.
    base::TimePoint firstGrantedAt; ///< When this fencing token was first granted.
    base::TimePoint validUntil; ///< No order may be sent later.
};

/// Lease that lets one host send orders in its data centre, tracked by this host's monotonic clock.
///
/// The lease is counted from the time of the request, so it expires here before it expires in the
/// log.
class OrderLease
{
public:
    /// Interval between requests of the lease holder and of the preferred host.
    static constexpr base::Millis kRenewRequestInterval{3'000};
    /// Interval between requests of the other hosts, which take over if the preferred host cannot.
    static constexpr base::Millis kStandbyRequestInterval{60'000};

    /// \a seed determines the jitter between requests.
    OrderLease(std::uint64_t seed, base::TimePoint now);

    /// Whether the lease should be requested from the log now. If so, onRequestSent() must be
    /// called when the request is sent. \a isFirstInLine is set on the preferred host of the data
    /// centre.
    bool isRequestDue(bool isFirstInLine, base::TimePoint now) const;
    /// A request was sent. Exactly one of onGranted(), onRefused() and onRequestFailed() must
    /// follow.
    void onRequestSent(base::TimePoint now);
    /// Whether a request is pending.
    bool isRequestPending() const { return m_isRequestPending; }
    /// The log granted or renewed the lease.
    void onGranted(std::int64_t fencingToken, base::TimePoint now);
    /// Another host holds the lease.
    void onRefused();
    /// The log did not reply. A lease already held stays valid until it expires.
    void onRequestFailed();
    /// Invalidates the lease, for example after an engine rejected its fencing token, until a
    /// request that is sent from now on is granted.
    void invalidate();
    /// The lease, if this host may send orders at \a now.
    std::optional<LeaseGrant> grantAt(base::TimePoint now) const;

private:
    LeaseGrant m_grant;
    base::Rng m_rng;
    base::TimePoint m_requestedAt; ///< Time of the last request; initially that of construction.
    base::Millis m_jitter{0}; ///< Added to the interval until the next request.
    bool m_isRequestPending = false;
    bool m_isRequestDueNow = false; ///< Set by invalidate() until the next request.
};

/// Model, adapter, version and role that an engine should serve or serves.
struct EngineTarget
{
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;

    bool operator==(const EngineTarget &other) const = default;
    /// Whether the targets differ in the role at most.
    bool hasSameWeights(const EngineTarget &other) const;
};

/// Target that a deployment assigns to its engines.
EngineTarget targetOf(const records::DeploymentSpec &spec);

/// Engine as announced by itself.
struct Engine
{
    base::UpstreamId id;
    base::Incarnation incarnation; ///< Changes when the engine restarts.
    std::string role;
    std::vector<std::string> models; ///< Models that it serves now.
    bool checksFencing = false; ///< Whether it rejects outdated fencing tokens.
    bool isLeaving = false; ///< Shutting down or no longer announced.
};

/// State that an engine reports when it is read.
struct ReportedState
{
    EngineTarget desired; ///< Target of the last order that it accepted.
    EngineTarget loaded; ///< Target that it serves.

    /// Whether the engine is loading other weights.
    bool isLoading() const { return !desired.hasSameWeights(loaded); }
};

/// Bounds on loads from the weight store in one data centre.
struct LoadLimits
{
    int maxConcurrent = 2; ///< Concurrent loads.
    int maxPerMinute = 30; ///< Loads started per minute.
};

/// Token bucket that limits events per minute.
class TokenBucket
{
public:
    /// \a burst is the capacity and \a initialTokens the number of tokens at \a now.
    TokenBucket(int perMinute, int burst, int initialTokens, base::TimePoint now);

    /// Whether an event is allowed now.
    bool hasToken(base::TimePoint now) const;
    /// Consumes one token. Requires hasToken().
    void take(base::TimePoint now);
    int perMinute() const { return m_perMinute; }

private:
    double tokensAt(base::TimePoint now) const;

    int m_perMinute;
    double m_burst;
    double m_tokens;
    base::TimePoint m_updatedAt;
};

/// Known state of an engine, as input for assign().
struct EngineView
{
    Engine engine;
    /// Target of the last order sent, or as read from the engine; empty if unknown.
    std::optional<EngineTarget> desired;
    std::optional<EngineTarget> loaded; ///< As read from the engine; empty if unknown.

    /// Whether it serves a route's model and role now.
    bool serves(const records::RouteSpec &route) const;
    /// Whether it serves its desired target.
    bool isConverged() const { return desired && loaded && *desired == *loaded; }
};

/// Deployment that an engine is assigned to, with its target.
struct Assignment
{
    std::string deployment;
    EngineTarget target;

    bool operator==(const Assignment &other) const = default;
};

/// Result of assign(). Deployments are identified by name.
struct Assignments
{
    std::map<base::UpstreamId, Assignment> engines;
    /// Number of engines that each incomplete deployment lacks.
    std::map<std::string, int> missing;
    /// Incomplete deployments that could not take an engine because a route needs it.
    std::set<std::string> heldByRoutes;
};

/// Assigns the deployments of one data centre to its engines.
///
/// Engines whose desired target already matches a deployment stay assigned to it. Further engines
/// are chosen by the lowest replacement cost. The last converged engine of a route in force is not
/// taken unless the deployment's record allows it.
Assignments assign(const base::DataCentreId &dataCentre, const records::Catalogue &catalogue,
                   const std::vector<EngineView> &engines);

/// Reason why an order that is due is not sent yet.
enum class Hold {
    None,
    FormerHolder, ///< The engine ignores fencing, and the former holder's orders may be in transit.
    LoadsAtOnce, ///< LoadLimits::maxConcurrent is reached.
    LoadRate, ///< LoadLimits::maxPerMinute is reached.
    DeploymentLoadRate, ///< The deployment's loadsPerMinute is reached.
    Backoff, ///< An earlier order failed.
};

/// Name of the hold in logs, metrics and JSON.
std::string_view holdName(Hold hold);

/// Outcome of an order.
enum class OrderResult {
    Accepted,
    OldFencing, ///< The engine has accepted an order with a higher fencing token.
    Refused, ///< The engine replied with another error.
    Failed, ///< No reply; the engine may have received the order.
};

/// Name of the result in logs and metrics.
std::string_view orderResultName(OrderResult result);

/// Action: read the state of an engine.
struct ReadState
{
    base::UpstreamId engine;
};

/// Action: send an order to an engine.
struct SendOrder
{
    base::UpstreamId engine;
    std::int64_t fencingToken = 0; ///< Fencing token of the lease.
    Assignment assignment;
    base::TimePoint sendDeadline; ///< No byte of the order may be sent at or after this time.
};

/// Event: an order is due but held back. Reported once for each change of \c hold.
struct OrderHeld
{
    base::UpstreamId engine;
    std::string deployment;
    Hold hold = Hold::None;
};

/// Event: an accepted order must be sent again because something else changed the engine's state.
struct OrderOverridden
{
    base::UpstreamId engine;
};

using OrderAction = std::variant<ReadState, SendOrder, OrderHeld, OrderOverridden>;

/// State of one engine in a report.
struct EngineReport
{
    base::UpstreamId id;
    std::string deployment; ///< Empty if not assigned.
    std::optional<EngineTarget> target; ///< Empty if not assigned.
    std::optional<ReportedState> state; ///< As last read; empty if unknown.
    Hold hold = Hold::None;
};

/// State of one deployment in a report. Counts are of engines.
struct DeploymentReport
{
    std::string name;
    int replicas = 0; ///< As declared.
    int assigned = 0;
    int serving = 0; ///< Assigned engines that serve the target.
    bool isHeldByRoutes = false; ///< As Assignments::heldByRoutes.
};

/// Deployments and engines of one data centre.
struct OrderReport
{
    std::vector<DeploymentReport> deployments;
    std::vector<EngineReport> engines;
};

/// Reconciles the engines of one data centre with their deployments while the lease is held: sends
/// the desired state, reads it back, and sends it again until it matches.
class OrderPlanner
{
public:
    /// Interval between reads of an engine that does not match its assignment or is loading.
    static constexpr base::Millis kUnconvergedReadInterval{500};
    /// Interval between reads of an engine that matches its assignment.
    static constexpr base::Millis kConvergedReadInterval{15'000};
    /// Bounds of the backoff after failed reads and orders, without jitter.
    static constexpr base::Millis kFirstBackoff{500};
    static constexpr base::Millis kMaxBackoff{30'000};
    /// Bound on concurrent calls to engines.
    static constexpr std::size_t kMaxOpenCalls = 32;

    OrderPlanner(base::DataCentreId dataCentre, LoadLimits limits, std::uint64_t seed);

    /// Sets the records in force.
    void setCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    /// Whether the data centre has any deployments.
    bool hasDeployments() const;
    /// Sets the engines of the data centre that are announced now.
    void setEngines(const std::vector<Engine> &engines, base::TimePoint now);

    /// Actions to take now. Without a grant there are none. The caller must report the outcome of
    /// each ReadState and SendOrder once, by onReadDone() or onOrderDone().
    std::vector<OrderAction> nextActions(const std::optional<LeaseGrant> &grant,
                                         base::TimePoint now);
    /// \a state is empty if the read failed.
    void onReadDone(const base::UpstreamId &engine, const std::optional<ReportedState> &state,
                    base::TimePoint now);
    void onOrderDone(const base::UpstreamId &engine, OrderResult result, base::TimePoint now);

    /// Deployments and engines as of the last call of nextActions().
    OrderReport report() const;

private:
    struct EngineProgress
    {
        Engine engine;
        std::optional<ReportedState> lastRead; ///< Last state read under this grant.
        std::optional<EngineTarget> pendingTarget; ///< Sent and not read back yet.
        std::optional<Assignment> lastOrder; ///< Last order sent; empty after it failed.
        std::int64_t acceptedFencingToken = 0; ///< Token of the last accepted order.
        bool hasOpenCall = false; ///< A read or an order is in progress.
        bool isOpenCallStale = false; ///< The call is of an earlier grant or incarnation.
        bool wasRead = false; ///< A read ended under this grant, with or without success.
        bool isReadCurrent = false; ///< No order was sent since \c lastRead.
        base::TimePoint nextReadAt;
        base::TimePoint nextOrderAt;
        base::Millis readBackoff{0};
        base::Millis orderBackoff{0};
        Hold hold = Hold::None;
    };

    /// Resets all progress for a new fencing token.
    void startGrant(const LeaseGrant &grant, base::TimePoint now);
    /// Clears everything except the engine itself and the fact that a call is in progress.
    static void resetProgress(EngineProgress &progress, base::TimePoint now);
    /// Ends the call in progress. Returns null if its outcome must be ignored.
    EngineProgress *endCall(const base::UpstreamId &engine, base::TimePoint now);
    void addReads(std::vector<OrderAction> &actions, base::TimePoint now);
    void addOrders(std::vector<OrderAction> &actions, const LeaseGrant &grant, base::TimePoint now);
    /// Adds the order that the engine needs, or an OrderHeld event if it may not be sent yet.
    void planOrder(std::vector<OrderAction> &actions, EngineProgress &progress,
                   const Assignment &assignment, const LeaseGrant &grant, base::TimePoint now);
    void addOrder(std::vector<OrderAction> &actions, EngineProgress &progress,
                  const Assignment &assignment, const LeaseGrant &grant, base::TimePoint now);
    bool isUpToDate(const EngineProgress &progress, const Assignment &assignment,
                    const LeaseGrant &grant) const;
    bool checksFencing(const EngineProgress &progress, const Assignment &assignment) const;
    Hold findHold(const EngineProgress &progress, const Assignment &assignment,
                  const LeaseGrant &grant, base::TimePoint now);
    bool needsLoad(const EngineProgress &progress, const EngineTarget &target) const;
    int loadingEngineCount() const;
    TokenBucket &deploymentBucket(const std::string &deployment, base::TimePoint now);
    std::vector<EngineView> engineViews() const;
    bool hasReadAllEngines() const;
    base::TimePoint nextRetryAt(base::Millis &backoff, base::TimePoint now);

    base::DataCentreId m_dataCentre;
    LoadLimits m_limits;
    base::Rng m_rng;
    std::shared_ptr<const records::Catalogue> m_catalogue;
    std::map<base::UpstreamId, EngineProgress> m_engines;
    Assignments m_assignments;
    std::optional<TokenBucket> m_loadBucket;
    std::map<std::string, TokenBucket> m_deploymentBuckets;
    std::int64_t m_fencingToken = 0; ///< Token of the grant last passed to nextActions().
    std::size_t m_openCallCount = 0;
};

} // namespace hyssop::orders
