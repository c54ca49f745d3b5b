#pragma once

#include "fleet/Fleet.h"

#include <deque>
#include <functional>

namespace hyssop::registry {

/// What a later leader needs of a suspect.
struct KnownSuspect
{
    fleet::CrashSuspect fact;
    base::Millis lastCrashAge{0};

    bool operator==(const KnownSuspect &other) const = default;
};

/// Finds the content of requests that crashes each upstream that runs it, from what all entry hosts
/// report. Does no I/O.
///
/// Many requests are in flight when an upstream crashes, and few of them have to do with it.
/// Content that does is never part of an answered request. So crashes are counted only while no
/// request with the content is answered, and those in quick succession count as one, since
/// upstreams that are killed together interrupt the same content.
///
/// After a second crash the content is suspect. Its requests then run as trials, one at a time for
/// each service, so that no two suspects run beside each other. An answered trial clears it. A
/// crash in a trial confirms the suspicion of one of the suspects that were in flight there; of
/// which one, is known once all others are cleared. Confirmed content is quarantined: its requests
/// are rejected, apart from trials at long intervals. While several suspects may be to blame, only
/// requests with more than one of them are rejected.
class CrashSuspects
{
public:
    using Answer = std::function<void(const fleet::TrialReply &)>;

    void report(const fleet::CrashEvidence &evidence, base::TimePoint now);
    /// Answers when the trial may be made, or when it may not be made in time.
    void requestTrial(const fleet::TrialRequest &request, Answer answer, base::TimePoint now);
    /// Answers the requests whose time has come.
    void tick(base::TimePoint now);
    /// Content that hosts must know, the latest first and at most kMaxPublished of it.
    std::vector<fleet::CrashSuspect> suspects(base::TimePoint now) const;
    /// The same content with what a later leader needs to forget it in time.
    std::vector<KnownSuspect> known(base::TimePoint now) const;
    /// Takes over what a former leader knew.
    void learn(const std::vector<KnownSuspect> &suspects, base::TimePoint now);
    /// Grows with each change of suspects().
    std::int64_t revision() const { return m_revision; }
    std::size_t size() const { return m_contents.size(); }

    static constexpr std::size_t kMaxPublished = 64;
    /// The content that is least suspected and whose last crash is the oldest is dropped first. A
    /// prompt has up to some 1,600 parts; about 0.5 KB each.
    static constexpr std::size_t kMaxContents = 16'384;

private:
    /// Identifies a crash by the start of the upstream that it ended.
    struct CrashKey
    {
        base::UpstreamId upstream;
        base::Incarnation incarnation;

        bool operator==(const CrashKey &other) const = default;
    };
    struct Crash
    {
        CrashKey key;
        std::vector<fleet::Fingerprint> contents; ///< In flight there, of all hosts; in order.
        bool isCut = false; ///< There was more than is kept.
    };
    /// Content that was in flight at a crash and in no answered request since.
    struct Content
    {
        std::vector<CrashKey> known; ///< The latest crashes, so that each counts once.
        std::vector<base::TimePoint> countedAt; ///< The latest crashes that were counted.
        int crashes = 0;
        std::vector<CrashKey> failedTrials; ///< Those of the crashes that ended a trial of it.
        fleet::Quarantine quarantine = fleet::Quarantine::None;
        fleet::Quarantine learnedQuarantine = fleet::Quarantine::None; ///< Of a former leader.
        int quarantineTrials = 0;
        base::TimePoint firstCrashAt;
        base::TimePoint lastCrashAt;
        base::TimePoint nextTrialAt{};
    };
    /// What is known of all suspects in a request, at a revision.
    struct Standing
    {
        std::int64_t revision = -1;
        std::size_t suspects = 0;
        int crashes = 0; ///< Of the suspect with the most.
        base::TimePoint trialAt{}; ///< Earliest time of the next trial.
    };
    struct WaitingTrial
    {
        fleet::TrialRequest request;
        Answer answer;
        base::TimePoint waitsUntil;
        Standing standing = {};
    };
    struct RunningTrial
    {
        fleet::TrialKey key;
        std::vector<fleet::Fingerprint> contents; ///< Of its request.
        base::TimePoint expiresAt;
    };

    /// \a trial is the one that the upstream crashed in, if any.
    void addCrash(const fleet::CrashReport &report, const fleet::InterruptedContent &interrupted,
                  const RunningTrial *trial, base::TimePoint now);
    /// Notes what was in flight at a crash.
    void recordCrash(const fleet::CrashReport &report);
    /// Whether \a other may be to blame for failed trials of \a content.
    bool isAlternative(fleet::Fingerprint other, const Content &content) const;
    /// Whether \a content was the only suspect in flight when one of its trials failed.
    bool isProvenByTrial(fleet::Fingerprint fingerprint, const Content &content) const;
    const Standing &standingOf(WaitingTrial &waiting, base::TimePoint now) const;
    /// Logs a change of content, and of one report only the first ones.
    void logChange(std::string_view change, const fleet::CrashSuspect &suspect);
    void logSuppressedChanges();
    void addKnown(const fleet::CrashSuspect &suspect, base::Millis lastCrashAge,
                  base::TimePoint now);
    /// Forgets content that is part of an answered request.
    void clear(fleet::Fingerprint fingerprint, base::TimePoint now);
    void updateQuarantines(base::TimePoint now);
    void removeForgotten(base::TimePoint now);
    static fleet::CrashSuspect toFact(fleet::Fingerprint fingerprint, const Content &content,
                                      base::TimePoint now);
    /// Suspects in \a request.
    std::vector<fleet::CrashSuspect> suspectsIn(const fleet::TrialRequest &request,
                                                base::TimePoint now) const;
    /// Grants the next trial of \a service, if none runs.
    void grantNext(const base::ServiceId &service, base::TimePoint now);
    /// A trial that runs or has ended lately; null otherwise.
    const RunningTrial *findTrial(const fleet::TrialKey &key) const;
    void endTrial(const fleet::TrialKey &key);

    std::map<fleet::Fingerprint, Content> m_contents;
    std::deque<Crash> m_crashes; ///< The latest ones, the last one at the end.
    std::vector<WaitingTrial> m_waiting; ///< In the order of arrival.
    std::map<base::ServiceId, RunningTrial> m_running;
    /// The latest ones that have ended. A later start of the upstream may still show that it
    /// crashed.
    std::deque<RunningTrial> m_ended;
    std::int64_t m_revision = 0;
    std::int64_t m_learned = 0; ///< Counts what was learned of hosts.
    std::size_t m_loggedChanges = 0; ///< Of the present report.
    /// The latest suspects in their order, at a revision.
    mutable std::vector<fleet::Fingerprint> m_published;
    mutable std::int64_t m_publishedRevision = -1;
};

} // namespace hyssop::registry
