#include "ReportedContent.h"

#include <algorithm>

namespace hyssop::dispatch {

namespace {

/// How likely a part is to blame; lower is more likely.
enum class Rank {
    Trial,
    LostBefore, ///< Lost at an earlier crash and not answered since.
    NeverAnswered,
    Answered,
};

struct Candidate
{
    fleet::InterruptedContent content;
    bool isRequest = false;
    Rank rank = Rank::NeverAnswered;
    std::int64_t order = 0;
};

Rank rankOf(const fleet::InterruptedContent &content, std::optional<base::TimePoint> lostAt,
            std::optional<base::TimePoint> answeredAt)
{
    if (content.wasTrial)
        return Rank::Trial;
    if (lostAt && (!answeredAt || *answeredAt < *lostAt))
        return Rank::LostBefore;
    return answeredAt ? Rank::Answered : Rank::NeverAnswered;
}

} // namespace

std::vector<fleet::InterruptedContent> ReportedContent::select(
        const LostAttempts::Start &start, const std::vector<LostAttempt> &attempts,
        const AnsweredContent &answered, base::TimePoint now)
{
    const auto elapsed = [now](base::TimePoint from) {
        return std::max(base::Millis(0), std::chrono::floor<base::Millis>(now - from));
    };
    std::map<fleet::Fingerprint, Candidate> contents;
    for (const LostAttempt &attempt : attempts) {
        for (const fleet::Fingerprint it : attempt.fingerprints) {
            Candidate &candidate = contents[it];
            candidate.content.fingerprint = it;
            candidate.content.wasTrial = candidate.content.wasTrial || attempt.trial;
            candidate.content.sentAge = elapsed(attempt.sentAt);
        }
        if (!attempt.fingerprints.empty())
            contents[attempt.fingerprints.back()].isRequest = true;
    }
    // Hosts that report one crash leave out the same parts of equal rank, and others at the next
    // crash, so that none is left out for good.
    const std::int64_t salt =
            fleet::fingerprintOf(base::ServiceId(),
                                 {start.first.text(), std::to_string(start.second.count())})
                    .count();
    std::vector<fleet::InterruptedContent> selected;
    std::vector<Candidate> parts;
    for (auto &[fingerprint, candidate] : contents) {
        const auto answeredAt = answered.lastAnswered(fingerprint);
        if (answeredAt)
            candidate.content.answeredAge = elapsed(*answeredAt);
        candidate.rank = rankOf(candidate.content, m_lost.lastAnswered(fingerprint), answeredAt);
        candidate.order = candidate.rank == Rank::Answered ? answeredAt->time_since_epoch().count()
                                                           : fingerprint.count() ^ salt;
        if (candidate.isRequest)
            selected.push_back(candidate.content);
        else
            parts.push_back(candidate);
        m_lost.record(fingerprint, now);
    }
    if (parts.size() > kMaxParts) {
        std::nth_element(parts.begin(), parts.begin() + kMaxParts, parts.end(),
                         [](const Candidate &a, const Candidate &b) {
                             return std::pair(a.rank, a.order) < std::pair(b.rank, b.order);
                         });
        base::logEvent(
                "crash_report_cut",
                {{"upstream", start.first}, {"parts", parts.size()}, {"reported", kMaxParts}});
        parts.resize(kMaxParts);
    }
    for (const Candidate &it : parts)
        selected.push_back(it.content);
    return selected;
}

} // namespace hyssop::dispatch
