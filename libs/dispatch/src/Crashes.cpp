// Calls that crash the upstreams that run them: what this host reports of them to the leader, and
// how it treats calls with suspect content.

#include "DispatcherImpl.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// Retry-After of calls with suspect content while no control host decides on trials.
constexpr base::Millis kUndecidedRetryAfter{1'000};
/// Suspects that a leader publishes at most (registry::CrashSuspects::kMaxPublished).
constexpr std::size_t kMaxPublishedSuspects = 64;
/// Answered content in one message to the leader beside the published suspects; 18 KB. Prompts
/// have up to some 1,600 parts.
constexpr std::size_t kMaxReportedAnswers = 2'048;

base::Millis elapsed(base::TimePoint from, base::TimePoint now)
{
    return std::max(base::Millis(0), std::chrono::floor<base::Millis>(now - from));
}

} // namespace

std::string_view crashSourceName(CrashSource source)
{
    switch (source) {
    case CrashSource::Refused:
        return "refused";
    case CrashSource::Restart:
        return "restart";
    }
    return "unknown";
}

bool Dispatcher::Impl::recordLostAttempt(const CallInfo &call, const Attempt &attempt,
                                         std::optional<CallId> trial, base::TimePoint now)
{
    const UpstreamState *state = findUpstream(attempt.upstream);
    // What a leaving upstream loses with its end says nothing about the calls.
    if (!state || state->info().isLeaving
        || state->info().incarnation != attempt.upstreamIncarnation)
        return false;
    LostAttempt lost;
    lost.fingerprints = call.fingerprints;
    lost.sentAt = attempt.sentAt;
    lost.at = now;
    lost.trial = trial;
    const LostAttempts::Start start{attempt.upstream, attempt.upstreamIncarnation};
    m_lostAttempts.removeExpired(now);
    m_lostAttempts.add(state->info(), std::move(lost));
    if (m_lostAttempts.isCrashed(start))
        reportCrash(start, CrashSource::Refused, now);
    else if (m_lostAttempts.beginProbe(start, now))
        m_actions.emplace_back(ProbeUpstream{state->info()});
    return true;
}

void Dispatcher::Impl::handle(const UpstreamProbed &event, base::TimePoint now)
{
    const LostAttempts::Start start{event.upstream, event.incarnation};
    m_lostAttempts.endProbe(start);
    // If this host reaches no upstream of the service, a refusal says nothing of this one.
    const UpstreamState *state = findUpstream(event.upstream);
    ServiceState *service = state ? &serviceOf(state->info().service) : nullptr;
    if (event.isRefused && service && (service->links.isLost() || service->links.isChecking())) {
        service->refusedWithoutLinks.push_back(start);
        return;
    }
    if (event.isRefused)
        return reportCrash(start, CrashSource::Refused, now);
    // A later start may still show that it crashed, but the next trial does not wait for that.
    for (const CallId trial : m_lostAttempts.endTrials(start))
        m_actions.emplace_back(EndTrial{trial});
}

void Dispatcher::Impl::reportCrash(const LostAttempts::Start &start, CrashSource source,
                                   base::TimePoint now)
{
    m_lostAttempts.setCrashed(start, now);
    UpstreamState *state = findUpstream(start.first);
    if (state && state->info().incarnation == start.second)
        eject(*state, now);
    const std::vector<LostAttempt> attempts = m_lostAttempts.take(start);
    if (attempts.empty())
        return;
    ReportCrash action;
    action.source = source;
    action.report.upstream = start.first;
    action.report.incarnation = start.second;
    action.report.age = elapsed(attempts.front().at, now);
    for (const LostAttempt &attempt : attempts) {
        if (attempt.trial && action.trial && !attempt.isTrialEnded)
            m_actions.emplace_back(EndTrial{*attempt.trial});
        else if (attempt.trial && !action.trial)
            action.trial = attempt.trial;
    }
    action.report.contents = m_reportedContent.select(start, attempts, m_answeredContent, now);
    m_actions.emplace_back(std::move(action));
}

void Dispatcher::Impl::reportCrashesBefore(const fleet::Upstream &upstream, base::TimePoint now)
{
    for (const LostAttempts::Start &it : m_lostAttempts.endedBy(upstream))
        reportCrash(it, CrashSource::Restart, now);
}

void Dispatcher::Impl::recordAnswered(ActiveCall &call, base::TimePoint now)
{
    if (std::exchange(call.current.isProven, true))
        return;
    for (const fleet::Fingerprint it : call.info.fingerprints)
        m_answeredContent.record(it, now);
    const auto cleared = suspectsIn(call);
    // The leader may hold more content of the call for suspect than it has published.
    if (!cleared.empty())
        m_actions.emplace_back(ReportAnswered{call.info.fingerprints});
    for (const fleet::Fingerprint it : cleared)
        removeSuspect(it);
    endTrial(call);
}

void Dispatcher::Impl::removeSuspect(fleet::Fingerprint fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    m_actions.emplace_back(CrashSuspectChanged{it->second.fact, true});
    m_suspects.erase(it);
}

void Dispatcher::Impl::handle(const CrashSuspectsReceived &event, base::TimePoint now)
{
    std::set<fleet::Fingerprint> received;
    std::vector<fleet::Fingerprint> answered;
    base::TimePoint latestCrashAt{};
    for (const fleet::CrashSuspect &it : event.suspects) {
        const Suspect suspect{it, event.repliedAfter - it.crashAge, now + it.nextTrialIn};
        latestCrashAt = std::max(latestCrashAt, suspect.firstCrashAt);
        const auto answeredAt = m_answeredContent.lastAnswered(it.fingerprint);
        if (answeredAt && *answeredAt > suspect.firstCrashAt) {
            answered.push_back(it.fingerprint);
            continue;
        }
        received.insert(it.fingerprint);
        const auto [known, isNew] = m_suspects.try_emplace(it.fingerprint, suspect);
        const bool isChange = isNew || known->second.fact.quarantine != it.quarantine;
        known->second = suspect;
        if (isChange)
            m_actions.emplace_back(CrashSuspectChanged{it, false});
    }
    if (!answered.empty() && event.suspects.size() >= kMaxPublishedSuspects) {
        // The leader may know more suspects than it publishes. Many of them were answered as well.
        for (const fleet::Fingerprint it :
             m_answeredContent.answeredAfter(latestCrashAt, kMaxReportedAnswers))
            answered.push_back(it);
    }
    if (!answered.empty())
        m_actions.emplace_back(ReportAnswered{answered});
    if (!event.isComplete)
        return;
    std::vector<fleet::Fingerprint> cleared;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (!received.contains(fingerprint))
            cleared.push_back(fingerprint);
    }
    for (const fleet::Fingerprint it : cleared)
        removeSuspect(it);
}

fleet::CrashSuspect Dispatcher::Impl::toFact(const Suspect &suspect, base::TimePoint now)
{
    fleet::CrashSuspect fact = suspect.fact;
    fact.crashAge = elapsed(suspect.firstCrashAt, now);
    fact.nextTrialIn = elapsed(now, suspect.nextTrialAt);
    return fact;
}

std::vector<fleet::CrashSuspect> Dispatcher::Impl::crashSuspects(base::TimePoint now) const
{
    std::vector<fleet::CrashSuspect> suspects;
    suspects.reserve(m_suspects.size());
    for (const auto &[fingerprint, suspect] : m_suspects)
        suspects.push_back(toFact(suspect, now));
    return suspects;
}

std::vector<fleet::Fingerprint> Dispatcher::Impl::suspectsIn(const ActiveCall &call) const
{
    std::vector<fleet::Fingerprint> suspects;
    if (m_suspects.empty())
        return suspects;
    std::copy_if(call.info.fingerprints.begin(), call.info.fingerprints.end(),
                 std::back_inserter(suspects),
                 [this](fleet::Fingerprint it) { return m_suspects.contains(it); });
    return suspects;
}

bool Dispatcher::Impl::mayRun(ActiveCall &call, base::TimePoint now)
{
    if (call.trial == TrialState::Granted)
        return true;
    const auto suspects = suspectsIn(call);
    if (suspects.empty())
        return true;
    call.blocker = QueueBlocker::Trial;
    if (call.stalled) {
        // It must not run at two upstreams at once.
        reinstateStalledAttempt(call, now);
        return false;
    }
    // The leader may have granted the last trial for a long time to this call.
    if (call.trial == TrialState::Requested)
        return false;
    std::vector<fleet::CrashSuspect> facts;
    facts.reserve(suspects.size());
    for (const fleet::Fingerprint it : suspects)
        facts.push_back(toFact(m_suspects.at(it), now));
    const base::Millis trialIn = fleet::nextTrialIn(facts);
    const base::TimePoint waitsUntil = queueDeadline(call);
    if (now + trialIn > waitsUntil) {
        holdBack(call, trialIn, now);
        return false;
    }
    call.trial = TrialState::Requested;
    m_actions.emplace_back(RequestTrial{call.info.id, call.info.service, call.info.fingerprints,
                                        elapsed(now, waitsUntil)});
    return false;
}

void Dispatcher::Impl::handle(const TrialDecided &event, base::TimePoint now)
{
    ActiveCall *call = findCall(event.call);
    if (!call || call->trial != TrialState::Requested) {
        // The call has ended or needs no trial any more.
        if (event.reply.isGranted)
            m_actions.emplace_back(EndTrial{event.call});
        return;
    }
    if (event.reply.isGranted) {
        // A host that stood still may get a grant that another call has by now.
        if (now < queueDeadline(*call))
            call->trial = TrialState::Granted;
        return;
    }
    call->trial = TrialState::None;
    if (!suspectsIn(*call).empty())
        holdBack(*call, event.isFromControl ? event.reply.retryAfter : kUndecidedRetryAfter, now);
}

void Dispatcher::Impl::endTrial(ActiveCall &call)
{
    if (std::exchange(call.trial, TrialState::None) != TrialState::None)
        m_actions.emplace_back(EndTrial{call.info.id});
}

void Dispatcher::Impl::holdBack(ActiveCall &call, base::Millis retryAfter, base::TimePoint now)
{
    call.blocker = QueueBlocker::Trial;
    call.statedRetryAfter = retryAfter;
    rejectOrFail(call, FailureReason::Quarantined, now);
}

} // namespace hyssop::dispatch
