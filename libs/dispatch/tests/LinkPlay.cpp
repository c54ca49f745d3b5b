#include "LinkPlay.h"

#include <algorithm>
#include <cmath>

namespace hyssop::dispatch {

namespace {

using base::Millis;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr Millis kCutAt{4'000};
constexpr Millis kCut{12'000};
/// Bound of the settings on how long hosts may take to know a fact.
constexpr Millis kContact{3'000};
/// Links that are back are to be in use after this.
constexpr Millis kReturn{2'000};
constexpr Millis kAfterwards{4'000};
constexpr Millis kHop{1};
constexpr Millis kConnectTimeout{400};
constexpr Millis kLinkProbeTimeout{600};
constexpr Millis kFirstEvent{100};
constexpr Millis kEventInterval{60};
constexpr int kEvents = 30;
/// Callers give up a stream that pauses for longer.
constexpr Millis kPatience{2'000};
constexpr Millis kReportInterval{1'000};
constexpr std::size_t kMaxMeshHosts = 97;
/// Hosts of other data centres that a host knows beyond that.
constexpr std::size_t kDistantPeers = 8;
constexpr std::size_t kDataCentres = 3;
/// Chance that a call finds an open connection.
constexpr int kOpenPercent = 30;

const base::ServiceId kModel("model");
const base::ServiceId kPlain("plain");

base::DataCentreId dataCentreOf(std::size_t n)
{
    return base::DataCentreId(std::string(1, static_cast<char>('a' + n % kDataCentres)));
}

base::Endpoint endpointOf(std::size_t host)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(1'000 + host)};
}

std::size_t hostAt(const base::Endpoint &endpoint)
{
    return static_cast<std::size_t>(endpoint.port - 1'000);
}

fleet::Upstream upstream(const base::ServiceId &service, std::size_t n)
{
    fleet::Upstream it;
    it.id = base::UpstreamId(service.text() + std::to_string(n));
    it.service = service;
    it.address = {"127.0.0.2", static_cast<std::uint16_t>(8'000 + n)};
    it.dataCentre = dataCentreOf(n);
    it.slots = 1'000;
    return it;
}

} // namespace

LinkPlay::LinkPlay(const LinkPlan &plan)
    : m_plan(plan)
    , m_rng(plan.seed)
    , m_now(kStart)
{
    m_hosts.resize(plan.hosts);
    for (std::size_t n = 0; n < plan.hosts; ++n) {
        DispatcherOptions options;
        options.host = base::HostId("e" + std::to_string(n));
        options.dataCentre = dataCentreOf(n);
        options.seed = plan.seed * 1'000 + n;
        m_hosts[n].dispatcher = std::make_unique<Dispatcher>(options);
        handle(n, ServicesChanged{{{kModel, {}, {}, {}}, {kPlain, {}, {}, {}}}});
        for (std::size_t i = 0; i < std::max<std::size_t>(5, plan.hosts / 2); ++i)
            handle(n, UpstreamUpdated{upstream(kModel, i)});
        for (std::size_t i = 0; i < 4; ++i)
            handle(n, UpstreamUpdated{upstream(kPlain, i)});
        RelayPeersChanged peers;
        std::vector<std::size_t> others;
        for (std::size_t i = 0; i < plan.hosts; ++i) {
            if (i == n)
                continue;
            if (plan.hosts <= kMaxMeshHosts || dataCentreOf(i) == dataCentreOf(n)) {
                peers.peers.push_back({endpointOf(i), dataCentreOf(i)});
                m_hosts[n].peers.push_back(i);
            } else {
                others.push_back(i);
            }
        }
        std::shuffle(others.begin(), others.end(), m_rng);
        others.resize(std::min(others.size(), kDistantPeers));
        for (const std::size_t i : others)
            peers.peers.push_back({endpointOf(i), dataCentreOf(i)});
        handle(n, peers);
    }
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < plan.hosts; ++n) {
        if (!plan.isDataCentreCut || dataCentreOf(n) == dataCentreOf(0))
            order.push_back(n);
    }
    std::shuffle(order.begin(), order.end(), m_rng);
    if (!plan.isDataCentreCut)
        order.resize(static_cast<std::size_t>(
                std::ceil(plan.cutShare * static_cast<double>(plan.hosts))));
    m_cutHosts = {order.begin(), order.end()};
}

void LinkPlay::at(base::TimePoint time, std::function<void()> run)
{
    m_events.emplace(std::max(time, m_now), std::move(run));
}

LinkOutcome LinkPlay::run()
{
    const base::TimePoint cutAt = kStart + kCutAt;
    const base::TimePoint joinedAt = cutAt + kCut;
    const base::TimePoint end = joinedAt + kReturn + kAfterwards;
    LinkOutcome outcome;
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        sendCalls(n, Kind::Stream, m_plan.rates.streams);
        sendCalls(n, Kind::Lookup, m_plan.rates.lookups);
        sendCalls(n, Kind::Booking, m_plan.rates.bookings);
        for (base::TimePoint time = kStart; time < end; time += kReportInterval)
            at(time, [this, n] {
                handle(n, PeerLoadSumReceived{{}, static_cast<int>(m_hosts.size()), false});
                sendStatement(n);
            });
    }
    at(cutAt, [&] {
        outcome.probes = m_probes;
        cut(true);
    });
    at(joinedAt, [this] { cut(false); });
    while (!m_events.empty() && m_events.begin()->first < end + Millis(12'000)) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    outcome.declinedRelays = m_declinedRelays;
    outcome.deniedRetries = m_deniedRetries;
    const auto count = [](CallCount &counter, const Request &it) {
        ++counter.sent;
        counter.served += it.isServed ? 1 : 0;
    };
    for (const Request &it : m_requests) {
        const base::Millis slowFor = m_plan.delay > Millis(0) ? kCut : m_plan.pause;
        if (it.sentAt >= cutAt && it.sentAt < cutAt + slowFor)
            count(outcome.slow, it);
        outcome.repeatedBookings += it.kind == Kind::Booking && it.runs > 1 ? 1 : 0;
        outcome.falselyRefused += it.isRefused && it.runs > 0 ? 1 : 0;
        if (it.sentAt >= end)
            continue;
        if (!m_cutHosts.contains(it.host))
            count(outcome.others, it);
        else if (it.sentAt >= cutAt && it.sentAt < cutAt + kContact)
            count(outcome.cutAtFirst, it);
        else if (it.sentAt >= cutAt + kContact && it.sentAt < joinedAt) {
            count(outcome.cutLater, it);
            outcome.failedUnaware += it.isServed || it.isHostAware ? 0 : 1;
        } else if (it.sentAt >= joinedAt + kReturn)
            count(outcome.afterwards, it);
    }
    return outcome;
}

void LinkPlay::sendStatement(std::size_t host)
{
    const fleet::LoadUpdate update = m_hosts[host].dispatcher->takeLoadUpdate(true);
    // Idle hosts are silent.
    const bool wasSilent =
            std::exchange(m_hosts[host].isSilent, update.unreachableServices.empty());
    if (wasSilent && m_hosts[host].isSilent)
        return;
    fleet::LoadUpdate statement;
    statement.host = update.host;
    statement.unreachableServices = update.unreachableServices;
    at(m_now + kHop, [this, host, statement] {
        for (const std::size_t peer : m_hosts[host].peers)
            handle(peer, PeerLoadReceived{statement, endpointOf(host)});
    });
}

void LinkPlay::cut(bool isCut)
{
    for (const std::size_t n : m_cutHosts)
        m_hosts[n].isCut = isCut;
    std::vector<int> broken;
    for (auto &[id, attempt] : m_attempts) {
        if (!isCut || attempt.relayed || !m_cutHosts.contains(attempt.call.first))
            continue;
        if (m_plan.loss == LinkLoss::Silent || m_plan.loss == LinkLoss::Hanging)
            attempt.isSilent = true;
        else if (m_plan.loss == LinkLoss::Reset)
            broken.push_back(id);
    }
    for (const int id : broken)
        failAttempt(id, AttemptFault::AnswerLost);
}

LinkPlay::Call *LinkPlay::findCall(const CallKey &key)
{
    const auto it = m_calls.find(key);
    return it == m_calls.end() ? nullptr : &it->second;
}

void LinkPlay::handle(std::size_t host, const Event &event)
{
    execute(host, m_hosts[host].dispatcher->handle(event, m_now));
    scheduleTick(host);
}

void LinkPlay::scheduleTick(std::size_t host)
{
    const base::TimePoint due = m_hosts[host].dispatcher->nextTick();
    if (due == base::TimePoint::max() || due >= m_hosts[host].nextTick)
        return;
    const base::TimePoint time = std::max(due, m_now + Millis(1));
    m_hosts[host].nextTick = time;
    at(time, [this, host, time] {
        if (m_hosts[host].nextTick != time)
            return;
        m_hosts[host].nextTick = base::TimePoint::max();
        execute(host, m_hosts[host].dispatcher->tick(m_now));
        scheduleTick(host);
    });
}

void LinkPlay::sendCalls(std::size_t host, Kind kind, double perSecond)
{
    if (perSecond <= 0)
        return;
    std::exponential_distribution<double> pause(perSecond);
    const base::TimePoint end = kStart + kCutAt + kCut + kReturn + kAfterwards;
    base::TimePoint time = kStart;
    for (;;) {
        time += Millis(static_cast<std::int64_t>(pause(m_rng) * 1'000));
        if (time >= end)
            return;
        at(time, [this, host, kind] { arrive(host, kind); });
    }
}

void LinkPlay::arrive(std::size_t host, Kind kind)
{
    Request request;
    request.host = host;
    request.kind = kind;
    request.sentAt = m_now;
    request.lastEventAt = m_now;
    request.deadline = m_now + (kind == Kind::Stream ? Millis(10'000) : Millis(4'000));
    CallInfo info;
    info.id = CallId(++m_hosts[host].lastCall);
    info.service = kind == Kind::Stream ? kModel : kPlain;
    info.isStream = kind == Kind::Stream;
    info.isRetrySafe = kind != Kind::Booking;
    info.maxAttempts = kind == Kind::Booking ? 1 : 2;
    info.arrivedAt = m_now;
    info.deadline = request.deadline;
    info.latencyObjective = Millis(300);
    info.gapObjective = Millis(kind == Kind::Stream ? 250 : 0);
    request.isHostAware = m_hosts[host].lostServices.contains(info.service);
    const CallKey key(host, info.id);
    m_calls[key] = {m_requests.size(), info, 0, 0, 0};
    m_requests.push_back(request);
    watchCaller(key);
    handle(host, CallArrived{info});
}

void LinkPlay::watchCaller(const CallKey &key)
{
    const Request &request = m_requests[m_calls.at(key).request];
    const base::TimePoint due =
            request.kind == Kind::Stream
                    ? std::min(request.deadline, request.lastEventAt + kPatience)
                    : request.deadline;
    at(due + Millis(50), [this, key, due] {
        const Call *call = findCall(key);
        if (!call)
            return;
        const Request &it = m_requests[call->request];
        if (it.kind == Kind::Stream && it.lastEventAt + kPatience > due && due < it.deadline)
            return watchCaller(key);
        end(key, false, nullptr);
        handle(key.first, CallerDisconnected{key.second});
    });
}

void LinkPlay::execute(std::size_t host, const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *it = std::get_if<SendAttempt>(&action)) {
            attempt(host, *it);
        } else if (const auto *it = std::get_if<RelayCall>(&action)) {
            relay(host, *it);
        } else if (const auto *it = std::get_if<ProbeLink>(&action)) {
            probe(host, *it);
        } else if (const auto *it = std::get_if<LinksChanged>(&action)) {
            if (it->isLost)
                m_hosts[host].lostServices.insert(it->service);
            else
                m_hosts[host].lostServices.erase(it->service);
            at(m_now + kHop, [this, host] { sendStatement(host); });
        } else if (std::holds_alternative<RetryDenied>(action)) {
            ++m_deniedRetries;
        } else if (const auto *it = std::get_if<ProbeUpstream>(&action)) {
            const bool isRefused =
                    isLost(host)
                    && (m_plan.loss == LinkLoss::Reset || m_plan.loss == LinkLoss::Refused);
            at(m_now + (isLost(host) && !isRefused ? kConnectTimeout : kHop),
               [this, host, isRefused, upstream = it->upstream] {
                   handle(host, UpstreamProbed{upstream.id, upstream.incarnation, isRefused});
               });
        } else if (const auto *it = std::get_if<RejectCall>(&action)) {
            end({host, it->call}, false, it);
        } else if (const auto *it = std::get_if<FailCall>(&action)) {
            end({host, it->call}, false, nullptr);
        } else if (const auto *it = std::get_if<CancelAttempt>(&action)) {
            if (Call *call = findCall({host, it->call}))
                endAttempt(std::exchange(call->attempt, 0));
        } else if (const auto *it = std::get_if<CancelStalledAttempt>(&action)) {
            if (Call *call = findCall({host, it->call}))
                endAttempt(std::exchange(call->stalled, 0));
        } else if (const auto *it = std::get_if<KeepStalledAttempt>(&action)) {
            Call &call = m_calls.at({host, it->call});
            call.stalled = std::exchange(call.attempt, 0);
        } else if (const auto *it = std::get_if<ReinstateAttempt>(&action)) {
            Call &call = m_calls.at({host, it->call});
            call.attempt = std::exchange(call.stalled, 0);
        }
    }
}

base::TimePoint LinkPlay::answerAt(base::TimePoint time) const
{
    const base::TimePoint from = kStart + kCutAt;
    return time >= from && time < from + m_plan.pause ? from + m_plan.pause : time;
}

base::Millis LinkPlay::delay() const
{
    const base::TimePoint from = kStart + kCutAt;
    return m_now >= from && m_now < from + kCut ? m_plan.delay : Millis(0);
}

void LinkPlay::attempt(std::size_t host, const SendAttempt &action)
{
    const int id = ++m_lastAttempt;
    Call &call = m_calls.at({host, action.call});
    call.attempt = id;
    m_attempts[id] = {{host, action.call}, std::nullopt, false};
    const bool isOpen = static_cast<int>(m_rng() % 100) < kOpenPercent;
    if (isLost(host) && (m_plan.loss != LinkLoss::Refused || !isOpen)) {
        const auto fail = [this, id](Millis delay, AttemptFault fault) {
            at(m_now + delay, [this, id, fault] { failAttempt(id, fault); });
        };
        if (m_plan.loss == LinkLoss::Silent || (m_plan.loss == LinkLoss::Hanging && isOpen))
            m_attempts[id].isSilent = true;
        else if (m_plan.loss == LinkLoss::Hanging)
            fail(kConnectTimeout, AttemptFault::NotSent);
        else if (m_plan.loss == LinkLoss::Reset)
            fail(kHop, AttemptFault::AnswerLost);
        else
            fail(kHop, AttemptFault::NotSent);
        return;
    }
    Request &request = m_requests[call.request];
    ++request.runs;
    const bool isStream = request.kind == Kind::Stream;
    at(answerAt(m_now + kFirstEvent + delay()),
       [this, id, isStream] { runAttempt(id, isStream ? kEvents : 0); });
}

void LinkPlay::runAttempt(int id, int eventsLeft)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end() || it->second.isSilent)
        return;
    if (eventsLeft == 0)
        return succeed(id);
    progress(id);
    at(answerAt(m_now + kEventInterval),
       [this, id, eventsLeft] { runAttempt(id, eventsLeft - 1); });
}

void LinkPlay::relay(std::size_t host, const RelayCall &action)
{
    const int id = ++m_lastAttempt;
    Call &call = m_calls.at({host, action.call});
    call.attempt = id;
    const std::size_t peer = hostAt(action.peer);
    CallInfo info = call.info;
    info.id = CallId(++m_hosts[peer].lastCall);
    info.isRelayed = true;
    info.maxAttempts = action.attemptsLeft;
    m_attempts[id] = {{host, action.call}, CallKey(peer, info.id), false};
    m_calls[{peer, info.id}] = {call.request, info, 0, 0, id};
    at(m_now + kHop, [this, peer, info]() mutable {
        if (!findCall({peer, info.id}))
            return;
        info.arrivedAt = m_now;
        handle(peer, CallArrived{info});
    });
}

void LinkPlay::probe(std::size_t host, const ProbeLink &action)
{
    ++m_probes;
    const bool isSilent = m_plan.loss == LinkLoss::Silent || m_plan.loss == LinkLoss::Hanging;
    const base::TimePoint answeredAt = answerAt(m_now + kHop + delay());
    const bool isAnswered = !isLost(host) && answeredAt <= m_now + kLinkProbeTimeout;
    const bool isInTime = isAnswered || (isLost(host) && !isSilent);
    at(isInTime ? answeredAt : m_now + kLinkProbeTimeout,
       [this, host, isAnswered, upstream = action.upstream] {
           handle(host, LinkProbed{upstream.service, isAnswered, upstream.id});
       });
}

void LinkPlay::failAttempt(int id, AttemptFault fault)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const CallKey key = it->second.call;
    Call &call = m_calls.at(key);
    m_attempts.erase(it);
    if (call.stalled == id) {
        call.stalled = 0;
        return handle(key.first, StalledAttemptFailed{key.second, fault});
    }
    call.attempt = 0;
    handle(key.first, AttemptFailed{key.second, fault, {}});
}

std::optional<LinkPlay::CallKey> LinkPlay::answeringCall(int id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return std::nullopt;
    const CallKey key = it->second.call;
    if (m_calls.at(key).stalled == id)
        handle(key.first, StalledAttemptProgressed{key.second});
    const Call *call = findCall(key);
    if (!call || call->attempt != id)
        return std::nullopt;
    return key;
}

void LinkPlay::progress(int id)
{
    const auto answering = answeringCall(id);
    if (!answering)
        return;
    const CallKey key = *answering;
    const Call *call = findCall(key);
    m_requests[call->request].lastEventAt = m_now;
    const int relayedBy = call->relayedBy;
    handle(key.first, AnswerProgressed{key.second});
    if (relayedBy != 0)
        at(m_now + kHop, [this, relayedBy] { progress(relayedBy); });
}

void LinkPlay::succeed(int id)
{
    const auto answering = answeringCall(id);
    if (!answering)
        return;
    const CallKey key = *answering;
    m_attempts.erase(id);
    handle(key.first, AttemptSucceeded{key.second});
    end(key, true, nullptr);
}

void LinkPlay::endAttempt(int id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const std::optional<CallKey> relayed = it->second.relayed;
    m_attempts.erase(it);
    if (!relayed)
        return;
    at(m_now + kHop, [this, key = *relayed] {
        if (!findCall(key))
            return;
        handle(key.first, CallerDisconnected{key.second});
        end(key, false, nullptr);
    });
}

void LinkPlay::end(const CallKey &key, bool isServed, const RejectCall *rejection)
{
    const auto it = m_calls.find(key);
    if (it == m_calls.end())
        return;
    const Call call = it->second;
    m_calls.erase(it);
    endAttempt(call.attempt);
    endAttempt(call.stalled);
    if (call.relayedBy == 0) {
        Request &request = m_requests[call.request];
        request.isServed = isServed;
        request.isRefused = rejection != nullptr;
        return;
    }
    // What the other entry host answers.
    const bool isDeclined = rejection && rejection->reason == FailureReason::Unreachable;
    const bool mayHaveRun = !rejection;
    m_declinedRelays += isDeclined ? 1 : 0;
    at(m_now + kHop, [this, id = call.relayedBy, isServed, isDeclined, mayHaveRun] {
        const auto attempt = m_attempts.find(id);
        if (attempt == m_attempts.end())
            return;
        if (isServed)
            return succeed(id);
        if (isDeclined)
            return failAttempt(id, AttemptFault::Refused);
        const CallKey caller = attempt->second.call;
        if (m_calls.at(caller).stalled == id)
            return failAttempt(id, AttemptFault::UpstreamError);
        m_calls.at(caller).attempt = 0;
        m_attempts.erase(attempt);
        handle(caller.first, RelayRejected{caller.second, Millis(0), mayHaveRun});
    });
}

} // namespace hyssop::dispatch
