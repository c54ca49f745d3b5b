#pragma once

#include "AnsweredContent.h"
#include "LostAttempts.h"

namespace hyssop::dispatch {

/// Content of the attempts that an upstream lost with its crash, as it is reported to the leader.
///
/// A prompt may have some 1,600 parts, and many requests are in flight at a crash. Only the content
/// that is most likely to blame is reported, so that a report stays small.
class ReportedContent
{
public:
    /// Attempts are in the order in which they were sent. The last fingerprint of each is that of
    /// the whole request.
    std::vector<fleet::InterruptedContent> select(const LostAttempts::Start &start,
                                                  const std::vector<LostAttempt> &attempts,
                                                  const AnsweredContent &answered,
                                                  base::TimePoint now);

    /// Of parts in one report; 40 KB. The requests themselves come on top.
    static constexpr std::size_t kMaxParts = 2'048;

private:
    AnsweredContent m_lost; ///< Content of earlier reports and when it was lost.
};

} // namespace hyssop::dispatch
