#include "ControlHost.h"

#include <algorithm>

namespace hyssop::control {

namespace {

constexpr auto kGlobalGroup = "global";
/// Interval between checks of the timers of groups and watches.
constexpr base::Millis kTickInterval{20};
constexpr base::Millis kReplicateTimeout{1'000};
/// How long a status request waits for the reports of other control hosts.
constexpr base::Millis kStatusQueryTimeout{1'000};
/// How long a stop waits for another host to take over leadership.
constexpr base::Millis kStopTimeout{3'000};

std::string homeGroupName(const base::DataCentreId &dataCentre)
{
    return "home-" + dataCentre.text();
}

} // namespace

ControlHost::ControlHost(ControlOptions options)
    : m_options(std::move(options))
{ }

ControlHost::~ControlHost()
{
    // The peers' thread posts to the loop, so it must end first.
    m_peerNode.reset();
}

tl::expected<std::unique_ptr<ControlHost>, StartError> ControlHost::start(ControlOptions options)
{
    std::unique_ptr<ControlHost> controlHost(new ControlHost(std::move(options)));
    auto loop = http::Loop::create();
    if (!loop)
        return tl::unexpected(StartError{loop.error().message});
    controlHost->m_loop = *std::move(loop);
    if (const auto opened = controlHost->openGroups(); !opened)
        return tl::unexpected(opened.error());
    if (const auto listening = controlHost->listen(); !listening)
        return tl::unexpected(listening.error());
    return controlHost;
}

bool ControlHost::isGlobalVoter() const
{
    return m_groups.contains(kGlobalGroup);
}

tl::expected<void, StartError> ControlHost::openGroup(const std::string &name,
                                                      std::vector<group::HostAddress> hosts)
{
    group::GroupOptions options;
    options.group = replog::GroupId(name);
    options.host = m_options.host;
    options.folder = m_options.dataDirectory / name;
    options.initialHosts = std::move(hosts);
    options.heartbeatInterval = m_options.heartbeatInterval;
    options.electionTimeout = m_options.electionTimeout;
    options.seed = m_options.seed + m_groups.size();
    const auto send = [this, name](const base::Endpoint &to, std::string body) {
        m_peerNode->replicate(to, {name, m_options.host.text(), std::move(body)},
                              kReplicateTimeout);
    };
    auto group = group::GroupHost::open(std::move(options), send, base::monotonicNow());
    if (!group)
        return tl::unexpected(StartError{name + ": " + group.error().message});
    m_groups.emplace(name, *std::move(group));
    return {};
}

tl::expected<void, StartError> ControlHost::openGroups()
{
    const auto isSelf = [this](const group::HostAddress &it) { return it.host == m_options.host; };
    const auto &voters = m_options.globalVoters;
    if (std::any_of(voters.begin(), voters.end(), isSelf)) {
        if (const auto opened = openGroup(kGlobalGroup, voters); !opened)
            return opened;
    }
    m_router = std::make_unique<group::CommandRouter>(m_loop.get(), &m_groups, voters);
    std::vector<group::HostAddress> home = m_options.homeVoters;
    if (home.empty())
        home.push_back({m_options.host, m_options.listenPeers});
    return openGroup(homeGroupName(m_options.dataCentre), home);
}

tl::expected<void, StartError> ControlHost::listen()
{
    m_operatorServer =
            std::make_unique<operators::Server>(m_loop.get(), this, m_options.operatorToken);
    const auto operatorAddress = m_operatorServer->listen(m_options.listenOperators);
    if (!operatorAddress)
        return tl::unexpected(StartError{operatorAddress.error().message});
    m_platformServer = std::make_unique<process::Server>(m_loop.get(), &m_metrics);
    const auto platformAddress = m_platformServer->listen(m_options.listenPlatform);
    if (!platformAddress)
        return tl::unexpected(StartError{platformAddress.error().message});
    auto peers = peers::Node::start(m_options.listenPeers, this);
    if (!peers)
        return tl::unexpected(StartError{"cannot listen on " + m_options.listenPeers.text() + ": "
                                         + peers.error().message});
    m_peerNode = *std::move(peers);
    m_router->setNode(m_peerNode.get());
    base::logEvent("listening", {{"operators", operatorAddress->text()},
                                 {"platform", platformAddress->text()},
                                 {"peers", m_peerNode->address().text()}});
    return {};
}

void ControlHost::run()
{
    tick();
    m_platformServer->setReady(true);
    base::logEvent("started", {{"host", m_options.host}, {"data_centre", m_options.dataCentre}});
    m_loop->run();
    base::logEvent("stopped", {{"host", m_options.host}});
}

void ControlHost::stop()
{
    m_loop->post([this] {
        m_platformServer->setReady(false);
        const base::TimePoint now = base::monotonicNow();
        m_stopDeadline = now + kStopTimeout;
        for (const auto &[name, group] : m_groups)
            group->prepareStop(now);
        schedulePump();
    });
}

void ControlHost::stopIfLeadershipTransferred(base::TimePoint now)
{
    if (!m_stopDeadline)
        return;
    bool isDone = true;
    for (const auto &[name, group] : m_groups) {
        const bool isOnlyVoter = group->replica().configuration().voters.size() < 2;
        isDone = isDone && !group->hasPendingCommands()
                 && (isOnlyVoter || !group->replica().isLeader());
    }
    if (!isDone && now < *m_stopDeadline)
        return;
    m_router->stop();
    m_loop->stop();
}

void ControlHost::tick()
{
    pumpGroups(base::monotonicNow());
    m_loop->after(kTickInterval, [this] { tick(); });
}

void ControlHost::pumpGroups(base::TimePoint now)
{
    if (m_hasFailed)
        return;
    m_router->pump(now);
    for (const auto &[name, group] : m_groups) {
        const auto pumpResult = group->pump(now);
        if (pumpResult)
            continue;
        // No command of the batch was acknowledged. A restart recovers the state from disk.
        base::logEvent("log_failed", {{"group", name}, {"message", pumpResult.error().message}});
        m_hasFailed = true;
        m_loop->stop();
        process::requestStop();
        return;
    }
    answerDueWatches(now);
    answerDueJobWatches(now);
    stopIfLeadershipTransferred(now);
}

void ControlHost::schedulePump()
{
    if (m_isPumpScheduled)
        return;
    m_isPumpScheduled = true;
    // All commands of this loop iteration share one disk sync.
    m_loop->after(base::Millis(0), [this] {
        m_isPumpScheduled = false;
        pumpGroups(base::monotonicNow());
    });
}

peers::WirePosition ControlHost::recordsPosition() const
{
    if (!isGlobalVoter())
        return {};
    const replog::Position position = m_groups.at(kGlobalGroup)->ledger().recordsPosition();
    return {position.term.count(), position.index.count()};
}

peers::WatchReply ControlHost::watchReply(const peers::WatchRequest &request) const
{
    peers::WatchReply reply;
    if (!isGlobalVoter())
        return reply;
    // A follower in contact with its leader lags by at most one message.
    reply.isConfirmed = m_groups.at(kGlobalGroup)->replica().hasRecentLeader(base::monotonicNow());
    reply.position = recordsPosition();
    reply.hasChanged = request.applied < reply.position;
    if (!reply.hasChanged)
        return reply;
    for (const records::Record &record : m_groups.at(kGlobalGroup)->ledger().records())
        reply.records.push_back(records::toJson(record));
    return reply;
}

void ControlHost::answerDueWatches(base::TimePoint now)
{
    const peers::WirePosition position = recordsPosition();
    for (auto it = m_recordsWatches.begin(); it != m_recordsWatches.end();) {
        if (it->deadline > now && it->request.applied >= position) {
            ++it;
            continue;
        }
        it->answer(watchReply(it->request));
        it = m_recordsWatches.erase(it);
    }
}

void ControlHost::onPut(operators::PutRequest request,
                        operators::ReplyCallback<operators::PutReply> answer)
{
    ledger::PutRecord command{request.changeId, request.expectedVersion, request.record};
    const auto done = [answer, request](const peers::ExecuteReply &executed) {
        const auto reply = executed.status == peers::ExecuteStatus::Done
                                   ? ledger::decodeReply(executed.reply)
                                   : std::nullopt;
        operators::PutReply putReply;
        if (!reply) {
            putReply.status = executed.status == peers::ExecuteStatus::Unknown
                                      ? operators::PutStatus::Unknown
                                      : operators::PutStatus::Unavailable;
        } else {
            putReply.status = reply->status == ledger::Status::Accepted
                                      ? operators::PutStatus::Accepted
                                      : operators::PutStatus::Conflict;
            putReply.message = reply->message;
            putReply.current = reply->currentRecord;
            putReply.logIndex = reply->logIndex;
        }
        base::logEvent("record_change", {{"kind", records::kindName(request.record.kind)},
                                         {"name", request.record.name},
                                         {"version", request.record.version.count()},
                                         {"change", request.changeId},
                                         {"status", operators::putStatusName(putReply.status)}});
        answer(putReply);
    };
    m_router->execute({kGlobalGroup, ledger::encode(command, 0)}, done, base::monotonicNow(),
                      group::CommandRouter::kOperatorTimeLimit);
    schedulePump();
}

std::vector<records::Record> ControlHost::records()
{
    return isGlobalVoter() ? m_groups.at(kGlobalGroup)->ledger().records()
                           : std::vector<records::Record>();
}

operators::StatusReply ControlHost::localStatus(base::TimePoint now) const
{
    operators::StatusReply reply;
    reply.host = m_options.host;
    if (isGlobalVoter()) {
        const replog::Replica &replica = m_groups.at(kGlobalGroup)->replica();
        reply.leader = replica.leader().text();
        reply.term = replica.term().count();
        reply.hasLeaderContact = replica.hasRecentLeader(now);
    }
    reply.recordsIndex = recordsPosition().index;
    reply.hosts = queryView(now).entryHosts;
    return reply;
}

/// A status request that collects the entry hosts' reports from all control hosts.
struct ControlHost::StatusCollection
{
    std::vector<operators::StatusReply> replies; ///< The first is from this host.
    std::size_t pendingReplies = 0;
    operators::ReplyCallback<operators::StatusReply> answer;

    void onReplyDone()
    {
        if (--pendingReplies > 0)
            return;
        operators::StatusReply merged = replies.front();
        merged.hosts = operators::latestHostStatuses(replies);
        answer(std::move(merged));
    }
};

void ControlHost::onStatus(operators::ReplyCallback<operators::StatusReply> answer)
{
    const auto collection = std::make_shared<StatusCollection>();
    collection->answer = std::move(answer);
    collection->replies.push_back(localStatus(base::monotonicNow()));
    // Counts this host as one pending reply, so that the collection cannot finish before all hosts
    // have been queried.
    collection->pendingReplies = 1;
    for (const group::HostAddress &voter : m_options.globalVoters) {
        if (voter.host == m_options.host)
            continue;
        ++collection->pendingReplies;
        queryEntryHosts(collection, voter.address);
    }
    collection->onReplyDone();
}

void ControlHost::queryEntryHosts(const std::shared_ptr<StatusCollection> &collection,
                                  const base::Endpoint &voter)
{
    m_peerNode->query(voter, {"reporters", "{}"}, kStatusQueryTimeout,
                      [this, collection](auto reply) {
                          m_loop->post([collection, reply = std::move(reply)] {
                              if (reply) {
                                  operators::StatusReply entryHostReply;
                                  entryHostReply.hosts = parseEntryHosts(*reply);
                                  collection->replies.push_back(std::move(entryHostReply));
                              }
                              collection->onReplyDone();
                          });
                      });
}

void ControlHost::onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer)
{
    m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        const base::TimePoint now = base::monotonicNow();
        m_entryHostReports[request.host] = {request.dataCentre, request.applied, now};
        if (!isGlobalVoter() || request.applied < recordsPosition())
            answer(watchReply(request));
        else
            m_recordsWatches.push_back({request, answer, now + request.wait});
    });
}

void ControlHost::onExecute(peers::ExecuteRequest request,
                            peers::Answer<peers::ExecuteReply> answer)
{
    m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        m_router->execute(request, answer, base::monotonicNow());
        schedulePump();
    });
}

void ControlHost::onReplicate(peers::ReplicateMessage message)
{
    m_loop->post([this, message = std::move(message)] {
        const auto it = m_groups.find(message.group);
        if (it == m_groups.end())
            return;
        it->second->receive(message.body, base::monotonicNow());
        schedulePump();
    });
}

void ControlHost::onQuery(peers::QueryRequest request, peers::Answer<std::string> answer)
{
    m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        const base::TimePoint now = base::monotonicNow();
        if (auto watch = parseJobWatch(request, now))
            addJobWatch(*std::move(watch), answer);
        else
            answer(answerQuery(request, queryView(now)));
    });
}

void ControlHost::addJobWatch(JobWatch watch, peers::Answer<std::string> answer)
{
    m_jobWatchAnswers.emplace(m_jobWatches.add(std::move(watch)), std::move(answer));
    schedulePump();
}

void ControlHost::answerDueJobWatches(base::TimePoint now)
{
    const GroupView home = groupView(homeGroupName(m_options.dataCentre), now);
    const replog::Position position = home.ledger->position();
    if (!m_jobWatches.isDue(position, now))
        return;
    const auto running = home.ledger->jobsInState(ledger::JobState::Running);
    for (const auto &due :
         m_jobWatches.takeDue(waitingJobs(*home.ledger), running, position, now)) {
        const auto it = m_jobWatchAnswers.find(due.id);
        it->second(jobListAnswer(due.jobs, home));
        m_jobWatchAnswers.erase(it);
    }
}

GroupView ControlHost::groupView(const std::string &name, base::TimePoint now) const
{
    const group::GroupHost &group = *m_groups.at(name);
    return {name, &group.ledger(), group.replica().hasLease(now)};
}

QueryView ControlHost::queryView(base::TimePoint now) const
{
    QueryView view{m_options.host, m_options.dataCentre, {}, {}};
    for (const auto &[name, group] : m_groups)
        view.groups.push_back(groupView(name, now));
    for (const auto &[host, report] : m_entryHostReports) {
        const auto age = std::chrono::duration_cast<base::Millis>(now - report.receivedAt);
        view.entryHosts.push_back(
                {host, report.dataCentre, report.appliedPosition.index, age.count()});
    }
    return view;
}

} // namespace hyssop::control
