#pragma once

#include "base/Base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hyssop::entry {

/// Decides which control host is polled for records, and when another one is polled because the
/// first does not reply. No I/O.
///
/// One poll is open at a time. When its reply is overdue, the next control host is polled as well.
/// The first host that replies with confirmed records is polled from then on.
class WatchPlan
{
public:
    /// How long a control host may hold a reply when there is nothing new.
    static constexpr base::Millis kHoldTime{3'000};
    /// Time beyond kHoldTime after which a reply is overdue and another host is polled.
    static constexpr base::Millis kOverdueMargin{1'000};
    /// Time after which a poll fails.
    static constexpr base::Millis kPollTimeout{8'000};
    static constexpr base::Millis kRetryDelay{100};
    /// Records not confirmed for this long are stale. Half of the time in which a change must reach
    /// a host.
    static constexpr base::Millis kStaleAfter{9'000};

    enum class Result {
        Confirmed, ///< The host has confirmed its records.
        Unconfirmed, ///< It replied without knowing whether its records are the latest.
        Failed, ///< No reply.
    };
    static std::string_view resultName(Result result);

    /// A poll of the control host with the given index.
    struct Poll
    {
        std::size_t hostIndex = 0;
        std::int64_t id = 0;
    };

    WatchPlan(std::size_t hostCount, base::TimePoint now);

    /// Returns the poll to send now, if any. Call it at nextStepTime() and after each onResult().
    std::optional<Poll> step(base::TimePoint now);
    /// Time of the next step(); TimePoint::max() when only a result can change anything.
    base::TimePoint nextStepTime() const;
    void onResult(std::int64_t pollId, Result result, base::TimePoint now);

    /// Whether the last reply was confirmed and none is overdue.
    bool isConfirmed() const { return m_isConfirmed; }
    /// Time since the records were last known to be the latest.
    base::Millis age(base::TimePoint now) const;
    bool isStale(base::TimePoint now) const { return age(now) > kStaleAfter; }
    /// Why records are not confirmed: "overdue", "unconfirmed", "failed" or "never_asked".
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
    std::vector<OpenPoll> m_openPolls; ///< Earliest first, at most one for each control host.
    base::TimePoint m_notBefore; ///< No poll is sent earlier.
    base::TimePoint m_confirmedAt;
    std::int64_t m_lastPollId = 0;
    bool m_isConfirmed = false;
    std::string_view m_reason = "never_asked";
};

} // namespace hyssop::entry
