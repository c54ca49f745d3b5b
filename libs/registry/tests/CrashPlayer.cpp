#include "CrashPlayer.h"

#include <algorithm>

namespace hyssop::registry {

using base::Millis;
using dispatch::CallId;

namespace {

const base::ServiceId kService("model");
constexpr Millis kNetworkDelay{1};
constexpr Millis kTick{20};
constexpr Millis kWatchInterval{500};
constexpr Millis kPublishInterval{50};
/// From the arrival of a call to its first event, between two events, and to its last one.
constexpr Millis kFirstEvent{60};
constexpr Millis kGap{100};
constexpr Millis kRunTime{860};
/// From the arrival of a call with a deadly part to the crash.
constexpr Millis kCrashDelay{85};
constexpr Millis kCallerTimeout{5'000};
constexpr int kCommonParts = 5;

fleet::Fingerprint partOf(std::int64_t id)
{
    return fleet::fingerprintOf(kService, {"part", std::to_string(id)});
}

} // namespace

int CrashOutcome::arrivalsAfter(std::size_t part, base::TimePoint from) const
{
    const auto &arrivals = deadlyParts[part].arrivals;
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                          [from](base::TimePoint it) { return it > from; }));
}

std::vector<CrashOutcome::Call> CrashOutcome::soundCalls(base::TimePoint from) const
{
    std::vector<Call> sound;
    std::copy_if(calls.begin(), calls.end(), std::back_inserter(sound),
                 [from](const Call &it) { return !it.deadlyPart && it.sentAt >= from; });
    return sound;
}

CrashPlayer::CrashPlayer(CrashScenario scenario)
    : VirtualTime(kStart)
    , m_scenario(std::move(scenario))
    , m_rng(m_scenario.seed)
{
    m_outcome.deadlyParts.resize(m_scenario.deadlyPerSecond.size());
    for (int n = 0; n < m_scenario.upstreamCount; ++n) {
        Upstream upstream;
        upstream.info.id = base::UpstreamId(std::to_string(n));
        upstream.info.service = kService;
        upstream.info.address = {"127.0.0.1", static_cast<std::uint16_t>(8'000 + n)};
        upstream.info.dataCentre = base::DataCentreId("a");
        upstream.info.incarnation = base::Incarnation(++m_lastStart);
        upstream.info.slots = 16;
        m_upstreams.push_back(std::move(upstream));
    }
    m_hosts.resize(static_cast<std::size_t>(m_scenario.hostCount));
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        if (n == 0 && m_scenario.lateHostAt)
            m_hosts[n].isRunning = false;
        else
            startHost(n);
    }
}

void CrashPlayer::startHost(std::size_t host)
{
    dispatch::DispatcherOptions options;
    options.host = base::HostId("e" + std::to_string(host));
    options.dataCentre = base::DataCentreId("a");
    options.seed = m_rng();
    m_hosts[host].dispatcher = std::make_unique<dispatch::Dispatcher>(options);
    m_hosts[host].isRunning = true;
    handle(host, dispatch::ServicesChanged{{{kService, {}, {}, {}}}});
    handle(host, dispatch::PeerLoadSumReceived{{}, m_scenario.hostCount});
    for (const Upstream &it : m_upstreams) {
        if (it.isUp)
            handle(host, dispatch::UpstreamUpdated{it.info});
    }
    watch(host);
}

bool CrashPlayer::hasLeader() const
{
    return m_now < kStart + m_scenario.leaderLostFrom || m_now >= kStart + m_scenario.leaderLostTo;
}

bool CrashPlayer::isDeadlyNow() const
{
    return m_scenario.deadlyTo == Millis::max() || m_now < kStart + m_scenario.deadlyTo;
}

void CrashPlayer::scheduleCalls(double perSecond, std::optional<std::size_t> deadlyPart,
                                base::TimePoint from, base::TimePoint to)
{
    std::exponential_distribution<double> pause(perSecond);
    for (base::TimePoint at = from;;) {
        at += std::chrono::duration_cast<base::TimePoint::duration>(
                std::chrono::duration<double>(pause(m_rng)));
        if (at >= to)
            return;
        scheduleAt(at, [this, deadlyPart] { sendCall(deadlyPart); });
    }
}

CrashOutcome CrashPlayer::play()
{
    const base::TimePoint end = kStart + m_scenario.duration;
    scheduleCalls(m_scenario.soundPerSecond, {}, kStart, end);
    for (std::size_t n = 0; n < m_scenario.deadlyPerSecond.size(); ++n)
        scheduleCalls(m_scenario.deadlyPerSecond[n], n, kStart + m_scenario.deadlyFrom, end);
    for (const auto &[at, upstreams] : m_scenario.kills) {
        for (const int it : upstreams)
            scheduleAt(kStart + at, [this, it] { crash(static_cast<std::size_t>(it)); });
    }
    if (m_scenario.lateHostAt)
        scheduleAt(kStart + *m_scenario.lateHostAt, [this] { startHost(0); });
    if (m_scenario.leaderLostTo > Millis(0))
        scheduleAt(kStart + m_scenario.leaderLostTo, [this] {
            m_suspects = {};
            ++m_leader;
            for (std::size_t n = 0; n < m_hosts.size(); ++n)
                watch(n);
        });
    m_record.restore(replog::Term(m_leader), nullptr, m_suspects, m_now, wallMs());
    if (m_scenario.allKilledAt)
        scheduleAt(kStart + *m_scenario.allKilledAt, [this] { restartAll(); });
    for (base::TimePoint at = kStart; at < end + kCallerTimeout; at += kTick)
        scheduleAt(at, [this] {
            for (std::size_t n = 0; n < m_hosts.size(); ++n) {
                if (m_hosts[n].isRunning && m_hosts[n].dispatcher->nextTick() <= m_now) {
                    for (const auto &action : m_hosts[n].dispatcher->tick(m_now))
                        std::visit([&](const auto &it) { executeAction(n, it); }, action);
                }
            }
            if (hasLeader())
                m_suspects.tick(m_now);
            store();
            publish();
        });
    for (base::TimePoint at = kStart; at < end; at += kWatchInterval)
        scheduleAt(at, [this] {
            for (std::size_t n = 0; n < m_hosts.size(); ++n)
                watch(n);
        });
    while (runNext()) { }
    m_outcome.suspects = m_suspects.suspects(m_now).size();
    return m_outcome;
}

void CrashPlayer::sendCall(std::optional<std::size_t> deadlyPart)
{
    std::size_t host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_rng);
    if (!m_hosts[host].isRunning)
        host = m_hosts.size() - 1;
    if (deadlyPart && m_scenario.lateHostAt && m_hosts[0].isRunning)
        host = 0;
    dispatch::CallInfo info;
    m_outcome.calls.push_back({deadlyPart, host, m_now});
    info.id = CallId(static_cast<std::int64_t>(m_outcome.calls.size()));
    info.service = kService;
    info.isStream = true;
    info.isRetrySafe = true;
    info.maxAttempts = 2;
    info.arrivedAt = m_now;
    info.deadline = m_now + kCallerTimeout;
    info.latencyObjective = Millis(300);
    info.gapObjective = Millis(250);
    const std::int64_t common = std::uniform_int_distribution<int>(1, kCommonParts)(m_rng);
    if (!m_scenario.areWholeRequests)
        info.fingerprints = {partOf(0), partOf(common)};
    else if (!deadlyPart)
        info.fingerprints = {partOf(1'000'000 + info.id.count())};
    if (deadlyPart)
        info.fingerprints.push_back(partOf(100 + static_cast<std::int64_t>(*deadlyPart)));
    for (std::int64_t n = 0; n < m_scenario.sharedPartCount; ++n)
        info.fingerprints.push_back(partOf(10'000 + n));
    for (std::int64_t n = 0; n < m_scenario.ownPartCount; ++n)
        info.fingerprints.push_back(
                partOf(100'000'000 + info.id.count() * m_scenario.ownPartCount + n));
    // The last one is that of the whole request.
    if (m_scenario.sharedPartCount + m_scenario.ownPartCount > 0)
        info.fingerprints.push_back(partOf(-info.id.count()));
    m_attempts[info.id] = {host, 0, 0, {}};
    handle(host, dispatch::CallArrived{info});
}

void CrashPlayer::handle(std::size_t host, const dispatch::Event &event)
{
    if (!m_hosts[host].isRunning)
        return;
    for (const dispatch::Action &action : m_hosts[host].dispatcher->handle(event, m_now))
        std::visit([&](const auto &it) { executeAction(host, it); }, action);
}

bool CrashPlayer::isCurrent(CallId call, int attempt) const
{
    return m_attempts.at(call).number == attempt;
}

void CrashPlayer::executeAction(std::size_t, const dispatch::SendAttempt &action)
{
    Attempt &attempt = m_attempts.at(action.call);
    ++attempt.number;
    attempt.upstream = static_cast<std::size_t>(action.upstream.address.port - 8'000);
    attempt.incarnation = action.upstream.incarnation;
    scheduleAt(m_now + kNetworkDelay,
               [this, action, number = attempt.number] { arrive(action, number); });
}

void CrashPlayer::arrive(const dispatch::SendAttempt &action, int number)
{
    const CallId call = action.call;
    if (!isCurrent(call, number))
        return;
    const Attempt &attempt = m_attempts.at(call);
    Upstream &upstream = m_upstreams[attempt.upstream];
    if (!upstream.isUp || upstream.info.incarnation != attempt.incarnation) {
        scheduleAt(m_now + kNetworkDelay, [this, call, number] {
            failAttempt(call, number, dispatch::AttemptFault::NotSent);
        });
        return;
    }
    upstream.calls.insert(call);
    const auto deadlyPart = m_outcome.calls[static_cast<std::size_t>(call.count() - 1)].deadlyPart;
    if (deadlyPart)
        m_outcome.deadlyParts[*deadlyPart].arrivals.push_back(m_now);
    if (deadlyPart && isDeadlyNow()) {
        scheduleAt(m_now + kCrashDelay, [this, call, number, at = attempt.upstream, deadlyPart] {
            if (!isCurrent(call, number))
                return;
            m_outcome.deadlyParts[*deadlyPart].crashes.push_back(m_now);
            crash(at);
        });
        return;
    }
    if (std::bernoulli_distribution(m_scenario.resetShare)(m_rng)) {
        scheduleAt(m_now + kFirstEvent * 2, [this, call, number] {
            failAttempt(call, number, dispatch::AttemptFault::AnswerLost);
        });
    }
    const base::TimePoint endsAt = m_now + kRunTime;
    scheduleAt(m_now + kFirstEvent,
               [this, call, number, endsAt] { continueStream(call, number, endsAt); });
}

void CrashPlayer::continueStream(CallId call, int number, base::TimePoint endsAt)
{
    if (!isCurrent(call, number))
        return;
    const Attempt &attempt = m_attempts.at(call);
    handle(attempt.host, dispatch::AnswerProgressed{call});
    if (m_now < endsAt) {
        scheduleAt(m_now + kGap,
                   [this, call, number, endsAt] { continueStream(call, number, endsAt); });
        return;
    }
    m_upstreams[attempt.upstream].calls.erase(call);
    m_outcome.calls[static_cast<std::size_t>(call.count() - 1)].isServed = true;
    handle(attempt.host, dispatch::AttemptSucceeded{call});
    ++m_attempts.at(call).number;
}

void CrashPlayer::failAttempt(CallId call, int number, dispatch::AttemptFault fault)
{
    if (!isCurrent(call, number))
        return;
    Attempt &attempt = m_attempts.at(call);
    ++attempt.number;
    m_upstreams[attempt.upstream].calls.erase(call);
    handle(attempt.host, dispatch::AttemptFailed{call, fault});
}

void CrashPlayer::executeAction(std::size_t, const dispatch::CancelAttempt &action)
{
    Attempt &attempt = m_attempts.at(action.call);
    ++attempt.number;
    m_upstreams[attempt.upstream].calls.erase(action.call);
}

void CrashPlayer::executeAction(std::size_t, const dispatch::RejectCall &action)
{
    if (action.reason == dispatch::FailureReason::Quarantined)
        m_outcome.calls[static_cast<std::size_t>(action.call.count() - 1)].isQuarantined = true;
}

void CrashPlayer::crash(std::size_t upstream)
{
    Upstream &it = m_upstreams[upstream];
    if (!it.isUp)
        return;
    it.isUp = false;
    for (const CallId call : std::exchange(it.calls, {})) {
        scheduleAt(m_now + kNetworkDelay, [this, call, number = m_attempts.at(call).number] {
            failAttempt(call, number, dispatch::AttemptFault::AnswerLost);
        });
    }
    scheduleAt(m_now + kDownTime, [this, upstream] { restart(upstream); });
}

void CrashPlayer::restart(std::size_t upstream)
{
    Upstream &it = m_upstreams[upstream];
    const base::UpstreamId former = it.info.id;
    it.isUp = true;
    it.info.incarnation = base::Incarnation(++m_lastStart);
    if (!m_scenario.keepsIds)
        it.info.id = base::UpstreamId(former.text() + "+");
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        if (it.info.id != former)
            handle(n, dispatch::UpstreamRemoved{former});
        handle(n, dispatch::UpstreamUpdated{it.info});
    }
}

void CrashPlayer::executeAction(std::size_t host, const dispatch::ProbeUpstream &action)
{
    const fleet::Upstream upstream = action.upstream;
    scheduleAt(m_now + 2 * kNetworkDelay, [this, host, upstream] {
        const auto n = static_cast<std::size_t>(upstream.address.port - 8'000);
        handle(host,
               dispatch::UpstreamProbed{upstream.id, upstream.incarnation, !m_upstreams[n].isUp});
    });
}

fleet::TrialKey CrashPlayer::keyOf(std::size_t host, CallId call) const
{
    return {base::HostId("e" + std::to_string(host)), 1, call.count()};
}

void CrashPlayer::executeAction(std::size_t host, const dispatch::ReportCrash &action)
{
    fleet::CrashEvidence evidence;
    evidence.crashes = {action.report};
    if (action.trial)
        evidence.endedTrial = keyOf(host, *action.trial);
    sendEvidence(host, evidence, m_now);
}

void CrashPlayer::executeAction(std::size_t host, const dispatch::ReportAnswered &action)
{
    fleet::CrashEvidence evidence;
    evidence.answered = action.fingerprints;
    sendEvidence(host, evidence, m_now);
}

void CrashPlayer::executeAction(std::size_t host, const dispatch::EndTrial &action)
{
    fleet::CrashEvidence evidence;
    evidence.endedTrial = keyOf(host, action.call);
    sendEvidence(host, evidence, m_now);
}

void CrashPlayer::sendEvidence(std::size_t host, const fleet::CrashEvidence &evidence,
                               base::TimePoint createdAt)
{
    scheduleAt(m_now + kNetworkDelay, [this, host, evidence, createdAt] {
        if (!hasLeader()) {
            m_hosts[host].keptEvidence.emplace_back(createdAt, evidence);
            return;
        }
        fleet::CrashEvidence message = evidence;
        for (fleet::CrashReport &it : message.crashes)
            it.addAge(std::chrono::floor<Millis>(m_now - createdAt));
        ++m_outcome.reports;
        std::size_t contents = message.answered.size() + message.suspects.size();
        for (const fleet::CrashReport &it : message.crashes)
            contents += it.contents.size();
        m_outcome.largestReport = std::max(m_outcome.largestReport, contents);
        m_suspects.report(message, m_now);
        publish();
    });
}

void CrashPlayer::executeAction(std::size_t host, const dispatch::RequestTrial &action)
{
    const auto reply = [this, host, call = action.call](const fleet::TrialReply &it,
                                                        bool isControl) {
        scheduleAt(m_now + kNetworkDelay, [this, host, call, it, isControl] {
            handle(host, dispatch::TrialDecided{call, isControl, it});
        });
    };
    scheduleAt(m_now + kNetworkDelay, [this, host, action, reply] {
        if (!hasLeader())
            return reply({}, false);
        m_suspects.requestTrial(
                {keyOf(host, action.call), action.service, action.fingerprints, action.maxWait},
                [reply](const fleet::TrialReply &it) { reply(it, true); }, m_now);
        publish();
    });
}

void CrashPlayer::publish()
{
    if (!hasLeader() || m_suspects.revision() == m_publishedRevision || m_now < m_nextPublishAt)
        return;
    m_publishedRevision = m_suspects.revision();
    m_nextPublishAt = m_now + kPublishInterval;
    for (std::size_t n = 0; n < m_hosts.size(); ++n)
        watch(n);
}

std::int64_t CrashPlayer::wallMs() const
{
    return std::chrono::floor<Millis>(m_now.time_since_epoch()).count();
}

void CrashPlayer::store()
{
    if (!hasLeader())
        return;
    if (const auto text = m_record.takeDue(m_suspects, m_now, wallMs())) {
        m_stored = ledger::StoredCrashSuspects{*text, wallMs()};
        m_record.onStored(true);
    }
}

void CrashPlayer::restartAll()
{
    m_suspects = {};
    m_record = {};
    ++m_leader;
    m_record.restore(replog::Term(m_leader), m_stored ? &*m_stored : nullptr, m_suspects, m_now,
                     wallMs());
    for (auto &[call, attempt] : m_attempts)
        ++attempt.number; // Calls end with their hosts.
    for (Upstream &it : m_upstreams)
        it.calls.clear();
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        m_hosts[n] = {};
        startHost(n);
    }
}

void CrashPlayer::watch(std::size_t host)
{
    Host &it = m_hosts[host];
    if (!hasLeader() || !it.isRunning)
        return;
    for (const auto &[createdAt, evidence] : std::exchange(it.keptEvidence, {}))
        sendEvidence(host, evidence, createdAt);
    fleet::CrashEvidence known;
    if (std::exchange(it.informedLeader, m_leader) != m_leader)
        known.suspects = it.dispatcher->crashSuspects(m_now);
    const bool isComplete = known.suspects.empty();
    if (!isComplete)
        sendEvidence(host, known, m_now);
    const auto suspects = m_suspects.suspects(m_now);
    scheduleAt(m_now + kNetworkDelay, [this, host, suspects, isComplete, at = m_now] {
        handle(host, dispatch::CrashSuspectsReceived{suspects, at, isComplete});
    });
}

} // namespace hyssop::registry
