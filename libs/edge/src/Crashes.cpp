// Crashes of upstreams and the calls that cause them, of which a control host keeps account.

#include "EdgeImpl.h"

#include <boost/asio/post.hpp>

namespace hyssop::edge {

namespace {

/// A host that runs accepts or refuses a connection within one round trip.
constexpr base::Millis kProbeTimeout{400};
constexpr base::Millis kEvidenceTimeout{500};
/// Added to the time for which a control host may hold a request for a trial.
constexpr base::Millis kTrialTimeout{500};
/// Evidence that is kept while there is no leader. The oldest is dropped first.
constexpr std::size_t kMaxKeptEvidence = 64;
/// Contents of a call in one log line. A prompt may have some 1,600 parts.
constexpr std::size_t kMaxNamedContents = 32;

} // namespace

std::string contentText(const std::vector<fleet::Fingerprint> &fingerprints)
{
    std::string text;
    const std::size_t named = std::min(fingerprints.size(), kMaxNamedContents);
    for (std::size_t n = 0; n < named; ++n)
        text += (text.empty() ? "" : ",") + fleet::fingerprintText(fingerprints[n]);
    if (fingerprints.size() > named)
        text += ",+" + std::to_string(fingerprints.size() - named);
    return text;
}

void Edge::Impl::executeAction(const dispatch::ProbeUpstream &action, base::TimePoint)
{
    const fleet::Upstream upstream = action.upstream;
    m_client.probe(upstream.address, kProbeTimeout, [this, upstream](gateway::ProbeResult result) {
        const base::TimePoint at = base::monotonicNow();
        execute(m_dispatcher.handle(
                        dispatch::UpstreamProbed{upstream.id, upstream.incarnation,
                                                 result == gateway::ProbeResult::Refused},
                        at),
                at);
        scheduleTick(at);
    });
}

void Edge::Impl::executeAction(const dispatch::ReportCrash &action, base::TimePoint now)
{
    const fleet::CrashReport &report = action.report;
    m_metrics->count("hyssop_upstream_crashes_total");
    base::logEvent("upstream_crashed", {{"upstream", report.upstream},
                                        {"incarnation", report.incarnation.count()},
                                        {"source", dispatch::crashSourceName(action.source)},
                                        {"contents", report.contents.size()},
                                        {"trial", action.trial.has_value()},
                                        {"age_ms", report.age.count()}});
    fleet::CrashEvidence evidence;
    evidence.crashes = {report};
    if (action.trial)
        evidence.endedTrial = fleet::TrialKey{m_options.host, m_startId, action.trial->count()};
    sendEvidence(std::move(evidence), now, now);
}

void Edge::Impl::executeAction(const dispatch::ReportAnswered &action, base::TimePoint now)
{
    fleet::CrashEvidence evidence;
    evidence.answered = action.fingerprints;
    sendEvidence(std::move(evidence), now, now);
}

void Edge::Impl::executeAction(const dispatch::EndTrial &action, base::TimePoint now)
{
    fleet::CrashEvidence evidence;
    evidence.endedTrial = fleet::TrialKey{m_options.host, m_startId, action.call.count()};
    sendEvidence(std::move(evidence), now, now);
}

void Edge::Impl::executeAction(const dispatch::CrashSuspectChanged &action, base::TimePoint)
{
    const std::string_view state =
            action.isCleared ? "cleared" : fleet::quarantineName(action.suspect.quarantine);
    m_metrics->count("hyssop_crash_suspect_changes_total", {{"state", std::string(state)}});
    base::logEvent("crash_suspect",
                   {{"content", fleet::fingerprintText(action.suspect.fingerprint)},
                    {"state", state},
                    {"crashes", action.suspect.crashes},
                    {"failed_trials", action.suspect.failedTrials},
                    {"age_ms", action.suspect.crashAge.count()},
                    {"next_trial_ms", action.suspect.nextTrialIn.count()}});
}

void Edge::Impl::executeAction(const dispatch::RequestTrial &action, base::TimePoint now)
{
    dispatch::TrialDecided event;
    event.call = action.call;
    event.isFromControl = false;
    if (!m_leader || !m_freshness.isCurrent(now)) {
        boost::asio::post(*m_io, [this, event, now] { onTrialDecided(event, now); });
        return;
    }
    fleet::TrialRequest request;
    request.key = {m_options.host, m_startId, action.call.count()};
    request.service = action.service;
    request.fingerprints = action.fingerprints;
    request.maxWait = action.maxWait;
    m_node->query(
            *m_leader, {fleet::kTrialTopic, fleet::encode(request)}, action.maxWait + kTrialTimeout,
            [this, event, now](const tl::expected<std::string, peers::PeerError> &answer) mutable {
                if (const auto reply = answer ? fleet::decodeTrialReply(*answer) : std::nullopt) {
                    event.isFromControl = true;
                    event.reply = *reply;
                }
                boost::asio::post(*m_io, [this, event, now] { onTrialDecided(event, now); });
            });
}

void Edge::Impl::onTrialDecided(const dispatch::TrialDecided &event, base::TimePoint requestedAt)
{
    const base::TimePoint now = base::monotonicNow();
    const std::string_view outcome = event.reply.isGranted ? "granted"
                                     : event.isFromControl ? "denied"
                                                           : "undecided";
    m_metrics->count("hyssop_trials_total", {{"outcome", std::string(outcome)}});
    const EdgeCall *call = findCall(event.call);
    base::logEvent("trial", {{"request", call ? call->requestMetadata.id : base::RequestId()},
                             {"outcome", outcome},
                             {"retry_after_ms", event.reply.retryAfter.count()},
                             {"ms", std::chrono::floor<base::Millis>(now - requestedAt).count()}});
    execute(m_dispatcher.handle(event, now), now);
    scheduleTick(now);
}

void Edge::Impl::sendEvidence(fleet::CrashEvidence evidence, base::TimePoint createdAt,
                              base::TimePoint now)
{
    if (!m_leader)
        return keepEvidence(std::move(evidence), createdAt);
    evidence.host = m_options.host;
    fleet::CrashEvidence message = evidence;
    const auto delay = std::chrono::floor<base::Millis>(now - createdAt);
    for (fleet::CrashReport &it : message.crashes)
        it.addAge(delay);
    m_node->query(*m_leader, {fleet::kCrashTopic, fleet::encode(message)}, kEvidenceTimeout,
                  [this, evidence = std::move(evidence),
                   createdAt](const tl::expected<std::string, peers::PeerError> &answer) mutable {
                      if (answer && !answer->empty())
                          return;
                      boost::asio::post(*m_io, [this, evidence = std::move(evidence), createdAt] {
                          keepEvidence(evidence, createdAt);
                      });
                  });
}

void Edge::Impl::keepEvidence(fleet::CrashEvidence evidence, base::TimePoint createdAt)
{
    m_keptEvidence.emplace_back(createdAt, std::move(evidence));
    if (m_keptEvidence.size() <= kMaxKeptEvidence)
        return;
    base::logEvent("crash_evidence_dropped",
                   {{"crashes", m_keptEvidence.front().second.crashes.size()}});
    m_keptEvidence.pop_front();
}

void Edge::Impl::applyCrashSuspects(const FleetWatcher::Update &update, base::TimePoint now)
{
    const fleet::WatchReply &reply = update.reply;
    for (auto &[createdAt, evidence] : std::exchange(m_keptEvidence, {}))
        sendEvidence(std::move(evidence), createdAt, now);
    fleet::CrashEvidence known;
    if (m_informedLeader != reply.directory.incarnation) {
        known.suspects = m_dispatcher.crashSuspects(now);
        m_informedLeader = reply.directory.incarnation;
    }
    // Until a new leader has heard of them, its reply lacks suspects that still are.
    const bool isComplete = known.suspects.empty() && reply.knowsCrashSuspects;
    if (!known.suspects.empty())
        sendEvidence(std::move(known), now, now);
    execute(m_dispatcher.handle(dispatch::CrashSuspectsReceived{reply.crashSuspects,
                                                                update.requestedAt + reply.heldFor,
                                                                isComplete},
                                now),
            now);
}

} // namespace hyssop::edge
