/// Orders to engines: who may give them, which engine gets which, and when.
///
/// Everything here decides without I/O: the present time is an argument, and random numbers come
/// from a seed. An object belongs to one thread.
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

/// Time bounds that all hosts of a data centre must share, which is why they are no settings.
inline constexpr base::Millis kLeaseDuration{9'000};
/// Part of the lease that its holder leaves unused, for clocks that run at unlike rates.
inline constexpr base::Millis kLeaseMargin{1'000};
/// Time limit of one order: the longest that one may be under way to its engine.
inline constexpr base::Millis kOrderLimit{2'000};

/// A lease as its holder may use it.
struct LeaseGrant
{
    std::int64_t fencing = 0;
    base::TimePoint firstGrantedAt; ///< This number was first granted.
    base::TimePoint validUntil; ///< No order may leave later.
};

/// The right to give orders in one data centre, by this host's monotonic clock.
///
/// The lease counts from the moment it was asked for, so it ends here before it ends in the log.
class OrderLease
{
public:
    /// Time between two questions of the holder, and of the host that is first in line.
    static constexpr base::Millis kRenewRequestInterval{3'000};
    /// Time between two questions of the other hosts, which step in where the first cannot.
    static constexpr base::Millis kStandbyRequestInterval{60'000};

    OrderLease(std::uint64_t seed, base::TimePoint now);

    /// Whether to ask the log for the lease now; asked() is then to follow.
    bool isDue(bool isFirstInLine, base::TimePoint now) const;
    void asked(base::TimePoint now);
    bool isAsking() const { return m_isRequestPending; }
    void granted(std::int64_t fencing, base::TimePoint now);
    /// Another host holds it.
    void refused();
    /// The log gave no answer.
    void failed();
    /// Gives no more orders until the log has granted the lease again.
    void stepBack();
    std::optional<LeaseGrant> held(base::TimePoint now) const;

private:
    LeaseGrant m_grant;
    base::Rng m_rng;
    base::TimePoint m_requestedAt; ///< Or, before the first question, the start.
    base::Millis m_jitter{0};
    bool m_isRequestPending = false;
    bool m_isRequestDueNow = false;
};

/// What an engine is to serve, or serves.
struct EngineTarget
{
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;

    bool operator==(const EngineTarget &other) const = default;
    bool hasSameWeights(const EngineTarget &other) const;
};

EngineTarget targetOf(const records::DeploymentSpec &spec);

/// An engine as it announces itself.
struct Engine
{
    base::UpstreamId id;
    base::Incarnation incarnation;
    std::string role;
    std::vector<std::string> models;
    bool checksFencing = false;
    bool isLeaving = false;
};

/// What an engine answers when it is asked for its desired state.
struct ReadBack
{
    EngineTarget desired;
    EngineTarget loaded;

    bool isLoading() const { return !desired.hasSameWeights(loaded); }
};

/// Bounds on loads from the weight store, for a whole data centre.
struct LoadLimits
{
    int atOnce = 2;
    int perMinute = 30;
};

/// Allows a number of events a minute, and a burst after a pause.
class TokenBucket
{
public:
    /// \a level is the number of tokens to begin with.
    TokenBucket(int perMinute, int burst, int initialTokens, base::TimePoint now);

    bool hasToken(base::TimePoint now) const;
    /// Only after hasToken() has said yes.
    void take(base::TimePoint now);
    int perMinute() const { return m_perMinute; }

private:
    double tokensAt(base::TimePoint now) const;

    int m_perMinute;
    double m_burst;
    double m_tokens;
    base::TimePoint m_updatedAt;
};

/// What is known of an engine when deployments are assigned to engines.
struct EngineView
{
    Engine engine;
    std::optional<EngineTarget> desired; ///< Last order given or read back; empty: not known.
    std::optional<EngineTarget> loaded;

    /// Whether it serves a route's model and role now.
    bool serves(const records::RouteSpec &route) const;
    /// Whether it holds what it was told to.
    bool isConverged() const { return desired && loaded && *desired == *loaded; }
};

struct Assignment
{
    std::string deployment;
    EngineTarget target;

    bool operator==(const Assignment &other) const = default;
};

struct Assignments
{
    std::map<base::UpstreamId, Assignment> engines;
    /// Engines still wanted by each deployment that has too few.
    std::map<std::string, int> missing;
    /// Deployments that get no further engine so that a route keeps its last one.
    std::set<std::string> heldByRoutes;
};

/// Assigns the deployments of one data centre to its engines.
///
/// Engines that were told so already stay. Others are chosen where least is lost, and never the
/// last steady engine of a route in force, unless the record allows it.
Assignments assign(const base::DataCentreId &dataCentre, const records::Catalogue &catalogue,
                   const std::vector<EngineView> &engines);

/// Why an order that is due is not given yet.
enum class Hold {
    None,
    FormerHolder, ///< The engine ignores numbers, and an order of the former holder may come late.
    LoadsAtOnce,
    LoadRate,
    DeploymentLoadRate,
    Backoff, ///< An earlier order failed.
};

std::string_view holdName(Hold hold);

enum class OrderResult {
    Accepted,
    OldFencing, ///< The engine has taken an order with a higher number.
    Refused, ///< The engine answered with another error.
    Failed, ///< No answer; it may have arrived.
};

std::string_view orderResultName(OrderResult result);

/// Ask an engine for its desired state.
struct ReadState
{
    base::UpstreamId engine;
};

struct GiveOrder
{
    base::UpstreamId engine;
    std::int64_t fencing = 0;
    Assignment assignment;
    base::TimePoint before; ///< No byte of the order may leave later.
};

/// An order is due and waits for \c hold; told once.
struct OrderHeld
{
    base::UpstreamId engine;
    std::string deployment;
    Hold hold = Hold::None;
};

/// An engine told again what it had accepted: something else overrode it.
struct OrderOverridden
{
    base::UpstreamId engine;
};

using Action = std::variant<ReadState, GiveOrder, OrderHeld, OrderOverridden>;

/// One engine in a report.
struct EngineReport
{
    base::UpstreamId id;
    std::string deployment; ///< Empty: none.
    std::optional<EngineTarget> target;
    std::optional<ReadBack> state; ///< Last read back; empty: not known.
    Hold hold = Hold::None;
};

struct DeploymentReport
{
    std::string name;
    int replicas = 0; ///< Wanted.
    int assigned = 0;
    int serving = 0; ///< Engines that have loaded what is wanted.
    bool isHeldByRoutes = false;
};

struct Report
{
    std::vector<DeploymentReport> deployments;
    std::vector<EngineReport> engines;
};

/// Decides which orders to give while the lease is held: desired state is given, read back, and
/// given again until it agrees.
class OrderPlanner
{
public:
    /// Time between readings of an engine that does not agree yet, and of one that does.
    static constexpr base::Millis kUnconvergedReadInterval{500};
    static constexpr base::Millis kConvergedReadInterval{15'000};
    static constexpr base::Millis kFirstBackoff{500};
    static constexpr base::Millis kMaxBackoff{30'000};
    /// Calls to engines under way at once.
    static constexpr std::size_t kMaxOpenCalls = 32;

    OrderPlanner(base::DataCentreId dataCentre, LoadLimits limits, std::uint64_t seed);

    void setCatalogue(std::shared_ptr<const records::Catalogue> catalogue);
    /// Whether there is anything to order in this data centre.
    bool isNeeded() const;
    /// Engines of the data centre that are there now.
    void setEngines(const std::vector<Engine> &engines, base::TimePoint now);

    /// Actions to take now; each ReadState and GiveOrder is answered once by readDone() or
    /// orderDone().
    std::vector<Action> next(const std::optional<LeaseGrant> &grant, base::TimePoint now);
    void readDone(const base::UpstreamId &engine, const std::optional<ReadBack> &state,
                  base::TimePoint now);
    void orderDone(const base::UpstreamId &engine, OrderResult result, base::TimePoint now);

    Report report() const;

private:
    struct EngineProgress
    {
        Engine engine;
        std::optional<ReadBack> lastRead; ///< Last read back under this grant.
        std::optional<EngineTarget> pendingTarget; ///< Given and not read back yet.
        std::optional<Assignment> acceptedOrder; ///< Last order that the engine accepted.
        std::int64_t acceptedFencingToken = 0;
        bool hasOpenCall = false; ///< A call to it is under way.
        bool isOpenCallStale =
                false; ///< That call belongs to an earlier grant or start of the engine.
        bool wasRead = false; ///< Under this grant.
        bool isReadCurrent = false; ///< The state was read after the last order.
        base::TimePoint nextReadAt;
        base::TimePoint nextOrderAt;
        base::Millis readBackoff{0};
        base::Millis orderBackoff{0};
        Hold hold = Hold::None;
    };

    void startGrant(const LeaseGrant &grant, base::TimePoint now);
    /// Forgets all but the engine itself and that a call is under way.
    static void resetProgress(EngineProgress &progress, base::TimePoint now);
    /// Ends the call under way; null when its answer no longer counts.
    EngineProgress *endCall(const base::UpstreamId &engine, base::TimePoint now);
    void addReads(std::vector<Action> &actions, base::TimePoint now);
    void addOrders(std::vector<Action> &actions, const LeaseGrant &grant, base::TimePoint now);
    void planOrder(std::vector<Action> &actions, EngineProgress &progress,
                   const Assignment &assignment, const LeaseGrant &grant, base::TimePoint now);
    void addOrder(std::vector<Action> &actions, EngineProgress &progress,
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
    std::int64_t m_fencingToken = 0; ///< Of the grant last used.
    std::size_t m_openCallCount = 0;
};

} // namespace hyssop::orders
