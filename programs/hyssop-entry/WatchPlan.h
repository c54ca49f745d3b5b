#pragma once

#include "base/Base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hyssop::entry {

/// Decides which control host is asked for records, and when a second one is asked because the
/// first does not answer. No I/O.
///
/// One question is open at a time. When its answer is overdue the next control host is asked too;
/// whichever answers first as one whose records are confirmed is asked from then on.
class WatchPlan
{
public:
    /// How long a control host may hold an answer back when there is nothing new.
    static constexpr base::Millis kHoldTime{3'000};
    /// Bound on what an answer takes beyond that, before another host is asked too.
    static constexpr base::Millis kOverdueMargin{1'000};
    /// When a question is given up.
    static constexpr base::Millis kPollTimeout{8'000};
    static constexpr base::Millis kRetryDelay{100};
    /// Records that were not confirmed for so long are stale: half of what a change may take.
    static constexpr base::Millis kStaleAfter{9'000};

    enum class Result {
        Confirmed, ///< The host has confirmed its records.
        Unconfirmed, ///< It answered, and cannot tell whether its records are the latest.
        Failed, ///< No answer.
    };
    static std::string_view resultName(Result result);

    struct Poll
    {
        std::size_t hostIndex = 0;
        std::int64_t id = 0;
    };

    WatchPlan(std::size_t hostCount, base::TimePoint now);

    /// The question to be sent now, if any; to be called at nextTime() and after each answer.
    std::optional<Poll> step(base::TimePoint now);
    base::TimePoint nextStepTime() const;
    void onResult(std::int64_t pollId, Result result, base::TimePoint now);

    /// Whether the last answer was confirmed and no answer is overdue.
    bool isConfirmed() const { return m_isConfirmed; }
    /// Time since records were last known to be the latest.
    base::Millis age(base::TimePoint now) const;
    bool isStale(base::TimePoint now) const { return age(now) > kStaleAfter; }
    /// Why records are not confirmed: "overdue", "unconfirmed", "failed", "never_asked".
    std::string_view reason() const { return m_reason; }

private:
    struct OpenPoll
    {
        Poll poll;
        base::TimePoint sentAt;
        bool isOverdue = false;
    };
    void preferNextAfter(std::size_t hostIndex);

    std::size_t m_hostCount;
    std::size_t m_preferredHost = 0;
    std::vector<OpenPoll> m_openPolls; ///< The earliest first; at most one a control host.
    base::TimePoint m_notBefore; ///< No question is sent earlier.
    base::TimePoint m_confirmedAt;
    std::int64_t m_lastPollId = 0;
    bool m_isConfirmed = false;
    std::string_view m_reason = "never_asked";
};

} // namespace hyssop::entry
