#include "ControlTask.h"

#include <algorithm>

namespace hyssop::control {

namespace {

constexpr auto kGlobal = "global";
/// How often timers of groups and watches are looked at.
constexpr base::Millis kPumpInterval{20};
constexpr base::Millis kReplicateTimeout{1'000};
/// How long a status waits for what other control hosts know.
constexpr base::Millis kGatherTimeout{1'000};
/// How long a stop waits for another host to take over.
constexpr base::Millis kStopTimeout{3'000};

std::string homeGroup(const base::DataCentreId &dataCentre)
{
    return "home-" + dataCentre.text();
}

} // namespace

ControlTask::ControlTask(ControlOptions options)
    : m_options(std::move(options))
{ }

ControlTask::~ControlTask()
{
    // The peers' thread posts to the loop, so it ends first.
    m_peers.reset();
}

tl::expected<std::unique_ptr<ControlTask>, StartError> ControlTask::start(ControlOptions options)
{
    std::unique_ptr<ControlTask> task(new ControlTask(std::move(options)));
    auto loop = http::Loop::create();
    if (!loop)
        return tl::unexpected(StartError{loop.error().message});
    task->m_loop = *std::move(loop);
    if (const auto opened = task->open(); !opened)
        return tl::unexpected(opened.error());
    if (const auto listening = task->listen(); !listening)
        return tl::unexpected(listening.error());
    return task;
}

bool ControlTask::isVoter() const
{
    return m_groups.contains(kGlobal);
}

tl::expected<void, StartError> ControlTask::openGroup(const std::string &name,
                                                      std::vector<group::HostAddress> hosts)
{
    group::GroupOptions options;
    options.group = replog::GroupId(name);
    options.host = m_options.host;
    options.folder = m_options.data / name;
    options.initialHosts = std::move(hosts);
    options.heartbeatInterval = m_options.heartbeatInterval;
    options.electionTimeout = m_options.electionTimeout;
    options.seed = m_options.seed + m_groups.size();
    const auto send = [this, name](const base::Endpoint &to, std::string body) {
        m_peers->replicate(to, {name, m_options.host.text(), std::move(body)}, kReplicateTimeout);
    };
    auto group = group::GroupHost::open(std::move(options), send, base::monotonicNow());
    if (!group)
        return tl::unexpected(StartError{name + ": " + group.error().message});
    m_groups.emplace(name, *std::move(group));
    return {};
}

tl::expected<void, StartError> ControlTask::open()
{
    const auto isSelf = [this](const group::HostAddress &it) { return it.host == m_options.host; };
    const auto &voters = m_options.globalVoters;
    if (std::any_of(voters.begin(), voters.end(), isSelf)) {
        if (const auto opened = openGroup(kGlobal, voters); !opened)
            return opened;
    }
    m_router = std::make_unique<group::CommandRouter>(m_loop.get(), &m_groups, voters);
    std::vector<group::HostAddress> home = m_options.homeVoters;
    if (home.empty())
        home.push_back({m_options.host, m_options.listenPeers});
    return openGroup(homeGroup(m_options.dataCentre), home);
}

tl::expected<void, StartError> ControlTask::listen()
{
    m_operators = std::make_unique<operators::Server>(m_loop.get(), this, m_options.operatorToken);
    const auto operatorsAt = m_operators->listen(m_options.listenOperators);
    if (!operatorsAt)
        return tl::unexpected(StartError{operatorsAt.error().message});
    m_platform = std::make_unique<process::Server>(m_loop.get(), &m_metrics);
    const auto platformAt = m_platform->listen(m_options.listenPlatform);
    if (!platformAt)
        return tl::unexpected(StartError{platformAt.error().message});
    auto peers = peers::Node::start(m_options.listenPeers, this);
    if (!peers)
        return tl::unexpected(StartError{"cannot listen on " + m_options.listenPeers.text() + ": "
                                         + peers.error().message});
    m_peers = *std::move(peers);
    m_router->setNode(m_peers.get());
    base::logEvent("listening", {{"operators", operatorsAt->text()},
                                 {"platform", platformAt->text()},
                                 {"peers", m_peers->address().text()}});
    return {};
}

void ControlTask::run()
{
    pump();
    m_platform->setReady(true);
    base::logEvent("started", {{"host", m_options.host}, {"data_centre", m_options.dataCentre}});
    m_loop->run();
    base::logEvent("stopped", {{"host", m_options.host}});
}

void ControlTask::stop()
{
    m_loop->post([this] {
        m_platform->setReady(false);
        const base::TimePoint now = base::monotonicNow();
        m_stopUntil = now + kStopTimeout;
        for (const auto &[name, group] : m_groups)
            group->prepareStop(now);
        schedulePump();
    });
}

void ControlTask::stopWhenHandedOver(base::TimePoint now)
{
    if (!m_stopUntil)
        return;
    bool isDone = true;
    for (const auto &[name, group] : m_groups) {
        const bool isAlone = group->replica().configuration().voters.size() < 2;
        isDone =
                isDone && !group->hasPendingCommands() && (isAlone || !group->replica().isLeader());
    }
    if (!isDone && now < *m_stopUntil)
        return;
    m_router->stop();
    m_loop->stop();
}

void ControlTask::pump()
{
    pumpGroups(base::monotonicNow());
    m_loop->after(kPumpInterval, [this] { pump(); });
}

void ControlTask::pumpGroups(base::TimePoint now)
{
    if (m_hasFailed)
        return;
    m_router->pump(now);
    for (const auto &[name, group] : m_groups) {
        const auto pumped = group->pump(now);
        if (pumped)
            continue;
        // Nothing of the batch was acknowledged; a restart reads back what is on the disk.
        base::logEvent("log_failed", {{"group", name}, {"message", pumped.error().message}});
        m_hasFailed = true;
        m_loop->stop();
        process::requestStop();
        return;
    }
    answerWatches(now);
    answerJobWatches(now);
    stopWhenHandedOver(now);
}

void ControlTask::schedulePump()
{
    if (m_isPumpScheduled)
        return;
    m_isPumpScheduled = true;
    // All commands of this turn of the loop share one sync.
    m_loop->after(base::Millis(0), [this] {
        m_isPumpScheduled = false;
        pumpGroups(base::monotonicNow());
    });
}

peers::WirePosition ControlTask::recordsPosition() const
{
    if (!isVoter())
        return {};
    const replog::Position position = m_groups.at(kGlobal)->ledger().recordsPosition();
    return {position.term.count(), position.index.count()};
}

peers::WatchReply ControlTask::watchReply(const peers::WatchRequest &request) const
{
    peers::WatchReply reply;
    if (!isVoter())
        return reply;
    // A follower that hears its leader is behind by a message at most.
    reply.isConfirmed = m_groups.at(kGlobal)->replica().hasRecentLeader(base::monotonicNow());
    reply.position = recordsPosition();
    reply.hasChanged = request.applied < reply.position;
    if (!reply.hasChanged)
        return reply;
    for (const records::Record &record : m_groups.at(kGlobal)->ledger().records())
        reply.records.push_back(records::toJson(record));
    return reply;
}

void ControlTask::answerWatches(base::TimePoint now)
{
    const peers::WirePosition position = recordsPosition();
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (it->until > now && it->request.applied >= position) {
            ++it;
            continue;
        }
        it->answer(watchReply(it->request));
        it = m_watches.erase(it);
    }
}

void ControlTask::onPut(operators::PutRequest request,
                        operators::ReplyCallback<operators::PutReply> answer)
{
    ledger::PutRecord command{request.changeId, request.expectedVersion, request.record};
    const auto done = [answer, request](const peers::ExecuteReply &executed) {
        const auto reply = executed.status == peers::ExecuteStatus::Done
                                   ? ledger::decodeReply(executed.reply)
                                   : std::nullopt;
        operators::PutReply put;
        if (!reply) {
            put.status = executed.status == peers::ExecuteStatus::Unknown
                                 ? operators::PutStatus::Unknown
                                 : operators::PutStatus::Unavailable;
        } else {
            put.status = reply->status == ledger::Status::Accepted ? operators::PutStatus::Accepted
                                                                   : operators::PutStatus::Conflict;
            put.message = reply->message;
            put.current = reply->currentRecord;
            put.logIndex = reply->logIndex;
        }
        base::logEvent("record_change", {{"kind", records::kindName(request.record.kind)},
                                         {"name", request.record.name},
                                         {"version", request.record.version.count()},
                                         {"change", request.changeId},
                                         {"status", operators::putStatusName(put.status)}});
        answer(put);
    };
    m_router->execute({kGlobal, ledger::encode(command, 0)}, done, base::monotonicNow(),
                      group::CommandRouter::kOperatorTimeLimit);
    schedulePump();
}

std::vector<records::Record> ControlTask::records()
{
    return isVoter() ? m_groups.at(kGlobal)->ledger().records() : std::vector<records::Record>();
}

operators::StatusReply ControlTask::ownStatus(base::TimePoint now) const
{
    operators::StatusReply reply;
    reply.host = m_options.host;
    if (isVoter()) {
        const replog::Replica &replica = m_groups.at(kGlobal)->replica();
        reply.leader = replica.leader().text();
        reply.term = replica.term().count();
        reply.hasLeaderContact = replica.hasRecentLeader(now);
    }
    reply.recordsIndex = recordsPosition().index;
    reply.hosts = queryView(now).reporters;
    return reply;
}

/// A status for which other control hosts are asked what was reported to them.
struct ControlTask::Gathering
{
    std::vector<operators::StatusReply> replies; ///< The first is this host's own.
    std::size_t pending = 0;
    operators::ReplyCallback<operators::StatusReply> answer;

    void finishOne()
    {
        if (--pending > 0)
            return;
        operators::StatusReply whole = replies.front();
        whole.hosts = operators::latestHostStatuses(replies);
        answer(std::move(whole));
    }
};

void ControlTask::onStatus(operators::ReplyCallback<operators::StatusReply> answer)
{
    const auto gathering = std::make_shared<Gathering>();
    gathering->answer = std::move(answer);
    gathering->replies.push_back(ownStatus(base::monotonicNow()));
    // This host's own part counts as one, so that nothing ends before all were asked.
    gathering->pending = 1;
    for (const group::HostAddress &voter : m_options.globalVoters) {
        if (voter.host == m_options.host)
            continue;
        ++gathering->pending;
        gather(gathering, voter.address);
    }
    gathering->finishOne();
}

void ControlTask::gather(const std::shared_ptr<Gathering> &gathering, const base::Endpoint &from)
{
    m_peers->query(from, {"reporters", "{}"}, kGatherTimeout, [this, gathering](auto reply) {
        m_loop->post([gathering, reply = std::move(reply)] {
            if (reply) {
                operators::StatusReply told;
                told.hosts = reportersFrom(*reply);
                gathering->replies.push_back(std::move(told));
            }
            gathering->finishOne();
        });
    });
}

void ControlTask::onWatch(peers::WatchRequest request, peers::Answer<peers::WatchReply> answer)
{
    m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        const base::TimePoint now = base::monotonicNow();
        m_reporters[request.host] = {request.dataCentre, request.applied, now};
        if (!isVoter() || request.applied < recordsPosition())
            answer(watchReply(request));
        else
            m_watches.push_back({request, answer, now + request.wait});
    });
}

void ControlTask::onExecute(peers::ExecuteRequest request,
                            peers::Answer<peers::ExecuteReply> answer)
{
    m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        m_router->execute(request, answer, base::monotonicNow());
        schedulePump();
    });
}

void ControlTask::onReplicate(peers::ReplicateMessage message)
{
    m_loop->post([this, message = std::move(message)] {
        const auto it = m_groups.find(message.group);
        if (it == m_groups.end())
            return;
        it->second->receive(message.body, base::monotonicNow());
        schedulePump();
    });
}

void ControlTask::onQuery(peers::QueryRequest request, peers::Answer<std::string> answer)
{
    m_loop->post([this, request = std::move(request), answer = std::move(answer)] {
        const base::TimePoint now = base::monotonicNow();
        if (auto watch = jobWatchFrom(request, now))
            watchJobs(*std::move(watch), answer);
        else
            answer(answerQuery(request, queryView(now)));
    });
}

void ControlTask::watchJobs(JobWatch watch, peers::Answer<std::string> answer)
{
    m_jobAnswers.emplace(m_jobWatches.add(std::move(watch)), std::move(answer));
    schedulePump();
}

void ControlTask::answerJobWatches(base::TimePoint now)
{
    const GroupView home = viewOf(homeGroup(m_options.dataCentre), now);
    const replog::Position position = home.ledger->position();
    if (!m_jobWatches.isDue(position, now))
        return;
    const auto running = home.ledger->jobsInState(ledger::JobState::Running);
    for (const auto &told : m_jobWatches.pump(waitingJobs(*home.ledger), running, position, now)) {
        const auto it = m_jobAnswers.find(told.watch);
        it->second(answerJobWatch(told.jobs, home));
        m_jobAnswers.erase(it);
    }
}

GroupView ControlTask::viewOf(const std::string &name, base::TimePoint now) const
{
    const group::GroupHost &group = *m_groups.at(name);
    return {name, &group.ledger(), group.replica().hasLease(now)};
}

QueryView ControlTask::queryView(base::TimePoint now) const
{
    QueryView view{m_options.host, m_options.dataCentre, {}, {}};
    for (const auto &[name, group] : m_groups)
        view.groups.push_back(viewOf(name, now));
    for (const auto &[host, reporter] : m_reporters) {
        const auto age = std::chrono::duration_cast<base::Millis>(now - reporter.seen);
        view.reporters.push_back({host, reporter.dataCentre, reporter.applied.index, age.count()});
    }
    return view;
}

} // namespace hyssop::control
