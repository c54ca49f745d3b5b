#include "KnownEvacuations.h"

namespace hyssop::edge {

namespace {

/// Behind a leader of an earlier build, other control hosts get this long to send what they know.
/// They answer the first request of an entry host within milliseconds.
constexpr base::Millis kUnawareLeaderTime{1'000};

} // namespace

bool KnownEvacuations::receive(const fleet::WatchReply &reply, base::TimePoint now)
{
    if (!reply.evacuations) {
        if (!reply.isConfirmed)
            return false;
        if (!m_unawareLeaderAt)
            m_unawareLeaderAt = now;
        m_isConfirmed = m_isConfirmed || now >= *m_unawareLeaderAt + kUnawareLeaderTime;
        return false;
    }
    m_isConfirmed = m_isConfirmed || reply.isConfirmed;
    if (reply.evacuations->revision <= m_state.revision)
        return false;
    m_state = *reply.evacuations;
    return true;
}

} // namespace hyssop::edge
