#pragma once

#include "Pipe.h"

#include <poll.h>

#include <vector>

namespace hyssop::standins {

enum class Direction { Forward, Backward };

/// Rules and counts of one forwarding; forward is from the one who connects to the target.
struct LinkState
{
    DirectionRules forward;
    DirectionRules backward;
    bool refuses = false; ///< New connections are reset at once.
    DirectionCounts forwardCounts;
    DirectionCounts backwardCounts;
    std::int64_t accepted = 0;
    std::int64_t refused = 0;

    bool dropsAny() const { return forward.drops || backward.drops; }
};

/// A forwarded connection. Owns its two sockets.
class Connection
{
public:
    Connection(int client, int target);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Adds what to wait for; lowers \a wake to the next time at which bytes become due.
    void addInterest(std::vector<pollfd> &fds, base::TimePoint now, base::TimePoint &wake) const;
    /// Moves bytes as the sockets allow. \a ready holds the two entries added by addInterest().
    void advance(const pollfd *ready, LinkState &state, base::TimePoint now);
    void halfClose(Direction direction);
    /// Both ends see a reset instead of a close.
    void reset();
    bool isOver() const;
    bool hasLost() const { return m_isStranded || m_forward.hasLost() || m_backward.hasLost(); }

private:
    void onResult(Pipe::Result result, const LinkState &state);

    int m_client;
    int m_target;
    Pipe m_forward;
    Pipe m_backward;
    bool m_isBroken = false;
    bool m_isStranded = false; ///< One end failed while a cut hid this from the other.
};

} // namespace hyssop::standins
