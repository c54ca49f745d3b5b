#pragma once

#include "dispatch/Dispatch.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hyssop::dispatch {

/// How hosts lose their links to upstreams.
enum class LinkLoss {
    Silent, ///< Connections are made and stay open, and nothing passes.
    Hanging, ///< Open connections fall silent, and no new one is made.
    Reset, ///< Connections are reset, new ones once a request was sent.
    Refused, ///< Some open connections go on, new ones are refused.
};

/// Calls a second at each host.
struct CallRates
{
    double streams = 0; ///< May be resumed.
    double lookups = 0; ///< May be repeated.
    double bookings = 0; ///< May not be repeated.
};

struct LinkPlan
{
    std::size_t hosts = 7;
    double cutShare = 0.4; ///< Of the hosts of all data centres.
    bool isDataCentreCut = false; ///< All hosts of one data centre are cut off instead.
    LinkLoss loss = LinkLoss::Silent;
    CallRates rates;
    std::uint64_t seed = 1;
    /// From the time of the cut on all upstreams are silent for so long, to all hosts, and go on.
    base::Millis pause{0};
    /// While hosts would be cut off all upstreams begin to answer so much later, to all hosts.
    base::Millis delay{0};
};

struct CallCount
{
    int sent = 0;
    int served = 0;

    double share() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

/// Calls by the time at which they were sent.
struct LinkOutcome
{
    CallCount cutAtFirst; ///< At hosts that are cut off, until the bound for knowing a fact.
    CallCount cutLater;
    CallCount afterwards; ///< At these hosts, from a while after the end of the cut.
    CallCount others; ///< At the other hosts, all the time.
    CallCount slow; ///< At all hosts, while the upstreams pause or are late.
    int repeatedBookings = 0;
    int falselyRefused = 0; ///< Calls that ran and were rejected as not run.
    int probes = 0; ///< Before the cut.
    /// Of the calls of cutLater that were not served, those that came while their host held its
    /// links for sound.
    int failedUnaware = 0;
    int declinedRelays = 0;
    int deniedRetries = 0;
};

/// Plays hosts of which some lose their links for a while, in virtual time with their dispatchers.
/// Upstreams, connections and callers are reduced to the times at which something happens.
class LinkPlay
{
public:
    explicit LinkPlay(const LinkPlan &plan);
    LinkOutcome run();

private:
    enum class Kind { Stream, Lookup, Booking };
    using CallKey = std::pair<std::size_t, CallId>; ///< A host and its call.

    struct Host
    {
        std::unique_ptr<Dispatcher> dispatcher;
        bool isCut = false;
        base::TimePoint nextTick = base::TimePoint::max();
        std::int64_t lastCall = 0;
        std::set<base::ServiceId> lostServices;
        std::vector<std::size_t> peers; ///< That exchange their loads with it.
        bool isSilent = true; ///< It has told them last that it reaches all services.
    };

    /// What a caller sent, and what became of it.
    struct Request
    {
        std::size_t host = 0;
        Kind kind = Kind::Stream;
        base::TimePoint sentAt;
        base::TimePoint deadline;
        base::TimePoint lastEventAt;
        int runs = 0;
        bool isOver = false;
        bool isServed = false;
        bool isRefused = false;
        bool isHostAware = false; ///< That its links are lost, when the request came.
    };

    /// A request at one host.
    struct Call
    {
        std::size_t request = 0;
        CallInfo info;
        int attempt = 0; ///< The current one; 0 without one.
        int stalled = 0;
        int relayedBy = 0; ///< Attempt of the host that relayed it; 0 when a caller sent it.
    };

    /// An attempt at an upstream, or a relay to another host.
    struct Attempt
    {
        CallKey call;
        std::optional<CallKey> relayed; ///< At the other host.
        bool isSilent = false;
    };

    void at(base::TimePoint time, std::function<void()> run);
    void handle(std::size_t host, const Event &event);
    void execute(std::size_t host, const Actions &actions);
    void scheduleTick(std::size_t host);
    void sendCalls(std::size_t host, Kind kind, double perSecond);
    void arrive(std::size_t host, Kind kind);
    void watchCaller(const CallKey &key);
    /// When an upstream goes on that would do so at a time if it did not pause.
    base::TimePoint answerAt(base::TimePoint time) const;
    /// How much later than usual upstreams begin to answer what is sent now.
    base::Millis delay() const;
    void attempt(std::size_t host, const SendAttempt &action);
    void relay(std::size_t host, const RelayCall &action);
    void probe(std::size_t host, const ProbeLink &action);
    void runAttempt(int id, int eventsLeft);
    void failAttempt(int id, AttemptFault fault);
    /// The call of an attempt that has a part of an answer. A stalled attempt goes on with it.
    std::optional<CallKey> answeringCall(int id);
    void progress(int id);
    void succeed(int id);
    void endAttempt(int id);
    void end(const CallKey &key, bool isServed, const RejectCall *rejection);
    /// Tells the peers of a host which services it does not reach.
    void sendStatement(std::size_t host);
    void cut(bool isCut);
    Call *findCall(const CallKey &key);
    bool isLost(std::size_t host) const { return m_hosts[host].isCut; }

    LinkPlan m_plan;
    base::Rng m_rng;
    base::TimePoint m_now;
    std::multimap<base::TimePoint, std::function<void()>> m_events;
    std::vector<Host> m_hosts;
    std::vector<Request> m_requests;
    std::map<CallKey, Call> m_calls;
    std::map<int, Attempt> m_attempts;
    int m_lastAttempt = 0;
    int m_probes = 0;
    int m_declinedRelays = 0;
    int m_deniedRetries = 0;
    std::set<std::size_t> m_cutHosts;
};

} // namespace hyssop::dispatch
