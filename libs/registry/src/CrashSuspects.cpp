#include "CrashSuspects.h"

#include <algorithm>

namespace hyssop::registry {

namespace {

/// Crashes that make content suspect, and those that a full quarantine takes.
constexpr int kSuspectCrashes = 2;
constexpr int kQuarantineCrashes = 4;
/// Crashes in trials that quarantine content that may not be to blame.
constexpr std::size_t kJointTrials = 2;
/// Crashes within this time count as one. Hosts see the connections of killed upstreams end within
/// milliseconds.
constexpr base::Millis kSeparation{100};
/// A trial that its host does not end is over after this.
constexpr base::Millis kTrialTimeout{5'000};
/// First interval between trials of quarantined content, its growth and its limit. Three trials
/// fall into a day.
constexpr base::Millis kFirstTrialInterval{60'000};
constexpr int kTrialIntervalFactor = 20;
constexpr base::Millis kMaxTrialInterval{24 * 3'600'000};
/// Content is forgotten this long after its last crash.
constexpr base::Millis kContentRetention{3'600'000};
constexpr base::Millis kQuarantineRetention{48 * 3'600'000};
/// Suspects with more crashes are published before others, up to this number: a part that is to
/// blame has more of them than the many parts that were in flight beside it.
constexpr int kMaxRankedCrashes = 6;
/// Limits on what is kept.
constexpr std::size_t kMaxCrashes = 64;
/// Of one crash; 8 MB for all of them.
constexpr std::size_t kMaxCrashContents = 16'384;
/// Content is dropped down to this, so that the next reports need not search for the oldest again.
constexpr std::size_t kContentsAfterDrop = CrashSuspects::kMaxContents * 7 / 8;
/// Changes logged of one report. A prompt with many parts changes as many contents at once.
constexpr std::size_t kMaxLoggedChanges = 16;
constexpr std::size_t kMaxEndedTrials = 16;
constexpr std::size_t kMaxKnownCrashes = 16;
constexpr std::size_t kMaxFailedTrials = 4;
/// Retry-After of a trial whose turn did not come.
constexpr base::Millis kTrialRetryAfter{500};

base::Millis trialInterval(int trials)
{
    base::Millis interval = kFirstTrialInterval;
    for (int n = 0; n < trials && interval < kMaxTrialInterval; ++n)
        interval *= kTrialIntervalFactor;
    return std::min(interval, kMaxTrialInterval);
}

/// Appends to a list of which only the latest elements are kept.
template <typename T>
void pushLatest(std::vector<T> &latest, const T &element)
{
    latest.push_back(element);
    if (latest.size() > kMaxKnownCrashes)
        latest.erase(latest.begin());
}

} // namespace

void CrashSuspects::logChange(std::string_view change, const fleet::CrashSuspect &suspect)
{
    if (++m_loggedChanges > kMaxLoggedChanges)
        return;
    base::logEvent("crash_content", {{"content", fleet::fingerprintText(suspect.fingerprint)},
                                     {"change", change},
                                     {"crashes", suspect.crashes},
                                     {"failed_trials", suspect.failedTrials},
                                     {"age_ms", suspect.crashAge.count()}});
}

void CrashSuspects::logSuppressedChanges()
{
    const std::size_t changes = std::exchange(m_loggedChanges, 0);
    if (changes > kMaxLoggedChanges)
        base::logEvent("crash_content_more",
                       {{"changes", changes - kMaxLoggedChanges}, {"contents", m_contents.size()}});
}

void CrashSuspects::report(const fleet::CrashEvidence &evidence, base::TimePoint now)
{
    for (const fleet::CrashSuspect &it : evidence.suspects)
        addKnown(it, it.crashAge, now);
    const RunningTrial *trial = evidence.endedTrial ? findTrial(*evidence.endedTrial) : nullptr;
    for (const fleet::CrashReport &report : evidence.crashes) {
        base::logEvent("crash_report", {{"host", evidence.host},
                                        {"upstream", report.upstream},
                                        {"incarnation", report.incarnation.count()},
                                        {"contents", report.contents.size()},
                                        {"trial", trial != nullptr},
                                        {"age_ms", report.age.count()}});
        recordCrash(report);
        for (const fleet::InterruptedContent &it : report.contents)
            addCrash(report, it, it.wasTrial ? trial : nullptr, now);
    }
    for (const fleet::Fingerprint it : evidence.answered)
        clear(it, now);
    if (evidence.endedTrial)
        endTrial(*evidence.endedTrial);
    removeForgotten(now);
    updateQuarantines(now);
    logSuppressedChanges();
    tick(now);
}

const CrashSuspects::RunningTrial *CrashSuspects::findTrial(const fleet::TrialKey &key) const
{
    for (const auto &[service, trial] : m_running) {
        if (trial.key == key)
            return &trial;
    }
    const auto ended = std::find_if(m_ended.begin(), m_ended.end(),
                                    [&key](const RunningTrial &it) { return it.key == key; });
    return ended == m_ended.end() ? nullptr : &*ended;
}

void CrashSuspects::endTrial(const fleet::TrialKey &key)
{
    std::erase_if(m_waiting, [&](const WaitingTrial &it) { return it.request.key == key; });
    const auto running = std::find_if(m_running.begin(), m_running.end(),
                                      [&key](const auto &it) { return it.second.key == key; });
    if (running == m_running.end())
        return;
    m_ended.push_back(std::move(running->second));
    m_running.erase(running);
    if (m_ended.size() > kMaxEndedTrials)
        m_ended.pop_front();
}

void CrashSuspects::addCrash(const fleet::CrashReport &report,
                             const fleet::InterruptedContent &interrupted,
                             const RunningTrial *trial, base::TimePoint now)
{
    const fleet::Fingerprint fingerprint = interrupted.fingerprint;
    const base::TimePoint at = now - report.age;
    const auto known = m_contents.find(fingerprint);
    if (known != m_contents.end() && interrupted.answeredAge
        && now - *interrupted.answeredAge > known->second.firstCrashAt)
        clear(fingerprint, now);
    const auto [it, isNew] = m_contents.try_emplace(fingerprint);
    Content &content = it->second;
    if (isNew)
        content.firstCrashAt = at;
    const CrashKey key{report.upstream, report.incarnation};
    if (std::find(content.known.begin(), content.known.end(), key) != content.known.end())
        return;
    pushLatest(content.known, key);
    content.lastCrashAt = std::max(content.lastCrashAt, at);
    const bool isFailedTrial =
            trial
            && std::find(trial->contents.begin(), trial->contents.end(), fingerprint)
                       != trial->contents.end();
    // Reports of a host that had no leader for a while come in any order. A request that was sent
    // after a crash was not interrupted by what caused it.
    const base::TimePoint sentAt = now - interrupted.sentAge;
    const bool isSeparate = std::none_of(
            content.countedAt.begin(), content.countedAt.end(), [&](base::TimePoint counted) {
                return std::chrono::abs(counted - at) < kSeparation && sentAt < counted;
            });
    if (!isSeparate && !isFailedTrial)
        return;
    pushLatest(content.countedAt, at);
    ++content.crashes;
    if (isFailedTrial && content.failedTrials.size() < kMaxFailedTrials)
        content.failedTrials.push_back(key);
    if (content.crashes < kSuspectCrashes)
        return;
    ++m_revision;
    logChange(isFailedTrial ? "trial_failed" : "suspect", toFact(fingerprint, content, now));
}

void CrashSuspects::recordCrash(const fleet::CrashReport &report)
{
    const CrashKey key{report.upstream, report.incarnation};
    auto crash = std::find_if(m_crashes.begin(), m_crashes.end(),
                              [&key](const Crash &it) { return it.key == key; });
    if (crash == m_crashes.end())
        crash = m_crashes.insert(m_crashes.end(), {key, {}});
    std::vector<fleet::Fingerprint> &contents = crash->contents;
    for (const fleet::InterruptedContent &it : report.contents)
        contents.push_back(it.fingerprint);
    std::sort(contents.begin(), contents.end());
    contents.erase(std::unique(contents.begin(), contents.end()), contents.end());
    if (contents.size() > kMaxCrashContents) {
        contents.resize(kMaxCrashContents);
        crash->isCut = true;
    }
    if (m_crashes.size() > kMaxCrashes)
        m_crashes.pop_front();
}

bool CrashSuspects::isAlternative(fleet::Fingerprint other, const Content &content) const
{
    const auto it = m_contents.find(other);
    if (it == m_contents.end())
        return false;
    // What merely ran beside the trials is not suspected for their crashes.
    const auto besideTrials = std::count_if(
            it->second.known.begin(), it->second.known.end(), [&content](const CrashKey &key) {
                return std::find(content.failedTrials.begin(), content.failedTrials.end(), key)
                       != content.failedTrials.end();
            });
    return it->second.crashes - besideTrials >= kSuspectCrashes;
}

bool CrashSuspects::isProvenByTrial(fleet::Fingerprint fingerprint, const Content &content) const
{
    const auto isOnlySuspect = [&](const CrashKey &key) {
        const auto crash = std::find_if(m_crashes.begin(), m_crashes.end(),
                                        [&key](const Crash &it) { return it.key == key; });
        return crash != m_crashes.end() && !crash->isCut
               && std::none_of(crash->contents.begin(), crash->contents.end(),
                               [&](fleet::Fingerprint it) {
                                   return it != fingerprint && isAlternative(it, content);
                               });
    };
    return std::any_of(content.failedTrials.begin(), content.failedTrials.end(), isOnlySuspect);
}

void CrashSuspects::updateQuarantines(base::TimePoint now)
{
    for (auto &[fingerprint, content] : m_contents) {
        fleet::Quarantine quarantine = content.learnedQuarantine;
        if (content.crashes >= kQuarantineCrashes && isProvenByTrial(fingerprint, content))
            quarantine = fleet::Quarantine::Full;
        else if (content.failedTrials.size() >= kJointTrials)
            quarantine = std::max(quarantine, fleet::Quarantine::Joint);
        if (quarantine == content.quarantine)
            continue;
        if (content.quarantine == fleet::Quarantine::None)
            content.nextTrialAt = now + trialInterval(0);
        content.quarantine = quarantine;
        ++m_revision;
        logChange(fleet::quarantineName(quarantine), toFact(fingerprint, content, now));
    }
}

void CrashSuspects::learn(const std::vector<KnownSuspect> &suspects, base::TimePoint now)
{
    for (const KnownSuspect &it : suspects)
        addKnown(it.fact, it.lastCrashAge, now);
    removeForgotten(now);
    logSuppressedChanges();
}

std::vector<KnownSuspect> CrashSuspects::known(base::TimePoint now) const
{
    std::vector<KnownSuspect> known;
    for (const fleet::CrashSuspect &it : suspects(now)) {
        const Content &content = m_contents.at(it.fingerprint);
        known.push_back({it, std::chrono::floor<base::Millis>(now - content.lastCrashAt)});
    }
    return known;
}

void CrashSuspects::addKnown(const fleet::CrashSuspect &suspect, base::Millis lastCrashAge,
                             base::TimePoint now)
{
    const base::TimePoint firstCrashAt = now - suspect.crashAge;
    const auto [it, isNew] = m_contents.try_emplace(suspect.fingerprint);
    Content &content = it->second;
    const bool isMore =
            suspect.crashes > content.crashes || suspect.quarantine > content.quarantine;
    content.firstCrashAt = isNew ? firstCrashAt : std::min(content.firstCrashAt, firstCrashAt);
    content.lastCrashAt = std::max(content.lastCrashAt, now - lastCrashAge);
    content.crashes = std::max(content.crashes, suspect.crashes);
    content.learnedQuarantine = std::max(content.learnedQuarantine, suspect.quarantine);
    content.quarantine = std::max(content.quarantine, suspect.quarantine);
    ++m_learned;
    content.quarantineTrials = std::max(content.quarantineTrials, suspect.quarantineTrials);
    content.nextTrialAt = std::max(content.nextTrialAt, now + suspect.nextTrialIn);
    if (!isMore)
        return;
    ++m_revision;
    logChange("learned", toFact(suspect.fingerprint, content, now));
}

void CrashSuspects::clear(fleet::Fingerprint fingerprint, base::TimePoint now)
{
    const auto it = m_contents.find(fingerprint);
    if (it == m_contents.end())
        return;
    const fleet::CrashSuspect cleared = toFact(fingerprint, it->second, now);
    m_contents.erase(it);
    if (cleared.crashes < kSuspectCrashes)
        return;
    ++m_revision;
    logChange(cleared.quarantine == fleet::Quarantine::None ? "cleared" : "released", cleared);
}

void CrashSuspects::removeForgotten(base::TimePoint now)
{
    const std::size_t before = m_contents.size();
    std::erase_if(m_contents, [now](const auto &it) {
        const bool isQuarantined = it.second.quarantine != fleet::Quarantine::None;
        return now >= it.second.lastCrashAt
                              + (isQuarantined ? kQuarantineRetention : kContentRetention);
    });
    if (m_contents.size() > kMaxContents) {
        using Iterator = std::map<fleet::Fingerprint, Content>::iterator;
        std::vector<Iterator> contents;
        contents.reserve(m_contents.size());
        for (auto it = m_contents.begin(); it != m_contents.end(); ++it)
            contents.push_back(it);
        const auto rank = [](const Iterator &it) {
            const Content &content = it->second;
            return std::tuple(content.quarantine, content.crashes >= kSuspectCrashes,
                              content.lastCrashAt);
        };
        const auto kept = contents.end() - static_cast<std::ptrdiff_t>(kContentsAfterDrop);
        base::logEvent("crash_contents_dropped",
                       {{"contents", kept - contents.begin()}, {"kept", kContentsAfterDrop}});
        std::nth_element(
                contents.begin(), kept, contents.end(),
                [&rank](const Iterator &a, const Iterator &b) { return rank(a) < rank(b); });
        for (auto it = contents.begin(); it != kept; ++it) {
            if ((*it)->second.crashes >= kSuspectCrashes)
                logChange("dropped", toFact((*it)->first, (*it)->second, now));
            m_contents.erase(*it);
        }
    }
    if (m_contents.size() != before)
        ++m_revision;
}

fleet::CrashSuspect CrashSuspects::toFact(fleet::Fingerprint fingerprint, const Content &content,
                                          base::TimePoint now)
{
    fleet::CrashSuspect fact;
    fact.fingerprint = fingerprint;
    fact.crashes = content.crashes;
    fact.failedTrials = static_cast<int>(content.failedTrials.size());
    fact.quarantine = content.quarantine;
    fact.quarantineTrials = content.quarantineTrials;
    fact.crashAge = std::chrono::floor<base::Millis>(now - content.firstCrashAt);
    fact.nextTrialIn =
            std::max(base::Millis(0), std::chrono::ceil<base::Millis>(content.nextTrialAt - now));
    return fact;
}

std::vector<fleet::CrashSuspect> CrashSuspects::suspectsIn(const fleet::TrialRequest &request,
                                                           base::TimePoint now) const
{
    std::vector<fleet::CrashSuspect> suspects;
    for (const fleet::Fingerprint it : request.fingerprints) {
        const auto content = m_contents.find(it);
        if (content != m_contents.end() && content->second.crashes >= kSuspectCrashes)
            suspects.push_back(toFact(it, content->second, now));
    }
    return suspects;
}

const CrashSuspects::Standing &CrashSuspects::standingOf(WaitingTrial &waiting,
                                                         base::TimePoint now) const
{
    Standing &standing = waiting.standing;
    if (standing.revision == m_revision + m_learned)
        return standing;
    const auto suspects = suspectsIn(waiting.request, now);
    standing = {m_revision + m_learned, suspects.size(), 0, now + fleet::nextTrialIn(suspects)};
    for (const fleet::CrashSuspect &it : suspects)
        standing.crashes = std::max(standing.crashes, it.crashes);
    return standing;
}

void CrashSuspects::requestTrial(const fleet::TrialRequest &request, Answer answer,
                                 base::TimePoint now)
{
    m_waiting.push_back({request, std::move(answer), now + request.maxWait});
    tick(now);
}

void CrashSuspects::tick(base::TimePoint now)
{
    if (m_waiting.empty())
        return;
    std::erase_if(m_running, [now](const auto &it) { return now >= it.second.expiresAt; });
    std::vector<std::pair<Answer, fleet::TrialReply>> answers;
    std::set<base::ServiceId> services;
    std::erase_if(m_waiting, [&](WaitingTrial &it) {
        services.insert(it.request.service);
        const Standing &standing = standingOf(it, now);
        const base::TimePoint trialAt = std::max(now, standing.trialAt);
        if (standing.suspects > 0 && now < it.waitsUntil && trialAt <= it.waitsUntil)
            return false;
        fleet::TrialReply reply;
        reply.isGranted = standing.suspects == 0;
        if (!reply.isGranted)
            reply.retryAfter =
                    std::max(std::chrono::ceil<base::Millis>(trialAt - now), kTrialRetryAfter);
        answers.emplace_back(std::move(it.answer), reply);
        return true;
    });
    for (const auto &[answer, reply] : answers)
        answer(reply);
    for (const base::ServiceId &it : services)
        grantNext(it, now);
}

void CrashSuspects::grantNext(const base::ServiceId &service, base::TimePoint now)
{
    if (m_running.contains(service))
        return;
    // Content that others are suspected with is tried first, so that what remains stands alone.
    std::pair<std::size_t, int> bestRank;
    auto best = m_waiting.end();
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (it->request.service != service)
            continue;
        const Standing &standing = standingOf(*it, now);
        const std::pair<std::size_t, int> rank{standing.suspects, standing.crashes};
        const bool isDue = standing.trialAt <= now;
        if (!isDue || (best != m_waiting.end() && rank >= bestRank))
            continue;
        best = it;
        bestRank = rank;
    }
    if (best == m_waiting.end())
        return;
    for (const fleet::CrashSuspect &it : fleet::quarantinedIn(suspectsIn(best->request, now))) {
        Content &content = m_contents.at(it.fingerprint);
        content.nextTrialAt = now + trialInterval(++content.quarantineTrials);
        ++m_revision;
    }
    m_running[service] = {best->request.key, best->request.fingerprints, now + kTrialTimeout};
    base::logEvent("crash_trial", {{"host", best->request.key.host},
                                   {"call", best->request.key.call},
                                   {"service", service},
                                   {"suspects", bestRank.first},
                                   {"crashes", bestRank.second}});
    const Answer answer = std::move(best->answer);
    m_waiting.erase(best);
    answer({true, base::Millis(0)});
}

std::vector<fleet::CrashSuspect> CrashSuspects::suspects(base::TimePoint now) const
{
    if (m_publishedRevision != m_revision) {
        using Rank = std::tuple<fleet::Quarantine, int, base::TimePoint, fleet::Fingerprint>;
        std::vector<Rank> ranks;
        for (const auto &[fingerprint, content] : m_contents) {
            if (content.crashes >= kSuspectCrashes)
                ranks.emplace_back(content.quarantine, std::min(content.crashes, kMaxRankedCrashes),
                                   content.lastCrashAt, fingerprint);
        }
        const auto end =
                ranks.begin() + static_cast<std::ptrdiff_t>(std::min(ranks.size(), kMaxPublished));
        std::partial_sort(ranks.begin(), end, ranks.end(), std::greater<>());
        m_published.clear();
        for (auto it = ranks.begin(); it != end; ++it)
            m_published.push_back(std::get<fleet::Fingerprint>(*it));
        m_publishedRevision = m_revision;
    }
    std::vector<fleet::CrashSuspect> suspects;
    suspects.reserve(m_published.size());
    for (const fleet::Fingerprint it : m_published) {
        if (const auto content = m_contents.find(it); content != m_contents.end())
            suspects.push_back(toFact(it, content->second, now));
    }
    return suspects;
}

} // namespace hyssop::registry
