#include "RecordsWatcher.h"

namespace hyssop::entry {

RecordsWatcher::RecordsWatcher(http::Loop *loop, base::HostId host, base::DataCentreId dataCentre,
                               std::vector<base::Endpoint> controlHosts, OnChange onChange)
    : m_loop(loop)
    , m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
    , m_controlHosts(std::move(controlHosts))
    , m_onChange(std::move(onChange))
    , m_plan(m_controlHosts.size(), base::monotonicNow())
{ }

void RecordsWatcher::start(peers::Node *node)
{
    m_node = node;
    step();
}

void RecordsWatcher::step()
{
    const base::TimePoint now = base::monotonicNow();
    if (const auto next = m_plan.step(now))
        sendPoll(*next);
    if (m_timer)
        m_loop->cancelTimer(*m_timer);
    m_timer.reset();
    const base::TimePoint next = m_plan.nextStepTime();
    if (next == base::TimePoint::max())
        return;
    const auto delay = std::chrono::ceil<base::Millis>(std::max(next, now) - now);
    m_timer = m_loop->after(delay, [this] {
        m_timer.reset();
        step();
    });
}

void RecordsWatcher::sendPoll(const WatchPlan::Poll &poll)
{
    peers::WatchRequest request;
    request.host = m_host;
    request.dataCentre = m_dataCentre;
    request.applied = m_position;
    request.wait = WatchPlan::kHoldTime;
    m_node->watch(m_controlHosts[poll.hostIndex], std::move(request), WatchPlan::kPollTimeout,
                  [this, pollId = poll.id](auto reply) {
                      m_loop->post(
                              [this, pollId, reply = std::move(reply)] { onReply(pollId, reply); });
                  });
}

void RecordsWatcher::onReply(std::int64_t pollId,
                             const tl::expected<peers::WatchReply, peers::PeerError> &reply)
{
    WatchPlan::Result result = WatchPlan::Result::Failed;
    if (reply)
        result = reply->isConfirmed ? WatchPlan::Result::Confirmed : WatchPlan::Result::Unconfirmed;
    m_plan.onResult(pollId, result, base::monotonicNow());
    if (reply && reply->hasChanged && m_position < reply->position)
        apply(*reply);
    step();
}

void RecordsWatcher::apply(const peers::WatchReply &reply)
{
    std::vector<records::Record> records;
    for (const std::string &json : reply.records) {
        if (auto record = records::recordFromJson(json))
            records.push_back(*std::move(record));
    }
    m_position = reply.position;
    m_catalogue = records::Catalogue::build(records, m_catalogue.get());
    base::logEvent("records_applied", {{"term", m_position.term},
                                       {"index", m_position.index},
                                       {"records", records.size()},
                                       {"unreadable", m_catalogue->unreadableRecords().size()}});
    m_onChange(m_catalogue);
}

std::string RecordsWatcher::staleNote(base::TimePoint now) const
{
    if (!m_plan.isStale(now))
        return {};
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(m_plan.age(now));
    return "records stale for " + std::to_string(seconds.count())
           + " s: " + std::string(m_plan.reason()) + "\n";
}

} // namespace hyssop::entry
