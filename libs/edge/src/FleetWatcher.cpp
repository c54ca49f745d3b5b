#include "FleetWatcher.h"

#include "WatchTiming.h"

#include <boost/asio/post.hpp>

namespace hyssop::edge {

namespace {

/// Wait time of a long poll at the leader. It limits the age of loads and confirmations.
constexpr base::Millis kLongPollWait{500};
/// Wait time at other control hosts, which only answer when upstreams change. They must hear from
/// this host more often than its reports expire there.
constexpr base::Millis kFollowerPollWait{2'000};
/// An answer is overdue this long after the wait. Round trips take milliseconds.
constexpr base::Millis kAnswerMargin{500};
/// A control host that is not a seed and that no other control host lists is dropped after this.
constexpr base::Millis kUnlistedRetention{30'000};

} // namespace

FleetWatcher::FleetWatcher(base::HostId host, base::DataCentreId dataCentre, base::Endpoint address,
                           boost::asio::io_context *io, peers::Node *node,
                           LocalStateProvider localState, OnUpdate onUpdate)
    : m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
    , m_address(std::move(address))
    , m_io(io)
    , m_node(node)
    , m_localState(std::move(localState))
    , m_onUpdate(std::move(onUpdate))
{ }

void FleetWatcher::setSeeds(const std::vector<base::Endpoint> &seeds)
{
    for (auto &[address, control] : m_controlHosts)
        control.isSeed = false;
    for (const base::Endpoint &seed : seeds) {
        addControlHost(seed, base::monotonicNow());
        m_controlHosts.at(seed).isSeed = true;
    }
}

std::vector<base::Endpoint> FleetWatcher::controlHosts() const
{
    std::vector<base::Endpoint> hosts;
    hosts.reserve(m_controlHosts.size());
    for (const auto &[address, control] : m_controlHosts)
        hosts.push_back(address);
    return hosts;
}

void FleetWatcher::addControlHost(const base::Endpoint &control, base::TimePoint now)
{
    const auto [it, isNew] = m_controlHosts.try_emplace(control);
    it->second.lastListedAt = now;
    if (!isNew)
        return;
    it->second.retryTimer = std::make_unique<boost::asio::steady_timer>(*m_io);
    query(control);
}

void FleetWatcher::scheduleQuery(const base::Endpoint &control, base::Millis delay)
{
    const auto it = m_controlHosts.find(control);
    if (it == m_controlHosts.end() || m_isStopped)
        return;
    it->second.retryTimer->expires_after(delay);
    it->second.retryTimer->async_wait([this, control](boost::system::error_code ec) {
        if (!ec)
            query(control);
    });
}

void FleetWatcher::query(const base::Endpoint &control)
{
    const auto it = m_controlHosts.find(control);
    if (it == m_controlHosts.end() || it->second.isQueryPending || m_isStopped)
        return;
    it->second.isQueryPending = true;
    LocalState local = m_localState();
    fleet::WatchRequest request;
    request.host = m_host;
    request.dataCentre = m_dataCentre;
    request.address = m_address;
    request.configurationVersion = local.configurationVersion;
    request.acceptsDelta = local.acceptsDelta;
    request.acceptsPackedDirectory = true;
    request.directoryIncarnation = it->second.directoryIncarnation;
    request.directoryRevision = it->second.directoryRevision;
    request.factsRevision = it->second.factsRevision;
    request.loadPeersRevision = it->second.loadPeersRevision;
    request.evacuationsRevision = local.evacuationsRevision;
    m_awaitsLeader = local.awaitsLeader;
    const base::Millis wait = it->second.isLeader ? kLongPollWait : kFollowerPollWait;
    request.maxWait = wait;
    request.load = std::move(local.load);
    const base::TimePoint requestedAt = base::monotonicNow();
    m_node->query(control, {fleet::kWatchTopic, fleet::encode(request)}, wait + kAnswerMargin,
                  [this, control, requestedAt](tl::expected<std::string, peers::PeerError> answer) {
                      boost::asio::post(*m_io,
                                        [this, control, requestedAt, answer = std::move(answer)] {
                                            handleAnswer(control, requestedAt, answer);
                                        });
                  });
}

void FleetWatcher::handleAnswer(const base::Endpoint &from, base::TimePoint requestedAt,
                                const tl::expected<std::string, peers::PeerError> &answer)
{
    const auto it = m_controlHosts.find(from);
    if (it == m_controlHosts.end() || m_isStopped)
        return;
    ControlHost &control = it->second;
    control.isQueryPending = false;
    const base::TimePoint now = base::monotonicNow();
    auto reply = answer ? fleet::decodeWatchReply(*answer) : std::nullopt;
    if (!reply) {
        control.isLeader = true; // Until its next answer.
        if (++control.consecutiveFailures == 1)
            base::logEvent("control_lost",
                           {{"control", from.text()},
                            {"reason", answer ? "malformed answer" : answer.error().message}});
        scheduleQuery(from, retryPause(control.consecutiveFailures, m_awaitsLeader));
        removeUnlisted(now);
        return;
    }
    if (control.consecutiveFailures > 0)
        base::logEvent("control_regained",
                       {{"control", from.text()}, {"failures", control.consecutiveFailures}});
    control.consecutiveFailures = 0;
    control.isLeader = reply->isConfirmed;
    control.directoryIncarnation = reply->directory.incarnation;
    control.directoryRevision = reply->directory.revision;
    control.factsRevision = reply->factsRevision;
    if (reply->loadPeers) {
        for (auto &[address, other] : m_controlHosts)
            other.loadPeersRevision = 0;
        control.loadPeersRevision = reply->loadPeersRevision;
    }
    for (const base::Endpoint &other : reply->controlHosts)
        addControlHost(other, now);
    m_onUpdate({base::HostId(from.text()), requestedAt, *std::move(reply)});
    query(from);
}

void FleetWatcher::removeUnlisted(base::TimePoint now)
{
    std::erase_if(m_controlHosts, [now](const auto &it) {
        const ControlHost &control = it.second;
        return !control.isSeed && !control.isQueryPending && control.consecutiveFailures > 0
               && now >= control.lastListedAt + kUnlistedRetention;
    });
}

} // namespace hyssop::edge
