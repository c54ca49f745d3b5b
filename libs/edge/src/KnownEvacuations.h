#pragma once

#include "fleet/Fleet.h"

namespace hyssop::edge {

/// Evacuations as far as control hosts have told this host. Out of contact, the last known state
/// holds. No I/O.
class KnownEvacuations
{
public:
    /// Takes the state of a reply. Any control host may send it, as all of them know committed
    /// orders only and the highest revision is the latest one. Returns whether it changed.
    bool receive(const fleet::WatchReply &reply, base::TimePoint now);
    /// Whether a leader has confirmed that no order before the start of this host is missing.
    bool isConfirmed() const { return m_isConfirmed; }
    const fleet::Evacuations &state() const { return m_state; }

private:
    fleet::Evacuations m_state;
    bool m_isConfirmed = false;
    /// First confirmation by a leader of a build that does not send evacuations.
    std::optional<base::TimePoint> m_unawareLeaderAt;
};

} // namespace hyssop::edge
