#include "Checks.h"

#include "Manifests.h"

#include <fmt/format.h>

namespace hyssop::platformsoak {

using harness::Promise;

namespace {

/// Bounds of the settings that the programs run with.
constexpr base::Millis kRevokeBound{5'000};
constexpr base::Millis kConfigurationBound{2'000};
constexpr base::Millis kDrainBound{2'000};
/// After a fault a host is in touch again this much later.
constexpr base::Millis kContact{3'000};
/// An answer may be that late; the machine is shared.
constexpr base::Millis kLateness{500};
/// The fault proxy accepts connections to a replica that is down, so that a crash shows only when
/// the replica is announced again.
constexpr base::Millis kCrashKnown{3'500};
/// Crashes after which the arrivals of requests that cause them are counted, and those allowed.
constexpr std::size_t kPartCrashes = 5;
constexpr std::size_t kRequestCrashes = 3;
constexpr int kDeadlyArrivals = 3;
/// A connection may close that soon after a request was sent on it, if the request is not passed
/// on.
constexpr base::Millis kLossSlack{200};
/// Part of its time after which a request may end beside a manifest, in percent.
constexpr int kLatePart = 70;
/// Requests that come later than this into a stop may be refused or cut.
constexpr base::Millis kStopNotice{1'000};

/// Statuses that promise that the request has not run.
bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string text(const CallRecord &it)
{
    return fmt::format("{} at {}: status {}, whole {}, after {} ms of {} ms", it.id, it.entry,
                       it.status, it.isWhole,
                       std::chrono::floor<base::Millis>(it.endedAt - it.sentAt).count(),
                       it.deadline.count());
}

} // namespace

Checks::Checks(const History *history, std::vector<harness::Run> runs,
               std::vector<harness::ReplicaTraffic> traffic,
               std::vector<harness::ReplicaCrash> crashes, harness::Scorecard *scorecard)
    : m_history(history)
    , m_runs(std::move(runs))
    , m_traffic(std::move(traffic))
    , m_crashes(std::move(crashes))
    , m_scorecard(scorecard)
{
    for (const harness::Run &it : m_runs)
        m_byRequest.emplace(it.request, &it);
    for (const CallRecord &it : m_history->calls())
        m_calls[it.id] = &it;
    for (const harness::ReplicaTraffic &it : m_traffic) {
        const std::size_t slash = it.replica.find('/');
        m_placeOf[it.replica.substr(slash + 1)] = it.replica.substr(0, slash);
    }
}

bool Checks::isDisturbed(const std::string &target, base::TimePoint from, base::TimePoint to) const
{
    return std::any_of(
            m_history->faults().begin(), m_history->faults().end(), [&](const FaultRecord &it) {
                const bool isMet = target.empty() || it.target == target;
                return isMet && !it.isPlanned && it.from <= to && it.to + kContact >= from;
            });
}

bool Checks::isAnyHostDisturbed(base::TimePoint from, base::TimePoint to) const
{
    return std::any_of(m_history->faults().begin(), m_history->faults().end(),
                       [&](const FaultRecord &it) {
                           return !it.target.starts_with("replica") && it.from <= to
                                  && it.to + kContact >= from;
                       });
}

bool Checks::isCutFromCaller(const CallRecord &call) const
{
    return std::any_of(m_history->faults().begin(), m_history->faults().end(),
                       [&call](const FaultRecord &it) {
                           return it.target == call.entry && !it.isPlanned && !it.reachesCallers
                                  && it.from <= call.endedAt && it.to >= call.sentAt;
                       });
}

bool Checks::isFaultOfReplica(const harness::Run &run, const CallRecord &call) const
{
    const auto isCrash = [&](const harness::ReplicaCrash &it) {
        return it.replica == run.replica && it.at + kContact >= call.sentAt
               && it.at <= call.endedAt + kContact;
    };
    const auto place = m_placeOf.find(run.replica);
    return run.isBrokenOff || std::any_of(m_crashes.begin(), m_crashes.end(), isCrash)
           || place == m_placeOf.end() || isDisturbed(place->second, call.sentAt, call.endedAt);
}

bool Checks::hasAllowedEnd(const CallRecord &call) const
{
    const auto runs = runsOf(call.id);
    const auto elapsed = call.endedAt - call.sentAt;
    const bool isAtStop = isAtPlannedWork(call);
    if (call.isWhole)
        return true;
    if (runs.empty())
        return !isAtStop && elapsed <= kLossSlack;
    const base::Millis limit = std::min(call.deadline, leastTimeout(call.kind));
    const bool isOutOfTime = elapsed >= limit - kLossSlack;
    // Manifests come all the time. Beside them, a request that has used most of its time may end.
    const bool isLate = !isAtStop && elapsed >= limit * kLatePart / 100;
    return isOutOfTime || isLate
           || std::any_of(runs.begin(), runs.end(),
                          [&](const harness::Run *it) { return isFaultOfReplica(*it, call); });
}

bool Checks::isAtPlannedWork(const CallRecord &call) const
{
    return std::any_of(
            m_history->faults().begin(), m_history->faults().end(), [&](const FaultRecord &it) {
                return it.target == call.entry && it.isPlanned
                       && call.sentAt <= it.from + kStopNotice && call.endedAt >= it.from;
            });
}

std::vector<const harness::Run *> Checks::runsOf(const std::string &request) const
{
    std::vector<const harness::Run *> runs;
    const auto [from, to] = m_byRequest.equal_range(request);
    for (auto it = from; it != to; ++it)
        runs.push_back(it->second);
    return runs;
}

void Checks::checkCalls()
{
    for (const CallRecord &it : m_history->calls()) {
        const auto runs = runsOf(it.id);
        if (it.status == 200)
            m_scorecard->check(Promise::OwnWholeAnswer, it.isOwn, text(it));
        if (promisesNotRun(it.status))
            m_scorecard->check(Promise::NotRunIsTrue, runs.empty(), text(it));
        if (it.kind == Kind::Booking)
            m_scorecard->check(Promise::AtMostOnce, runs.size() <= 1, text(it));
        if (!it.isConnected)
            continue;
        if (!isCutFromCaller(it))
            m_scorecard->check(Promise::EndsInTime, !it.isTimedOut, "no end: " + text(it));
        if (isDisturbed(it.entry, it.sentAt, it.endedAt))
            continue;
        // The connection closes too, when a stream that began cannot go on.
        m_scorecard->check(Promise::EndsInTime, it.endedAt <= it.sentAt + it.deadline + kLateness,
                           text(it));
        std::string at;
        for (const harness::Run *run : runs)
            at += (at.empty() ? ", ran at " : ", ") + run->replica;
        m_scorecard->check(Promise::GracefulStop, hasAllowedEnd(it), text(it) + at);
    }
}

std::vector<std::string> Checks::rateLimitExcesses(int &windows) const
{
    const auto hostOf = [this](const std::string &request) {
        const auto call = m_calls.find(request);
        return call == m_calls.end() ? std::string() : call->second->entry;
    };
    std::vector<std::string> lines;
    for (const harness::ReplicaTraffic &it : m_traffic) {
        const std::string place = it.replica.substr(0, it.replica.find('/'));
        // Delayed links bring requests of some time at once. Reloads excuse nobody.
        const auto isExcused = [&](const std::string &host, base::TimePoint at) {
            return std::any_of(m_history->faults().begin(), m_history->faults().end(),
                               [&](const FaultRecord &fault) {
                                   const bool isMet = fault.target == host || fault.target == place;
                                   return isMet && fault.from != fault.to && fault.from <= at
                                          && at <= fault.to + kContact;
                               });
        };
        windows += harness::countedWindows(it);
        if (const auto excess = harness::worstExcess(it, harness::CountedRequests::SentKnowingly,
                                                     hostOf, isExcused))
            lines.push_back(excess->text(m_history->calls().front().sentAt));
    }
    return lines;
}

std::vector<std::string> Checks::deadlyExcesses() const
{
    std::vector<std::string> lines;
    for (const auto &[kind, counted] :
         {std::pair(Kind::Chat, kPartCrashes), std::pair(Kind::Lookup, kRequestCrashes)}) {
        const auto isOfKind = [this, kind = kind](const std::string &request) {
            const auto call = m_calls.find(request);
            return call != m_calls.end() && call->second->isDeadly && call->second->kind == kind;
        };
        std::vector<base::TimePoint> times;
        for (const harness::ReplicaCrash &it : m_crashes) {
            if (isOfKind(it.request))
                times.push_back(it.at);
        }
        if (times.size() < counted)
            continue;
        const base::TimePoint from = times[counted - 1] + kContact + kCrashKnown;
        int arrived = 0;
        for (const harness::ReplicaTraffic &replica : m_traffic) {
            for (const auto &it : replica.arrivals) {
                if (it.at > from && isOfKind(it.request)
                    && !isAnyHostDisturbed(it.at - kContact - kCrashKnown, it.at))
                    ++arrived;
            }
        }
        if (arrived > kDeadlyArrivals)
            lines.push_back(fmt::format("{} requests of kind {} reached replicas after {} crashes",
                                        arrived, static_cast<int>(kind), times.size()));
    }
    return lines;
}

void Checks::checkLeaving()
{
    for (const LeaveRecord &left : m_history->leaves()) {
        for (const harness::Run &run : m_runs) {
            if (run.replica != left.replica || run.at <= left.at + kDrainBound + kLateness)
                continue;
            const auto call = m_calls.find(run.request);
            // A host that stood still or was cut off may not have heard of it.
            const bool isExcused = call == m_calls.end()
                                   || isDisturbed(call->second->entry, left.at - kContact, run.at)
                                   || isDisturbed("", left.at - kContact, run.at);
            if (!isExcused)
                m_scorecard->check(Promise::LeavingGetsNothing, false,
                                   run.request + " at " + run.replica);
        }
        m_scorecard->check(Promise::LeavingGetsNothing, true, "");
    }
}

void Checks::checkReads()
{
    for (const ReadRecord &read : m_history->reads()) {
        if (read.version == 0)
            continue;
        std::int64_t least = 0;
        for (const AckRecord &ack : m_history->acks()) {
            if (ack.at + kConfigurationBound <= read.askedAt)
                least = std::max(least, ack.version);
        }
        m_scorecard->check(Promise::ConfigurationHolds, read.version >= least,
                           fmt::format("read version {}, acknowledged {}", read.version, least));
    }
}

void Checks::checkKeys()
{
    // A team lives until the next version was acknowledged.
    std::map<std::string, base::TimePoint> takenAway;
    const auto &acks = m_history->acks();
    for (std::size_t n = 1; n < acks.size(); ++n)
        takenAway.emplace("team-" + std::to_string(acks[n - 1].version), acks[n].at);
    for (const harness::Run &run : m_runs) {
        const auto it = takenAway.find(run.team);
        if (it == takenAway.end())
            continue;
        const auto call = m_calls.find(run.request);
        const base::TimePoint sentAt = call == m_calls.end() ? run.at : call->second->sentAt;
        m_scorecard->check(Promise::ConfigurationHolds, sentAt <= it->second + kRevokeBound,
                           run.request + " of " + run.team + " ran after its key was taken away");
    }
}

} // namespace hyssop::platformsoak
