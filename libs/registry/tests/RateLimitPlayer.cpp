#include "RateLimitPlayer.h"

#include <algorithm>

namespace hyssop::registry {

using base::Millis;

namespace {

const base::ServiceId kService("plain");
constexpr Millis kNetworkDelay{1};
constexpr Millis kRunTime{20};
constexpr Millis kTick{20};
constexpr Millis kWatchInterval{500};
constexpr Millis kWindow{4'000};
constexpr Millis kLatencyObjective{100};
constexpr Millis kCallerTimeout{600};
/// Hosts give up on a request for a grant after this.
constexpr Millis kGrantTimeout{700};

} // namespace

int RateLimitOutcome::fullestWindow(std::size_t upstream, base::TimePoint from) const
{
    int most = 0;
    const auto &times = arrivals[upstream];
    for (auto end = times.begin(); end != times.end(); ++end) {
        if (*end < from)
            continue;
        const auto begin = std::upper_bound(times.begin(), end, *end - kWindow);
        most = std::max(most, static_cast<int>(end - begin) + 1);
    }
    return most;
}

RateLimitPlayer::RateLimitPlayer(RateLimitScenario scenario)
    : VirtualTime(kStart)
    , m_scenario(std::move(scenario))
    , m_rng(m_scenario.seed)
{
    m_outcome.arrivals.resize(m_scenario.limits.size());
    for (int n = 0; n < m_scenario.hostCount; ++n) {
        dispatch::DispatcherOptions options;
        options.host = base::HostId("e" + std::to_string(n));
        options.dataCentre = base::DataCentreId("a");
        options.seed = m_rng();
        m_hosts.push_back(std::make_unique<dispatch::Dispatcher>(options));
        dispatch::Dispatcher &host = *m_hosts.back();
        host.handle(dispatch::ServicesChanged{{{kService, {}, {}, {}}}}, kStart);
        host.handle(dispatch::PeerLoadSumReceived{{}, m_scenario.hostCount}, kStart);
        for (std::size_t i = 0; i < m_scenario.limits.size(); ++i) {
            fleet::Upstream upstream;
            upstream.id = base::UpstreamId(std::to_string(i));
            upstream.service = kService;
            upstream.address = {"127.0.0.1", static_cast<std::uint16_t>(8'000 + i)};
            upstream.dataCentre = base::DataCentreId("a");
            upstream.slots = 6;
            host.handle(dispatch::UpstreamUpdated{upstream}, kStart);
        }
    }
}

void RateLimitPlayer::scheduleAtHost(std::size_t host, base::TimePoint at, Step step)
{
    const bool canPause = host < m_hosts.size() / 3;
    const bool isPaused =
            canPause && at >= kStart + m_scenario.pausedFrom && at < kStart + m_scenario.pausedTo;
    scheduleAt(isPaused ? kStart + m_scenario.pausedTo : at, std::move(step));
}

bool RateLimitPlayer::hasLeader() const
{
    return m_now < kStart + m_scenario.leaderLostFrom || m_now >= kStart + m_scenario.leaderLostTo;
}

RateLimitOutcome RateLimitPlayer::play()
{
    const base::TimePoint end = kStart + m_scenario.duration;
    std::exponential_distribution<double> pause(m_scenario.callsPerSecond);
    for (base::TimePoint at = kStart; at < end;) {
        at += std::chrono::duration_cast<base::TimePoint::duration>(
                std::chrono::duration<double>(pause(m_rng)));
        scheduleAt(at, [this] { sendCall(); });
    }
    for (base::TimePoint at = kStart; at < end + kCallerTimeout; at += kTick) {
        scheduleAt(at, [this] {
            if (!hasLeader()) {
                m_wasLeaderLost = true;
                return;
            }
            if (std::exchange(m_wasLeaderLost, false))
                m_grants = {};
            m_grants.tick(m_now);
        });
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
            scheduleAtHost(host, at, [this, host] {
                if (m_hosts[host]->nextTick() <= m_now)
                    execute(host, m_hosts[host]->tick(m_now));
            });
    }
    for (base::TimePoint at = kStart; at < end; at += kWatchInterval)
        scheduleAt(at, [this] { shareLimits(); });
    while (runNext()) { }
    return m_outcome;
}

void RateLimitPlayer::sendCall()
{
    const std::size_t host =
            std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_rng);
    dispatch::CallInfo info;
    info.id = dispatch::CallId(++m_lastCall);
    info.service = kService;
    info.arrivedAt = m_now;
    info.deadline = m_now + kCallerTimeout;
    info.latencyObjective = kLatencyObjective;
    m_calls[info.id] = {host, m_now};
    ++m_outcome.calls;
    scheduleAtHost(host, m_now, [this, host, info] { handle(host, dispatch::CallArrived{info}); });
}

void RateLimitPlayer::shareLimits()
{
    if (!hasLeader())
        return;
    const auto limits = m_grants.limits(m_now);
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        scheduleAtHost(host, m_now + kNetworkDelay, [this, host, limits, at = m_now] {
            handle(host, dispatch::RateLimitsReceived{limits, at});
        });
}

void RateLimitPlayer::handle(std::size_t host, const dispatch::Event &event)
{
    execute(host, m_hosts[host]->handle(event, m_now));
}

void RateLimitPlayer::execute(std::size_t host, const dispatch::Actions &actions)
{
    for (const dispatch::Action &action : actions)
        std::visit([&](const auto &it) { executeAction(host, it); }, action);
}

void RateLimitPlayer::noteQueueTime(const Call &call)
{
    m_outcome.longestQueueTime = std::max(m_outcome.longestQueueTime,
                                          std::chrono::floor<Millis>(m_now - call.arrivedAt));
}

void RateLimitPlayer::executeAction(std::size_t host, const dispatch::SendAttempt &action)
{
    const auto upstream = static_cast<std::size_t>(std::stoul(action.upstream.id.text()));
    noteQueueTime(m_calls.at(action.call));
    scheduleAt(m_now + kNetworkDelay,
               [this, upstream] { m_outcome.arrivals[upstream].push_back(m_now); });
    scheduleAtHost(host, m_now + 2 * kNetworkDelay + kRunTime, [this, host, upstream, action] {
        const auto &limit = m_scenario.limits[upstream];
        const fleet::RequestRate rate =
                limit ? fleet::RequestRate(static_cast<std::int64_t>(*limit * 1e3))
                      : fleet::kUnlimitedRate;
        handle(host, dispatch::RateLimitStated{action.call, rate});
        handle(host, dispatch::AttemptSucceeded{action.call});
        ++m_outcome.served;
    });
}

void RateLimitPlayer::executeAction(std::size_t, const dispatch::RejectCall &action)
{
    noteQueueTime(m_calls.at(action.call));
    ++m_outcome.rejected;
    m_outcome.shortestRetryAfter = std::min(m_outcome.shortestRetryAfter, action.retryAfter);
}

void RateLimitPlayer::executeAction(std::size_t host, const dispatch::RequestSendGrant &action)
{
    const auto event = std::make_shared<dispatch::SendGrantReceived>();
    event->service = action.service;
    event->priority = action.priority;
    event->isWaiting = action.isWaiting;
    event->isFromControl = false;
    event->requestedAt = m_now;
    const auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, host, event, isAnswered](base::TimePoint at) {
        if (std::exchange(*isAnswered, true))
            return;
        scheduleAtHost(host, at, [this, host, event] { handle(host, *event); });
    };
    if (!hasLeader())
        return answer(m_now + kNetworkDelay);
    fleet::SendGrantRequest request;
    request.limits = action.limits;
    request.wanted = 1;
    request.isWaiting = action.isWaiting;
    request.priority = action.priority;
    request.waited = action.waited;
    request.maxWait = action.maxWait;
    scheduleAt(m_now + kNetworkDelay, [this, request, event, answer] {
        if (!hasLeader())
            return;
        m_grants.request(
                request,
                [this, event, answer](const fleet::SendGrantReply &reply) {
                    event->isFromControl = true;
                    event->reply = reply;
                    answer(m_now + kNetworkDelay);
                },
                m_now);
    });
    scheduleAt(m_now + kGrantTimeout, [this, answer] { answer(m_now); });
}

void RateLimitPlayer::executeAction(std::size_t, const dispatch::ReportRateLimit &action)
{
    scheduleAt(m_now + kNetworkDelay, [this, action] {
        fleet::SendGrantRequest request;
        request.limits = {action.limit};
        if (hasLeader())
            m_grants.request(
                    request, [](const auto &) {}, m_now);
    });
}

} // namespace hyssop::registry
